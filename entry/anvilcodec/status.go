package anvilcodec

import (
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilwire"
)

// Status converts the status of a task to its message.
func Status(s anvilcontrol.Status) *anvilwire.Status {
	steps := make([]*anvilwire.Decision, 0, len(s.Steps()))
	for _, step := range s.Steps() {
		steps = append(steps, anvilwire.Decision_builder{
			At: int64(step.At()), Event: int64(step.Event()), Text: step.Text(),
		}.Build())
	}
	return anvilwire.Status_builder{
		Id: s.ID(), Team: s.Team(), State: s.State(), Code: s.Code(), Reason: s.Reason(), Shard: s.Shard(),
		Owner: s.Owner(), Workers: s.Workers(), Tries: int64(s.Tries()), Decisions: steps,
	}.Build()
}

// ParseStatus converts a message to the status of a task.
func ParseStatus(m *anvilwire.Status) anvilcontrol.Status {
	steps := make([]anvilcontrol.Step, 0, len(m.GetDecisions()))
	for _, d := range m.GetDecisions() {
		steps = append(steps, anvilcontrol.NewStep(anvilclock.Millis(d.GetAt()), int(d.GetEvent()), d.GetText()))
	}
	return anvilcontrol.NewStatus(m.GetId(), m.GetTeam(), m.GetState(),
		anvilcontrol.WithReason(m.GetCode(), m.GetReason()),
		anvilcontrol.WithLocation(m.GetShard(), m.GetOwner(), m.GetWorkers(), int(m.GetTries())),
		anvilcontrol.WithSteps(steps))
}
