// Package anviljob describes the jobs that callers submit. A job consists of steps, each a number of equal
// tasks, and runs once or repeatedly at set times.
package anviljob

import (
	"fmt"
	"strconv"
	"strings"

	"anvilhold.org/lib/anvilclock"
)

// Repeat says when the steps of a job run: a number of occurrences, the first at a Unix time, the others
// at an interval. The zero value is a job that runs once, immediately.
type Repeat struct {
	count    int
	first    anvilclock.Millis
	interval anvilclock.Millis
}

// NewRepeat returns count occurrences, the first at the Unix time first. A count of 0 stands for one
// occurrence, due immediately.
func NewRepeat(count int, first, interval anvilclock.Millis) Repeat {
	return Repeat{count: count, first: first, interval: interval}
}

// Timed reports whether the occurrences are due at set times, and not immediately.
func (r Repeat) Timed() bool { return r.count > 0 }

// Count returns the number of occurrences, at least one.
func (r Repeat) Count() int { return max(r.count, 1) }

// Due returns the Unix time at which an occurrence, numbered from 0, is due; 0 when it is due immediately.
func (r Repeat) Due(occurrence int) anvilclock.Millis {
	if !r.Timed() {
		return 0
	}
	return r.first + anvilclock.Millis(occurrence)*r.interval
}

// Spec describes a job: its steps, their payload and when they run. It is immutable.
type Spec struct {
	payload string
	steps   []Step
	repeat  Repeat
}

// Bounds of a job; maxTasks bounds the tasks of one occurrence.
const (
	maxSteps   = 64
	maxTasks   = 1000
	maxPayload = 4000
	maxRepeats = 10000
)

// NewSpec returns the description of a job. The payload is passed to every task. It keeps the slice of
// steps. An error names the bound that is exceeded or the step that can never run.
func NewSpec(payload string, steps []Step, repeat Repeat) (*Spec, error) {
	if len(payload) > maxPayload {
		return nil, fmt.Errorf("the payload is longer than %d bytes", maxPayload)
	}
	if len(steps) == 0 || len(steps) > maxSteps {
		return nil, fmt.Errorf("a job has 1 to %d steps", maxSteps)
	}
	if repeat.count < 0 || repeat.count > maxRepeats {
		return nil, fmt.Errorf("a job has at most %d occurrences", maxRepeats)
	}
	tasks := 0
	for i := range steps {
		if err := checkStep(&steps[i], i); err != nil {
			return nil, err
		}
		tasks += steps[i].count
	}
	if tasks > maxTasks {
		return nil, fmt.Errorf("a job has at most %d tasks", maxTasks)
	}
	return &Spec{payload: payload, steps: steps, repeat: repeat}, nil
}

func checkStep(s *Step, index int) error {
	if s.count < 1 || s.count > maxTasks {
		return fmt.Errorf("step %d: the number of tasks is not 1 to %d", index, maxTasks)
	}
	if s.size.Negative() {
		return fmt.Errorf("step %d: the size is negative", index)
	}
	for _, a := range s.after {
		if a < 0 || a >= index {
			return fmt.Errorf("step %d: step %d is not an earlier step", index, a)
		}
	}
	return nil
}

// Payload returns the text that is passed to every task.
func (s *Spec) Payload() string { return s.payload }

// Steps returns the number of steps.
func (s *Spec) Steps() int { return len(s.steps) }

// Step returns the step with number i, from 0; it panics when there is none. The step must not be changed.
func (s *Spec) Step(i int) *Step { return &s.steps[i] }

// Repeat returns when the job runs.
func (s *Spec) Repeat() Repeat { return s.repeat }

// CriticalPath returns the estimated time of the longest chain of steps that depend on each other, with
// extra added for each step.
func (s *Spec) CriticalPath(extra anvilclock.Millis) anvilclock.Millis {
	var longest anvilclock.Millis
	for _, d := range s.CriticalPaths(extra) {
		longest = max(longest, d)
	}
	return longest
}

