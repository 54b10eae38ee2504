// Package anvilworker holds what an owner believes of a worker: its capacity, what is reserved on
// it and whether it takes new work.
package anvilworker

import (
	"fmt"

	"anvilhold.org/lib/anvilsize"
)

// Worker is one worker instance. It is not safe for concurrent use.
type Worker struct {
	id          string
	addr        string
	domain      string
	region      string
	pool        string
	capacity    anvilsize.Size
	reserved    anvilsize.Size
	tasks       int
	schedulable bool
}

// Option sets an optional part of a Worker.
type Option func(*Worker)

// WithAddr sets the address of the worker's protocol.
func WithAddr(addr string) Option { return func(w *Worker) { w.addr = addr } }

// WithPlace sets the failure domain and the region.
func WithPlace(domain, region string) Option {
	return func(w *Worker) { w.domain, w.region = domain, region }
}

// WithPool sets the pool.
func WithPool(pool string) Option { return func(w *Worker) { w.pool = pool } }

// WithCapacity sets the size of the worker.
func WithCapacity(s anvilsize.Size) Option { return func(w *Worker) { w.capacity = s } }

// New returns a worker that takes no work yet.
func New(id string, opts ...Option) *Worker {
	w := &Worker{id: id}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// ID returns the instance's id.
func (w *Worker) ID() string { return w.id }

// Addr returns the address of the worker's protocol.
func (w *Worker) Addr() string { return w.addr }

// Domain returns the failure domain.
func (w *Worker) Domain() string { return w.domain }

// Region returns the region.
func (w *Worker) Region() string { return w.region }

// Pool returns the pool.
func (w *Worker) Pool() string { return w.pool }

// Capacity returns the size of the worker.
func (w *Worker) Capacity() anvilsize.Size { return w.capacity }

// Reserved returns the sum of all reservations.
func (w *Worker) Reserved() anvilsize.Size { return w.reserved }

// Free returns capacity less reservations.
func (w *Worker) Free() anvilsize.Size { return w.capacity.Sub(w.reserved) }

// Tasks returns the number of reservations.
func (w *Worker) Tasks() int { return w.tasks }

// Schedulable reports whether the worker takes new work.
func (w *Worker) Schedulable() bool { return w.schedulable }

// SetSchedulable says whether the worker takes new work.
func (w *Worker) SetSchedulable(schedulable bool) { w.schedulable = schedulable }

// SetCapacity replaces the size of the worker.
func (w *Worker) SetCapacity(s anvilsize.Size) { w.capacity = s }

// CapacityError says that a reservation doesn't fit.
type CapacityError struct {
	worker    string
	size      anvilsize.Size
	free      anvilsize.Size
	dimension anvilsize.Dimension
}

// Dimension returns the first dimension that is too small.
func (e *CapacityError) Dimension() anvilsize.Dimension { return e.dimension }

// Error formats e on one line.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("worker %s has %s free, which is less than %s in %s", e.worker, e.free, e.size, e.dimension)
}

// Reserve sets s aside. It fails and changes nothing when s is more than what is free.
func (w *Worker) Reserve(s anvilsize.Size) error {
	if d, over := s.Exceeds(w.Free()); over {
		return &CapacityError{worker: w.id, size: s, free: w.Free(), dimension: d}
	}
	w.reserved = w.reserved.Add(s)
	w.tasks++
	return nil
}

// Adopt records a task that already runs on the worker, whether or not it fits.
func (w *Worker) Adopt(s anvilsize.Size) {
	w.reserved = w.reserved.Add(s)
	w.tasks++
}

// Release gives back what Reserve or Adopt set aside.
func (w *Worker) Release(s anvilsize.Size) {
	w.reserved = w.reserved.Sub(s)
	w.tasks--
}
