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

// Paths of a worker.
const (
	pathStart = "/-/run-start"
	pathStop  = "/-/run-stop"
	pathHold  = "/-/hold"
	pathPace  = "/-/pace"
)

const (
	headerInstance = "Expected-Instance"
	// holdMost is the longest that a hold waits.
	holdMost = anvilclock.Millis(2000)
)

type startBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"deadline_ms"` // on the worker's clock
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

type holdBody struct {
	Until int64 `json:"deadline_ms"`
	Token int64 `json:"fencing_token"`
	Seen  int64 `json:"last_seen"`
	Wait  int64 `json:"wait_ms"`
}

type orderBody struct {
	Clock  int64  `json:"clock_ms"`
	Reason string `json:"reason,omitempty"`
}

type reportBody struct {
	Clock   int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Running [][]any `json:"running"`    // rows of task, run, checkpoint, percent, load
	Ended   [][]any `json:"ended_runs"` // rows of number, task, run, cause, checkpoint
}

type orderMessage struct {
	apply func(c *anvilplatformworker.Worker) anvilplatformworker.Refusal
	reply chan orderReply
}

type orderReply struct {
	refusal anvilplatformworker.Refusal
	clock   anvilclock.Millis
}

// Apply carries the order out on the goroutine that owns the worker.
func (m orderMessage) Apply(c *anvilplatformworker.Worker) {
	m.reply <- orderReply{refusal: m.apply(c), clock: c.Now()}
}

type holdMessage struct {
	body  holdBody
	reply chan anvilplatformworker.Report
}

// Apply holds what runs.
func (m holdMessage) Apply(c *anvilplatformworker.Worker) {
	c.Hold(m.body.Token, m.body.Seen, anvilclock.Millis(m.body.Until), min(anvilclock.Millis(m.body.Wait), holdMost), m.reply)
}

// worker answers the orders to a worker.
type worker struct {
	actor *anvilactor.Actor[*anvilplatformworker.Worker]
	id    string
	born  int64
	// late is the share of the starts, in percent, that are carried out late and not answered.
	late   int
	random anvilplatform.Rand
	resume *ResumeGate
}

// lateBy is how much later such a start is carried out.
const lateBy = 2500 * time.Millisecond

// NewWorker returns the handler of a worker. Of its starts, late percent are carried out seconds late and get no
// answer.
func NewWorker(actor *anvilactor.Actor[*anvilplatformworker.Worker], id string, born int64, late int, random anvilplatform.Rand, resume *ResumeGate) http.Handler {
	c := &worker{actor: actor, id: id, born: born, late: late, random: random, resume: resume}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathStart, c.meant(c.start))
	mux.HandleFunc("POST "+pathStop, c.meant(c.stop))
	mux.HandleFunc("POST "+pathHold, c.meant(c.hold))
	mux.HandleFunc("POST "+pathPace, c.meant(c.pace))
	return mux
}

// meant refuses what is meant for another incarnation of the worker.
func (c *worker) meant(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(headerInstance); id != "" && id != c.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		c.resume.wait()
		next(w, r)
	}
}

func (c *worker) order(w http.ResponseWriter, f func(*anvilplatformworker.Worker) anvilplatformworker.Refusal) {
	m := orderMessage{apply: f, reply: make(chan orderReply, 1)}
	reply, ok := anvilactor.Ask(c.actor, m, m.reply)
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

// readOrder decodes an order about a run of a task, and answers the request when it can't.
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

func (c *worker) start(w http.ResponseWriter, r *http.Request) {
	in, task, ok := readOrder(w, r)
	if !ok {
		return
	}
	o := anvilplatformworker.NewStartOrder(task, in.Run, in.Spec, anvilclock.Millis(in.Until), in.Token, in.Checkpoint)
	apply := func(k *anvilplatformworker.Worker) anvilplatformworker.Refusal {
		if in.Ticket != "" && !anvilplatform.ValidTicket(in.Ticket, task.StepName(), c.id, time.Now()) {
			return anvilplatformworker.InvalidTicket
		}
		return k.Start(o)
	}
	if c.late > 0 && c.random.Percent() < c.late {
		time.AfterFunc(lateBy, func() {
			c.actor.Send(orderMessage{apply: apply, reply: make(chan orderReply, 1)})
		})
		time.Sleep(silence)
		cut(w)
		return
	}
	c.order(w, apply)
}

func (c *worker) stop(w http.ResponseWriter, r *http.Request) {
	in, task, ok := readOrder(w, r)
	if !ok {
		return
	}
	c.order(w, func(k *anvilplatformworker.Worker) anvilplatformworker.Refusal { return k.Stop(task, in.Run, in.Token) })
}

// pace is accepted and does nothing: these workers run no tasks that fill.
func (c *worker) pace(w http.ResponseWriter, _ *http.Request) {
	c.order(w, func(*anvilplatformworker.Worker) anvilplatformworker.Refusal { return anvilplatformworker.None })
}

func (c *worker) hold(w http.ResponseWriter, r *http.Request) {
	var in holdBody
	if !readJSON(w, r, &in) {
		return
	}
	m := holdMessage{body: in, reply: make(chan anvilplatformworker.Report, 1)}
	report, ok := anvilactor.Ask(c.actor, m, m.reply)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if report.Refusal() != anvilplatformworker.None {
		writeJSON(w, http.StatusConflict, orderBody{Clock: int64(report.Clock()), Reason: string(report.Refusal())})
		return
	}
	out := reportBody{Clock: int64(report.Clock()), Born: c.born, Running: [][]any{}, Ended: [][]any{}}
	for _, a := range report.Active() {
		out.Running = append(out.Running, []any{a.Task().String(), a.Run(), a.Checkpoint(), a.Percent(), 0})
	}
	for _, e := range report.RunEnds() {
		out.Ended = append(out.Ended, []any{e.Number(), e.Task().String(), e.Run(), e.Cause(), e.Checkpoint()})
	}
	writeJSON(w, http.StatusOK, out)
}
