package anvilcontrol

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// fakeWorker follows the rules of the platform's workers for epochs, leases, known ids and capacity.
type fakeWorker struct {
	cell         *cell
	id           string
	domain       string
	pool         string
	boot         string
	size         anvilsize.Size
	exited       bool // the process has exited and is no longer registered
	unregistered bool // not in the platform's registry
	unresponsive bool // requests get no answer and have no effect
	loseAnswers  bool // requests take effect and get no answer
	leaving      bool
	epoch        int64
	leaseExpiry  anvilclock.Millis
	tasks        map[string]*fakeTask
	ended        []EndedTask
	refused      map[string]bool
	starts       map[string]int // starts of each task id, over all processes
}

type fakeTask struct {
	start Start
	held  bool
	end   anvilclock.Millis
	reply func(Message)
	ref   Ref
}

func (w *fakeWorker) reset() {
	w.epoch, w.leaseExpiry = 0, 0
	w.tasks, w.ended, w.refused = map[string]*fakeTask{}, nil, map[string]bool{}
	if w.starts == nil {
		w.starts = map[string]int{}
	}
}

// restart replaces the worker's process, whose tasks and records are lost.
func (w *fakeWorker) restart() {
	w.boot += "+"
	for _, f := range w.tasks {
		if f.reply != nil {
			f.reply(NewStartFailure(f.ref, anvilerror.UnknownOutcome(anvilerror.Lost, "the worker's process has exited")))
		}
	}
	w.reset()
}

func (w *fakeWorker) used() anvilsize.Size {
	var sum anvilsize.Size
	for _, f := range w.tasks {
		sum = sum.Add(f.start.task.Size())
	}
	return sum
}

// advance ends the tasks whose run time has passed, and all tasks once the lease has expired.
func (w *fakeWorker) advance() {
	now := w.cell.clock.Now()
	for _, id := range w.ids() {
		f := w.tasks[id]
		switch {
		case w.leaseExpiry > 0 && now >= w.leaseExpiry:
			w.finish(f, reportStopped, nil)
		case !f.held && now >= f.end:
			w.finish(f, reportDone, f.start.task.Body())
		}
	}
}

func (w *fakeWorker) ids() []string {
	var ids []string
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

func (w *fakeWorker) finish(f *fakeTask, state string, answer []byte) {
	id := f.start.id
	delete(w.tasks, id)
	if f.held {
		state = reportNotRun
	}
	t := f.start.task
	w.ended = append(w.ended, NewEndedTask(id, f.start.job, t.Team(), state, "", t.NonIdempotent(), 0, answer))
	if f.reply != nil {
		f.reply(NewStarted(f.ref, state, "", "", answer))
	}
}

// answer delivers the result m of a call of n, or failure if the worker's answers are lost.
func (w *fakeWorker) answer(n *node, m, failure Message) {
	if w.loseAnswers || w.unresponsive || w.exited {
		m = failure
	}
	w.cell.queueResult(n, func() Message { return m })
}

func (w *fakeWorker) unreachable() bool { return w == nil || w.unresponsive || w.exited }

func (n *node) Fence(ref Ref, addr string, f Fence) {
	w := n.cell.workers[addr]
	failure := NewFenceFailure(ref, anvilerror.Refuse(anvilerror.NoOwner, "no answer"))
	if w.unreachable() {
		n.cell.queueResult(n, func() Message { return failure })
		return
	}
	if f.epoch < w.epoch {
		w.answer(n, NewFenced(ref, false, w.epoch, w.boot, w.size, nil, nil, 0), failure)
		return
	}
	w.epoch, w.leaseExpiry = f.epoch, n.cell.clock.Now()+f.lease
	var tasks []RunningTask
	for _, id := range w.ids() {
		t := w.tasks[id]
		state := reportRunning
		if t.held {
			state = reportHeld
		}
		task := t.start.task
		tasks = append(tasks, NewRunningTask(id, t.start.job, task.Team(), task.Kind(), task.Size(), task.Size(), state, task.NonIdempotent()))
	}
	from := min(int(f.cursor), len(w.ended))
	w.answer(n, NewFenced(ref, true, w.epoch, w.boot, w.size, tasks, slices.Clone(w.ended[from:]), int64(len(w.ended))), failure)
}

func (n *node) Start(ref Ref, addr string, s Start) {
	w := n.cell.workers[addr]
	failure := NewStartFailure(ref, anvilerror.UnknownOutcome(anvilerror.Lost, "no answer"))
	if w.unreachable() {
		n.cell.queueResult(n, func() Message { return failure })
		return
	}
	now := n.cell.clock.Now()
	switch {
	case s.epoch != w.epoch || now >= w.leaseExpiry:
		w.answer(n, NewStarted(ref, reportNotRun, string(anvilerror.Stale), "stale epoch", nil), failure)
		return
	case w.refused[s.id] || w.tasks[s.id] != nil:
		w.answer(n, NewStarted(ref, reportNotRun, string(anvilerror.Duplicate), "known id", nil), failure)
		return
	case !s.task.Size().Fits(w.size.Sub(w.used())):
		w.answer(n, NewStarted(ref, reportNotRun, string(anvilerror.NoCapacity), "no free capacity", nil), failure)
		return
	}
	w.starts[taskID(s.id)]++
	f := &fakeTask{start: s, held: s.hold, end: now + s.task.RunTime()}
	w.tasks[s.id] = f
	switch {
	case s.hold:
		w.answer(n, NewStarted(ref, reportHeld, "", "", nil), failure)
	case s.task.Kind() != anviltask.Call:
		w.answer(n, NewStarted(ref, reportRunning, "", "", nil), failure)
	case w.loseAnswers:
		w.answer(n, nil, failure)
	default:
		f.ref, f.reply = ref, func(m Message) { w.answer(n, m, failure) }
	}
}

func (n *node) Control(ref Ref, addr string, c Control) {
	w := n.cell.workers[addr]
	failure := NewControlFailure(ref, anvilerror.UnknownOutcome(anvilerror.Lost, "no answer"))
	if w.unreachable() {
		n.cell.queueResult(n, func() Message { return failure })
		return
	}
	if c.epoch != w.epoch {
		w.answer(n, NewControlled(ref, false, string(anvilerror.Stale), "", w.boot, nil), failure)
		return
	}
	f := w.tasks[c.id]
	switch {
	case f == nil:
		for _, e := range w.ended {
			if e.id == c.id {
				w.answer(n, NewControlled(ref, true, e.code, e.state, w.boot, e.answer), failure)
				return
			}
		}
		w.refused[c.id] = true
		w.answer(n, NewControlled(ref, true, "", reportNotRun, w.boot, nil), failure)
	case c.op == Go:
		f.held = false
		f.end = n.cell.clock.Now() + f.start.task.RunTime()
		w.answer(n, NewControlled(ref, true, "", reportRunning, w.boot, nil), failure)
	case c.op == Stop, c.op == Checkpoint:
		state := reportStopped
		if c.op == Checkpoint {
			state = reportCheckpointed
		}
		if f.held {
			state = reportNotRun
		}
		w.finish(f, state, nil)
		w.answer(n, NewControlled(ref, true, "", state, w.boot, nil), failure)
	default:
		w.answer(n, NewControlled(ref, true, "", reportRunning, w.boot, nil), failure)
	}
}
