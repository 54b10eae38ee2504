package anvilsoak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilplatformapi"
	"anvilhold.org/standin/anvilplatformworker"
)

// WithLongRunning submits a few jobs with long-running tasks that are never cancelled, besides short jobs, and injects
// rounds of faults instead of random ones: workers are lost or isolated, the leader is disturbed around that time, and then
// all is calm for long enough that every task has to run again. Leases are short, and the clocks of all workers are slow.
func WithLongRunning() Option { return func(s *Soak) { s.longRunning = true } }

// The kinds of faults that only rounds have.
const (
	LoseWorker      Kind = "lose-worker"      // a worker is killed for good
	ReplaceWorker   Kind = "replace-worker"   // one with a new id takes the place of a lost worker; not a disruption
	SupersedeWorker Kind = "supersede-worker" // a worker is killed, and one with a new id starts at its address
	IsolateWorker   Kind = "isolate-worker"   // a worker is cut off from the instances and the store, at times one way only
	TerminateEntry  Kind = "terminate-entry"  // an instance gets SIGTERM, is killed shortly after that and restarted
	KillTwoLeaders  Kind = "kill-two-leaders" // the leader is killed and restarted, and so is its successor
	TerminateLeader Kind = "terminate-leader" // the leader is disturbed so
)

var (
	roundWorkerKinds = []Kind{LoseWorker, KillWorker, SupersedeWorker, IsolateWorker, ReplaceWorker}
	roundLeaderKinds = []Kind{KillLeader, TerminateLeader, PauseLeader, CutLeader, KillTwoLeaders}
)

const (
	// shortLease and shortStopGrace are the bounds of the platform for runs.
	shortLease     = anvilclock.Millis(6000)
	shortStopGrace = anvilclock.Millis(200)
	// longRunningJobs is the number of long-running jobs and longRunningTasks the number of tasks of each.
	longRunningJobs  = 4
	longRunningTasks = 6
	// maxLongRunningCPU limits the cores of a long-running task, in thousandths.
	maxLongRunningCPU = 1600
	// meanShortJobInterval is the mean time between two short jobs beside them.
	meanShortJobInterval = time.Second
)

const (
	// firstRound is the time of the loss of workers in the first round.
	firstRound = 6 * time.Second
	// The leader is disturbed from leaderLead before to leaderLag after the loss of workers.
	leaderLead = 1500 * time.Millisecond
	leaderLag  = 7500 * time.Millisecond
	// calmTime is the time without disruptions at the end of a round, and replaceDelay the time from its begin until lost
	// workers are replaced.
	calmTime     = 16 * time.Second
	replaceDelay = 10 * time.Second
	// restartTime is how long a killed process is down, leaderSpan how long a leader is paused or cut off, and terminateTime
	// the time from SIGTERM to SIGKILL.
	restartTime   = 3 * time.Second
	leaderSpan    = 4 * time.Second
	terminateTime = 2 * time.Second
	// The successor of a killed leader is killed from minTakeover to maxTakeover after it, or when it has become the leader,
	// which may take takeoverTimeout longer.
	minTakeover     = 1500 * time.Millisecond
	maxTakeover     = 4 * time.Second
	takeoverTimeout = 5 * time.Second
	// maxLost and maxIsolated limit how many workers a round kills or isolates, and keptWorkers is how many it leaves alone.
	maxLost     = 4
	maxIsolated = 3
	keptWorkers = 2
)

// roundSchedule returns the rounds of a seed that fit into the length of the load, at least one.
func roundSchedule(seed uint64, length time.Duration, workers int) []Fault {
	rng := rand.New(rand.NewPCG(seed, roundStream))
	var out []Fault
	for at := firstRound; ; {
		round, end := newRound(rng, at, workers)
		if end > length && len(out) > 0 {
			return out
		}
		slices.SortStableFunc(round, func(a, b Fault) int { return cmp.Compare(a.at, b.at) })
		out = append(out, round...)
		at = end + leaderLead
	}
}

// newRound returns the faults of a round in which workers are lost at the given time, and the end of the round.
func newRound(rng *rand.Rand, at time.Duration, workers int) (round []Fault, end time.Duration) {
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	add := func(kind Kind, at, span time.Duration, target int) {
		round = append(round, Fault{kind: kind, at: at, span: span, target: target, variant: rng.IntN(1 << 16)})
		end = max(end, at+span)
	}
	// Workers are lost, isolated or, in half of the rounds, both.
	both, isolateOnly := rng.IntN(2) == 0, rng.IntN(2) == 0
	victims := rng.Perm(workers)[:max(workers-keptWorkers, 1)]
	take := func(n int) []int {
		n = min(n, len(victims))
		taken := victims[:n]
		victims = victims[n:]
		return taken
	}
	var lost []int
	if both || !isolateOnly {
		for _, target := range take(1 + rng.IntN(maxLost)) {
			switch rng.IntN(4) {
			case 0:
				add(KillWorker, at, restartTime, target)
			case 1:
				add(SupersedeWorker, at, between(500*time.Millisecond, 5*time.Second), target)
			default:
				add(LoseWorker, at, 0, target)
				lost = append(lost, target)
			}
		}
	}
	if both || isolateOnly {
		for _, target := range take(1 + rng.IntN(maxIsolated)) {
			add(IsolateWorker, at, between(5*time.Second, 9*time.Second), target)
		}
	}
	for range []int{0, 1, 1, 1, 2, 2}[rng.IntN(6)] {
		kind := roundLeaderKinds[rng.IntN(len(roundLeaderKinds))]
		span := leaderSpan
		if kind != PauseLeader && kind != CutLeader {
			span = restartTime
		}
		add(kind, at+between(-leaderLead, leaderLag), span, 0)
	}
	if rng.IntN(4) == 0 {
		add(StoreFault, at+between(-leaderLead, leaderLag), between(4*time.Second, 6*time.Second), 0)
		// Every call is answered with an error, or none is.
		round[len(round)-1].variant = 2 * rng.IntN(2)
	}
	end += calmTime
	if slices.ContainsFunc(round, func(f Fault) bool { return f.kind == KillTwoLeaders || f.kind == TerminateLeader }) {
		end += maxTakeover
	}
	for _, target := range lost {
		round = append(round, Fault{kind: ReplaceWorker, at: end - calmTime + replaceDelay, target: target})
	}
	return round, end
}

