package anvilscheduler

import (
	"context"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// startedWithWitness returns a cluster with a leader whose stored witness is a second instance, which answers.
func startedWithWitness(t *testing.T) (fc *fakeCluster, leader, witness *harness, witnesses fakeWitnesses) {
	t.Helper()
	witnesses = fakeWitnesses{}
	fc, leader = startedLongRunning(t, WithWitnesses(witnesses))
	witness = fc.newHarness("e2", WithWitnesses(witnesses))
	witnesses["e2:1"] = witness.loop
	fc.advanceWorking(reactionTime, leader, witness)
	leader.loop.post(witnessesFound{token: leader.loop.leadership.token, addrs: []string{"e2:1"}})
	fc.advance(reactionTime, leader, witness)
	if leader.loop.witnessRequest.Load() == nil {
		t.Fatal("the witnesses are not stored")
	}
	return fc, leader, witness, witnesses
}

// longOutage makes the store unreachable for longer than leases last without a confirmation, while the leader asks for some.
func (fc *fakeCluster) longOutage(leader *harness, others ...*harness) {
	resume := leader.hangCommits()
	fc.store.down = true
	for end := fc.clock.Now() + 7000; fc.clock.Now() < end; {
		leader.loop.confirmOutage(context.Background())
		fc.advance(200, append([]*harness{leader}, others...)...)
	}
	fc.store.down = false
	resume()
}

func TestOutageOfStore(t *testing.T) {
	t.Run("leases are extended while all witnesses confirm it", func(t *testing.T) {
		// Guards against work that an outage of the store ends.
		fc, leader, witness, _ := startedWithWitness(t)
		fc.longOutage(leader, witness)
		assertRunning(t, fc, "j1.0.0.0")
		assertEqual(t, "worker of the task", fc.workerOf("j1.0.0.0").id, "w1")
	})
	t.Run("leases expire when a witness does not answer", func(t *testing.T) {
		// Guards against a leader that extends leases although an instance that doesn't know it may lead.
		fc, leader, witness, witnesses := startedWithWitness(t)
		delete(witnesses, "e2:1")
		fc.longOutage(leader, witness)
		assertRunning(t, fc)
	})
	t.Run("a witness that becomes leader waits for the leases that it has confirmed", func(t *testing.T) {
		// Guards against a second run of a task whose lease was extended during an outage. The cluster fails the test.
		fc, leader, witness, _ := startedWithWitness(t)
		fc.longOutage(leader)
		leader.hangCommits()
		witness.loop.workers = cutWorkers{fakeCluster: fc, cut: "w1"}
		for range 100 {
			leader.loop.confirmOutage(context.Background())
			fc.advance(200, leader, witness)
		}
		assertEqual(t, "worker of the task", fc.workerOf("j1.0.0.0").id, "w2")
	})
	t.Run("an instance that is no witness waits for the whole grace", func(t *testing.T) {
		// Guards against the same, by an instance that was never asked.
		fc, leader, witness, _ := startedWithWitness(t)
		other := fc.newHarness("e3")
		other.loop.workers = cutWorkers{fakeCluster: fc, cut: "w1"}
		leader.hangCommits()
		for range 150 {
			leader.loop.confirmOutage(context.Background())
			fc.advance(200, leader, other)
		}
		assertEqual(t, "the witness never led", witness.loop.leadership.token, 0)
		assertEqual(t, "worker of the task", fc.workerOf("j1.0.0.0").id, "w2")
	})
}

func TestWitness(t *testing.T) {
	const now = anvilclock.Millis(50_000)
	t.Run("confirms only the leader that it has read", func(t *testing.T) {
		// Guards against a confirmation for a leader that may have been succeeded.
		w := &witness{}
		assertEqual(t, "before a row was read", w.confirm(3, now), false)
		w.observe(3)
		assertEqual(t, "an older leader", w.confirm(2, now), false)
		assertEqual(t, "no leader", w.confirm(0, now), false)
		assertEqual(t, "the leader", w.confirm(3, now), true)
	})
	t.Run("a claim accounts for what was confirmed and ends confirmations", func(t *testing.T) {
		// Guards against leases that are extended beyond what a successor accounts for.
		w := &witness{}
		w.observe(3)
		w.confirm(3, now)
		assertEqual(t, "confirmed until", w.claim(4), now+outageConfirmation)
		assertEqual(t, "confirmed after the claim", w.confirm(3, now+1), false)
		w.dropClaim()
		assertEqual(t, "confirmed after the claim has failed", w.confirm(3, now+1), true)
	})
	t.Run("a new process accounts for what its predecessor may have confirmed", func(t *testing.T) {
		fc, _ := started(t, "w1")
		h := fc.newHarness("e2")
		assertEqual(t, "confirmed until", h.loop.witness.claim(9), fc.clock.Now()+outageConfirmation)
	})
}

// Guards against leases that are extended while a stored bound says that they aren't.
func TestBoundIsRemovedBeforeExtension(t *testing.T) {
	fc, h := started(t, "w1")
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithLongRunning(true)))
	fc.advance(reactionTime, h)
	fc.workers["w1"].unreachable = true
	fc.advance(1500, h)
	assertEqual(t, "stored bounds", fc.storedBounds(), 1)
	until := fc.workers["w1"].leaseExpiry
	resume := h.hangCommits()
	fc.workers["w1"].unreachable = false
	fc.advance(600, h)
	assertEqual(t, "the worker answers", h.loop.fleet.byID["w1"].machine.State(), workerReady)
	assertEqual(t, "lease while the bound is stored", fc.workers["w1"].leaseExpiry, until)
	resume()
	fc.advance(reactionTime, h)
	assertEqual(t, "stored bounds once the worker answers", fc.storedBounds(), 0)
	if fc.workers["w1"].leaseExpiry <= until {
		t.Fatal("the lease was not extended once the bound was removed")
	}
	assertRunning(t, fc, "j1.0.0.0")
}
