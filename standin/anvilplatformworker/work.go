package anvilplatformworker

import (
	"encoding/json"
	"fmt"
	"strconv"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// TaskSpec says what the tasks of one step do. Workers of the users' platform get this from the image that a task
// runs. The stand-in runs no images and reads it from the payload of the job, which holds a TaskSpec for each step.
type TaskSpec struct {
	body taskSpecBody
}

type taskSpecBody struct {
	Size        [3]int64 `json:"size"`
	Millis      int64    `json:"ms"`
	Fails       int      `json:"fails,omitempty"`
	LongRunning bool     `json:"lasts,omitempty"`
	Checkpoints bool     `json:"saves,omitempty"`
	Gang        int      `json:"gang,omitempty"`
}

// TaskSpecOption sets an optional property of a TaskSpec.
type TaskSpecOption func(*TaskSpec)

// WithFailures makes the first n runs of each task fail.
func WithFailures(n int) TaskSpecOption { return func(s *TaskSpec) { s.body.Fails = n } }

// WithLongRunning sets whether a task runs until it is stopped.
func WithLongRunning(on bool) TaskSpecOption { return func(s *TaskSpec) { s.body.LongRunning = on } }

// WithCheckpoints sets whether a task saves its progress, so that a later run resumes from there.
func WithCheckpoints(on bool) TaskSpecOption { return func(s *TaskSpec) { s.body.Checkpoints = on } }

// WithGang sets the number of tasks of the step that must run at the same time. Below 2 each task runs by itself.
func WithGang(members int) TaskSpecOption { return func(s *TaskSpec) { s.body.Gang = members } }

// NewTaskSpec returns the spec of tasks that need the capacity size and run for d.
func NewTaskSpec(size anvilsize.Size, d anvilclock.Millis, opts ...TaskSpecOption) TaskSpec {
	s := TaskSpec{body: taskSpecBody{Size: [3]int64{size.CPU(), size.Memory(), size.Accel()}, Millis: int64(d)}}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// Payload returns the payload of a job whose step i runs tasks as specs[i] says.
func Payload(specs ...TaskSpec) (string, error) {
	bodies := make([]taskSpecBody, 0, len(specs))
	for _, s := range specs {
		bodies = append(bodies, s.body)
	}
	text, err := json.Marshal(bodies)
	return string(text), err
}

// work is the simulated work of one run.
type work struct {
	size anvilsize.Size
	// total is the running time of the whole task. doneBefore is how much of it was done up to the checkpoint from which
	// the run resumed.
	total       anvilclock.Millis
	doneBefore  anvilclock.Millis
	fails       bool
	longRunning bool
	checkpoints bool
	// members is the number of tasks of the gang; below 2 the task runs by itself.
	members int
}

func parseWork(payload string, task anviljob.TaskID, number int, checkpoint string) (work, error) {
	var specs []taskSpecBody
	if err := json.Unmarshal([]byte(payload), &specs); err != nil || task.Step() >= len(specs) {
		return work{}, fmt.Errorf("task %s: the payload has no valid spec for its step", task)
	}
	s := specs[task.Step()]
	w := work{
		size: anvilsize.New(s.Size[0], s.Size[1], s.Size[2]), total: anvilclock.Millis(s.Millis), longRunning: s.LongRunning, checkpoints: s.Checkpoints,
		fails: number <= s.Fails, members: s.Gang,
	}
	if checkpoint != "" {
		done, err := strconv.ParseInt(checkpoint, 10, 64)
		if err != nil {
			return work{}, fmt.Errorf("task %s: checkpoint %q: %w", task, checkpoint, err)
		}
		w.doneBefore = anvilclock.Millis(done)
	}
	return w, nil
}

// checkpoint returns the checkpoint after the run has worked for d: the milliseconds of work done, in decimal.
func (w work) checkpoint(d anvilclock.Millis) string {
	return strconv.FormatInt(int64(min(w.doneBefore+d, w.total)), 10)
}

// percent returns the progress after the run has worked for d.
func (w work) percent(d anvilclock.Millis) int {
	if w.longRunning {
		return 100
	}
	return int(min(w.doneBefore+d, w.total) * 100 / max(w.total, 1))
}
