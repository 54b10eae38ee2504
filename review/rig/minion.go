package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 10 * time.Second
	stopTime          = 100 * time.Millisecond
	maxWait           = 2 * time.Second
)

// shape is what a minion says of itself besides its id and address.
type shape struct {
	kind, rack       string
	cpu, memory, gpu int64
}

// minion is a stand-in of one of the platform's workers: an id and an address that outlive its processes.
type minion struct {
	id, addr, service, zone string
	store                   *store
	rec                     *recorder
	// onStart is called after a task has begun and before its start is answered.
	onStart func(m *minion, task string, run int)

	mu   sync.Mutex
	life *life
	born int64
	// cutOff is closed when the partition from the system ends; nil without one.
	cutOff chan struct{}
	// delayOrder returns for how long an order to a path is held up on its way to the minion; nil stands for none. The order
	// gets no answer and reaches the process that the minion has by then.
	delayOrder func(path string) time.Duration
	// storeCut means that the minion doesn't reach the store. Its entry is removed three heartbeat intervals after lastBeat.
	storeCut bool
	lastBeat time.Time
}

// life is one process of a minion.
type life struct {
	m       *minion
	shape   shape
	born    int64
	begin   time.Time
	server  *http.Server
	dead    chan struct{}
	mu      sync.Mutex
	token   int64
	lease   int64 // on the clock of this life
	runs    map[string]*run
	highest map[string]int
	ends    []end
	lastEnd int64
	ended   chan struct{} // closed and replaced at each end
	// acking is the number of holds that have acknowledged ends and wait for the next end.
	acking int
	seq    int64
	state  string
}

type run struct {
	task     string
	number   int
	due      int64 // 0 for a task that lasts
	began    int64
	stopping bool
	fails    bool
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	// lapsed means that the lease has expired since.
	lapsed bool
}

func (l *life) clock() int64 { return time.Since(l.begin).Milliseconds() + 1 }

// start starts a process of the minion.
func (m *minion) start(s shape) error {
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", m.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.born = max(m.born+1, time.Now().UnixMilli())
	l := &life{m: m, shape: s, born: m.born, begin: time.Now(), dead: make(chan struct{}), runs: map[string]*run{}, highest: map[string]int{},
		ended: make(chan struct{}), state: "ready"}
	m.life = l
	m.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", l.guard(l.startRun))
	mux.HandleFunc("POST /-/run-stop", l.guard(l.stopRun))
	mux.HandleFunc("POST /-/hold", l.guard(l.hold))
	mux.HandleFunc("POST /-/pace", l.guard(l.pace))
	mux.HandleFunc("GET /health", l.guard(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	l.server = &http.Server{Handler: mux}
	m.rec.log("minion", m.id, "up", "born", l.born, "kind", s.kind, "rack", s.rack, "cpu", s.cpu)
	go func() { _ = l.server.Serve(ln) }()
	go l.beat()
	go l.tick()
	return nil
}

// current returns the running process of the minion, or nil.
func (m *minion) current() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// crash ends the process of the minion and everything that runs on it. The connections of a dark minion stay open and silent
// until powerOff, as those of a machine without power do; otherwise they are closed.
func (m *minion) crash(dark bool) {
	m.mu.Lock()
	l := m.life
	m.life = nil
	m.mu.Unlock()
	if l == nil {
		return
	}
	close(l.dead)
	l.mu.Lock()
	n := len(l.runs)
	l.runs = map[string]*run{}
	l.mu.Unlock()
	m.rec.endedAll(m, n, dark)
	if !dark {
		_ = l.server.Close()
	}
}

// powerOff closes the listener and the connections of a dark minion's former process, so that the next one can take its address.
func (l *life) powerOff() { _ = l.server.Close() }

// acknowledges reports whether a hold that acknowledges ends waits at the process.
func (l *life) acknowledges() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acking > 0
}

// cut partitions the minion from the system's machines until the returned function is called. It runs on.
func (m *minion) cut() (heal func()) {
	c := make(chan struct{})
	m.mu.Lock()
	m.cutOff = c
	m.mu.Unlock()
	m.rec.log("minion", m.id, "is cut off")
	return func() {
		m.mu.Lock()
		m.cutOff = nil
		m.mu.Unlock()
		m.rec.log("minion", m.id, "is reachable again")
		close(c)
	}
}

func (m *minion) partition() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutOff
}

