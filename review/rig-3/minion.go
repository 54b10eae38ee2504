package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a run of a task at a minion.
type run struct {
	task    string
	n       int
	spec    string
	pace    int
	worked  float64 // milliseconds of work at full speed
	workFor float64 // 0 for a run that lasts
	failFor float64 // the work after which the run fails; 0 for never
	ended   bool
}

type end struct {
	n    int64
	task string
	run  int
	how  string
}

// minion is a stand-in of a worker, as PROTOCOL.md describes it. The text spec of a job says how long its tasks work: "work=300", or
// "lasts", and which of the other values apply.
type minion struct {
	rig     *rig
	id      string
	service string
	rack    string
	addr    string
	srv     *http.Server
	born    int64
	began   time.Time

	mu       sync.Mutex
	dead     bool
	token    int64
	until    int64
	runs     map[string]*run
	barred   map[string]int // the highest run stopped or ended here
	ends     []end
	nextEnd  int64
	changed  chan struct{}
	sequence int
	// disturbing holds, for the last half second, how many tasks that fill were at work. The tail of a task that serves is baseTail and
	// fillTail more for each of them.
	disturbing [25]float64
	tick       int
	baseTail   float64
	fillTail   float64
	// overSince is since when the tasks that serve have been over their target while tasks that fill were at work, without a pause;
	// zero while they aren't. longestOver is the longest such time.
	overSince   time.Time
	longestOver time.Duration
	// startedRuns counts the runs that were begun, by task.
	startedRuns map[string]int
	// unanswered is the path of the next call that is to be left without an answer; late is that order then, and lateSince when it came.
	unanswered string
	late       *order
	lateSince  time.Time
	// noted holds the numbers of the ends that last_seen has reached.
	noted int64
}

const (
	maxHold = 10_000
	target  = 100
)

// tail returns the tail of the tasks that serve here, in milliseconds, over the last half second.
func (m *minion) tail() float64 {
	sum := 0.0
	for _, n := range m.disturbing {
		sum += n
	}
	return m.baseTail + m.fillTail*sum/float64(len(m.disturbing))
}

// observe follows how many tasks that fill are at work, and how long they keep those that serve over their target.
func (m *minion) observe() {
	filling := 0.0
	for _, r := range m.runs {
		if strings.Contains(r.spec, "fills") {
			filling += float64(r.pace) / 100
		}
	}
	m.tick++
	m.disturbing[m.tick%len(m.disturbing)] = filling
	switch {
	case m.tail() <= target || filling == 0 || m.baseTail > target:
		m.overSince = time.Time{}
	case m.overSince.IsZero():
		m.overSince = time.Now()
	default:
		m.longestOver = max(m.longestOver, time.Since(m.overSince))
	}
}

// order is the body of a call to a minion.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
	Percentage int    `json:"percentage"`
}

func newMinion(r *rig, n int, service string) *minion {
	return bootMinion(r, n, service, "127.0.0.1:0")
}

// bootMinion starts a process of a minion at an address.
func bootMinion(r *rig, n int, service, addr string) *minion {
	m := &minion{rig: r, id: fmt.Sprintf("i-%04x", 0x7f30+n), service: service, rack: fmt.Sprintf("r1-%d", n/5+1), born: time.Now().UnixMilli(), began: time.Now().Add(-time.Second),
		runs: map[string]*run{}, barred: map[string]int{}, startedRuns: map[string]int{}, fillTail: 70, changed: make(chan struct{})}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	m.addr = l.Addr().String()
	m.srv = &http.Server{Handler: m}
	go func() { _ = m.srv.Serve(l) }()
	m.beat("ready")
	go m.live()
	return m
}

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() }

func (m *minion) beat(state string) {
	m.mu.Lock()
	m.sequence++
	seq := m.sequence
	m.mu.Unlock()
	m.rig.store.put("servers", m.id, map[string]any{
		"service": m.service, "address": m.addr, "zone": "nyali", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": 64000, "memory_request_mb": 131072, "gpu": 0}, "labels": []string{"a", m.rack},
		"clock_ms": m.clock(), "sequence": seq, "born": m.born,
	})
}

// live lets the runs work and renews the entry.
func (m *minion) live() {
	tick := time.NewTicker(20 * time.Millisecond)
	last, beat := time.Now(), time.Now()
	for range tick.C {
		m.mu.Lock()
		dead := m.dead
		m.mu.Unlock()
		if dead || m.rig.over() {
			return
		}
		now := time.Now()
		step := now.Sub(last).Seconds() * 1000
		last = now
		m.mu.Lock()
		m.observe()
		for _, r := range m.runs {
			r.worked += step * float64(r.pace) / 100
			switch {
			case m.clock() >= m.until:
				m.end(r, "lapsed")
			case r.failFor > 0 && r.worked >= r.failFor:
				m.end(r, "failed")
			case r.workFor > 0 && r.worked >= r.workFor:
				m.end(r, "done")
			}
		}
		m.mu.Unlock()
		if now.Sub(beat) >= 1500*time.Millisecond {
			beat = now
			m.beat("ready")
		}
	}
}

