package anvilagent

import (
	"context"
	"time"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilhost"
)

// objectTimeout bounds a request to the object store. It is below the default lease of 8,000 ms, so
// that a failed checkpoint is known while the task can still run on.
const objectTimeout anvilclock.Millis = 5000

// Objects reads and writes checkpoints on goroutines of their own and posts the results to the
// actor of the worker's state.
type Objects struct {
	client *client
	actor  *anvilactor.Actor[*anvilhost.Host]
}

// NewObjects returns the object store of the platform at addr.
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

// Save writes a checkpoint within budget.
func (o *Objects) Save(task, object string, data []byte, budget anvilclock.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), min(budget, objectTimeout).Duration())
	go func() {
		defer cancel()
		o.actor.Send(savedMessage{task: task, err: o.put(ctx, object, data)})
	}()
}

// put writes an object unless the deadline of ctx has passed. The clock is read here because the
// timer of ctx may not have run yet in a process that was frozen and continued.
func (o *Objects) put(ctx context.Context, object string, data []byte) error {
	if until, ok := ctx.Deadline(); ok && time.Until(until) <= 0 {
		return context.DeadlineExceeded
	}
	return o.client.putObject(ctx, object, data)
}

// Load reads a checkpoint within budget.
func (o *Objects) Load(task, object string, budget anvilclock.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), min(budget, objectTimeout).Duration())
	go func() {
		defer cancel()
		data, err := o.client.getObject(ctx, object)
		o.actor.Send(loadedMessage{task: task, data: data, err: err})
	}()
}
