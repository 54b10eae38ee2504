package anvilscheduler

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// The rule on tasks that are lost: a long-running task may have nothing running for maxLost, which begins no earlier than
// lostAfterRun after the end of its last run and lostAfterDisruption after the last disruption.
const (
	maxLost             = anvilclock.Millis(3000)
	lostAfterRun        = anvilclock.Millis(6000)
	lostAfterDisruption = anvilclock.Millis(4000)
	// calmTime is how long a round of disruptions is followed by none.
	calmTime = anvilclock.Millis(16_000)
)

// What is done to the leader or the store near the loss of workers.
const (
	harmNone       = "none"
	harmKill       = "kill"
	harmPause      = "pause"
	harmCut        = "cut"
	harmKillTwice  = "kill twice"
	harmShutdown   = "shutdown"
	harmPauseKill  = "pause, next killed"
	harmCutKill    = "cut, next killed"
	harmOutage     = "outage"
	harmOutageKill = "outage and kill"
	// The store is back for the leader later than for the other instances.
	harmOutageCut = "outage, longer for the leader"
)

// What is done to a worker.
const (
	lossDeath = "death"
	// The worker runs on, and is cut off from the platform's store and all instances, or from all but the leader.
	lossCut      = "cut"
	lossFormer   = "cut, leader reaches it"
	lossOneWay   = "answers lost"
	lossOneWayTo = "answers lost, leader reaches it"
	// The worker is cut off, answers again near the harm, and is then cut off by one of the other ways.
	lossAgain = "cut twice"
)

// takeoverScenario loses workers with long-running tasks near a change of the leader.
type takeoverScenario struct {
	*scenario
	// calmSince is the end of the last disruption.
	calmSince anvilclock.Millis
	// lastSeen is when a run of each long-running task was last there.
	lastSeen map[anviljob.TaskID]anvilclock.Millis
	tasks    []anviljob.TaskID
	// overdue is for how long a task had nothing running although it should have.
	overdue    map[anviljob.TaskID]anvilclock.Millis
	reportLost bool
	// varied means that the leader is paused or cut off for other times than 4 s, too.
	varied bool
	// plan describes the disruptions for messages, and harms names what was done to leaders.
	plan    []string
	harms   []string
	longest anvilclock.Millis
	added   int
}

func newTakeoverScenario(t testing.TB, seed uint64) *takeoverScenario {
	sim := newSimulation(t, seed)
	sim.tracing = os.Getenv(traceVariable) != ""
	sim.peers = sim.rng.IntN(2) == 0
	sc := &takeoverScenario{scenario: &scenario{simulation: sim}, lastSeen: map[anviljob.TaskID]anvilclock.Millis{},
		overdue: map[anviljob.TaskID]anvilclock.Millis{}}
	for n := range 8 + sc.rng.IntN(5) {
		sc.addWorker(fmt.Sprint("w", n), fmt.Sprint("d", n%4))
	}
	for range 4 {
		sc.addInstance()
	}
	sc.advance(6000)
	for range 3 {
		sc.submitSteps(anviljob.Repeat{}, anviljob.NewStep(6, core(1), anviljob.WithLongRunning(true), anviljob.WithEstimate(60_000),
			anviljob.WithMaxPerWorker([]int{0, 2, 3}[sc.rng.IntN(3)])))
		for i := range 6 {
			id := anviljob.NewTaskID(sc.jobs[len(sc.jobs)-1], 0, 0, i)
			sc.tasks, sc.lastSeen[id] = append(sc.tasks, id), sc.now()
		}
	}
	sc.checks = append(sc.checks, sc.watchTasks)
	sc.calmSince = sc.now()
	sc.advance(5000)
	return sc
}

// addInstance adds an instance, whose clock began at a time of its own.
func (sc *takeoverScenario) addInstance() {
	sc.added++
	sc.addLoop(fmt.Sprint("e", sc.added), anvilclock.Millis(sc.rng.IntN(2_000_000)))
}

func (sc *takeoverScenario) plans(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	sc.plan = append(sc.plan, fmt.Sprintf("at %d %s", sc.now()-1_000_000, text))
	sc.record("disrupt: %s", text)
}

// disruption records that a disruption lasts for d from now on.
func (sc *takeoverScenario) disruption(d anvilclock.Millis) {
	sc.calmSince = max(sc.calmSince, sc.now()+d)
}

