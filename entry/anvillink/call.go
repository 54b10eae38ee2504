package anvillink

import (
	"fmt"

	"anvilhold.org/entry/anvilintake"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

func encodeCall(kind anvilintake.Kind, c anvilintake.Call, spec *anviljob.Spec) (*Call, error) {
	out := &Call{}
	out.SetKind(string(kind))
	out.SetHost(c.Host())
	out.SetPath(c.Path())
	out.SetKey(c.Key())
	if spec == nil {
		return out, nil
	}
	// The receiver derives the id, queue and team from the path and key.
	row, err := anvilstorage.SubmissionRow(anviljob.NewSubmission("", "", "", 0, spec))
	out.SetJob(row.Value())
	return out, err
}

func parseCall(m *Call) (anvilintake.Kind, anvilintake.Call, *anviljob.Spec, error) {
	kind, c := anvilintake.Kind(m.GetKind()), anvilintake.NewCall(m.GetHost(), m.GetPath(), m.GetKey())
	if kind != anvilintake.KindSubmit {
		return kind, c, nil, nil
	}
	sub, err := anvilstorage.ParseSubmission(anvilstorage.NewRow(anvilstorage.Intake, "", m.GetJob()))
	if err != nil {
		return kind, c, nil, err
	}
	return kind, c, sub.Spec(), nil
}

func encodeReply(r anvilintake.Reply) *Outcome {
	out := &Outcome{}
	out.SetResult(r.Result().String())
	out.SetReason(r.Reason())
	out.SetState(string(r.State()))
	out.SetRetry(int64(r.Retry()))
	return out
}

func parseOutcome(m *Outcome) (anvilintake.Reply, error) {
	result, ok := anvilintake.ParseResult(m.GetResult())
	if !ok {
		return anvilintake.Reply{}, fmt.Errorf("unknown result %q", m.GetResult())
	}
	return anvilintake.RestoreReply(result, m.GetReason(), anviljob.State(m.GetState()), anvilclock.Millis(m.GetRetry())), nil
}
