package anvilplatformapi

import (
	"net"
	"net/http"
	"sync"
	"time"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilsite"
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
	pathMuster    = "/-/standin-muster"
)

// pageMost is the number of rows of an answer.
const pageMost = 500

type siteMessage struct {
	apply func(s *anvilsite.Site) anvilsite.Page
	reply chan anvilsite.Page
}

// Apply carries the call out on the goroutine that owns the site.
func (m siteMessage) Apply(s *anvilsite.Site) { m.reply <- m.apply(s) }

type followMessage struct {
	table string
	after int64
	wait  anvilclock.Millis
	reply chan anvilsite.Page
}

// Apply begins to follow a table.
func (m followMessage) Apply(s *anvilsite.Site) { s.Follow(m.table, m.after, m.wait, m.reply) }

// site answers the calls to the store, the list of workers and the advisor.
type site struct {
	actor *anvilactor.Actor[*anvilsite.Site]
	mu    sync.Mutex
	// turns holds one lock for each calling machine: the advisor serves a machine's calls in turn.
	turns map[string]*sync.Mutex
}

// NewSite returns the handler of a site.
func NewSite(actor *anvilactor.Actor[*anvilsite.Site]) http.Handler {
	s := &site{actor: actor, turns: map[string]*sync.Mutex{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathTx, s.transact)
	mux.HandleFunc("GET "+pathGet, s.read)
	mux.HandleFunc("GET "+pathFeed, s.follow)
	mux.HandleFunc("POST "+pathAdvise, s.advise)
	mux.HandleFunc("POST "+pathHeartbeat, s.beat)
	mux.HandleFunc("POST "+pathOperate, s.operate)
	mux.HandleFunc("POST "+pathFault, s.fault)
	mux.HandleFunc("POST "+pathMuster, s.muster)
	return mux
}

// call carries a call out and answers what its fate asks for.
func (s *site) call(w http.ResponseWriter, most int, f func(*anvilsite.Site) anvilsite.Page) {
	reply := make(chan anvilsite.Page, 1)
	p, ok := anvilactor.Ask(s.actor, siteMessage{apply: f, reply: reply}, reply)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answerPage(w, p, most)
}

func answerPage(w http.ResponseWriter, p anvilsite.Page, most int) {
	time.Sleep(p.Delay().Duration())
	switch p.Fate() {
	case anvilsite.Answered:
		writeJSON(w, http.StatusOK, encodePage(p, most))
	case anvilsite.Conflict:
		writeJSON(w, http.StatusPreconditionFailed, encodePage(p, most))
	case anvilsite.Refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case anvilsite.Crowded:
		w.WriteHeader(http.StatusTooManyRequests)
	case anvilsite.Dropped:
		w.WriteHeader(http.StatusGone)
	case anvilsite.Silent:
		time.Sleep(silence)
		cut(w)
	case anvilsite.Lost:
		cut(w)
	}
}

func (s *site) transact(w http.ResponseWriter, r *http.Request) {
	var in txBody
	if !readJSON(w, r, &in) {
		return
	}
	tx := &anvilsite.Tx{}
	for _, b := range in.Expected {
		tx.Expect(b.place(), b.Version)
	}
	for _, b := range in.Set {
		tx.Set(b.place(), b.Value)
	}
	for _, b := range in.Remove {
		tx.Delete(b.place())
	}
	s.call(w, 0, func(s *anvilsite.Site) anvilsite.Page { return s.Transact(tx) })
}

func (s *site) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most := int(number(r, "limit"))
	if most <= 0 || most > pageMost {
		most = pageMost
	}
	s.call(w, most, func(s *anvilsite.Site) anvilsite.Page {
		return s.Read(q.Get("table_name"), q.Get("part"), q.Get("from"), q.Get("target"))
	})
}

func (s *site) follow(w http.ResponseWriter, r *http.Request) {
	reply := make(chan anvilsite.Page, 1)
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

func (s *site) advise(w http.ResponseWriter, r *http.Request) {
	var in adviseBody
	if !readJSON(w, r, &in) {
		return
	}
	turn := s.turn(r)
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(decisionTime + time.Duration(len(in.Workers))*itemTime)
	out := adviceBody{Approved: [][2]string{}, Validity: anvilsite.TicketTime().Milliseconds()}
	for _, id := range in.Workers {
		if anvilsite.Approves(in.Step, id) {
			out.Approved = append(out.Approved, [2]string{id, anvilsite.Ticket(in.Step, id, time.Now())})
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// turn returns the lock of the calling machine.
func (s *site) turn(r *http.Request) *sync.Mutex {
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

func (s *site) beat(w http.ResponseWriter, r *http.Request) {
	var in heartbeatBody
	if !readJSON(w, r, &in) {
		return
	}
	s.call(w, 0, func(s *anvilsite.Site) anvilsite.Page {
		if in.Leave {
			s.Leave(in.ID)
			return anvilsite.Page{}
		}
		if fate := s.Heartbeat(in.ID, in.Value); fate != anvilsite.Answered {
			return anvilsite.Failed(fate)
		}
		return anvilsite.Page{}
	})
}

type operateBody struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

func (s *site) operate(w http.ResponseWriter, r *http.Request) {
	var in operateBody
	if readJSON(w, r, &in) {
		s.call(w, 0, func(s *anvilsite.Site) anvilsite.Page { return s.Operate(in.Key, in.Value) })
	}
}

type faultBody struct {
	Trouble string `json:"trouble"`
	Millis  int64  `json:"ms"`
	Figure  int    `json:"figure"`
}

func (s *site) fault(w http.ResponseWriter, r *http.Request) {
	var in faultBody
	if readJSON(w, r, &in) {
		s.call(w, 0, func(s *anvilsite.Site) anvilsite.Page {
			s.Inject(anvilsite.Trouble(in.Trouble), anvilclock.Millis(in.Millis), in.Figure)
			return anvilsite.Page{}
		})
	}
}