// fault disturbs a scope for d from now on.
func (sc *takeoverScenario) fault(kind, scope string, d anvilclock.Millis) {
	sc.faults = append(sc.faults, simFault{kind: kind, scope: scope, until: sc.now() + d, percent: 100})
	if d < simNever {
		sc.disruption(d)
	}
}

// watchTasks records which long-running tasks have a run, and for how long the others should have had one.
func (sc *takeoverScenario) watchTasks() {
	now := sc.now()
	for _, w := range sc.workers {
		if w.process == nil {
			continue
		}
		for key := range w.process.runs {
			if seen, ok := sc.lastSeen[key.id]; ok {
				sc.longest = max(sc.longest, now-seen)
				sc.lastSeen[key.id] = now
			}
		}
	}
	for _, id := range sc.tasks {
		seen := sc.lastSeen[id]
		if seen == now {
			sc.checkLost(id)
			sc.overdue[id] = 0
			continue
		}
		sc.overdue[id] = max(sc.overdue[id], now-max(seen+lostAfterRun, sc.calmSince+lostAfterDisruption))
	}
}

// checkLost reports a task that had nothing running for too long, once it runs again or the scenario ends.
func (sc *takeoverScenario) checkLost(id anviljob.TaskID) {
	if owed := sc.overdue[id]; sc.reportLost && owed > maxLost && len(sc.violations) == 0 {
		sc.violate("lost: nothing of %s ran for %d ms in which it should have, last disruption at %d", id, owed, sc.calmSince-1_000_000)
	}
}

// leader returns the instance that leads, or believes to: the one with the newest token, or any if none does.
func (sc *takeoverScenario) leader() *simLoop {
	best := sc.loops[0]
	for _, l := range sc.loops {
		if l.loop.leadership.token > best.loop.leadership.token {
			best = l
		}
	}
	return best
}

// round plays one round: some workers are lost in ways of losses, and the leader is harmed in one of harms.
func (sc *takeoverScenario) round(losses, harms []string) {
	lossAt := anvilclock.Millis(2000)
	harmAt := lossAt + anvilclock.Millis(sc.rng.IntN(9000)-1500)
	harm := harms[sc.rng.IntN(len(harms))]
	sc.harms = append(sc.harms, harm)
	workers := sc.alive()
	sc.rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	if sc.rng.IntN(3) > 0 {
		// The tasks are on few workers.
		slices.SortStableFunc(workers, func(a, b *simWorker) int { return len(b.process.runs) - len(a.process.runs) })
	}
	loss := losses[sc.rng.IntN(len(losses))]
	silent, spread, long := sc.rng.IntN(2) == 0, sc.rng.IntN(3), sc.varied && sc.rng.IntN(2) == 0
	for _, w := range workers[:1+sc.rng.IntN(3)] {
		if spread == 0 {
			loss = losses[sc.rng.IntN(len(losses))]
		}
		kind, at := loss, lossAt
		if spread == 1 {
			at += anvilclock.Millis(sc.rng.IntN(1500))
		}
		switch kind {
		case lossFormer, lossOneWayTo:
			// Close to the harm: the leader that still reaches the worker extends its leases until then, and on.
			at = max(harmAt-anvilclock.Millis(sc.rng.IntN(1000)), 100)
		case lossAgain:
			at = max(harmAt-2500, 100)
		}
		length, store := anvilclock.Millis(5000+sc.rng.IntN(10_000)), sc.rng.IntN(2) == 0
		if long {
			length = anvilclock.Millis(12_000 + sc.rng.IntN(4000))
		}
		sc.after(at, w.id, func() { sc.lose(w, kind, silent, store, length) })
	}
	length := anvilclock.Millis(4000)
	switch {
	case long:
		length = anvilclock.Millis(5000 + sc.rng.IntN(5000))
	case sc.varied:
		length = anvilclock.Millis(1000 + sc.rng.IntN(5000))
	}
	if sc.varied && sc.rng.IntN(3) == 0 {
		// The leader may not know the instance yet.
		sc.after(max(harmAt-anvilclock.Millis(sc.rng.IntN(4000)), 100), "instance", sc.addInstance)
	}
	sc.after(harmAt-60, "harm", func() { sc.harm(harm, length) })
	sc.advance(harmAt + 100)
	for sc.now() < sc.calmSince && len(sc.violations) == 0 {
		sc.advance(100)
	}
	sc.advance(calmTime)
}

