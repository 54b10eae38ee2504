package anvilfront

import (
	"context"
	"fmt"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvildocument"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

const (
	// maxCount bounds the number of tasks in a gang. The largest shard holds fewer, even of the smallest size in use.
	maxCount = 4096
	// maxAmount bounds each dimension of a size, as anvilsize.Parse does.
	maxAmount = 1_000_000_000
	// maxDepth bounds how deep a submission is nested.
	maxDepth = 16
	// maxRun bounds a declared run time or deadline to one year.
	maxRun anvilclock.Millis = 366 * 24 * 3600 * 1000
)

func (f *Front) submitTask(r *http.Request) reply {
	spec, specErr := f.readSpec(r)
	c, err := f.authenticate(r)
	if err != nil {
		return specErrorReply(err, spec)
	}
	if c.operator {
		return specErrorReply(anvilerror.Refuse(anvilerror.Forbidden, "an operator's key can't be used to run tasks"), spec)
	}
	if specErr != nil {
		return errorReply(specErr)
	}
	t, err := f.parseSpec(spec, c)
	if err != nil {
		return specErrorReply(err, spec).withID(spec.GetId())
	}
	ctx, cancel := context.WithTimeout(r.Context(), f.queryTimeout)
	defer cancel()
	result := make(chan anvilcontrol.Result, 1)
	if !f.dispatcher.Submit(anvilcontrol.NewForward(t, 0, c.version), result) {
		return taskErrorReply(f.inboxFull(), t)
	}
	out, ok := await(ctx, result)
	switch {
	case !ok:
		return errorReply(noReply()).withID(t.ID())
	case out.Err() != nil:
		return errorReply(out.Err()).withID(t.ID())
	default:
		return messageReply(http.StatusAccepted, anvilwire.Ticket_builder{Id: out.ID()}.Build()).withID(t.ID())
	}
}

// readSpec decodes the body of a submission.
func (f *Front) readSpec(r *http.Request) (*anvilwire.Spec, *anvilerror.Error) {
	body, err := f.readBody(r)
	if err != nil {
		return nil, err
	}
	if _, err := anvildocument.Measure(body, anvildocument.NewLimits(f.maxFields, 0, maxDepth)); err != nil {
		return nil, badInput(err.Error())
	}
	var spec anvilwire.Spec
	if err := protojson.Unmarshal(body, &spec); err != nil {
		return nil, badInput(err.Error())
	}
	return &spec, nil
}

// specErrorReply returns the reply to a submission that failed before its task was made. The spec is nil when it can't be
// decoded.
func specErrorReply(err *anvilerror.Error, spec *anvilwire.Spec) reply {
	if anviltask.CheckID(spec.GetId()) != nil {
		return errorReply(err)
	}
	return taskErrorReply(err, anviltask.New(spec.GetId(), anviltask.Batch, "", anviltask.WithNonIdempotent(spec.GetOnce()),
		anviltask.WithFirstAttempt(spec.GetFirst())))
}

func (f *Front) parseSpec(m *anvilwire.Spec, c caller) (*anviltask.Task, *anvilerror.Error) {
	id, err := f.checkID(m.GetId(), m.GetOnce())
	if err != nil {
		return nil, err
	}
	if err := f.checkPool(c, m.GetPool()); err != nil {
		return nil, err
	}
	kind, kindErr := anviltask.ParseKind(m.GetKind())
	if kindErr != nil {
		return nil, badInput(kindErr.Error())
	}
	if err := checkSpec(m, kind); err != nil {
		return nil, err
	}
	size := defaultSize
	if m.HasSize() {
		size = anvilcodec.ParseSize(m.GetSize())
	}
	if err := checkSize(size); err != nil {
		return nil, err
	}
	if size.IsZero() {
		return nil, badInput("the size is zero")
	}
	t := anvilcodec.ParseSpec(m, c.team, "")
	return anviltask.New(id, kind, t.Pool(), anviltask.WithTeam(t.Team(), t.Workspace()), anviltask.WithSize(size),
		anviltask.WithCount(max(t.Count(), 1)), anviltask.WithRunTime(t.RunTime()), anviltask.WithMaxWait(t.MaxWait()),
		anviltask.WithBody(t.Body()), anviltask.WithNonIdempotent(t.NonIdempotent()), anviltask.WithUrgent(t.Urgent()),
		anviltask.WithFirstAttempt(t.FirstAttempt())), nil
}

func checkSpec(m *anvilwire.Spec, kind anviltask.Kind) *anvilerror.Error {
	switch n := m.GetCount(); {
	case n < 0:
		return badInput("the count is negative")
	case n > maxCount:
		return tooLarge(fmt.Sprintf("the count is over %d", maxCount))
	case n > 1 && kind != anviltask.Gang:
		return badInput("only a gang has a count over 1")
	}
	if w := m.GetWorkspace(); w != "" && !isName(w) {
		return badInput("the workspace is not a valid name")
	}
	for name, n := range map[string]int64{"run": m.GetRun(), "deadline": m.GetDeadline()} {
		if n < 0 || n > int64(maxRun) {
			return badInput(fmt.Sprintf("%s must be between 0 and %d ms", name, int64(maxRun)))
		}
	}
	return nil
}

func checkSize(s anvilsize.Size) *anvilerror.Error {
	for _, d := range anvilsize.Dimensions() {
		if n := s.In(d); n < 0 || n > maxAmount {
			return badInput(fmt.Sprintf("%s must be between 0 and %d", d, maxAmount))
		}
	}
	return nil
}

func (f *Front) readTask(r *http.Request) reply    { return f.inspect(r, false, false) }
func (f *Front) cancelTask(r *http.Request) reply  { return f.inspect(r, true, false) }
func (f *Front) explainTask(r *http.Request) reply { return f.inspect(r, false, true) }

// inspect returns the status of a task, which it also cancels if cancelTask is set. The scheduling decisions on the
// task are included if explain is set.
func (f *Front) inspect(r *http.Request, cancelTask, explain bool) reply {
	c, err := f.authenticate(r)
	if err != nil {
		return errorReply(err)
	}
	id := r.PathValue("id")
	if _, uid := anviltask.SplitID(id); anviltask.CheckID(uid) != nil || len(id) > 4*maxName {
		return errorReply(badInput("the id is not a task id"))
	}
	ctx, cancel := context.WithTimeout(r.Context(), f.queryTimeout)
	defer cancel()
	status := make(chan anvilcontrol.Status, 1)
	if !f.dispatcher.Inspect(anvilcontrol.NewQuery(id, c.team, c.operator, cancelTask, 0), status) {
		return errorReply(f.inboxFull())
	}
	out, ok := await(ctx, status)
	switch {
	case !ok:
		return errorReply(noReply())
	case out.Err() != nil:
		return errorReply(out.Err())
	}
	m := anvilcodec.Status(out)
	if !explain {
		m.SetDecisions(nil)
	}
	return messageReply(http.StatusOK, m)
}

func noReply() *anvilerror.Error {
	return anvilerror.UnknownOutcome(anvilerror.Deadline, "the control loop did not reply in time")
}