// CriticalPaths returns, for each step, the estimated time of the longest chain of dependent steps that
// begins with it, with extra added for each step.
func (s *Spec) CriticalPaths(extra anvilclock.Millis) []anvilclock.Millis {
	paths := make([]anvilclock.Millis, len(s.steps))
	for i := len(s.steps) - 1; i >= 0; i-- {
		paths[i] += s.steps[i].estimate + extra
		for _, a := range s.steps[i].after {
			paths[a] = max(paths[a], paths[i])
		}
	}
	return paths
}

// Depths returns, for each step, the number of steps of the longest chain of dependent steps that begins
// with it.
func (s *Spec) Depths() []int {
	depths := make([]int, len(s.steps))
	for i := len(s.steps) - 1; i >= 0; i-- {
		depths[i]++
		for _, a := range s.steps[i].after {
			depths[a] = max(depths[a], depths[i])
		}
	}
	return depths
}

// stepFootprint is an estimate of what a step holds beside its texts, in bytes.
const stepFootprint = 200

// Footprint estimates how much memory the description holds, in bytes.
func (s *Spec) Footprint() int64 {
	n := len(s.payload)
	for i := range s.steps {
		st := &s.steps[i]
		n += stepFootprint + len(st.label) + len(st.rack) + len(st.image) + strconv.IntSize/8*len(st.after)
	}
	return int64(n)
}

// LongRunning reports whether some step runs until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.steps {
		if s.steps[i].longRunning {
			return true
		}
	}
	return false
}

// State is the state of a job that is reported to callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Submission is a job that was accepted and stored.
type Submission struct {
	id      string
	queue   string
	address string
	team    string
	at      anvilclock.Millis
	spec    *Spec
}

// NewSubmission returns a job of a team in a queue, accepted at a time of the store's clock.
func NewSubmission(id, queue, team string, at anvilclock.Millis, spec *Spec) *Submission {
	return &Submission{id: id, queue: queue, team: team, at: at, spec: spec}
}

// Head returns the submission without the description of the job.
func (s *Submission) Head() *Submission {
	head := *s
	head.spec = nil
	return &head
}

// ID returns the job's id, unique among all jobs.
func (s *Submission) ID() string { return s.id }

// Queue returns the name of the queue to which the job was submitted.
func (s *Submission) Queue() string { return s.queue }

// WithAddress returns the submission with the address of the queue that accepted it.
func (s *Submission) WithAddress(address string) *Submission {
	out := *s
	out.address = address
	return &out
}

// Address returns the address of the queue that accepted the job; empty when it isn't known.
func (s *Submission) Address() string { return s.address }

// Team returns the name of the job's team; empty for a job from an open queue.
func (s *Submission) Team() string { return s.team }

// At returns the time of the store's clock at which the job was accepted.
func (s *Submission) At() anvilclock.Millis { return s.at }

// Spec returns the description of the job; nil for the head of a submission.
func (s *Submission) Spec() *Spec { return s.spec }

// TaskID identifies a task of a job by the job's id and the numbers of the occurrence, the step and the
// task in the step.
type TaskID struct {
	job        string
	occurrence int
	step       int
	index      int
}

// NewTaskID returns the id of a task; the numbers count from 0.
func NewTaskID(job string, occurrence, step, index int) TaskID {
	return TaskID{job: job, occurrence: occurrence, step: step, index: index}
}

// ParseTaskID parses the form that String prints. The job's id must not contain a dot.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task id %q does not have four parts", text)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task id %q: %q is not a number", text, parts[i+1])
		}
		n[i] = v
	}
	return TaskID{job: parts[0], occurrence: n[0], step: n[1], index: n[2]}, nil
}

// Job returns the id of the job that the task belongs to.
func (t TaskID) Job() string { return t.job }

// Occurrence returns the number of the occurrence, from 0.
func (t TaskID) Occurrence() int { return t.occurrence }

// Step returns the number of the step, from 0.
func (t TaskID) Step() int { return t.step }

// Index returns the number of the task in its step, from 0.
func (t TaskID) Index() int { return t.index }

// StepID returns the id of the task's step in the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepID() string {
	return t.job + "." + strconv.Itoa(t.occurrence) + "." + strconv.Itoa(t.step)
}

// String returns the id in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepID() + "." + strconv.Itoa(t.index) }
