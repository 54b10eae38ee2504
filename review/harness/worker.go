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

// workerMode is how a worker's address answers the machines of the system.
type workerMode int

const (
	workerServes workerMode = iota
	workerSilent            // cut off: requests get no answer and are not carried out
	workerRefuse            // cut off: connections are reset, and new ones refused
)

// workerRun is a run at a worker. End is zero while it is at work.
type workerRun struct {
	task   string
	run    int
	worker string
	token  int64
	begin  time.Time
	end    time.Time
	how    string
	work   time.Duration
}

// worker is a stand-in of a minion, in one life.
type worker struct {
	id, service, zone, label string
	cores                    int
	// slowPercent is by how much its steady clock is slow.
	slowPercent float64
	store       *store
	addr        string
	begin       time.Time
	born        int64

	mu       sync.Mutex
	server   *http.Server
	mode     workerMode
	storeCut bool
	// leavesAt is set while the worker drains.
	leavesAt time.Time
	sequence int
	token    int64
	deadline float64
	running  map[string]*workerRun
	highest  map[string]int
	ended    []endedRow
	lastEnd  int64
	all      []*workerRun
	changed  chan struct{}
	lastBeat time.Time
	listed   bool
	closed   bool
}

type endedRow struct {
	number int64
	task   string
	run    int
	how    string
}

const (
	heartbeat   = 1500 * time.Millisecond
	maxHoldMS   = 10000
	stopTime    = 100 * time.Millisecond
	workerCores = 64
	workerMB    = 131072
)

func newWorker(s *store, id, service, zone, label string, slowPercent float64) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, label: label, cores: workerCores, slowPercent: slowPercent, store: s,
		addr: l.Addr().String(), begin: time.Now(), born: time.Now().UnixMilli(), running: map[string]*workerRun{},
		highest: map[string]int{}, changed: make(chan struct{}),
	}
	w.serve(l)
	w.beat()
	go w.tick()
	return w, nil
}

func (w *worker) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.start)
	mux.HandleFunc("POST /-/run-stop", w.stop)
	mux.HandleFunc("POST /-/hold", w.hold)
	mux.HandleFunc("POST /-/pace", func(rw http.ResponseWriter, r *http.Request) {
		w.reply(rw, r, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	})
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.currentMode() != workerServes {
			<-r.Context().Done()
			return
		}
		if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	srv := w.server
	go func() { _ = srv.Serve(l) }()
}

func (w *worker) currentMode() workerMode {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode
}

// setMode cuts the worker off from the machines of the system, or ends the cut.
func (w *worker) setMode(m workerMode) {
	w.mu.Lock()
	before := w.mode
	w.mode = m
	srv := w.server
	w.mu.Unlock()
	if m == workerRefuse {
		_ = srv.Close()
	}
	if before == workerRefuse && m == workerServes {
		if l, err := net.Listen("tcp", w.addr); err == nil {
			w.serve(l)
		}
	}
}

func (w *worker) setStoreCut(cut bool) {
	w.mu.Lock()
	w.storeCut = cut
	w.mu.Unlock()
}

// drain makes the worker report that it drains; it leaves after at least remaining.
func (w *worker) drain(remaining time.Duration) {
	w.mu.Lock()
	w.leavesAt = time.Now().Add(remaining)
	w.mu.Unlock()
	w.beat()
}

func (w *worker) reply(rw http.ResponseWriter, r *http.Request, status int, body any) {
	if w.currentMode() != workerServes {
		<-r.Context().Done()
		return
	}
	writeJSON(rw, status, body)
}

func (w *worker) clockAt(t time.Time) float64 {
	return 100000 + float64(t.Sub(w.begin).Microseconds())/1000*(100-w.slowPercent)/100
}

func (w *worker) clock() int64 { return int64(w.clockAt(time.Now())) }

// beat writes the worker's entry, unless it is cut off from the store.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeCut || w.closed {
		return
	}
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "1.0", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born, "labels": []string{"kind-a", w.label},
		"capacity": map[string]int{"cpu": w.cores * 1000, "memory_request_mb": workerMB, "gpu": 0},
	}
	if !w.leavesAt.IsZero() {
		entry["state"] = "draining"
		entry["remaining_ms"] = max(time.Until(w.leavesAt).Milliseconds(), 0)
	}
	value, _ := json.Marshal(entry)
	w.store.put("servers", w.id, value)
	w.lastBeat, w.listed = time.Now(), true
}

