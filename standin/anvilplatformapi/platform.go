package anvilplatformapi

import (
	"net"
	"net/http"
	"sync"
	"time"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilplatform"
)

// Paths of the platform. Those with the prefix standin exist only in the stand-in, for its workers, operator and tests.
const (
	pathTx        = "/-/rows-tx"
	pathGet       = "/-/rows-get"
	pathFeed      = "/-/rows-feed"
	pathAdvise    = "/-/advise"
	pathHeartbeat = "/-/standin-beat"
	pathOperate   = "/-/standin-operate"
	pathFault     = "/-/standin-fault"
	pathJoinGang  = "/-/standin-muster"
)

// maxPageRows is the largest number of rows in the reply to a read.
const maxPageRows = anvilplatform.MaxReadRows - 1

type platformMessage struct {
	apply func(p *anvilplatform.Platform) anvilplatform.Page
	reply chan anvilplatform.Page
}

// Apply executes the call on the goroutine that owns the platform.
func (m platformMessage) Apply(p *anvilplatform.Platform) { m.reply <- m.apply(p) }

type followMessage struct {
	table string
	after int64
	wait  anvilclock.Millis
	reply chan anvilplatform.Page
}

// Apply executes the call. The reply is sent when there are changes or the wait has expired.
func (m followMessage) Apply(p *anvilplatform.Platform) { p.Follow(m.table, m.after, m.wait, m.reply) }

// platformHandler serves the calls to the store, the worker registry and the advisor.
type platformHandler struct {
	actor *anvilactor.Actor[*anvilplatform.Platform]
	mu    sync.Mutex
	// advisorLocks holds a lock for each calling machine, because the advisor serves the calls of one machine one at a
	// time. It is guarded by mu.
	advisorLocks map[string]*sync.Mutex
}

// NewPlatform returns the HTTP handler of the platform that actor owns.
func NewPlatform(actor *anvilactor.Actor[*anvilplatform.Platform]) http.Handler {
	h := &platformHandler{actor: actor, advisorLocks: map[string]*sync.Mutex{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathTx, h.transact)
	mux.HandleFunc("GET "+pathGet, h.read)
	mux.HandleFunc("GET "+pathFeed, h.follow)
	mux.HandleFunc("POST "+pathAdvise, h.advise)
	mux.HandleFunc("POST "+pathHeartbeat, h.heartbeat)
	mux.HandleFunc("POST "+pathOperate, h.operate)
	mux.HandleFunc("POST "+pathFault, h.fault)
	mux.HandleFunc("POST "+pathJoinGang, h.joinGang)
	return mux
}

// call executes f on the goroutine that owns the platform and responds to the request as the outcome says. A limit
// above 0 is the largest number of rows in the reply.
func (h *platformHandler) call(w http.ResponseWriter, limit int, f func(*anvilplatform.Platform) anvilplatform.Page) {
	reply := make(chan anvilplatform.Page, 1)
	p, ok := anvilactor.Ask(h.actor, platformMessage{apply: f, reply: reply}, reply)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answerPage(w, p, limit)
}

func answerPage(w http.ResponseWriter, p anvilplatform.Page, limit int) {
	time.Sleep(p.Delay().Duration())
	switch p.Outcome() {
	case anvilplatform.Answered:
		writeJSON(w, http.StatusOK, encodePage(p, limit))
	case anvilplatform.Conflict:
		writeJSON(w, http.StatusPreconditionFailed, encodePage(p, limit))
	case anvilplatform.Refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case anvilplatform.Overloaded:
		w.WriteHeader(http.StatusTooManyRequests)
	case anvilplatform.Compacted:
		w.WriteHeader(http.StatusGone)
	case anvilplatform.NoReply:
		time.Sleep(noReplyDelay)
		closeConnection(w)
	case anvilplatform.ReplyLost:
		closeConnection(w)
	}
}

func (h *platformHandler) transact(w http.ResponseWriter, r *http.Request) {
	var in txBody
	if !readJSON(w, r, &in) {
		return
	}
	tx := &anvilplatform.Tx{}
	for _, b := range in.Expected {
		tx.Expect(b.id(), b.Version)
	}
	for _, b := range in.Set {
		tx.Set(b.id(), b.Value)
	}
	for _, b := range in.Delete {
		tx.Delete(b.id())
	}
	h.call(w, 0, func(p *anvilplatform.Platform) anvilplatform.Page { return p.Transact(tx) })
}

func (h *platformHandler) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := int(intParam(r, "limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	h.call(w, limit, func(p *anvilplatform.Platform) anvilplatform.Page {
		return p.Read(q.Get("table_name"), q.Get("part"), q.Get("from"), q.Get("target"))
	})
}

