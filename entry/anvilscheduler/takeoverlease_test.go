package anvilscheduler

import (
	"context"
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// Limits of the users' platform: a long-running task whose worker was lost is at work again within awayAfterLoss of the loss and
// awayAfterHarm of the last disruption. It is at work startupTime after its start.
const (
	awayAfterLoss = anvilclock.Millis(9000)
	awayAfterHarm = anvilclock.Millis(7000)
	startupTime   = anvilclock.Millis(500)
)

// cutWorkers are the workers of a cluster as an instance sees them that doesn't reach one of them.
type cutWorkers struct {
	*fakeCluster
	cut string
}

// Start implements Workers.
func (c cutWorkers) Start(ctx context.Context, to Target, o StartOrder) (anvilclock.Millis, error) {
	if to.ID() == c.cut {
		return 0, NewOrderError(FaultNoReply, 0, errDown)
	}
	return c.fakeCluster.Start(ctx, to, o)
}

// Stop implements Workers.
func (c cutWorkers) Stop(ctx context.Context, to Target, o StopOrder) (anvilclock.Millis, error) {
	if to.ID() == c.cut {
		return 0, NewOrderError(FaultNoReply, 0, errDown)
	}
	return c.fakeCluster.Stop(ctx, to, o)
}

// Hold implements Workers.
func (c cutWorkers) Hold(ctx context.Context, to Target, o HoldOrder) (Report, error) {
	if to.ID() == c.cut {
		return Report{}, NewOrderError(FaultNoReply, 0, errDown)
	}
	return c.fakeCluster.Hold(ctx, to, o)
}

// hangingStore is a store whose commits get no answer until it is resumed.
type hangingStore struct {
	Store
	hung, resumed chan struct{}
}

// Commit implements Store.
func (s hangingStore) Commit(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	select {
	case <-s.resumed:
	default:
		s.hung <- struct{}{}
		<-s.resumed
	}
	return s.Store.Commit(ctx, tx)
}

// hangCommits lets the commits of an instance hang until the returned function is called, at most once.
func (h *harness) hangCommits() (resume func()) {
	l, spawn, store := h.loop, h.loop.spawn, h.loop.store
	s := hangingStore{Store: store, hung: make(chan struct{}), resumed: make(chan struct{})}
	var pending []chan struct{}
	l.store = s
	l.spawn = func(f func()) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			f()
		}()
		select {
		case <-done:
		case <-s.hung:
			pending = append(pending, done)
		}
	}
	return func() {
		close(s.resumed)
		for _, done := range pending {
			<-done
		}
		l.spawn, l.store = spawn, store
	}
}

// fakeWitnesses are the loops of the instances that answer, by address.
type fakeWitnesses map[string]*Loop

// ConfirmOutage implements Witnesses.
func (w fakeWitnesses) ConfirmOutage(_ context.Context, addr string, token int64) (bool, error) {
	if l := w[addr]; l != nil {
		return l.ConfirmOutage(token), nil
	}
	return false, errDown
}

// startedLongRunning returns a cluster whose worker w1 runs a long-running task, while w2 is idle.
func startedLongRunning(t *testing.T, opts ...Option) (*fakeCluster, *harness) {
	t.Helper()
	fc := newFakeCluster(t, testPolicy())
	fc.addWorker("w1", core(4)).clockLag = maxClockLag
	h := fc.newHarness("e1", opts...)
	fc.advance(firstClaimTime, h)
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithLongRunning(true)))
	fc.advance(reactionTime, h)
	assertRunning(t, fc, "j1.0.0.0")
	fc.addWorker("w2", core(4))
	fc.advanceWorking(2000, h)
	return fc, h
}

// loseWorker ends w1 with all its runs; nothing answers at its address.
func (fc *fakeCluster) loseWorker() anvilclock.Millis {
	fw := fc.workers["w1"]
	fw.restart()
	fw.unreachable = true
	return fc.clock.Now()
}

