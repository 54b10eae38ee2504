package anvilapi

import (
	"net/http"
	"strconv"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilwire"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilcontrolplane"
	"anvilhold.org/standin/anvilfault"
	"anvilhold.org/standin/anvilregistry"
	"anvilhold.org/standin/anvilstore"
)

type controlPlaneAPI struct {
	actor *anvilactor.Actor[*anvilcontrolplane.ControlPlane]
}

// NewControlPlane returns the HTTP handler of the platform stand-in. Injected faults affect all routes but /v1/health and
// /v1/fault.
func NewControlPlane(actor *anvilactor.Actor[*anvilcontrolplane.ControlPlane]) http.Handler {
	a := &controlPlaneAPI{actor: actor}
	routes := http.NewServeMux()
	routes.HandleFunc("POST /v1/table/commit", a.commit)
	routes.HandleFunc("GET /v1/table/rows", a.rows)
	routes.HandleFunc("GET /v1/instances", a.instances)
	routes.HandleFunc("POST /v1/instances", a.register)
	routes.HandleFunc("DELETE /v1/instances/{id}", a.unregister)
	routes.HandleFunc("PUT /v1/objects/{name...}", a.putObject)
	routes.HandleFunc("GET /v1/objects/{name...}", a.getObject)
	routes.HandleFunc("DELETE /v1/objects/{name...}", a.deleteObject)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", health)
	mux.HandleFunc("POST /v1/fault", a.fault)
	mux.Handle("/", &faultInjector{actor: actor, next: routes})
	return mux
}

func health(w http.ResponseWriter, _ *http.Request) { writeBody(w, http.StatusOK, []byte("ok\n")) }

func (a *controlPlaneAPI) commit(w http.ResponseWriter, r *http.Request) {
	var m anvilwire.Commit
	if err := readMessage(w, r, maxCommitBody, &m); err != nil {
		writeError(w, err)
		return
	}
	change, err := readChange(&m)
	if err != nil {
		writeError(w, err)
		return
	}
	reply := make(chan commitResult, 1)
	c, ok := anvilactor.Ask(a.actor, commitMessage{change: change, reply: reply}, reply)
	switch {
	case !ok:
		writeError(w, stoppingError())
	case c.err != nil:
		writeError(w, c.err)
	case c.conflict != nil:
		writeMessage(w, http.StatusOK, anvilwire.Committed_builder{
			Version: c.version, Conflict: wireRow(c.conflict),
		}.Build())
	default:
		writeMessage(w, http.StatusOK, anvilwire.Committed_builder{Ok: true, Version: c.version}.Build())
	}
}

func readChange(m *anvilwire.Commit) (*anvilstore.Change, error) {
	var opts []anvilstore.ChangeOption
	for _, c := range m.GetChecks() {
		opts = append(opts, anvilstore.WithCheck(c.GetKey(), c.GetVersion()))
	}
	for _, row := range m.GetPuts() {
		opts = append(opts, anvilstore.WithPut(row.GetKey(), row.GetValue()))
	}
	for _, key := range m.GetDeletes() {
		opts = append(opts, anvilstore.WithDelete(key))
	}
	return anvilstore.NewChange(m.GetChange(), opts...)
}

func wireRow(r *anvilstore.Row) *anvilwire.Row {
	return anvilwire.Row_builder{
		Key: r.Key(), Value: r.Value(), Version: r.Version(), Change: r.Change(), Dead: r.Deleted(),
	}.Build()
}

func (a *controlPlaneAPI) rows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var after int64
	if text := query.Get("after"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			writeError(w, badInput("after must be a version"))
			return
		}
		after = n
	}
	reply := make(chan rowsResult, 1)
	read, ok := anvilactor.Ask(a.actor, rowsMessage{prefix: query.Get("prefix"), after: after, reply: reply}, reply)
	if !ok {
		read.err = stoppingError()
	}
	if read.err != nil {
		writeError(w, read.err)
		return
	}
	rows := make([]*anvilwire.Row, 0, len(read.rows))
	for _, row := range read.rows {
		rows = append(rows, wireRow(row))
	}
	writeMessage(w, http.StatusOK, anvilwire.Rows_builder{Rows: rows, Version: read.version}.Build())
}