func (h *platformHandler) follow(w http.ResponseWriter, r *http.Request) {
	reply := make(chan anvilplatform.Page, 1)
	m := followMessage{
		table: r.URL.Query().Get("table_name"), after: intParam(r, "after"), wait: anvilclock.Millis(intParam(r, "wait_ms")), reply: reply,
	}
	p, ok := anvilactor.Ask(h.actor, m, reply)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answerPage(w, p, 0)
}

type adviseBody struct {
	Step    string   `json:"step"`
	Workers []string `json:"workers"`
}

type adviceBody struct {
	Approved [][2]string `json:"approved_workers"`
	Validity int64       `json:"validity_ms"`
}

// Simulated response times of the advisor: decisionTime for each call and perWorkerTime for each worker in it.
const (
	decisionTime  = 15 * time.Millisecond
	perWorkerTime = 200 * time.Microsecond
)

func (h *platformHandler) advise(w http.ResponseWriter, r *http.Request) {
	var in adviseBody
	if !readJSON(w, r, &in) {
		return
	}
	lock := h.advisorLock(r)
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(decisionTime + time.Duration(len(in.Workers))*perWorkerTime)
	out := adviceBody{Approved: [][2]string{}, Validity: anvilplatform.TicketValidity().Milliseconds()}
	for _, id := range in.Workers {
		if anvilplatform.Approves(in.Step, id) {
			out.Approved = append(out.Approved, [2]string{id, anvilplatform.Ticket(in.Step, id, time.Now())})
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// advisorLock returns the lock of the machine that made the request.
func (h *platformHandler) advisorLock(r *http.Request) *sync.Mutex {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.advisorLocks[host] == nil {
		h.advisorLocks[host] = &sync.Mutex{}
	}
	return h.advisorLocks[host]
}

type heartbeatBody struct {
	ID    string `json:"id"`
	Value []byte `json:"value"`
	Leave bool   `json:"leave,omitempty"`
}

func (h *platformHandler) heartbeat(w http.ResponseWriter, r *http.Request) {
	var in heartbeatBody
	if !readJSON(w, r, &in) {
		return
	}
	h.call(w, 0, func(p *anvilplatform.Platform) anvilplatform.Page {
		if in.Leave {
			p.Unregister(in.ID)
			return anvilplatform.Page{}
		}
		if outcome := p.Heartbeat(in.ID, in.Value); outcome != anvilplatform.Answered {
			return anvilplatform.FailedPage(outcome)
		}
		return anvilplatform.Page{}
	})
}

type operateBody struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Delete bool   `json:"remove"`
}

func (h *platformHandler) operate(w http.ResponseWriter, r *http.Request) {
	var in operateBody
	if readJSON(w, r, &in) {
		h.call(w, 0, func(p *anvilplatform.Platform) anvilplatform.Page {
			if in.Delete {
				return p.DeleteOperatorRow(in.Key)
			}
			return p.WriteOperatorRow(in.Key, in.Value)
		})
	}
}

type faultBody struct {
	Kind     string `json:"trouble"`
	Millis   int64  `json:"ms"`
	Strength int    `json:"figure"`
}

func (h *platformHandler) fault(w http.ResponseWriter, r *http.Request) {
	var in faultBody
	if readJSON(w, r, &in) {
		h.call(w, 0, func(p *anvilplatform.Platform) anvilplatform.Page {
			p.Inject(anvilplatform.FaultKind(in.Kind), anvilclock.Millis(in.Millis), in.Strength)
			return anvilplatform.Page{}
		})
	}
}
