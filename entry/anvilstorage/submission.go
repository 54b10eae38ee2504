package anvilstorage

import (
	"encoding/json"
	"fmt"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// cancelSuffix ends the keys of cancellations in the intake table.
const cancelSuffix = "!"

// CancelKey returns the key of the intake row that cancels a job.
func CancelKey(id string) string { return id + cancelSuffix }

// Cancellation is a stored cancellation of a job, which need not be stored yet.
type Cancellation struct {
	id string
	// queue, address and team are those of the call, or of the job if it is stored. Rows of earlier versions have none, or no address:
	// the former only cancel stored jobs, which the instance has checked.
	queue, address, team string
	checked              bool
}

type cancelRow struct {
	Queue   string `json:"queue,omitempty"`
	Address string `json:"address,omitempty"`
	Team    string `json:"team,omitempty"`
}

// CancelRow returns the intake row that cancels a job of a team in the queue of a name at an address. A row of another call
// overwrites it.
func CancelRow(id, queue, address, team string) (Row, error) {
	value, err := json.Marshal(cancelRow{Queue: queue, Address: address, Team: team})
	if err != nil {
		return Row{}, fmt.Errorf("cancellation of %s: %w", id, err)
	}
	return NewRow(Intake, CancelKey(id), value), nil
}

// ParseCancellation decodes an intake row that cancels a job, and returns false for the row of a submission. A value that can't be
// decoded is taken for one of an earlier version.
func ParseCancellation(r Row) (Cancellation, bool) {
	id, ok := strings.CutSuffix(r.key, cancelSuffix)
	var in cancelRow
	if !ok || json.Unmarshal(r.value, &in) != nil {
		in = cancelRow{}
	}
	return Cancellation{id: id, queue: in.Queue, address: in.Address, team: in.Team, checked: in.Queue == ""}, ok
}

// ID returns the id of the job.
func (c Cancellation) ID() string { return c.id }

// Covers reports whether the cancellation applies to a job. Queues are compared by their addresses where both are known.
func (c Cancellation) Covers(s *anviljob.Submission) bool {
	same := c.queue == s.Queue()
	if c.address != "" && s.Address() != "" {
		same = c.address == s.Address()
	}
	return c.checked || (same && c.team == s.Team())
}

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
	Address string    `json:"address,omitempty"`
	Team    string    `json:"team,omitempty"`
	At      int64     `json:"at"`
	Payload string    `json:"payload"`
	Steps   []stepRow `json:"steps"`
	Repeat  [3]int64  `json:"repeat"`
	Via     *queueRow `json:"via,omitempty"`
	// Head means that the rest of the row was left out when it was read. It is never stored.
	Head bool `json:"head,omitempty"`
}

// queueRow is a queue's configuration without the host and path of its route.
type queueRow struct {
	Pool     string     `json:"pool"`
	Priority int        `json:"priority,omitempty"`
	Attempts int        `json:"attempts"`
	Stretch  float64    `json:"stretch"`
	Latency  int64      `json:"latency,omitempty"`
	Advice   [2]float64 `json:"advice,omitzero"`
	Validity int64      `json:"validity,omitempty"`
}

// SubmissionOption sets an optional part of a submission's row.
type SubmissionOption func(*submissionRow)

// WithQueue stores the configuration of the submission's queue with it, for when the queue is removed before the job ends.
func WithQueue(q *anvilpolicy.Queue) SubmissionOption {
	return func(r *submissionRow) {
		a := q.Advice()
		r.Via = &queueRow{
			Pool: q.Pool(), Priority: q.Priority(), Attempts: q.Attempts(), Stretch: q.Stretch(), Latency: int64(q.Latency()),
			Advice: [2]float64{a.DecisionMS(), a.PerWorkerMS()}, Validity: int64(a.Validity()),
		}
	}
}

// ParseSubmittedQueue returns the configuration of a submission's queue when the job was accepted; nil when an intake row has
// none or can't be read.
func ParseSubmittedQueue(r Row) *anvilpolicy.Queue {
	var in submissionRow
	if err := json.Unmarshal(r.value, &in); err != nil || in.Via == nil {
		return nil
	}
	v := in.Via
	q := anvilpolicy.NewQueue(in.Queue, "", "", v.Pool, anvilpolicy.WithPriority(v.Priority), anvilpolicy.WithAttempts(v.Attempts),
		anvilpolicy.WithObjective(v.Stretch, anvilclock.Millis(v.Latency)),
		anvilpolicy.WithAdvice(anvilpolicy.NewAdvice(v.Advice[0], v.Advice[1], anvilclock.Millis(v.Validity))))
	return &q
}

// SubmissionHead returns a submission's row that only names its queue and team and the time when it was accepted. It returns the row of a
// cancellation, or one that can't be read, as it is.
func SubmissionHead(r Row) Row {
	var in submissionRow
	if strings.HasSuffix(r.key, cancelSuffix) || json.Unmarshal(r.value, &in) != nil {
		return r
	}
	value, err := json.Marshal(submissionRow{Queue: in.Queue, Address: in.Address, Team: in.Team, At: in.At, Head: true})
	if err != nil {
		return r
	}
	r.value = value
	return r
}

// ParseHead decodes what SubmissionHead has returned, as a submission without a description of the job; false for any other row.
func ParseHead(r Row) (*anviljob.Submission, bool) {
	if len(r.value) > maxHead {
		return nil, false
	}
	var in submissionRow
	if err := json.Unmarshal(r.value, &in); err != nil || !in.Head {
		return nil, false
	}
	return anviljob.NewSubmission(r.key, in.Queue, in.Team, anvilclock.Millis(in.At), nil).WithAddress(in.Address), true
}

// maxHead is more than the head of a submission takes, in bytes: the names of queue and team have at most some hundred.
const maxHead = 2048

// SubmissionRow returns the intake row that stores a submission.
func SubmissionRow(s *anviljob.Submission, opts ...SubmissionOption) (Row, error) {
	spec := s.Spec()
	repeat := spec.Repeat()
	out := submissionRow{Queue: s.Queue(), Address: s.Address(), Team: s.Team(), At: int64(s.At()), Payload: spec.Payload()}
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
	for _, opt := range opts {
		opt(&out)
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
	return anviljob.NewSubmission(r.key, in.Queue, in.Team, anvilclock.Millis(in.At), spec).WithAddress(in.Address), nil
}
