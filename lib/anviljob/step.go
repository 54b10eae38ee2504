package anviljob

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Step is a number of equal tasks of a job.
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

// StepOption sets an optional part of a Step.
type StepOption func(*Step)

// WithEstimate sets a rough estimate of how long a task runs.
func WithEstimate(d anvilclock.Millis) StepOption { return func(s *Step) { s.estimate = d } }

// WithAfter names the earlier steps whose tasks must all be done first.
func WithAfter(steps ...int) StepOption { return func(s *Step) { s.after = steps } }

// WithLabel names a label that a worker must have.
func WithLabel(label string) StepOption { return func(s *Step) { s.label = label } }

// WithRack names the rack where the data is.
func WithRack(rack string) StepOption { return func(s *Step) { s.rack = rack } }

// WithMaxPerWorker bounds how many tasks of the step run on one worker; 0 for no bound.
func WithMaxPerWorker(n int) StepOption { return func(s *Step) { s.maxPerWorker = n } }

// WithImage names what the tasks run.
func WithImage(image string) StepOption { return func(s *Step) { s.image = image } }

// WithLatencyTarget sets the tail latency below which a serving task must stay.
func WithLatencyTarget(d anvilclock.Millis) StepOption { return func(s *Step) { s.latencyTarget = d } }

// WithMaxUnavailable sets how many tasks of a long-running step may be away because of the scheduler.
func WithMaxUnavailable(n int) StepOption { return func(s *Step) { s.maxUnavailable = n } }

// WithCheckpoints says that tasks save their progress.
func WithCheckpoints(on bool) StepOption { return func(s *Step) { s.checkpoints = on } }

// WithGang says that the tasks work only together.
func WithGang(on, sameRack bool) StepOption {
	return func(s *Step) { s.gang, s.sameRack = on, sameRack }
}

// WithSpeculative says that copies of a task may run in parallel.
func WithSpeculative(on bool) StepOption { return func(s *Step) { s.speculative = on } }

// WithLongRunning says that the tasks run until the job is cancelled.
func WithLongRunning(on bool) StepOption { return func(s *Step) { s.longRunning = on } }

// WithOpportunistic says that the tasks use the processor time that other tasks leave unused.
func WithOpportunistic(on bool) StepOption { return func(s *Step) { s.opportunistic = on } }

// NewStep returns a step of count tasks, each of size.
func NewStep(count int, size anvilsize.Size, opts ...StepOption) Step {
	s := Step{count: count, size: size}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// Count returns the number of tasks.
func (s *Step) Count() int { return s.count }

// Size returns what a task asks for, which counts against its team's limit.
func (s *Step) Size() anvilsize.Size { return s.size }

// Reservation returns what a task takes of a worker's capacity.
func (s *Step) Reservation() anvilsize.Size {
	if s.opportunistic {
		return anvilsize.New(0, s.size.Memory(), s.size.Accel())
	}
	return s.size
}

// Estimate returns a rough estimate of how long a task runs.
func (s *Step) Estimate() anvilclock.Millis { return s.estimate }

// After returns the earlier steps whose tasks must all be done first.
func (s *Step) After() []int { return s.after }

// Label returns the label that a worker must have; empty for any worker.
func (s *Step) Label() string { return s.label }

// Rack returns the rack where the data is; empty for none.
func (s *Step) Rack() string { return s.rack }

// MaxPerWorker returns how many tasks of the step may run on one worker; 0 for no bound.
func (s *Step) MaxPerWorker() int { return s.maxPerWorker }

// Image returns what the tasks run.
func (s *Step) Image() string { return s.image }

// LatencyTarget returns the tail latency below which a serving task must stay; 0 for other tasks.
func (s *Step) LatencyTarget() anvilclock.Millis { return s.latencyTarget }

// MaxUnavailable returns how many tasks of a long-running step may be away because of the scheduler.
func (s *Step) MaxUnavailable() int { return s.maxUnavailable }

// Checkpoints reports whether tasks save their progress.
func (s *Step) Checkpoints() bool { return s.checkpoints }

// Gang reports whether the tasks work only together.
func (s *Step) Gang() bool { return s.gang }

// SameRack reports whether a gang is faster on one rack.
func (s *Step) SameRack() bool { return s.sameRack }

// Speculative reports whether copies of a task may run in parallel.
func (s *Step) Speculative() bool { return s.speculative }

// LongRunning reports whether the tasks run until the job is cancelled.
func (s *Step) LongRunning() bool { return s.longRunning }

// Opportunistic reports whether the tasks use the processor time that others leave unused.
func (s *Step) Opportunistic() bool { return s.opportunistic }