func (m *minion) end(r *run, how string) {
	if r.ended {
		return
	}
	r.ended = true
	m.nextEnd++
	m.ends = append(m.ends, end{m.nextEnd, r.task, r.n, how})
	m.barred[r.task] = max(m.barred[r.task], r.n)
	delete(m.runs, r.task)
	m.rig.note("%s: run %d of %s ended %s", m.id, r.n, r.task, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expected-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in order
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusOK)
		return
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	if in.Token < m.token {
		m.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": "fence"})
		return
	}
	if r.URL.Path == m.unanswered && (m.unanswered != "/-/pace" || in.Percentage == 100) {
		m.unanswered, m.late, m.lateSince = "", &in, time.Now()
		m.rig.note("%s: %s of run %d of %s, token %d, gets no answer", m.id, r.URL.Path, in.Run, in.Task, in.Token)
		m.mu.Unlock()
		// The connection stays silent until the caller gives up.
		<-r.Context().Done()
		return
	}
	m.token = in.Token
	status, reason := http.StatusOK, ""
	switch r.URL.Path {
	case "/-/run-start":
		status, reason = m.start(in)
	case "/-/run-stop":
		m.barred[in.Task] = max(m.barred[in.Task], in.Run)
		if old := m.runs[in.Task]; old != nil && old.n <= in.Run {
			m.end(old, "stopped")
		}
	case "/-/pace":
		m.setPace(in)
	case "/-/hold":
		m.extend(in)
		m.noted = max(m.noted, in.LastSeen)
		kept := m.ends[:0]
		for _, e := range m.ends {
			if e.n > in.LastSeen {
				kept = append(kept, e)
			}
		}
		m.ends = kept
		if len(m.ends) == 0 && in.Wait > 0 {
			changed := m.changed
			m.mu.Unlock()
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-time.After(time.Duration(min(in.Wait, 2000)) * time.Millisecond):
			}
			m.mu.Lock()
		}
		out := m.report()
		m.mu.Unlock()
		reply(w, http.StatusOK, out)
		return
	default:
		status = http.StatusNotFound
	}
	m.mu.Unlock()
	body := map[string]any{"clock_ms": m.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(w, status, body)
}

// extend takes the end of the lease from an order.
func (m *minion) extend(in order) {
	if in.Deadline > 0 {
		m.until = max(m.until, min(in.Deadline, m.clock()+maxHold))
	}
}

// start carries a start out, whose token has been checked.
func (m *minion) start(in order) (status int, reason string) {
	old := m.runs[in.Task]
	switch {
	case old != nil && old.n == in.Run:
		m.extend(in)
	case in.Run <= m.barred[in.Task] || old != nil:
		m.extend(in)
		return http.StatusConflict, "old"
	case in.Deadline <= m.clock():
		return http.StatusConflict, "late"
	default:
		m.extend(in)
		m.runs[in.Task] = &run{task: in.Task, n: in.Run, spec: in.Spec, pace: 100, workFor: specNumber(in.Spec, "work"),
			failFor: specNumber(in.Spec, "fails")}
		m.startedRuns[in.Task]++
		m.rig.note("%s: start of run %d of %s, token %d, spec %q", m.id, in.Run, in.Task, in.Token, in.Spec)
	}
	return http.StatusOK, ""
}

func (m *minion) setPace(in order) {
	if old := m.runs[in.Task]; old != nil && old.n == in.Run {
		old.pace = in.Percentage
		m.rig.note("%s: pace of run %d of %s is %d, token %d", m.id, in.Run, in.Task, in.Percentage, in.Token)
	}
}

// pacedLate carries out an order on pace that comes late, and reports whether it was.
func (m *minion) pacedLate(in order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rig.note("%s: a late order on pace comes, token %d; the highest token here is %d", m.id, in.Token, m.token)
	if in.Token < m.token {
		return false
	}
	m.setPace(in)
	return true
}

// startedLate carries out a start that comes late, and reports whether it was.
func (m *minion) startedLate(in order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rig.note("%s: a late start of run %d of %s comes, token %d; the highest token here is %d", m.id, in.Run, in.Task, in.Token, m.token)
	if in.Token < m.token {
		return false
	}
	m.token = in.Token
	status, _ := m.start(in)
	return status == http.StatusOK
}

// crash ends the process. Nothing of it is left.
func (m *minion) crash() {
	m.rig.note("%s: crashes", m.id)
	m.mu.Lock()
	m.dead = true
	m.runs = map[string]*run{}
	m.mu.Unlock()
	_ = m.srv.Close()
}

func (m *minion) report() map[string]any {
	running, ends := [][]any{}, [][]any{}
	for _, r := range m.runs {
		percent, load := 0, 0
		if r.workFor > 0 {
			percent = int(100 * r.worked / r.workFor)
		} else if r.worked > 100 {
			percent = 100
		}
		if strings.Contains(r.spec, "serves") {
			load = int(m.tail())
		} else if r.pace > 0 {
			load = 1000 * r.pace / 100
		}
		running = append(running, []any{r.task, r.n, "", min(percent, 100), load})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": m.clock(), "born": m.born, "running": running, "ended_runs": ends}
}

// specNumber returns the value of NAME=VALUE in a text, 0 without it.
func specNumber(spec, name string) float64 {
	for _, word := range strings.Fields(spec) {
		if text, ok := strings.CutPrefix(word, name+"="); ok {
			if v, err := strconv.ParseFloat(text, 64); err == nil {
				return v
			}
		}
	}
	return 0
}

func (m *minion) String() string { return fmt.Sprintf("%s at %s", m.id, m.addr) }
