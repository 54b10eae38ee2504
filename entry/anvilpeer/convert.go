package anvilpeer

import (
	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
)

func submitRequest(f anvilcontrol.Forward) *SubmitRequest {
	t := f.Task()
	return SubmitRequest_builder{
		Spec: anvilcodec.Spec(t), Team: t.Team(), Shard: t.Shard(), Hops: int64(f.Hops()), Version: f.Version(),
		Call: t.Kind() == anviltask.Call,
	}.Build()
}

func parseForward(m *SubmitRequest) anvilcontrol.Forward {
	t := anvilcodec.ParseSpec(m.GetSpec(), m.GetTeam(), m.GetShard())
	return anvilcontrol.NewForward(t, int(m.GetHops()), m.GetVersion())
}

func submitReply(r anvilcontrol.Result) *SubmitReply {
	return SubmitReply_builder{Outcome: anvilcodec.Refusal(r.Err()), Answer: r.Answer(), Id: r.ID()}.Build()
}

func parseResult(m *SubmitReply) anvilcontrol.Result {
	if err := anvilcodec.ParseRefusal(m.GetOutcome()); err != nil {
		return anvilcontrol.NewFailure(err)
	}
	if id := m.GetId(); id != "" {
		return anvilcontrol.NewAccepted(id)
	}
	return anvilcontrol.NewAnswer(m.GetAnswer())
}

func inspectRequest(q anvilcontrol.Query) *InspectRequest {
	return InspectRequest_builder{Id: q.ID(), Team: q.Team(), Cancel: q.Cancel(), All: q.All()}.Build()
}

// parseQuery returns the query in a message. Messages contain no number of hops: a query comes from the instance that
// the caller asked, and the owner doesn't forward it.
func parseQuery(m *InspectRequest) anvilcontrol.Query {
	return anvilcontrol.NewQuery(m.GetId(), m.GetTeam(), m.GetAll(), m.GetCancel(), 1)
}

func inspectReply(s anvilcontrol.Status) *InspectReply {
	if err := s.Err(); err != nil {
		return InspectReply_builder{Outcome: anvilcodec.Refusal(err)}.Build()
	}
	return InspectReply_builder{Outcome: anvilcodec.Refusal(nil), Status: anvilcodec.Status(s)}.Build()
}

func parseStatus(m *InspectReply) anvilcontrol.Status {
	if err := anvilcodec.ParseRefusal(m.GetOutcome()); err != nil {
		return anvilcontrol.NewStatusFailure(err)
	}
	return anvilcodec.ParseStatus(m.GetStatus())
}

func summary(s anvilcontrol.Summary) (*Summary, error) {
	rows, err := anvilcodec.Rows(s.Rows())
	if err != nil {
		return nil, err
	}
	pools := make([]*PoolSummary, 0, len(s.Pools()))
	for _, p := range s.Pools() {
		pools = append(pools, PoolSummary_builder{
			Pool: p.Pool(), Domain: p.Domain(), Free: anvilcodec.Size(p.Free()), Largest: anvilcodec.Size(p.Largest()),
			Queued: int64(p.Queued()), Workers: int64(p.Workers()),
		}.Build())
	}
	return Summary_builder{
		Instance: s.Instance(), Version: s.Version(), Confirmed: int64(s.ConfirmationAge()), Pools: pools, Full: s.TeamsAtLimit(),
		Leaving: s.Leaving(), Rows: rows, Addr: s.Addr(), Hello: s.Hello(),
	}.Build(), nil
}

func parseSummary(m *Summary) (anvilcontrol.Summary, error) {
	rows, err := anvilcodec.ParseRows(m.GetRows())
	if err != nil {
		return anvilcontrol.Summary{}, err
	}
	pools := make([]anvilcontrol.PoolSummary, 0, len(m.GetPools()))
	for _, p := range m.GetPools() {
		pools = append(pools, anvilcontrol.NewPoolSummary(p.GetPool(), p.GetDomain(), anvilcodec.ParseSize(p.GetFree()),
			anvilcodec.ParseSize(p.GetLargest()), int(p.GetQueued()), int(p.GetWorkers())))
	}
	return anvilcontrol.NewSummary(m.GetInstance(), m.GetVersion(), anvilclock.Millis(m.GetConfirmed()), pools,
		m.GetFull(), m.GetLeaving(), rows).WithIntroduction(m.GetAddr(), m.GetHello()), nil
}

func refuseInboxFull() *anvilerror.Error {
	return anvilerror.Refuse(anvilerror.QueueFull, "the inbox of the control loop is full", anvilerror.WithRetry(retryDelay))
}
