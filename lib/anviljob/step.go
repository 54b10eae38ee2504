package anviljob

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Step is one step of a job: a number of equal tasks.
type Step struct {
	count          int
	size           anvilsize.Size
	estimate       anvilclock.Millis
	after          []int
	label          string
	rack           string
	maxPerWorker   int
	image          string
	latencyTarget  anvilclock.Millis
	maxUnavailable int
	checkpoints    bool
	gang           bool
	sameRack       bool
	speculative    bool
	longRunning    bool
	opportunistic  bool
}

// StepOption configures a Step.
type StepOption func(*Step)

// WithEstimate sets a rough estimate of a task's run time.
func WithEstimate(d anvilclock.Millis) StepOption { return func(s *Step) { s.estimate = d } }

// WithAfter sets the numbers of the earlier steps whose tasks must all have completed before this step
// starts.
func WithAfter(steps ...int) StepOption { return func(s *Step) { s.after = steps } }

// WithLabel sets a label that a worker must have; empty for any worker.
func WithLabel(label string) StepOption { return func(s *Step) { s.label = label } }

// WithRack sets the rack that holds the step's input data; empty for none.
func WithRack(rack string) StepOption { return func(s *Step) { s.rack = rack } }

// WithMaxPerWorker bounds how many tasks of the step run on one worker; 0 for no bound.
func WithMaxPerWorker(n int) StepOption { return func(s *Step) { s.maxPerWorker = n } }

// WithImage sets the name of the image that the tasks run.
func WithImage(image string) StepOption { return func(s *Step) { s.image = image } }

// WithLatencyTarget sets the tail latency below which a serving task must stay; 0 for other tasks.
func WithLatencyTarget(d anvilclock.Millis) StepOption { return func(s *Step) { s.latencyTarget = d } }

// WithMaxUnavailable sets the disruption budget of a long-running step: how many of its tasks may be
// unavailable because of the scheduler.
func WithMaxUnavailable(n int) StepOption { return func(s *Step) { s.maxUnavailable = n } }

// WithCheckpoints sets whether tasks save checkpoints, from which a later run can resume.
func WithCheckpoints(on bool) StepOption { return func(s *Step) { s.checkpoints = on } }

// WithGang sets whether the tasks are a gang, which only works when all run at the same time, and whether
// the gang is faster on one rack.
func WithGang(on, sameRack bool) StepOption {
	return func(s *Step) { s.gang, s.sameRack = on, sameRack }
}

// WithSpeculative sets whether copies of a task may run in parallel.
func WithSpeculative(on bool) StepOption { return func(s *Step) { s.speculative = on } }

// WithLongRunning sets whether the tasks run until the job is cancelled.
func WithLongRunning(on bool) StepOption { return func(s *Step) { s.longRunning = on } }

// WithOpportunistic sets whether the tasks reserve no processor and only use processor time that other
// tasks leave unused.
func WithOpportunistic(on bool) StepOption { return func(s *Step) { s.opportunistic = on } }

// NewStep returns a step of count tasks, each of size. NewSpec checks the values.
func NewStep(count int, size anvilsize.Size, opts ...StepOption) Step {
	s := Step{count: count, size: size}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// Count returns the number of tasks of the step.
func (s *Step) Count() int { return s.count }

// Size returns the resources that a task requests, which count against its team's limit.
func (s *Step) Size() anvilsize.Size { return s.size }

// Reservation returns the resources that a task reserves on a worker: its size, without the processor for
// an opportunistic task.
func (s *Step) Reservation() anvilsize.Size {
	if s.opportunistic {
		return anvilsize.New(0, s.size.Memory(), s.size.Accel())
	}
	return s.size
}

// Estimate returns a rough estimate of a task's run time.
func (s *Step) Estimate() anvilclock.Millis { return s.estimate }

// After returns the numbers of the earlier steps whose tasks must all have completed before this step
// starts; the slice must not be changed.
func (s *Step) After() []int { return s.after }

// Label returns the label that a worker must have; empty for any worker.
func (s *Step) Label() string { return s.label }

// Rack returns the rack that holds the step's input data; empty for none.
func (s *Step) Rack() string { return s.rack }

// MaxPerWorker returns how many tasks of the step may run on one worker; 0 for no bound.
func (s *Step) MaxPerWorker() int { return s.maxPerWorker }

// Image returns the name of the image that the tasks run.
func (s *Step) Image() string { return s.image }

// LatencyTarget returns the tail latency below which a serving task must stay; 0 for other tasks.
func (s *Step) LatencyTarget() anvilclock.Millis { return s.latencyTarget }

// MaxUnavailable returns the disruption budget of a long-running step: how many of its tasks may be
// unavailable because of the scheduler.
func (s *Step) MaxUnavailable() int { return s.maxUnavailable }

// Checkpoints reports whether tasks save checkpoints, from which a later run can resume.
func (s *Step) Checkpoints() bool { return s.checkpoints }

// Gang reports whether the tasks are a gang, which only works when all run at the same time.
func (s *Step) Gang() bool { return s.gang }

// SameRack reports whether a gang is faster on one rack.
func (s *Step) SameRack() bool { return s.sameRack }

// Speculative reports whether copies of a task may run in parallel.
func (s *Step) Speculative() bool { return s.speculative }

// LongRunning reports whether the tasks run until the job is cancelled.
func (s *Step) LongRunning() bool { return s.longRunning }

// Opportunistic reports whether the tasks reserve no processor and only use processor time that other
// tasks leave unused.
func (s *Step) Opportunistic() bool { return s.opportunistic }
