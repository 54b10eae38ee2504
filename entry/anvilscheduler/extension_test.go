package anvilscheduler

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// Guards against a second run of a long-running task at a worker whose restart only the former leader knew: its next process grants
// the longest lease to an order with a time of the earlier one's clock.
func TestTakeoverAfterRestartThatFormerLeaderKnew(t *testing.T) {
	for name, silent := range map[string]anvilclock.Millis{"without a stored bound": 0, "with a stored bound": 1500} {
		t.Run(name, func(t *testing.T) {
			fc, h := startedAfterRestart(t, false, anviljob.WithLongRunning(true))
			fc.showRestart()
			fc.advance(100, h)
			task := h.loop.findTask(anviljob.NewTaskID("j1", 0, 0, 0))
			assertEqual(t, "incarnation that the leader knows", task.incarnation, fc.workers["w1"].incarnation)
			fc.workers["w1"].unreachable = true
			fc.advance(silent, h)
			h.paused = true
			assertMovedAfterLease(t, fc, fc.newHarness("e2"))
		})
	}
}

// Guards against a second run while the first one's lease is extended by a confirmation of instances that are no witnesses any
// more: the successor is a witness that was never asked.
func TestWitnessesChangeWhileConfirmed(t *testing.T) {
	fc, leader, _, witnesses := startedWithWitness(t)
	next := fc.newHarness("e3", WithWitnesses(witnesses))
	next.loop.workers = cutWorkers{fakeCluster: fc, cut: "w1"}
	fc.advanceWorking(2000, leader, next)
	for fc.clock.Now()-leader.loop.commits.lastSent < renewInterval-25 {
		fc.advance(25, leader, next)
	}
	leader.loop.confirmOutage(context.Background())
	leader.runUntilIdle()
	witnessesFound{token: leader.loop.leadership.token, addrs: []string{"e2:1", "e3:1"}}.deliver(leader.loop)
	fc.advance(50, leader, next)
	assertEqual(t, "stored witnesses", leader.loop.leadership.extension.stored, []string{"e2:1", "e3:1"})
	leader.hangCommits()
	for range 40 {
		fc.advance(200, leader, next)
	}
	assertEqual(t, "the new instance is leader", next.loop.leading(), true)
	assertRunning(t, fc, "j1.0.0.0")
}

// scriptedStore calls a function instead of each commit.
type scriptedStore struct {
	Store
	commit func(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error)
}

// Commit implements Store.
func (s scriptedStore) Commit(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	return s.commit(ctx, tx)
}

// Guards against a second run because a leader that recognizes its own commit after seconds counts its grace from then, while a
// successor counts it from the row.
func TestGraceAfterOwnCommitIsRecognizedLate(t *testing.T) {
	fc, leader, witness, _ := startedWithWitness(t)
	store := leader.loop.store
	hung, answer := make(chan struct{}), make(chan struct{})
	var n atomic.Int64
	leader.loop.store = scriptedStore{Store: store, commit: func(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
		switch n.Add(1) {
		case 1: // applied, the answer is lost
			_, _ = store.Commit(ctx, tx)
		case 3: // refused with the current row
			return store.Commit(ctx, tx)
		default: // not applied
			hung <- struct{}{}
			<-answer
		}
		return anvilstorage.Receipt{}, anvilstorage.NewError(anvilstorage.Unknown, errDown)
	}}
	leader.loop.spawn = func(f func()) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			f()
		}()
		select {
		case <-done:
		case <-hung:
		}
	}
	applied := fc.clock.Now()
	step := func(d anvilclock.Millis, hs ...*harness) {
		for end := fc.clock.Now() + d; fc.clock.Now() < end; {
			leader.loop.confirmOutage(context.Background())
			fc.advance(200, hs...)
		}
	}
	step(6000, leader)
	answer <- struct{}{}
	// The retry follows on its own goroutine.
	for range 200 {
		fc.advance(0, leader)
		leader.runUntilIdle()
		if leader.loop.leadership.lastRenewed > applied+5000 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	// From now on nothing reaches the store but a new instance, which reaches w2 only.
	next := fc.newHarness("e3")
	next.loop.workers = cutWorkers{fakeCluster: fc, cut: "w1"}
	step(14_000, leader, next)
	assertEqual(t, "the witness never led", witness.loop.leadership.token, 0)
	assertEqual(t, "the new instance is leader", next.loop.leading(), true)
	close(answer)
}

