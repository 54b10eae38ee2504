package anvilcodec

import (
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilwire"
)

// Status converts the status of a task to its message.
func Status(s anvilcontrol.Status) *anvilwire.Status {
	decisions := make([]*anvilwire.Decision, 0, len(s.Decisions()))
	for _, d := range s.Decisions() {
		decisions = append(decisions, anvilwire.Decision_builder{
			At: int64(d.At()), Event: int64(d.Event()), Text: d.Text(),
		}.Build())
	}
	return anvilwire.Status_builder{
		Id: s.ID(), Team: s.Team(), State: s.State(), Code: s.Code(), Reason: s.Reason(), Shard: s.Shard(),
		Owner: s.Owner(), Workers: s.Workers(), Tries: int64(s.Tries()), Decisions: decisions,
	}.Build()
}

// ParseStatus converts a message to the status of a task.
func ParseStatus(m *anvilwire.Status) anvilcontrol.Status {
	decisions := make([]anvilcontrol.Decision, 0, len(m.GetDecisions()))
	for _, d := range m.GetDecisions() {
		decisions = append(decisions, anvilcontrol.NewDecision(anvilclock.Millis(d.GetAt()), int(d.GetEvent()), d.GetText()))
	}
	return anvilcontrol.NewStatus(m.GetId(), m.GetTeam(), m.GetState(),
		anvilcontrol.WithReason(m.GetCode(), m.GetReason()),
		anvilcontrol.WithLocation(m.GetShard(), m.GetOwner(), m.GetWorkers(), int(m.GetTries())),
		anvilcontrol.WithDecisions(decisions))
}