// injectRecorded injects a fault and records it as a disruption.
func (s *Soak) injectRecorded(ctx context.Context, f Fault) error {
	if f.kind == ReplaceWorker {
		return s.inject(ctx, f)
	}
	text, span := string(f.kind), time.Duration(0)
	switch {
	case slices.Contains(roundWorkerKinds, f.kind):
		text += fmt.Sprintf(" w%d", f.target%len(s.fleet.workers))
	case slices.Contains(roundLeaderKinds, f.kind):
		if e, err := s.leader(); err == nil && e != nil {
			text += " " + strings.TrimSuffix(filepath.Base(e.file), ".toml")
		}
	case f.kind == StoreFault:
		text, span = text+" "+string(f.storeFault()), f.span
	}
	defer s.audit.beginDisruption(text, span)()
	return s.inject(ctx, f)
}

// downtime returns how long a killed process is down. Random faults limit it, and rounds set it.
func (s *Soak) downtime(f Fault, limit time.Duration) time.Duration {
	if s.longRunning {
		return f.span
	}
	return min(f.span, limit)
}

// isolate cuts a worker off in both directions, silently or with resets, or drops only what it sends or receives.
func (f Fault) isolate(ctx context.Context, w *workerNode) {
	f.disturb(ctx, func(p *proxy) {
		sending, receiving := f.variant%4 != 1, f.variant%4 != 2
		p.refuse = f.variant%4 == 0
		p.dropToTarget, p.dropFromTarget = receiving, sending
		if p == w.store {
			p.dropToTarget, p.dropFromTarget = sending, receiving
		}
	}, w.proxy, w.store)
}

// killTwoLeaders kills the leader and the instance that becomes the leader after it, and restarts both.
func (s *Soak) killTwoLeaders(ctx context.Context, first *entryNode, f Fault) error {
	f.kind = KillEntry
	killed := make(chan error, 1)
	go func() { killed <- s.injectEntryFault(ctx, first, f) }()
	sleep(ctx, minTakeover+time.Duration(f.variant)*time.Millisecond%(maxTakeover-minTakeover))
	next, err := first, error(nil)
	for end := time.Now().Add(takeoverTimeout); next == first && err == nil && ctx.Err() == nil && time.Now().Before(end); {
		sleep(ctx, pollInterval/4)
		next, err = s.leader()
	}
	if err == nil {
		err = s.injectEntryFault(ctx, next, f)
	}
	return errors.Join(err, <-killed)
}

// untilNextShortJob returns the time until the next short job, after a number of jobs.
func (s *Soak) untilNextShortJob(rng *rand.Rand, jobs int) time.Duration {
	if jobs < longRunningJobs {
		return 0
	}
	return time.Duration(rng.Int64N(int64(2 * meanShortJobInterval)))
}

// longRunningCPU returns the cores, in thousandths, of each long-running task. The workers that a round leaves have room for all
// tasks twice over, and a team with half of them has less than half of its limit running.
func longRunningCPU(workers int) int64 {
	return min(int64(max(workers-maxLost, 1))*workerCPU/(2*longRunningJobs*longRunningTasks), maxLongRunningCPU)
}

// newLongRunningJob returns the job number n with long-running tasks, which is not cancelled.
func newLongRunningJob(rng *rand.Rand, n, workers int) (*jobPlan, error) {
	team := n % teamCount
	j := &jobPlan{
		id: fmt.Sprintf("%016x", rng.Uint64()), queue: batchQueue, team: teamName(team), key: keySecret(team, rng.IntN(keyCount)),
		attempts: attempts, occurrences: 1, longRunning: true,
	}
	size, millis := anvilsize.New(longRunningCPU(workers), 512, 0), anvilclock.Millis(1000)
	j.steps = []stepPlan{{count: longRunningTasks, size: size}}
	spec := anvilplatformworker.NewTaskSpec(size, millis, anvilplatformworker.WithLongRunning(true))
	payload, err := anvilplatformworker.Payload(spec)
	if err != nil {
		return nil, err
	}
	j.payload = payload
	step := anvilplatformapi.NewStep(longRunningTasks, size, millis, anvilplatformapi.LongRunning())
	j.wire = anvilplatformapi.NewJob(payload, []anvilplatformapi.Step{step})
	return j, nil
}
