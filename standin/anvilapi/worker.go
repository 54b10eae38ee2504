package anvilapi

import (
	"net/http"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilwire"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilhost"
)

type workerAPI struct {
	actor *anvilactor.Actor[*anvilhost.Host]
	boot  string
}

// NewWorker returns the HTTP handler of a stand-in worker. boot is the id of this start of the worker process.
func NewWorker(actor *anvilactor.Actor[*anvilhost.Host], boot string) http.Handler {
	a := &workerAPI{actor: actor, boot: boot}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", health)
	mux.HandleFunc("POST /v1/fence", a.fence)
	mux.HandleFunc("POST /v1/start", a.start)
	mux.HandleFunc("POST /v1/control", a.control)
	return mux
}

func (a *workerAPI) fence(w http.ResponseWriter, r *http.Request) {
	var m anvilwire.Fence
	if err := readMessage(w, r, maxSmallBody, &m); err != nil {
		writeError(w, err)
		return
	}
	reply := make(chan fenceResult, 1)
	f, ok := anvilactor.Ask(a.actor, fenceMessage{
		shard: m.GetShard(), epoch: m.GetEpoch(), lease: anvilclock.Millis(m.GetLease()), cursor: m.GetCursor(), reply: reply,
	}, reply)
	if !ok {
		f.err = stoppingError()
	}
	if f.err != nil {
		writeError(w, f.err)
		return
	}
	writeMessage(w, http.StatusOK, wireFenced(f))
}

func wireFenced(f fenceResult) *anvilwire.Fenced {
	tasks := make([]*anvilwire.Running, 0, len(f.reply.Tasks()))
	for _, t := range f.reply.Tasks() {
		tasks = append(tasks, anvilwire.Running_builder{
			Id: t.ID(), Team: t.Team(), Kind: t.Kind(), Size: wireSize(t.Size()), Use: wireSize(t.Usage()),
			State: t.State(), Once: t.Once(), Epoch: t.Epoch(), Job: t.Job(),
		}.Build())
	}
	ended := make([]*anvilwire.Ended, 0, len(f.reply.Ended()))
	for _, e := range f.reply.Ended() {
		ended = append(ended, anvilwire.Ended_builder{
			Id: e.ID(), State: e.State(), Code: e.Code(), Once: e.Once(), Age: int64(e.Age()),
			Answer: e.Answer(), Job: e.Job(), Team: e.Team(),
		}.Build())
	}
	return anvilwire.Fenced_builder{
		Ok: f.reply.OK(), Epoch: f.reply.Epoch(), Worker: f.worker, Boot: f.boot, Size: wireSize(f.size),
		Tasks: tasks, Ended: ended, Cursor: f.reply.Cursor(), Now: int64(f.reply.Now()),
	}.Build()
}

func (a *workerAPI) start(w http.ResponseWriter, r *http.Request) {
	var m anvilwire.Start
	if err := readMessage(w, r, maxStartBody, &m); err != nil {
		writeError(w, err)
		return
	}
	req, err := readStart(&m)
	if err != nil {
		writeError(w, err)
		return
	}
	reply := make(chan anvilhost.StartReply, 1)
	started, ok := anvilactor.Ask(a.actor, startMessage{req: req, reply: reply}, reply)
	if !ok {
		writeError(w, stoppingError())
		return
	}
	writeMessage(w, http.StatusOK, anvilwire.Started_builder{
		State: started.State(), Code: started.Code(), Reason: started.Reason(), Answer: started.Body(),
	}.Build())
}

func readStart(m *anvilwire.Start) (*anvilhost.StartRequest, error) {
	size, err := readSize(m.GetSize())
	if err != nil {
		return nil, err
	}
	return anvilhost.NewStartRequest(m.GetShard(), m.GetEpoch(), m.GetId(), m.GetKind(),
		anvilhost.WithTeamAndJob(m.GetTeam(), m.GetJob()),
		anvilhost.WithSize(size),
		anvilhost.WithBody(m.GetBody()),
		anvilhost.WithHold(m.GetHold()),
		anvilhost.WithNonIdempotent(m.GetOnce()),
		anvilhost.WithResume(m.GetResume()),
		anvilhost.WithRunTime(anvilclock.Millis(m.GetRun())),
		anvilhost.WithStartDeadline(anvilclock.Millis(m.GetUntil())))
}

func (a *workerAPI) control(w http.ResponseWriter, r *http.Request) {
	var m anvilwire.Control
	if err := readMessage(w, r, maxSmallBody, &m); err != nil {
		writeError(w, err)
		return
	}
	reply := make(chan controlResult, 1)
	c, ok := anvilactor.Ask(a.actor, controlMessage{
		shard: m.GetShard(), epoch: m.GetEpoch(), id: m.GetId(), op: m.GetOp(), deadline: anvilclock.Millis(m.GetUntil()), reply: reply,
	}, reply)
	if !ok {
		c.err = stoppingError()
	}
	if c.err != nil {
		writeError(w, c.err)
		return
	}
	writeMessage(w, http.StatusOK, anvilwire.Controlled_builder{
		Ok: c.reply.OK(), Code: c.reply.Code(), State: c.reply.State(), Boot: a.boot, Answer: c.reply.Answer(),
	}.Build())
}
