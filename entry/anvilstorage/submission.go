package anvilstorage

import (
	"encoding/json"
	"fmt"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// cancelSuffix ends the keys of cancellations in the intake table.
const cancelSuffix = "!"

// CancelKey returns the key of the intake row that cancels a job.
func CancelKey(id string) string { return id + cancelSuffix }

// CancelledID returns the id of the job that a key of the intake table cancels, or false for the key of a submission.
func CancelledID(key string) (string, bool) { return strings.CutSuffix(key, cancelSuffix) }

type stepRow struct {
	Count          int      `json:"n"`
	Size           [3]int64 `json:"size"`
	Estimate       int64    `json:"run,omitempty"`
	After          []int    `json:"after,omitempty"`
	Label          string   `json:"label,omitempty"`
	Rack           string   `json:"rack,omitempty"`
	MaxPerWorker   int      `json:"spread,omitempty"`
	Image          string   `json:"image,omitempty"`
	LatencyTarget  int64    `json:"target,omitempty"`
	MaxUnavailable int      `json:"missing,omitempty"`
	Checkpoints    bool     `json:"saves,omitempty"`
	Gang           bool     `json:"gang,omitempty"`
	SameRack       bool     `json:"close,omitempty"`
	Speculative    bool     `json:"copies,omitempty"`
	LongRunning    bool     `json:"lasting,omitempty"`
	Opportunistic  bool     `json:"fills,omitempty"`
}

type submissionRow struct {
	Queue   string    `json:"queue"`
	Team    string    `json:"team,omitempty"`
	At      int64     `json:"at"`
	Payload string    `json:"payload"`
	Steps   []stepRow `json:"steps"`
	Repeat  [3]int64  `json:"repeat"`
}

// SubmissionRow returns the intake row that stores a submission.
func SubmissionRow(s *anviljob.Submission) (Row, error) {
	spec := s.Spec()
	repeat := spec.Repeat()
	out := submissionRow{Queue: s.Queue(), Team: s.Team(), At: int64(s.At()), Payload: spec.Payload()}
	if repeat.Timed() {
		out.Repeat = [3]int64{int64(repeat.Count()), int64(repeat.Due(0)), int64(repeat.Due(1) - repeat.Due(0))}
	}
	for i := range spec.Steps() {
		st := spec.Step(i)
		size := st.Size()
		out.Steps = append(out.Steps, stepRow{
			Count: st.Count(), Size: [3]int64{size.CPU(), size.Memory(), size.Accel()}, Estimate: int64(st.Estimate()),
			After: st.After(), Label: st.Label(), Rack: st.Rack(), MaxPerWorker: st.MaxPerWorker(), Image: st.Image(),
			LatencyTarget: int64(st.LatencyTarget()), MaxUnavailable: st.MaxUnavailable(), Checkpoints: st.Checkpoints(), Gang: st.Gang(),
			SameRack: st.SameRack(), Speculative: st.Speculative(), LongRunning: st.LongRunning(), Opportunistic: st.Opportunistic(),
		})
	}
	value, err := json.Marshal(out)
	if err != nil {
		return Row{}, fmt.Errorf("submission %s: %w", s.ID(), err)
	}
	return NewRow(Intake, s.ID(), value), nil
}

// ParseSubmission decodes an intake row and checks the job in it. The key must be that of a submission.
func ParseSubmission(r Row) (*anviljob.Submission, error) {
	var in submissionRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return nil, fmt.Errorf("submission %s: %w", r.key, err)
	}
	steps := make([]anviljob.Step, 0, len(in.Steps))
	for _, s := range in.Steps {
		steps = append(steps, anviljob.NewStep(s.Count, anvilsize.New(s.Size[0], s.Size[1], s.Size[2]),
			anviljob.WithEstimate(anvilclock.Millis(s.Estimate)), anviljob.WithAfter(s.After...),
			anviljob.WithLabel(s.Label), anviljob.WithRack(s.Rack), anviljob.WithMaxPerWorker(s.MaxPerWorker),
			anviljob.WithImage(s.Image), anviljob.WithLatencyTarget(anvilclock.Millis(s.LatencyTarget)),
			anviljob.WithMaxUnavailable(s.MaxUnavailable), anviljob.WithCheckpoints(s.Checkpoints),
			anviljob.WithGang(s.Gang, s.SameRack), anviljob.WithSpeculative(s.Speculative),
			anviljob.WithLongRunning(s.LongRunning), anviljob.WithOpportunistic(s.Opportunistic)))
	}
	repeat := anviljob.NewRepeat(int(in.Repeat[0]), anvilclock.Millis(in.Repeat[1]), anvilclock.Millis(in.Repeat[2]))
	spec, err := anviljob.NewSpec(in.Payload, steps, repeat)
	if err != nil {
		return nil, fmt.Errorf("submission %s: %w", r.key, err)
	}
	return anviljob.NewSubmission(r.key, in.Queue, in.Team, anvilclock.Millis(in.At), spec), nil
}
