package anvilscheduler

// Orders carry the fencing token of the leadership row. When a worker restarts under its id, an acknowledgement to it gets no answer, or
// a run ends there whose start may still arrive, the leader raises the token for it: once its process has accepted the raised one, it
// refuses earlier orders that arrive late.

// requireFence requires that the worker accepts a fencing token above those of all orders sent so far, before it gets starts.
func (l *Loop) requireFence(w *worker) { w.minFence = l.requestFence() }

// requestFence requests that the next commit raises the fencing token above those of all orders sent so far, and returns the raised
// one.
func (l *Loop) requestFence() int64 {
	ls := &l.leadership
	newest := ls.fence
	if b := l.commits.inflight; b != nil {
		newest = max(newest, b.fence)
	}
	ls.requiredFence = newest + 1
	return ls.requiredFence
}

// nextFence returns the fencing token for the next leadership row.
func (l *Loop) nextFence() int64 { return max(l.leadership.fence, l.leadership.requiredFence) }

// raiseFence applies the fencing token of a commit that was applied.
func (l *Loop) raiseFence(fence int64) {
	ls := &l.leadership
	if fence <= ls.fence {
		return
	}
	ls.fence = fence
	for _, w := range l.fleet.byID {
		if w.fence < w.barringFence && w.barringFence <= fence {
			w.fence = fence
		}
		if w.fence < w.minFence && w.minFence <= fence {
			w.fence = fence
			l.holdIfDue(w, l.clock.Now())
		}
	}
}

// acceptFence records that the worker has answered an order with a fencing token. With the required one, it refuses all orders
// to its former incarnations from now on. A late order may have extended the leases of a worker that has restarted before that.
func (w *worker) acceptFence(fence int64) {
	if w.minFence == 0 || fence < w.minFence {
		return
	}
	w.minFence, w.formerAckUntil = 0, 0
	if w.formerIncarnation != 0 {
		w.recordRestart(w.loop.clock.Now())
	}
}

// overtaken reports whether an order with a fencing token was refused because the worker's present process has got a higher one
// from this leader.
func (w *worker) overtaken(fence int64) bool {
	current := w.loop.fleet.byID[w.id()]
	return current != nil && fence < current.fence
}