// assertBackBy checks that the task is at work on w2 at a time at the latest.
func assertBackBy(t *testing.T, fc *fakeCluster, by anvilclock.Millis, harnesses ...*harness) {
	t.Helper()
	for fc.clock.Now() < by-startupTime && fc.workerOf("j1.0.0.0") == nil {
		fc.advance(25, harnesses...)
	}
	if fw := fc.workerOf("j1.0.0.0"); fw == nil || fw.id != "w2" {
		t.Fatalf("the task does not run on w2 at %d ms", by-startupTime)
	}
}

// Guards against a long-running task that stays away because a successor waits for longer than the leases of a lost worker last.
func TestLongRunningTaskReturnsAfterTakeover(t *testing.T) {
	for _, tt := range []struct {
		name         string
		killed       anvilclock.Millis
		killedNextAt anvilclock.Millis
	}{
		{"leader killed before the worker", -500, 0},
		{"leader killed with the worker", 0, 0},
		{"leader killed a second after the worker", 1000, 0},
		{"leader killed when the worker is known to be unresponsive", 3000, 0},
		{"leader and successor killed", 1000, 3500},
		{"successor killed soon after its takeover", 1000, 2700},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fc, h := startedLongRunning(t)
			next, last := fc.newHarness("e2"), fc.newHarness("e3")
			begin := fc.clock.Now() + 500
			alive := []*harness{h, next}
			harmed, lost := anvilclock.Millis(0), anvilclock.Millis(0)
			for now := fc.clock.Now(); now <= begin+4000; now = fc.clock.Now() {
				switch {
				case harmed == 0 && now >= begin+tt.killed:
					h.paused, harmed = true, now
				case tt.killedNextAt != 0 && !next.paused && now >= begin+tt.killedNextAt:
					next.paused, harmed, alive = true, now, []*harness{last}
				case lost == 0 && now >= begin:
					lost = fc.loseWorker()
				default:
					fc.advance(25, alive...)
				}
			}
			assertBackBy(t, fc, max(lost+awayAfterLoss, harmed+awayAfterHarm), alive...)
		})
	}
}

// Guards against a wait for a lost worker that each takeover begins anew.
func TestTakeoversDoNotProlongLeases(t *testing.T) {
	fc, h := startedLongRunning(t)
	lost := fc.loseWorker()
	fc.advance(2500, h)
	for _, name := range []string{"e2", "e3"} {
		h.paused = true
		h = fc.newHarness(name)
		fc.advance(takeoverTime, h)
		assertEqual(t, name+" is leader", h.loop.leading(), true)
	}
	assertBackBy(t, fc, lost+awayAfterLoss, h)
}

// Guards against a second run of a task on a worker that only the former leader reaches, and which that one keeps alive.
func TestFormerLeaderStillReachesWorker(t *testing.T) {
	fc, h := startedLongRunning(t)
	h.hangCommits()
	next := fc.newHarness("e2")
	next.loop.workers = cutWorkers{fakeCluster: fc, cut: "w1"}
	fc.advance(takeoverTime, h, next)
	assertEqual(t, "the new instance is leader", next.loop.leading(), true)
	assertEqual(t, "the former one doesn't know it", h.loop.leading(), true)
	fc.advanceWorking(2*leaseGrace, h, next)
	assertRunning(t, fc, "j1.0.0.0")
	assertEqual(t, "worker of the task", fc.workerOf("j1.0.0.0").id, "w2")
}

// Guards against a wait that relies on a limit which a former leader of an earlier program doesn't keep to.
func TestFormerLeaderWithoutStoredLimit(t *testing.T) {
	fc, h := startedLongRunning(t)
	h.paused = true
	row, err := anvilstorage.LeadershipRow(anvilstorage.NewLeadership("e1", "e1:1", h.loop.leadership.token, 99))
	if err != nil {
		t.Fatal(err)
	}
	fc.store.setRow(row, anvilstorage.FleetPartition)
	next := fc.newHarness("e2")
	fc.advance(takeoverTime, next)
	now := fc.clock.Now()
	if end := next.loop.leadership.extension.formerEnd; end < now+leaseGrace-takeoverTime {
		t.Fatalf("the successor waits until %d, %d ms from now", end, end-now)
	}
	assertEqual(t, "bounds before it", next.loop.leadership.extension.formerBoundedSince, 0)
}