// alive returns the workers that have a process.
func (sc *takeoverScenario) alive() []*simWorker {
	return slices.DeleteFunc(slices.Clone(sc.workers), func(w *simWorker) bool { return w.process == nil })
}

// lose kills a worker for good, or cuts it off for d.
func (sc *takeoverScenario) lose(w *simWorker, kind string, silent, store bool, d anvilclock.Millis) {
	sc.plans("%s of %s, silent %v, with the store %v, for %d, clock %d percent slow", kind, w.id, silent, store, d, w.lag)
	if kind == lossDeath {
		w.kill(kind)
		w.gone = true
		sc.disruption(0)
		if silent {
			sc.fault("cut", w.id, simNever)
		}
		return
	}
	if kind == lossAgain {
		first := anvilclock.Millis(2500 + sc.rng.IntN(3000))
		sc.fault("cut", w.id, first)
		sc.after(first+anvilclock.Millis(200+sc.rng.IntN(2000)), w.id, func() {
			if w.process != nil {
				sc.lose(w, []string{lossCut, lossFormer, lossDeath}[sc.rng.IntN(3)], silent, store, d)
			}
		})
		return
	}
	fault := "cut"
	if kind == lossOneWay || kind == lossOneWayTo {
		fault = "lose answers"
	}
	if store {
		sc.fault("store cut", w.id, d)
	}
	if kind == lossCut || kind == lossOneWay {
		sc.fault(fault, w.id, d)
		return
	}
	leader := sc.leader()
	for _, l := range sc.loops {
		if l != leader {
			sc.fault(fault, pairScope(l.name, w.id), d)
		}
	}
}

// harm harms the leader in 60 ms, or the store. A pause or a cut lasts for length.
func (sc *takeoverScenario) harm(kind string, length anvilclock.Millis) {
	l := sc.leader()
	refuses := []string{"store refuses", "store silent"}[sc.rng.IntN(2)]
	isolated, other := sc.rng.IntN(2) == 0, sc.rng.IntN(2) == 0
	if kind == harmPause || kind == harmPauseKill {
		l.stallAt, l.stallUntil = sc.now()+60, sc.now()+60+length
	}
	sc.after(60, "harm", func() {
		sc.plans("%s of the leader %s for %d, %s, isolated %v", kind, l.name, length, refuses, isolated)
		sc.disruption(0)
		switch kind {
		case harmKill, harmKillTwice:
			sc.kill(l)
		case harmShutdown:
			sc.disruption(2000)
			sc.shutDown(l, sc.now()+2000)
		case harmPause, harmPauseKill:
			l.pausedUntil = l.stallUntil
			sc.disruption(l.stallUntil - sc.now())
		case harmCut, harmCutKill:
			sc.fault(refuses, l.name, length)
			if isolated {
				sc.fault("peer cut", l.name, length)
			}
		case harmOutage, harmOutageKill, harmOutageCut:
			d := anvilclock.Millis(4000 + sc.rng.IntN(3000))
			sc.fault(refuses, "store", d)
			if kind == harmOutageCut {
				sc.fault(refuses, l.name, d+anvilclock.Millis(1000+sc.rng.IntN(5000)))
				if other {
					sc.after(d, "harm", func() { sc.killNext(l) })
				}
			}
			if kind != harmOutageKill {
				break
			}
			if other {
				l = sc.loops[sc.rng.IntN(len(sc.loops))]
			}
			sc.after(anvilclock.Millis(sc.rng.IntN(int(d))), "harm", func() { sc.kill(l) })
		}
		if kind == harmKillTwice || kind == harmPauseKill || kind == harmCutKill {
			sc.killNext(l)
		}
	})
}

// shutDown lets an instance release the leadership, and kills it at a time.
func (sc *takeoverScenario) shutDown(l *simLoop, killAt anvilclock.Millis) {
	switch {
	case sc.now() >= killAt:
		sc.kill(l)
		return
	case !l.loop.state.shuttingDown && l.loop.commits.inflight == nil:
		// The release waits for a commit in flight, which the simulation plays later.
		shutdown{done: make(chan struct{})}.deliver(l.loop)
	}
	sc.after(20, l.name, func() { sc.shutDown(l, killAt) })
}

// killNext kills the leader that follows another one.
func (sc *takeoverScenario) killNext(former *simLoop) {
	d := anvilclock.Millis(1500 + sc.rng.IntN(2500))
	sc.disruption(d)
	sc.after(d, "harm", func() {
		if next := sc.leader(); next != former {
			sc.kill(next)
		}
	})
}