func (a *controlPlaneAPI) instances(w http.ResponseWriter, _ *http.Request) {
	reply := make(chan []anvilregistry.Instance, 1)
	visible, ok := anvilactor.Ask(a.actor, listMessage{reply: reply}, reply)
	if !ok {
		writeError(w, stoppingError())
		return
	}
	list := make([]*anvilwire.Instance, 0, len(visible))
	for _, in := range visible {
		list = append(list, anvilwire.Instance_builder{
			Id: in.ID(), Kind: in.Kind(), Addr: in.Addr(), Domain: in.Domain(), Region: in.Region(),
			Pool: in.Pool(), State: in.State(), Size: wireSize(in.Size()),
		}.Build())
	}
	writeMessage(w, http.StatusOK, anvilwire.Instances_builder{List: list}.Build())
}

func (a *controlPlaneAPI) register(w http.ResponseWriter, r *http.Request) {
	var m anvilwire.Instances
	if err := readMessage(w, r, maxSmallBody, &m); err != nil {
		writeError(w, err)
		return
	}
	in, err := readInstance(&m)
	if err != nil {
		writeError(w, err)
		return
	}
	reply := make(chan error, 1)
	a.applyAndReply(w, registerMessage{instance: in, reply: reply}, reply)
}

func readInstance(m *anvilwire.Instances) (anvilregistry.Instance, error) {
	if len(m.GetList()) != 1 {
		return anvilregistry.Instance{}, badInput("a registration must have exactly one instance")
	}
	in := m.GetList()[0]
	size, err := readSize(in.GetSize())
	if err != nil {
		return anvilregistry.Instance{}, err
	}
	return anvilregistry.NewInstance(in.GetId(), in.GetKind(), in.GetAddr(),
		anvilregistry.WithLocation(in.GetDomain(), in.GetRegion(), in.GetPool()),
		anvilregistry.WithState(in.GetState()),
		anvilregistry.WithSize(size))
}

func (a *controlPlaneAPI) unregister(w http.ResponseWriter, r *http.Request) {
	reply := make(chan error, 1)
	a.applyAndReply(w, unregisterMessage{id: r.PathValue("id"), reply: reply}, reply)
}

func (a *controlPlaneAPI) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r, anvilstore.MaxObject)
	if err != nil {
		writeError(w, err)
		return
	}
	reply := make(chan error, 1)
	a.applyAndReply(w, putMessage{name: r.PathValue("name"), data: data, reply: reply}, reply)
}

func (a *controlPlaneAPI) getObject(w http.ResponseWriter, r *http.Request) {
	reply := make(chan objectResult, 1)
	read, ok := anvilactor.Ask(a.actor, getMessage{name: r.PathValue("name"), reply: reply}, reply)
	if !ok {
		read.err = stoppingError()
	}
	if read.err != nil {
		writeError(w, read.err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBody(w, http.StatusOK, read.data)
}

func (a *controlPlaneAPI) deleteObject(w http.ResponseWriter, r *http.Request) {
	reply := make(chan error, 1)
	a.applyAndReply(w, deleteMessage{name: r.PathValue("name"), reply: reply}, reply)
}

func (a *controlPlaneAPI) fault(w http.ResponseWriter, r *http.Request) {
	var m anvilwire.Fault
	if err := readMessage(w, r, maxSmallBody, &m); err != nil {
		writeError(w, err)
		return
	}
	if m.GetPercent() > 100 || m.GetPercent() < 0 {
		writeError(w, badInput("percent must be between 0 and 100"))
		return
	}
	f, err := anvilfault.New(m.GetKind(),
		anvilfault.WithDuration(anvilclock.Millis(m.GetMs())),
		anvilfault.WithDelay(anvilclock.Millis(m.GetDelay())),
		anvilfault.WithPercent(int(m.GetPercent())),
		anvilfault.WithRegion(m.GetRegion()))
	if err != nil {
		writeError(w, err)
		return
	}
	reply := make(chan error, 1)
	a.applyAndReply(w, faultMessage{fault: f, reply: reply}, reply)
}

// applyAndReply has the actor apply m and responds with status 204, or with the error that m sent to reply.
func (a *controlPlaneAPI) applyAndReply(w http.ResponseWriter, m anvilactor.Message[*anvilcontrolplane.ControlPlane], reply chan error) {
	err, ok := anvilactor.Ask(a.actor, m, reply)
	if !ok {
		err = stoppingError()
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
