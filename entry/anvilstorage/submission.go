package anvilstorage

import (
	"encoding/json"
	"fmt"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// cancelMark ends the key of a cancellation in the intake table.
const cancelMark = "!"

// CancelKey returns the key of the cancellation of a job.
func CancelKey(id string) string { return id + cancelMark }

// CancelledID returns the job of a cancellation's key, or false for the key of a submission.
func CancelledID(key string) (string, bool) { return strings.CutSuffix(key, cancelMark) }

type stepRow struct {
	Count       int      `json:"n"`
	Size        [3]int64 `json:"size"`
	Estimate    int64    `json:"run,omitempty"`
	After       []int    `json:"after,omitempty"`
	Label       string   `json:"label,omitempty"`
	Rack        string   `json:"rack,omitempty"`
	Spread      int      `json:"spread,omitempty"`
	Image       string   `json:"image,omitempty"`
	Target      int64    `json:"target,omitempty"`
	Missing     int      `json:"missing,omitempty"`
	Checkpoints bool     `json:"saves,omitempty"`
	Gang        bool     `json:"gang,omitempty"`
	SameRack    bool     `json:"close,omitempty"`
	Speculative bool     `json:"copies,omitempty"`
	Lasting     bool     `json:"lasting,omitempty"`
	Fills       bool     `json:"fills,omitempty"`
}

type submissionRow struct {
	Queue   string    `json:"queue"`
	Team    string    `json:"team,omitempty"`
	At      int64     `json:"at"`
	Payload string    `json:"payload"`
	Steps   []stepRow `json:"steps"`
	Repeat  [3]int64  `json:"repeat"`
}

// SubmissionRow returns the intake row of a job.
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
			After: st.After(), Label: st.Label(), Rack: st.Rack(), Spread: st.MaxPerWorker(), Image: st.Image(),
			Target: int64(st.LatencyTarget()), Missing: st.MaxUnavailable(), Checkpoints: st.Checkpoints(), Gang: st.Gang(),
			SameRack: st.SameRack(), Speculative: st.Speculative(), Lasting: st.LongRunning(), Fills: st.Opportunistic(),
		})
	}
	value, err := json.Marshal(out)
	if err != nil {
		return Row{}, fmt.Errorf("submission %s: %w", s.ID(), err)
	}
	return NewRow(Intake, s.ID(), value), nil
}

// ParseSubmission reads an intake row.
func ParseSubmission(r Row) (*anviljob.Submission, error) {
	var in submissionRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return nil, fmt.Errorf("submission %s: %w", r.key, err)
	}
	steps := make([]anviljob.Step, 0, len(in.Steps))
	for _, s := range in.Steps {
		steps = append(steps, anviljob.NewStep(s.Count, anvilsize.New(s.Size[0], s.Size[1], s.Size[2]),
			anviljob.WithEstimate(anvilclock.Millis(s.Estimate)), anviljob.WithAfter(s.After...),
			anviljob.WithLabel(s.Label), anviljob.WithRack(s.Rack), anviljob.WithMaxPerWorker(s.Spread),
			anviljob.WithImage(s.Image), anviljob.WithLatencyTarget(anvilclock.Millis(s.Target)),
			anviljob.WithMaxUnavailable(s.Missing), anviljob.WithCheckpoints(s.Checkpoints),
			anviljob.WithGang(s.Gang, s.SameRack), anviljob.WithSpeculative(s.Speculative),
			anviljob.WithLongRunning(s.Lasting), anviljob.WithOpportunistic(s.Fills)))
	}
	repeat := anviljob.NewRepeat(int(in.Repeat[0]), anvilclock.Millis(in.Repeat[1]), anvilclock.Millis(in.Repeat[2]))
	spec, err := anviljob.NewSpec(in.Payload, steps, repeat)
	if err != nil {
		return nil, fmt.Errorf("submission %s: %w", r.key, err)
	}
	return anviljob.NewSubmission(r.key, in.Queue, in.Team, anvilclock.Millis(in.At), spec), nil
}