// Guards against work that ends because commits take as long as a slow store may take, while reads are answered at once.
func TestSlowCommitsBesideFastReads(t *testing.T) {
	for _, latency := range []anvilclock.Millis{300, 700, 900} {
		t.Run(latency.Duration().String(), func(t *testing.T) {
			fc, leader := startedLongRunning(t, WithWitnesses(fakeWitnesses{}))
			leader.loop.post(witnessesFound{token: leader.loop.leadership.token, addrs: []string{}})
			fc.advance(reactionTime, leader)
			store := leader.loop.store
			hung, release := make(chan struct{}), make(chan struct{})
			type call struct {
				at   anvilclock.Millis
				done chan struct{}
			}
			var calls []call
			leader.loop.store = scriptedStore{Store: store, commit: func(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
				hung <- struct{}{}
				<-release
				return store.Commit(ctx, tx)
			}}
			leader.loop.spawn = func(f func()) {
				done := make(chan struct{})
				go func() {
					defer close(done)
					f()
				}()
				select {
				case <-done:
				case <-hung:
					calls = append(calls, call{fc.clock.Now(), done})
				}
			}
			for range 400 {
				if len(calls) > 0 && fc.clock.Now()-calls[0].at >= latency {
					release <- struct{}{}
					<-calls[0].done
					calls = slices.Delete(calls, 0, 1)
				}
				leader.loop.confirmOutage(context.Background())
				fc.advance(25, leader)
			}
			assertEqual(t, "leads", leader.loop.leading(), true)
			assertRunning(t, fc, "j1.0.0.0")
			assertEqual(t, "worker of the task", fc.workerOf("j1.0.0.0").id, "w1")
			assertEqual(t, "runs that w1 has ended", len(fc.workers["w1"].ends)+int(fc.workers["w1"].lastEnd), 0)
		})
	}
}

// Guards against work that ends because the store refuses commits for a while that it answers with certainty, and serves reads.
func TestCommitsRefusedBesideReads(t *testing.T) {
	fc, leader, witness, _ := startedWithWitness(t)
	refuse := func(h *harness) {
		h.loop.store = scriptedStore{Store: h.loop.store, commit: func(context.Context, *anvilstorage.Tx) (anvilstorage.Receipt, error) {
			return anvilstorage.Receipt{}, anvilstorage.NewError(anvilstorage.Refused, errDown)
		}}
	}
	refuse(witness)
	leader.hangCommits()
	for range 45 {
		// The leader doesn't reach the store at all, so it asks.
		leader.loop.confirmOutage(context.Background())
		fc.advance(200, leader, witness)
	}
	assertRunning(t, fc, "j1.0.0.0")
}

// startedWithJoined is startedWithWitness with another instance that joined too late to be a witness.
func startedWithJoined(t *testing.T) (fc *fakeCluster, leader, witness, joined *harness) {
	t.Helper()
	fc, leader, witness, witnesses := startedWithWitness(t)
	joined = fc.newHarness("e3", WithWitnesses(witnesses))
	witnesses["e3:1"] = joined.loop
	row, err := anvilstorage.InstanceRow(joined.loop.self)
	if err != nil {
		t.Fatal(err)
	}
	leader.loop.post(instancesRead{token: leader.loop.leadership.token, page: anvilstorage.NewPage([]anvilstorage.Row{row}, 1, 0)})
	return fc, leader, witness, joined
}

// Guards against a long-running task that stays away because the successor can't know what was confirmed to its predecessor.
func TestLongRunningTaskReturnsAfterTakeoverBy(t *testing.T) {
	t.Run("an instance that joined a second ago", func(t *testing.T) {
		fc, leader, witness, joined := startedWithJoined(t)
		fc.advanceWorking(1000, leader, joined, witness)
		leader.paused = true
		lost := fc.loseWorker()
		assertBackBy(t, fc, lost+awayAfterLoss, joined, witness)
	})
	t.Run("a witness, beside an instance that is none", func(t *testing.T) {
		// Guards against an instance that has to wait for the whole grace and claims before one that needn't.
		fc, leader, witness, _ := startedWithWitness(t)
		other := fc.newHarness("e3")
		fc.advanceWorking(1000, leader, other, witness)
		leader.paused = true
		lost := fc.loseWorker()
		assertBackBy(t, fc, lost+awayAfterLoss, other, witness)
	})
	t.Run("the same instance again, after one that stored no witnesses", func(t *testing.T) {
		fc, leader, witness, _ := startedWithWitness(t)
		fc.advanceWorking(1000, leader, witness)
		leader.loop.stepDownPartitioned(nil)
		fc.advance(takeoverTime, witness)
		assertEqual(t, "the witness leads", witness.loop.leading(), true)
		witness.paused = true
		lost := fc.loseWorker()
		assertBackBy(t, fc, lost+awayAfterLoss, leader)
	})
	t.Run("the same instance that stepped down", func(t *testing.T) {
		fc, leader, _, _ := startedWithWitness(t)
		lost := fc.loseWorker()
		leader.loop.stepDownPartitioned(nil)
		assertBackBy(t, fc, lost+awayAfterLoss, leader)
	})
	t.Run("a witness whose read of the witnesses is lost", func(t *testing.T) {
		fc, leader, witness, _ := startedWithWitness(t)
		fc.advanceWorking(1000, leader, witness)
		leader.paused = true
		lost := fc.loseWorker()
		witness.loop.store = &forgetfulStore{Store: witness.loop.store}
		assertBackBy(t, fc, lost+awayAfterLoss, witness)
	})
}

