package anvilagent

import (
	"context"
	"time"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilhost"
)

// objectTimeout limits a request to the object store. It is below the default lease of 8,000 ms, so that after a failed
// checkpoint the task can continue under its lease.
const objectTimeout anvilclock.Millis = 5000

// Objects reads and writes checkpoints in the platform's object store. Each request runs on its own goroutine, which sends
// the result to the worker's actor.
type Objects struct {
	client *client
	actor  *anvilactor.Actor[*anvilhost.Host]
}

// NewObjects returns a client of the object store of the platform at addr. region is the worker's region.
func NewObjects(addr, region string, actor *anvilactor.Actor[*anvilhost.Host]) *Objects {
	return &Objects{client: newClient(addr, region), actor: actor}
}

type savedMessage struct {
	task string
	err  error
}

func (m savedMessage) Apply(h *anvilhost.Host) { h.Saved(m.task, m.err) }

type loadedMessage struct {
	task string
	data []byte
	err  error
}

func (m loadedMessage) Apply(h *anvilhost.Host) { h.Loaded(m.task, m.data, m.err) }

// Save starts to write a checkpoint and returns. The write fails after budget or 5 s, whichever is shorter. The actor gets
// the result as a call of Host.Saved.
func (o *Objects) Save(task, object string, data []byte, budget anvilclock.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), min(budget, objectTimeout).Duration())
	go func() {
		defer cancel()
		o.actor.Send(savedMessage{task: task, err: o.put(ctx, object, data)})
	}()
}

// put writes an object unless the deadline of ctx has passed. It reads the clock because in a process that was paused and
// resumed the timer of ctx may not have run yet.
func (o *Objects) put(ctx context.Context, object string, data []byte) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= 0 {
		return context.DeadlineExceeded
	}
	return o.client.putObject(ctx, object, data)
}

// Load starts to read a checkpoint and returns. The read fails after budget or 5 s, whichever is shorter. The actor gets
// the result as a call of Host.Loaded.
func (o *Objects) Load(task, object string, budget anvilclock.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), min(budget, objectTimeout).Duration())
	go func() {
		defer cancel()
		data, err := o.client.getObject(ctx, object)
		o.actor.Send(loadedMessage{task: task, data: data, err: err})
	}()
}