// tick ends runs, and plays the store's part of removing an entry after three heartbeats of silence.
func (w *worker) tick() {
	for range time.Tick(5 * time.Millisecond) {
		now := time.Now()
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return
		}
		if len(w.running) > 0 && w.clockAt(now) >= w.deadline {
			for _, r := range w.running {
				w.finish(r, now, "lapsed")
			}
		}
		for _, r := range w.running {
			if now.Sub(r.begin) >= r.work {
				w.finish(r, now, "done")
			}
		}
		due := now.Sub(w.lastBeat) >= heartbeat && !w.storeCut
		expired := w.listed && now.Sub(w.lastBeat) >= 3*heartbeat
		if expired {
			w.listed = false
		}
		w.mu.Unlock()
		if expired {
			logf("store: the entry of worker %s is removed after three heartbeats of silence", w.id)
			w.store.put("servers", w.id, nil)
		}
		if due {
			w.beat()
		}
	}
}

func (w *worker) finish(r *workerRun, now time.Time, how string) {
	r.end, r.how = now, how
	delete(w.running, r.task)
	w.lastEnd++
	w.ended = append(w.ended, endedRow{w.lastEnd, r.task, r.run, how})
	close(w.changed)
	w.changed = make(chan struct{})
	logf("worker %s: run %d of %s ended %s", w.id, r.run, r.task, how)
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func readOrder(rw http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var in orderBody
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return in, false
	}
	return in, true
}

// accept checks the fencing token and extends the lease; the caller holds mu.
func (w *worker) accept(in orderBody) bool {
	if in.Token < w.token {
		return false
	}
	w.token = in.Token
	return true
}

func (w *worker) extend(until int64) {
	w.deadline = max(w.deadline, min(float64(until), w.clockAt(time.Now())+maxHoldMS))
}

// workOf returns the duration of a task from its spec, "work_ms=N".
func workOf(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(spec, "work_ms="))
	if err != nil {
		ms = 500
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	in, ok := readOrder(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	reason := ""
	now := time.Now()
	switch have := w.running[in.Task]; {
	case !w.accept(in):
		reason = "fence"
	case float64(in.Deadline) <= w.clockAt(now):
		reason = "late"
	case have != nil && have.run == in.Run:
		w.extend(in.Deadline)
	case in.Run <= w.highest[in.Task]:
		w.extend(in.Deadline)
		reason = "old"
	default:
		w.extend(in.Deadline)
		run := &workerRun{task: in.Task, run: in.Run, worker: w.id, token: in.Token, begin: now, work: workOf(in.Spec)}
		w.running[in.Task], w.highest[in.Task] = run, in.Run
		w.all = append(w.all, run)
		logf("worker %s: run %d of %s started, token %d, lease until %.0f ms from now", w.id, in.Run, in.Task, in.Token,
			(w.deadline-w.clockAt(now))*100/(100-w.slowPercent))
	}
	w.mu.Unlock()
	if reason != "" {
		logf("worker %s: refused run %d of %s: %s, token %d", w.id, in.Run, in.Task, reason, in.Token)
		w.reply(rw, r, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
		return
	}
	w.reply(rw, r, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	in, ok := readOrder(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if !w.accept(in) {
		w.mu.Unlock()
		w.reply(rw, r, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return
	}
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	if run := w.running[in.Task]; run != nil && run.run == in.Run {
		logf("worker %s: told to stop run %d of %s", w.id, in.Run, in.Task)
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[in.Task] == run {
				w.finish(run, time.Now(), "stopped")
			}
		})
	}
	w.mu.Unlock()
	w.reply(rw, r, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	in, ok := readOrder(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if !w.accept(in) {
		w.mu.Unlock()
		w.reply(rw, r, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return
	}
	if in.Deadline != 0 {
		w.extend(in.Deadline)
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > in.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	changed := w.changed
	pending := len(w.ended) > 0
	w.mu.Unlock()
	if !pending && in.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(in.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.running {
		percent := min(int(100*time.Since(run.begin)/max(run.work, 1)), 100)
		running = append(running, []any{run.task, run.run, "", percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.mu.Unlock()
	w.reply(rw, r, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "ended_runs": ended})
}

// runs returns copies of all runs that the worker has begun.
func (w *worker) runs() []workerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]workerRun, 0, len(w.all))
	for _, r := range w.all {
		out = append(out, *r)
	}
	return out
}

// used returns the number of runs at work.
func (w *worker) used() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

func (r workerRun) String() string { return fmt.Sprintf("%s run %d on %s", r.task, r.run, r.worker) }