// forgetfulStore loses the answer to the first read of the witnesses.
type forgetfulStore struct {
	Store
	lost bool
}

// Scan implements Store.
func (s *forgetfulStore) Scan(ctx context.Context, table anvilstorage.Table) (anvilstorage.Page, error) {
	if table == anvilstorage.WitnessList && !s.lost {
		s.lost = true
		return anvilstorage.Page{}, anvilstorage.NewError(anvilstorage.Unknown, errDown)
	}
	return s.Store.Scan(ctx, table)
}

// Guards against a long-running task that stays away because the leader's next process accounts for confirmations that nobody uses.
func TestLongRunningTaskReturnsAfterRestartOfLeader(t *testing.T) {
	for _, tt := range []struct {
		name      string
		witnesses []string
	}{
		{"the only instance", []string{}},
		{"one of two instances", []string{"e2:1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fc, leader := startedLongRunning(t, WithWitnesses(fakeWitnesses{}))
			leader.loop.post(witnessesFound{token: leader.loop.leadership.token, addrs: tt.witnesses})
			fc.advanceWorking(1000, leader)
			assertEqual(t, "witnesses are stored", leader.loop.leadership.extension.stored != nil, true)
			leader.paused = true
			lost := fc.loseWorker()
			fc.advance(300)
			next := fc.newHarness("e1-2", WithWitnesses(fakeWitnesses{}), WithMachine("e1"))
			next.loop.self = anvilstorage.NewInstance("e1-2", "e1:1", "d1", 0)
			assertBackBy(t, fc, lost+awayAfterLoss, next)
		})
	}
}

// Guards against confirmations for a leader whose successor is an earlier claim of this instance: a third instance that claims next
// doesn't account for them.
func TestNoConfirmationAfterOwnClaimWasAppliedLate(t *testing.T) {
	fc, leader, witness, _ := startedWithWitness(t)
	token := leader.loop.leadership.token
	leader.paused = true
	store := witness.loop.store
	var first *anvilstorage.Tx
	claims := 0
	witness.loop.store = scriptedStore{Store: store, commit: func(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
		claims++
		if claims == 1 {
			first = tx
			return anvilstorage.Receipt{}, anvilstorage.NewError(anvilstorage.Unknown, errDown)
		}
		// The first claim is carried out late, just before the second one.
		_, _ = store.Commit(ctx, first)
		fc.store.down = true
		return store.(*fakeStore).commitWhenUp(ctx, tx)
	}}
	for claims < 2 {
		fc.advance(25, witness)
	}
	fc.advance(100, witness)
	row, err := anvilstorage.ParseLeadership(fc.store.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey))
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, "token of the row", row.Token(), token+1)
	assertEqual(t, "the former leader gets a confirmation", witness.loop.ConfirmOutage(token), false)
}

// commitWhenUp commits although the store is down for other calls.
func (s *fakeStore) commitWhenUp(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	s.down = false
	defer func() { s.down = true }()
	return s.Commit(ctx, tx)
}

// Guards against a wait for an ordinary task at a lost worker that each takeover begins anew.
func TestTakeoversDoNotProlongWaitForOrdinaryTask(t *testing.T) {
	fc, h := started(t, "w1")
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
	fc.advance(reactionTime, h)
	fc.addWorker("w2", core(4))
	fc.advanceWorking(2000, h)
	lost := fc.loseWorker()
	fc.advance(2500, h)
	back := func() bool { return fc.workerOf("j1.0.0.0") != nil }
	for _, name := range []string{"e2", "e3", "e4", "e5"} {
		h.paused = true
		h = fc.newHarness(name)
		for end := fc.clock.Now() + takeoverTime + 1500; fc.clock.Now() < end && !back(); {
			fc.advance(25, h)
		}
		assertEqual(t, name+" is leader", back() || h.loop.leading(), true)
	}
	longest := lost + h.loop.leaseExpiryAfter(maxWorkerLease) + reactionTime
	for fc.clock.Now() < lost+60_000 && !back() {
		fc.advance(25, h)
	}
	if now := fc.clock.Now(); now > longest {
		t.Fatalf("the task runs again %d ms after the loss, no lease lasts longer than %d ms", now-lost, longest-lost)
	}
}

// Guards against an outage that ends all work because it begins just after the leader has raised its token: the witnesses know the
// one before.
func TestOutageAfterRaisedToken(t *testing.T) {
	fc, leader, witness, _ := startedWithWitness(t)
	before := leader.loop.leadership.fence
	fc.restartWorker("w2")
	fc.advance(100, leader)
	assertEqual(t, "the token is raised", leader.loop.leadership.fence > before, true)
	fc.longOutage(leader, witness)
	assertRunning(t, fc, "j1.0.0.0")
	assertEqual(t, "worker of the task", fc.workerOf("j1.0.0.0").id, "w1")
}
