// Package anvilworker holds an owner's view of a worker: its capacity, what is reserved on it, whether it
// accepts new work and whether it is quarantined because its tasks fail.
package anvilworker

import (
	"fmt"

	"anvilhold.org/lib/anvilsize"
)

// Worker is the owner's view of one worker instance. It is not safe for concurrent use.
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

// Option configures a Worker.
type Option func(*Worker)

// WithAddr sets the address at which the worker serves its protocol.
func WithAddr(addr string) Option { return func(w *Worker) { w.addr = addr } }

// WithLocation sets the failure domain and the region in which the worker runs.
func WithLocation(domain, region string) Option {
	return func(w *Worker) { w.domain, w.region = domain, region }
}

// WithPool sets the name of the pool that the worker belongs to.
func WithPool(pool string) Option { return func(w *Worker) { w.pool = pool } }

// WithCapacity sets the worker's total resources.
func WithCapacity(s anvilsize.Size) Option { return func(w *Worker) { w.capacity = s } }

// New returns a worker without reservations that accepts no work until SetSchedulable is called.
func New(id string, opts ...Option) *Worker {
	w := &Worker{id: id}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// ID returns the id of the worker instance.
func (w *Worker) ID() string { return w.id }

// Addr returns the address at which the worker serves its protocol.
func (w *Worker) Addr() string { return w.addr }

// Domain returns the failure domain in which the worker runs.
func (w *Worker) Domain() string { return w.domain }

// Region returns the region of the worker's failure domain.
func (w *Worker) Region() string { return w.region }

// Pool returns the name of the pool that the worker belongs to.
func (w *Worker) Pool() string { return w.pool }

// Capacity returns the worker's total resources.
func (w *Worker) Capacity() anvilsize.Size { return w.capacity }

// Reserved returns the sum of all reservations.
func (w *Worker) Reserved() anvilsize.Size { return w.reserved }

// Free returns the capacity less the reservations. An amount is negative when the reservations
// exceed the capacity.
func (w *Worker) Free() anvilsize.Size { return w.capacity.Sub(w.reserved) }

// Tasks returns the number of tasks that hold a reservation.
func (w *Worker) Tasks() int { return w.tasks }

// Schedulable reports whether the worker accepts new work.
func (w *Worker) Schedulable() bool { return w.schedulable }

// SetSchedulable sets whether the worker accepts new work. Its reservations stay.
func (w *Worker) SetSchedulable(schedulable bool) { w.schedulable = schedulable }

// SetCapacity replaces the worker's total resources. Reservations stay, also when they exceed it.
func (w *Worker) SetCapacity(s anvilsize.Size) { w.capacity = s }

// CapacityError is the error of a reservation that exceeds the worker's free capacity.
type CapacityError struct {
	worker    string
	size      anvilsize.Size
	free      anvilsize.Size
	dimension anvilsize.Dimension
}

// Dimension returns the first dimension in which the free capacity is too small.
func (e *CapacityError) Dimension() anvilsize.Dimension { return e.dimension }

// Error returns the worker, its free capacity and the requested size on one line.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("worker %s has %s free, which is less than %s in %s", e.worker, e.free, e.size, e.dimension)
}

// Reserve reserves s for one task. It returns a *CapacityError and changes nothing when s exceeds the
// free capacity.
func (w *Worker) Reserve(s anvilsize.Size) error {
	if d, over := s.Exceeds(w.Free()); over {
		return &CapacityError{worker: w.id, size: s, free: w.Free(), dimension: d}
	}
	w.reserved = w.reserved.Add(s)
	w.tasks++
	return nil
}

// Adopt reserves s for a task that already runs on the worker, whether or not it fits.
func (w *Worker) Adopt(s anvilsize.Size) {
	w.reserved = w.reserved.Add(s)
	w.tasks++
}

// Release removes the reservation s that Reserve or Adopt made for a task.
func (w *Worker) Release(s anvilsize.Size) {
	w.reserved = w.reserved.Sub(s)
	w.tasks--
}
