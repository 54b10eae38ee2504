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

// Paths of the site. Those of the stand-in itself are for its workers, its operator and its tests.
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

// pageMost is the number of rows of an answer.
const pageMost = 500

type platformMessage struct {
	apply func(s *anvilplatform.Platform) anvilplatform.Page
	reply chan anvilplatform.Page
}

// Apply carries the call out on the goroutine that owns the site.
func (m platformMessage) Apply(s *anvilplatform.Platform) { m.reply <- m.apply(s) }

type followMessage struct {
	table string
	after int64
	wait  anvilclock.Millis
	reply chan anvilplatform.Page
}

// Apply begins to follow a table.
func (m followMessage) Apply(s *anvilplatform.Platform) { s.Follow(m.table, m.after, m.wait, m.reply) }

// platform answers the calls to the store, the list of workers and the advisor.
type platform struct {
	actor *anvilactor.Actor[*anvilplatform.Platform]
	mu    sync.Mutex
	// turns holds one lock for each calling machine: the advisor serves a machine's calls in turn.
	turns map[string]*sync.Mutex
}

// NewPlatform returns the handler of a site.
func NewPlatform(actor *anvilactor.Actor[*anvilplatform.Platform]) http.Handler {
	s := &platform{actor: actor, turns: map[string]*sync.Mutex{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathTx, s.transact)
	mux.HandleFunc("GET "+pathGet, s.read)
	mux.HandleFunc("GET "+pathFeed, s.follow)
	mux.HandleFunc("POST "+pathAdvise, s.advise)
	mux.HandleFunc("POST "+pathHeartbeat, s.beat)
	mux.HandleFunc("POST "+pathOperate, s.operate)
	mux.HandleFunc("POST "+pathFault, s.fault)
	mux.HandleFunc("POST "+pathJoinGang, s.joinGang)
	return mux
}

// call carries a call out and answers what its fate asks for.
func (s *platform) call(w http.ResponseWriter, most int, f func(*anvilplatform.Platform) anvilplatform.Page) {
	reply := make(chan anvilplatform.Page, 1)
	p, ok := anvilactor.Ask(s.actor, platformMessage{apply: f, reply: reply}, reply)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answerPage(w, p, most)
}

func answerPage(w http.ResponseWriter, p anvilplatform.Page, most int) {
	time.Sleep(p.Delay().Duration())
	switch p.Outcome() {
	case anvilplatform.Answered:
		writeJSON(w, http.StatusOK, encodePage(p, most))
	case anvilplatform.Conflict:
		writeJSON(w, http.StatusPreconditionFailed, encodePage(p, most))
	case anvilplatform.Refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case anvilplatform.Overloaded:
		w.WriteHeader(http.StatusTooManyRequests)
	case anvilplatform.Compacted:
		w.WriteHeader(http.StatusGone)
	case anvilplatform.NoReply:
		time.Sleep(silence)
		cut(w)
	case anvilplatform.ReplyLost:
		cut(w)
	}
}

func (s *platform) transact(w http.ResponseWriter, r *http.Request) {
	var in txBody
	if !readJSON(w, r, &in) {
		return
	}
	tx := &anvilplatform.Tx{}
	for _, b := range in.Expected {
		tx.Expect(b.place(), b.Version)
	}
	for _, b := range in.Set {
		tx.Set(b.place(), b.Value)
	}
	for _, b := range in.Remove {
		tx.Delete(b.place())
	}
	s.call(w, 0, func(s *anvilplatform.Platform) anvilplatform.Page { return s.Transact(tx) })
}

func (s *platform) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most := int(number(r, "limit"))
	if most <= 0 || most > pageMost {
		most = pageMost
	}
	s.call(w, most, func(s *anvilplatform.Platform) anvilplatform.Page {
		return s.Read(q.Get("table_name"), q.Get("part"), q.Get("from"), q.Get("target"))
	})
}

func (s *platform) follow(w http.ResponseWriter, r *http.Request) {
	reply := make(chan anvilplatform.Page, 1)
	m := followMessage{
		table: r.URL.Query().Get("table_name"), after: number(r, "after"), wait: anvilclock.Millis(number(r, "wait_ms")), reply: reply,
	}
	p, ok := anvilactor.Ask(s.actor, m, reply)
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

// Times of the advisor.
const (
	decisionTime = 15 * time.Millisecond
	itemTime     = 200 * time.Microsecond
)

func (s *platform) advise(w http.ResponseWriter, r *http.Request) {
	var in adviseBody
	if !readJSON(w, r, &in) {
		return
	}
	turn := s.turn(r)
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(decisionTime + time.Duration(len(in.Workers))*itemTime)
	out := adviceBody{Approved: [][2]string{}, Validity: anvilplatform.TicketTime().Milliseconds()}
	for _, id := range in.Workers {
		if anvilplatform.Approves(in.Step, id) {
			out.Approved = append(out.Approved, [2]string{id, anvilplatform.Ticket(in.Step, id, time.Now())})
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// turn returns the lock of the calling machine.
func (s *platform) turn(r *http.Request) *sync.Mutex {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turns[host] == nil {
		s.turns[host] = &sync.Mutex{}
	}
	return s.turns[host]
}

type heartbeatBody struct {
	ID    string `json:"id"`
	Value []byte `json:"value"`
	Leave bool   `json:"leave,omitempty"`
}

func (s *platform) beat(w http.ResponseWriter, r *http.Request) {
	var in heartbeatBody
	if !readJSON(w, r, &in) {
		return
	}
	s.call(w, 0, func(s *anvilplatform.Platform) anvilplatform.Page {
		if in.Leave {
			s.Leave(in.ID)
			return anvilplatform.Page{}
		}
		if outcome := s.Heartbeat(in.ID, in.Value); outcome != anvilplatform.Answered {
			return anvilplatform.Failed(outcome)
		}
		return anvilplatform.Page{}
	})
}

type operateBody struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

func (s *platform) operate(w http.ResponseWriter, r *http.Request) {
	var in operateBody
	if readJSON(w, r, &in) {
		s.call(w, 0, func(s *anvilplatform.Platform) anvilplatform.Page { return s.Operate(in.Key, in.Value) })
	}
}

type faultBody struct {
	Trouble string `json:"trouble"`
	Millis  int64  `json:"ms"`
	Figure  int    `json:"figure"`
}

func (s *platform) fault(w http.ResponseWriter, r *http.Request) {
	var in faultBody
	if readJSON(w, r, &in) {
		s.call(w, 0, func(s *anvilplatform.Platform) anvilplatform.Page {
			s.Inject(anvilplatform.FaultKind(in.Trouble), anvilclock.Millis(in.Millis), in.Figure)
			return anvilplatform.Page{}
		})
	}
}
