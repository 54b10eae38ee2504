package anvilplatformapi

import (
	"net/http"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilplatform"
	"anvilhold.org/standin/anvilplatformworker"
)

// Paths of a worker's HTTP interface.
const (
	pathStart = "/-/run-start"
	pathStop  = "/-/run-stop"
	pathHold  = "/-/hold"
	pathPace  = "/-/pace"
)

const (
	headerInstance = "Expected-Instance"
	// maxHoldWait is the longest time that a hold call waits for a run end.
	maxHoldWait = anvilclock.Millis(2000)
)

type startBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"` // on the worker's clock
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

type holdBody struct {
	Deadline int64 `json:"deadline_ms"`
	Token    int64 `json:"fencing_token"`
	Acked    int64 `json:"last_seen"`
	Wait     int64 `json:"wait_ms"`
}

type orderBody struct {
	Clock  int64  `json:"clock_ms"`
	Reason string `json:"reason,omitempty"`
}

type reportBody struct {
	Clock       int64   `json:"clock_ms"`
	Incarnation int64   `json:"born"`
	Running     [][]any `json:"running"`    // each entry: task, run, checkpoint, percent, load
	Ended       [][]any `json:"ended_runs"` // each entry: number, task, run, cause, checkpoint
}

type orderMessage struct {
	apply func(w *anvilplatformworker.Worker) anvilplatformworker.Refusal
	reply chan orderReply
}

type orderReply struct {
	refusal anvilplatformworker.Refusal
	clock   anvilclock.Millis
}

// Apply executes the order on the goroutine that owns the worker.
func (m orderMessage) Apply(w *anvilplatformworker.Worker) {
	m.reply <- orderReply{refusal: m.apply(w), clock: w.Now()}
}

type holdMessage struct {
	body  holdBody
	reply chan anvilplatformworker.Report
}

// Apply executes the hold call. The reply is sent at the next run end or when the wait has expired.
func (m holdMessage) Apply(w *anvilplatformworker.Worker) {
	w.Hold(m.body.Token, m.body.Acked, anvilclock.Millis(m.body.Deadline), min(anvilclock.Millis(m.body.Wait), maxHoldWait), m.reply)
}

// workerHandler serves the orders to a worker.
type workerHandler struct {
	actor       *anvilactor.Actor[*anvilplatformworker.Worker]
	id          string
	incarnation int64
	// latePercent is the percentage of starts that are executed after lateStartDelay and get no reply.
	latePercent int
	random      anvilplatform.Rand
	resume      *ResumeGate
}

// lateStartDelay is the time from the arrival of a late start to its execution.
const lateStartDelay = 2500 * time.Millisecond

// NewWorker returns the HTTP handler of the worker that actor owns. The incarnation is the start time of its process in
// milliseconds since 1970. A random latePercent of the starts is executed after lateStartDelay and gets no reply.
func NewWorker(actor *anvilactor.Actor[*anvilplatformworker.Worker], id string, incarnation int64, latePercent int, random anvilplatform.Rand, resume *ResumeGate) http.Handler {
	h := &workerHandler{actor: actor, id: id, incarnation: incarnation, latePercent: latePercent, random: random, resume: resume}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathStart, h.checkInstance(h.start))
	mux.HandleFunc("POST "+pathStop, h.checkInstance(h.stop))
	mux.HandleFunc("POST "+pathHold, h.checkInstance(h.hold))
	mux.HandleFunc("POST "+pathPace, h.checkInstance(h.pace))
	return mux
}

// checkInstance refuses requests that name another worker, and delays those that arrive after a pause of the process.
func (h *workerHandler) checkInstance(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(headerInstance); id != "" && id != h.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.resume.wait()
		next(w, r)
	}
}

func (h *workerHandler) execute(w http.ResponseWriter, f func(*anvilplatformworker.Worker) anvilplatformworker.Refusal) {
	m := orderMessage{apply: f, reply: make(chan orderReply, 1)}
	reply, ok := anvilactor.Ask(h.actor, m, m.reply)
	switch {
	case !ok:
		w.WriteHeader(http.StatusServiceUnavailable)
	case reply.refusal == anvilplatformworker.None:
		writeJSON(w, http.StatusOK, orderBody{Clock: int64(reply.clock)})
	case reply.refusal == anvilplatformworker.Invalid:
		w.WriteHeader(http.StatusBadRequest)
	default:
		writeJSON(w, http.StatusConflict, orderBody{Clock: int64(reply.clock), Reason: string(reply.refusal)})
	}
}

// readOrder decodes an order about a run of a task. If it can't, it responds to the request and ok is false.
func readOrder(w http.ResponseWriter, r *http.Request) (in startBody, task anviljob.TaskID, ok bool) {
	if !readJSON(w, r, &in) {
		return in, task, false
	}
	task, err := anviljob.ParseTaskID(in.Task)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return in, task, false
	}
	return in, task, true
}

func (h *workerHandler) start(w http.ResponseWriter, r *http.Request) {
	in, task, ok := readOrder(w, r)
	if !ok {
		return
	}
	o := anvilplatformworker.NewStartOrder(task, in.Run, in.Spec, anvilclock.Millis(in.Deadline), in.Token, in.Checkpoint)
	apply := func(wk *anvilplatformworker.Worker) anvilplatformworker.Refusal {
		if in.Ticket != "" && !anvilplatform.ValidTicket(in.Ticket, task.StepID(), h.id, time.Now()) {
			return anvilplatformworker.InvalidTicket
		}
		return wk.Start(o)
	}
	if h.latePercent > 0 && h.random.Percent() < h.latePercent {
		time.AfterFunc(lateStartDelay, func() {
			h.actor.Send(orderMessage{apply: apply, reply: make(chan orderReply, 1)})
		})
		time.Sleep(noReplyDelay)
		closeConnection(w)
		return
	}
	h.execute(w, apply)
}

func (h *workerHandler) stop(w http.ResponseWriter, r *http.Request) {
	in, task, ok := readOrder(w, r)
	if !ok {
		return
	}
	h.execute(w, func(wk *anvilplatformworker.Worker) anvilplatformworker.Refusal {
		return wk.Stop(task, in.Run, in.Token)
	})
}

// pace accepts the order and does nothing, because these workers run no opportunistic tasks.
func (h *workerHandler) pace(w http.ResponseWriter, _ *http.Request) {
	h.execute(w, func(*anvilplatformworker.Worker) anvilplatformworker.Refusal { return anvilplatformworker.None })
}

func (h *workerHandler) hold(w http.ResponseWriter, r *http.Request) {
	var in holdBody
	if !readJSON(w, r, &in) {
		return
	}
	m := holdMessage{body: in, reply: make(chan anvilplatformworker.Report, 1)}
	report, ok := anvilactor.Ask(h.actor, m, m.reply)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if report.Refusal() != anvilplatformworker.None {
		writeJSON(w, http.StatusConflict, orderBody{Clock: int64(report.Clock()), Reason: string(report.Refusal())})
		return
	}
	out := reportBody{Clock: int64(report.Clock()), Incarnation: h.incarnation, Running: [][]any{}, Ended: [][]any{}}
	for _, a := range report.Active() {
		out.Running = append(out.Running, []any{a.Task().String(), a.Run(), a.Checkpoint(), a.Percent(), 0})
	}
	for _, e := range report.RunEnds() {
		out.Ended = append(out.Ended, []any{e.Number(), e.Task().String(), e.Run(), e.Cause(), e.Checkpoint()})
	}
	writeJSON(w, http.StatusOK, out)
}
