package anvilhost

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
)

// maxText bounds ids and names.
const maxText = 256

// maxRun bounds the time that a task of the stand-in works.
const maxRun anvilclock.Millis = 7 * 24 * 3600 * 1000

// The kinds of tasks that the worker treats in their own way.
const (
	kindCall    = "call"
	kindService = "service"
)

// Order is a request to run a task or to hold its place. It is immutable.
type Order struct {
	shard  string
	epoch  int64
	id     string
	team   string
	job    string
	kind   string
	until  anvilclock.Millis
	size   anvilsize.Size
	body   []byte
	hold   bool
	once   bool
	resume string
	run    anvilclock.Millis
}

// OrderOption sets an optional part of an Order.
type OrderOption func(*Order)

// WithOwner sets the team that the task counts on and the job that it belongs to.
func WithOwner(team, job string) OrderOption {
	return func(o *Order) { o.team, o.job = team, job }
}

// WithSize sets the place that the task takes.
func WithSize(s anvilsize.Size) OrderOption { return func(o *Order) { o.size = s } }

// WithBody sets the payload. The order keeps the slice.
func WithBody(b []byte) OrderOption { return func(o *Order) { o.body = b } }

// WithHold takes the place without running anything.
func WithHold(hold bool) OrderOption { return func(o *Order) { o.hold = hold } }

// WithOnce marks the task as non-idempotent.
func WithOnce(once bool) OrderOption { return func(o *Order) { o.once = once } }

// WithResume sets the object that holds the checkpoint to resume from.
func WithResume(object string) OrderOption { return func(o *Order) { o.resume = object } }

// WithRun sets how long the task works when its body doesn't say.
func WithRun(d anvilclock.Millis) OrderOption { return func(o *Order) { o.run = d } }

// WithUntil sets the time of the worker's clock after which the task must not start; 0 for none.
func WithUntil(at anvilclock.Millis) OrderOption { return func(o *Order) { o.until = at } }

// NewOrder returns an order, or the reason why it is malformed.
func NewOrder(shard string, epoch int64, id, kind string, opts ...OrderOption) (*Order, error) {
	o := &Order{shard: shard, epoch: epoch, id: id, kind: kind}
	for _, opt := range opts {
		opt(o)
	}
	switch {
	case shard == "" || id == "" || kind == "":
		return nil, badInput("shard, id and kind must be set")
	case o.size.Negative():
		return nil, badInput("size must not be negative")
	case o.run < 0 || o.run > maxRun:
		return nil, badInput("run must be between 0 and %d", maxRun)
	}
	for _, text := range []string{shard, id, kind, o.team, o.job, o.resume} {
		if len(text) > maxText {
			return nil, badInput("a name has more than %d bytes", maxText)
		}
	}
	return o, nil
}

func badInput(format string, args ...any) error {
	return anvilerror.Refuse(anvilerror.BadInput, fmt.Sprintf(format, args...))
}