// guard serves an order unless the minion is dead or partitioned, in which case the caller gets no answer. What arrives
// during a partition is lost.
func (l *life) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-l.dead:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
		}
		if c := l.m.partition(); c != nil {
			<-c
			panic(http.ErrAbortHandler)
		}
		if f := l.m.delayOrder; f != nil {
			if d := f(r.URL.Path); d > 0 {
				l.m.deliverLater(r, d)
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		if id := r.Header.Get("Expected-Instance"); id != "" && id != l.m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next(&lateWriter{ResponseWriter: w, l: l}, r)
	}
}

// deliverLater reads an order and delivers it after d to the minion's process, over a connection of its own.
func (m *minion) deliverLater(r *http.Request, d time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m.rec.log("order", r.URL.Path, "to", m.id, "is held up:", string(body))
	time.AfterFunc(d, func() {
		req, err := http.NewRequest(r.Method, "http://"+m.addr+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			return
		}
		req.Header = r.Header.Clone()
		m.rec.log("order", r.URL.Path, "reaches", m.id)
		client := &http.Client{Timeout: time.Second}
		resp, err := client.Do(req)
		if err != nil {
			m.rec.log("order", r.URL.Path, "to", m.id, "is lost:", err)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		m.rec.log("order", r.URL.Path, "is answered by", m.id, "with", resp.StatusCode, "to nobody")
	})
}

// lateWriter loses an answer that is written during a partition or after a crash.
type lateWriter struct {
	http.ResponseWriter
	l *life
}

// WriteHeader implements http.ResponseWriter.
func (w *lateWriter) WriteHeader(status int) {
	select {
	case <-w.l.dead:
		time.Sleep(maxWait)
		panic(http.ErrAbortHandler)
	default:
	}
	if c := w.l.m.partition(); c != nil {
		<-c
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// beat writes the minion's entry every heartbeatInterval while its process lives.
func (l *life) beat() {
	for {
		l.register()
		select {
		case <-l.dead:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (l *life) register() {
	l.mu.Lock()
	l.seq++
	value, err := json.Marshal(map[string]any{
		"service": l.m.service, "address": l.m.addr, "zone": l.m.zone, "version": "v1", "slots": 8, "state": l.state, "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": l.shape.cpu, "memory_request_mb": l.shape.memory, "gpu": l.shape.gpu},
		"labels":   []string{l.shape.kind, l.shape.rack}, "clock_ms": l.clock(), "sequence": l.seq, "born": l.born,
	})
	l.mu.Unlock()
	select {
	case <-l.dead:
		return
	default:
	}
	if err == nil && l.m.touch() {
		l.m.store.put("servers", l.m.id, value)
	}
}

// touch records a heartbeat and reports whether it reaches the store. The entry is removed after three heartbeat intervals of
// silence.
func (m *minion) touch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.storeCut {
		return false
	}
	at := time.Now()
	m.lastBeat = at
	time.AfterFunc(3*heartbeatInterval, func() {
		m.mu.Lock()
		silent := m.lastBeat.Equal(at)
		m.mu.Unlock()
		if silent {
			m.rec.log("entry of", m.id, "is removed")
			m.store.drop("servers", m.id)
		}
	})
	return true
}

// setStoreCut partitions the minion from the store, or ends that.
func (m *minion) setStoreCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeCut = cut
	m.rec.log("minion", m.id, "is cut off from the store:", cut)
}

// tick ends runs that are due, and all when the lease has expired.
func (l *life) tick() {
	for {
		select {
		case <-l.dead:
			return
		case <-time.After(5 * time.Millisecond):
		}
		l.mu.Lock()
		l.advance()
		l.mu.Unlock()
	}
}

// advance ends the runs whose time has come. The caller holds mu.
func (l *life) advance() {
	now := l.clock()
	for i := range l.ends {
		l.ends[i].lapsed = l.ends[i].lapsed || now >= l.lease
	}
	for _, r := range l.runs {
		switch {
		case now >= l.lease:
			l.end(r, "lapsed")
		case r.due != 0 && now >= r.due && r.stopping:
			l.end(r, "stopped")
		case r.due != 0 && now >= r.due && r.fails:
			l.end(r, "failed")
		case r.due != 0 && now >= r.due:
			l.end(r, "done")
		}
	}
}

func (l *life) end(r *run, how string) {
	delete(l.runs, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, end{number: l.lastEnd, task: r.task, run: r.number, how: how})
	l.m.rec.endedRun(l.m, r, how)
	close(l.ended)
	l.ended = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// admit decodes an order and checks its fencing token; it returns false when it has answered the order. The caller must
// release mu if it returns true.
func (l *life) admit(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	l.mu.Lock()
	l.advance()
	if o.Token < l.token {
		l.refuse(w, "fence")
		return o, false
	}
	l.token = o.Token
	return o, true
}

// refuse answers an order with a reason and releases mu.
func (l *life) refuse(w http.ResponseWriter, reason string) {
	now := l.clock()
	l.mu.Unlock()
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": now, "reason": reason})
}

// accept answers an order that was carried out and releases mu.
func (l *life) accept(w http.ResponseWriter) {
	now := l.clock()
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": now})
}

func (l *life) extend(deadline int64) {
	l.lease = max(l.lease, min(deadline, l.clock()+maxHold.Milliseconds()))
}

func (l *life) startRun(w http.ResponseWriter, r *http.Request) {
	o, ok := l.admit(w, r)
	if !ok {
		return
	}
	if o.Deadline <= l.clock() {
		l.refuse(w, "late")
		return
	}
	l.extend(o.Deadline)
	if cur := l.runs[o.Task]; cur != nil && cur.number == o.Run {
		l.accept(w)
		return
	}
	if o.Run <= l.highest[o.Task] || l.runs[o.Task] != nil {
		l.refuse(w, "old")
		return
	}
	n := &run{task: o.Task, number: o.Run, began: l.clock()}
	for _, word := range strings.Fields(o.Spec) {
		var ms int64
		if _, err := fmt.Sscanf(word, "work=%d", &ms); err == nil && ms > 0 {
			n.due = n.began + ms
		}
	}
	l.runs[o.Task] = n
	l.m.rec.started(l, o)
	if f := l.m.onStart; f != nil {
		f(l.m, o.Task, o.Run)
	}
	l.accept(w)
}

func (l *life) stopRun(w http.ResponseWriter, r *http.Request) {
	o, ok := l.admit(w, r)
	if !ok {
		return
	}
	if cur := l.runs[o.Task]; cur != nil && cur.number == o.Run {
		if !cur.stopping {
			cur.stopping, cur.due = true, l.clock()+stopTime.Milliseconds()
		}
	} else if cur == nil {
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	}
	l.accept(w)
}

func (l *life) pace(w http.ResponseWriter, r *http.Request) {
	if _, ok := l.admit(w, r); ok {
		l.accept(w)
	}
}

func (l *life) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := l.admit(w, r)
	if !ok {
		return
	}
	for len(l.ends) > 0 && l.ends[0].number <= o.LastSeen {
		l.m.rec.endNoted(l.m, l.ends[0])
		l.ends = l.ends[1:]
	}
	if o.Deadline > 0 {
		l.extend(o.Deadline)
	}
	deadline := time.After(min(time.Duration(o.Wait)*time.Millisecond, maxWait))
	if o.LastSeen > 0 {
		l.acking++
		defer func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.acking--
		}()
	}
	for len(l.ends) == 0 && o.Wait > 0 {
		ended := l.ended
		l.mu.Unlock()
		select {
		case <-ended:
		case <-deadline:
			o.Wait = 0
		case <-l.dead:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		l.mu.Lock()
		l.advance()
	}
	running, ends := [][]any{}, [][]any{}
	for _, x := range l.runs {
		percent := int64(100)
		if x.due > x.began && !x.stopping {
			percent = min((l.clock()-x.began)*100/(x.due-x.began), 99)
		}
		running = append(running, []any{x.task, x.number, "", percent, 0})
	}
	for i, e := range l.ends {
		if i == 500 {
			break
		}
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	now := l.clock()
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": now, "born": l.born, "running": running, "ended_runs": ends})
}
