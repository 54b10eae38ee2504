package anvilplatformworker

import (
	"encoding/json"
	"fmt"
	"strconv"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// Part is what the tasks of one step do. The payload of a job lists a part for each step; workers of the
// users' platform know it from the image that a task runs.
type Part struct {
	body partBody
}

type partBody struct {
	Size   [3]int64 `json:"size"`
	Millis int64    `json:"ms"`
	Fails  int      `json:"fails,omitempty"`
	Lasts  bool     `json:"lasts,omitempty"`
	Saves  bool     `json:"saves,omitempty"`
	Gang   int      `json:"gang,omitempty"`
}

// PartOption sets an optional part of a Part.
type PartOption func(*Part)

// WithFailures sets how many runs of a task fail before one ends with success.
func WithFailures(n int) PartOption { return func(p *Part) { p.body.Fails = n } }

// WithLongRunning says that a task works until it is stopped.
func WithLongRunning(on bool) PartOption { return func(p *Part) { p.body.Lasts = on } }

// WithSaving says that a task saves its progress.
func WithSaving(on bool) PartOption { return func(p *Part) { p.body.Saves = on } }

// WithGang sets how many tasks work only together.
func WithGang(members int) PartOption { return func(p *Part) { p.body.Gang = members } }

// NewPart returns what a task of a size does for a time.
func NewPart(size anvilsize.Size, d anvilclock.Millis, opts ...PartOption) Part {
	p := Part{body: partBody{Size: [3]int64{size.CPU(), size.Memory(), size.Accel()}, Millis: int64(d)}}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// Payload returns the payload of a job with a part for each step.
func Payload(parts ...Part) (string, error) {
	bodies := make([]partBody, 0, len(parts))
	for _, p := range parts {
		bodies = append(bodies, p.body)
	}
	text, err := json.Marshal(bodies)
	return string(text), err
}

// work is what a run does.
type work struct {
	size  anvilsize.Size
	total anvilclock.Millis
	done  anvilclock.Millis
	fails bool
	lasts bool
	saves bool
	// members is the number of tasks of a gang.
	members int
}

func parseWork(payload string, task anviljob.TaskID, number int, checkpoint string) (work, error) {
	var parts []partBody
	if err := json.Unmarshal([]byte(payload), &parts); err != nil || task.Step() >= len(parts) {
		return work{}, fmt.Errorf("task %s: the payload does not tell what to do", task)
	}
	p := parts[task.Step()]
	w := work{
		size: anvilsize.New(p.Size[0], p.Size[1], p.Size[2]), total: anvilclock.Millis(p.Millis), lasts: p.Lasts, saves: p.Saves,
		fails: number <= p.Fails, members: p.Gang,
	}
	if checkpoint != "" {
		done, err := strconv.ParseInt(checkpoint, 10, 64)
		if err != nil {
			return work{}, fmt.Errorf("task %s: checkpoint %q: %w", task, checkpoint, err)
		}
		w.done = anvilclock.Millis(done)
	}
	return w, nil
}

// checkpoint returns where the work resumes after it went on for d.
func (w work) checkpoint(d anvilclock.Millis) string {
	return strconv.FormatInt(int64(min(w.done+d, w.total)), 10)
}

// percent returns how much of the work is done after it went on for d.
func (w work) percent(d anvilclock.Millis) int {
	if w.lasts {
		return 100
	}
	return int(min(w.done+d, w.total) * 100 / max(w.total, 1))
}