// kill kills an instance. A new one starts later.
func (sc *takeoverScenario) kill(l *simLoop) {
	sc.plans("kill of %s", l.name)
	l.kill("harm")
	sc.disruption(0)
	sc.after(anvilclock.Millis(8000+sc.rng.IntN(8000)), "instance", sc.addInstance)
}

// tally sums up the seeds of a test, by what was first done to the leader.
type tally struct {
	seeds, failed map[string]int
	starts        int
	longest       anvilclock.Millis
}

func newTally() tally { return tally{seeds: map[string]int{}, failed: map[string]int{}} }

// report reports the violations of a scenario.
func (ta *tally) report(t *testing.T, sc *takeoverScenario) {
	t.Helper()
	for _, id := range sc.tasks {
		sc.checkLost(id)
	}
	harm := sc.harms[0]
	ta.seeds[harm]++
	ta.starts += sc.starts
	ta.longest = max(ta.longest, sc.longest)
	if len(sc.violations) > 0 {
		ta.failed[harm]++
	}
	for _, v := range sc.violations {
		t.Errorf("seed %d: %s (%s)", sc.seed, v, strings.Join(sc.plan, "; "))
	}
	if name := os.Getenv(traceVariable); name != "" {
		if err := os.WriteFile(name, []byte(strings.Join(sc.trace, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func (ta *tally) log(t *testing.T) {
	t.Helper()
	for _, harm := range slices.Sorted(maps.Keys(ta.seeds)) {
		t.Logf("%s: %d of %d seeds with a fault", harm, ta.failed[harm], ta.seeds[harm])
	}
	t.Logf("%d starts, longest absence of a task %d ms", ta.starts, ta.longest)
}

// Guards against a long-running task that stays away for too long when its worker dies near a change of the leader.
func TestNoLongRunningTaskLostBesideTakeovers(t *testing.T) {
	first, count := numberFrom(t, seedVariable, 1), numberFrom(t, countVariable, 10)
	ta := newTally()
	for seed := first; seed < first+count; seed++ {
		sc := newTakeoverScenario(t, seed)
		sc.reportLost = true
		sc.round([]string{lossDeath}, []string{
			harmNone, harmKill, harmShutdown, harmPause, harmCut, harmKillTwice, harmPauseKill, harmCutKill, harmOutage, harmOutageKill, harmOutageCut,
		})
		ta.report(t, sc)
	}
	ta.log(t)
}

// Guards against a second run of a long-running task whose worker is cut off near a change of the leader, and works on until its
// leases expire, and against a task that stays away for too long then.
func TestNoTaskRunsTwiceBesideTakeovers(t *testing.T) {
	first, count := numberFrom(t, seedVariable, 1), numberFrom(t, countVariable, 10)
	ta := newTally()
	for seed := first; seed < first+count; seed++ {
		sc := newTakeoverScenario(t, seed)
		sc.varied, sc.reportLost = true, true
		for range 1 + sc.rng.IntN(2) {
			sc.disturbCommits()
			sc.round([]string{lossDeath, lossCut, lossFormer, lossFormer, lossFormer, lossOneWay, lossOneWayTo, lossAgain},
				[]string{harmNone, harmKill, harmShutdown, harmPause, harmCut, harmCut, harmKillTwice, harmPauseKill, harmCutKill, harmCutKill, harmOutage, harmOutageKill,
					harmOutageCut, harmOutageCut})
		}
		ta.report(t, sc)
	}
	ta.log(t)
}

// disturbCommits lets some answers to commits be lost or late in a part of the next round, beside other jobs.
func (sc *takeoverScenario) disturbCommits() {
	for range 8 {
		sc.submitSteps(anviljob.Repeat{}, anviljob.NewStep(2, anvilsize.New(100, 0, 0), anviljob.WithEstimate(2500)))
	}
	kind := []string{"", "", "store mute", "store late", "store slow"}[sc.rng.IntN(5)]
	if kind == "" {
		return
	}
	at, d, percent := anvilclock.Millis(sc.rng.IntN(9000)), anvilclock.Millis(500+sc.rng.IntN(5000)), uint64(20+sc.rng.IntN(80))
	sc.after(at, kind, func() {
		sc.plans("%s for %d, %d percent", kind, d, percent)
		sc.faults = append(sc.faults, simFault{kind: kind, scope: "store", until: sc.now() + d, percent: percent})
		sc.disruption(d)
	})
}
