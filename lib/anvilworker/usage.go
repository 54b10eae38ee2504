package anvilworker

import "anvilhold.org/lib/anvilsize"

// Usage keeps the reservation of each task on one worker. Declared sizes are often far too small, so a
// reservation grows to the use that the worker reports. It never shrinks, because reports lag and a task
// that is idle for a short time needs its reservation again. It is not safe for concurrent use.
type Usage struct {
	worker *Worker
	tasks  map[string]anvilsize.Size
}

// NewUsage returns the usage of a worker without tasks. It makes its reservations on that worker.
func NewUsage(w *Worker) *Usage { return &Usage{worker: w, tasks: map[string]anvilsize.Size{}} }

// Reserve reserves the declared size of a task. It returns a *CapacityError and changes nothing when the
// size exceeds the worker's free capacity.
func (u *Usage) Reserve(task string, declared anvilsize.Size) error {
	if err := u.worker.Reserve(declared); err != nil {
		return err
	}
	u.tasks[task] = declared
	return nil
}

// Adopt reserves the declared size of a task that already runs, whether or not it fits.
func (u *Usage) Adopt(task string, declared anvilsize.Size) {
	u.worker.Adopt(declared)
	u.tasks[task] = declared
}

// Report raises the reservation of a task to its use, as far as the worker has free capacity, and returns
// what was added; zero for an unknown task.
func (u *Usage) Report(task string, use anvilsize.Size) anvilsize.Size {
	reservation, ok := u.tasks[task]
	if !ok {
		return anvilsize.Size{}
	}
	var zero anvilsize.Size
	more := use.Sub(reservation).Max(zero).Min(u.worker.Free().Max(zero))
	u.worker.reserved = u.worker.reserved.Add(more)
	u.tasks[task] = reservation.Add(more)
	return more
}

// Reservation returns what is reserved for a task; zero for an unknown task.
func (u *Usage) Reservation(task string) anvilsize.Size { return u.tasks[task] }

// Release removes the reservation of a task and returns it; zero for an unknown task.
func (u *Usage) Release(task string) anvilsize.Size {
	reservation, ok := u.tasks[task]
	if !ok {
		return anvilsize.Size{}
	}
	delete(u.tasks, task)
	u.worker.Release(reservation)
	return reservation
}
