package anvilsoak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"anvilhold.org/lib/anvilevent"
)

// The kinds of faults that hit all workers of a failure domain at once, or the leader.
const (
	CutDomain   Kind = "cut-domain"   // the workers can't be reached and don't reach the store
	MuteDomain  Kind = "mute-domain"  // requests to the workers or to the store, or the replies, are dropped
	PauseDomain Kind = "pause-domain" // the workers are paused and resumed
	KillDomain  Kind = "kill-domain"  // the workers are killed and restarted under their ids, at times without the store
	DrainDomain Kind = "drain-domain" // the workers drain and leave, and are cut off a while after they began to drain
	KillLeader  Kind = "kill-leader"  // the leader is killed and restarted
	PauseLeader Kind = "pause-leader" // the leader is paused and resumed
	StopLeader  Kind = "stop-leader"  // the leader is stopped gracefully and restarted
	CutLeader   Kind = "cut-leader"   // the leader can't reach the store
)

var (
	domainKinds = []Kind{CutDomain, MuteDomain, PauseDomain, KillDomain, DrainDomain}
	leaderKinds = []Kind{KillLeader, PauseLeader, StopLeader, CutLeader}
)

// Random streams of a seed besides those of the schedule and of the jobs.
const (
	fleetStream  = 2
	domainStream = 3
	roundStream  = 4
)

const (
	// meanSeriesInterval is the mean time between the starts of two series of domain faults.
	meanSeriesInterval = 3500 * time.Millisecond
	// maxDomainSpan limits how long a domain fault lasts. It is longer than a lease, so that leases expire.
	maxDomainSpan = 8 * time.Second
	// maxRestartTime limits how long a worker is down that restarts without the store.
	maxRestartTime = 400 * time.Millisecond
	// maxRestartLead limits the time from such a restart to a burst of jobs.
	maxRestartLead = 1200 * time.Millisecond
	// maxDrainLead limits the time from the begin of a drain to the cut that follows.
	maxDrainLead = 6 * time.Second
	// seriesPercent is the percentage of domain faults that another follows before or shortly after their end, and
	// leaderPercent that of domain faults during which the leader is disturbed.
	seriesPercent = 55
	leaderPercent = 40
)

// domainSchedule returns the faults of failure domains and of the leader of a seed, sorted by their start. A fault that
// follows another hits the same failure domain in two of three cases. With bursts, a failure domain also restarts before
// each burst of jobs, while workers are idle: the leader has no order in flight then that would fail.
func domainSchedule(seed uint64, length time.Duration, bursts bool) []Fault {
	rng := rand.New(rand.NewPCG(seed, domainStream))
	random := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	draw := func(kinds []Kind, at time.Duration) Fault {
		return Fault{kind: kinds[rng.IntN(len(kinds))], at: at, span: minSpan + random(maxDomainSpan-minSpan), target: rng.IntN(1 << 16), variant: rng.IntN(1 << 16)}
	}
	var out []Fault
	for at := firstFaultDelay + random(time.Second); at < length; at += random(2 * meanSeriesInterval) {
		f := draw(domainKinds, at)
		for {
			out = append(out, f)
			if rng.IntN(100) < leaderPercent {
				out = append(out, draw(leaderKinds, f.at+random(f.span)))
			}
			if rng.IntN(100) >= seriesPercent {
				break
			}
			next := draw(domainKinds, f.at+random(f.span+time.Second))
			if rng.IntN(3) > 0 {
				next.target = f.target
			}
			f = next
		}
	}
	for at := 2 * burstInterval; bursts && at < length; at += burstInterval {
		out = append(out, draw([]Kind{KillDomain}, at-maxRestartTime-random(maxRestartLead)))
	}
	slices.SortFunc(out, func(a, b Fault) int { return cmp.Compare(a.at, b.at) })
	return out
}

// schedule returns the faults of the run. They depend on the seed and the options only.
func (s *Soak) schedule() []Fault {
	switch {
	case s.longRunning:
		return roundSchedule(s.seed, s.length, s.workers)
	case !s.domains:
		return Schedule(s.seed, s.length)
	}
	out := domainSchedule(s.seed, s.length, s.mix.bursts)
	if s.seed%2 == 1 {
		out = append(out, Schedule(s.seed, s.length)...)
	}
	return out
}

// injectDomainFault injects a fault into all workers of a failure domain at once and ends it after its duration.
func (s *Soak) injectDomainFault(ctx context.Context, f Fault) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	domain := f.target % domainCount
	for _, w := range s.fleet.workers {
		if w.domain() != domain {
			continue
		}
		wg.Go(func() {
			if err := s.injectWorkerOfDomain(ctx, w, f); err != nil {
				mu.Lock()
				errs = append(errs, err)
				mu.Unlock()
			}
		})
	}
	if f.kind == CutDomain && f.variant%3 == 0 {
		for i, e := range s.fleet.entries {
			if i%domainCount == domain {
				wg.Go(func() { f.cut(ctx, e.proxy) })
			}
		}
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (s *Soak) injectWorkerOfDomain(ctx context.Context, w *workerNode, f Fault) error {
	switch f.kind {
	case PauseDomain:
		f.kind = PauseWorker
		return s.injectWorkerFault(ctx, w, f)
	case KillDomain:
		f.kind = KillWorker
		if f.variant%4 == 0 {
			return s.injectWorkerFault(ctx, w, f)
		}
		return s.restartUnregistered(ctx, w, f)
	case DrainDomain:
		var wg sync.WaitGroup
		wg.Go(func() {
			sleep(ctx, time.Duration(f.variant)*time.Millisecond%maxDrainLead)
			f.cut(ctx, w.proxy, w.store)
		})
		defer wg.Wait()
		leave := f
		leave.kind = LeaveWorker
		return s.injectWorkerFault(ctx, w, leave)
	case MuteDomain:
		links := [][]*proxy{{w.proxy, w.store}, {w.proxy}, {w.store}}[f.variant/2%3]
		f.disturb(ctx, func(p *proxy) { p.dropToTarget, p.dropFromTarget = f.variant%2 == 0, f.variant%2 == 1 }, links...)
	default:
		f.cut(ctx, w.proxy, w.store)
	}
	return nil
}

// restartUnregistered restarts a worker while it does not reach the store, so that the leader learns of the restart from
// its answers to orders. With half of the variants, orders and answers are lost too for a while after the restart.
func (s *Soak) restartUnregistered(ctx context.Context, w *workerNode, f Fault) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.cut(ctx, w.store) })
	kill := f
	kill.span = min(f.span, maxRestartTime)
	if err := s.injectWorkerFault(ctx, w, kill); err != nil {
		return err
	}
	if f.variant%4 > 1 {
		f.span /= 3
		f.disturb(ctx, func(p *proxy) { p.dropToTarget, p.dropFromTarget = true, true }, w.proxy)
	}
	return nil
}

// cut drops the data of some links, or refuses connections to them, as the variant of the fault says.
func (f Fault) cut(ctx context.Context, links ...*proxy) {
	if f.variant%2 == 0 {
		f.disturb(ctx, func(p *proxy) { p.dropToTarget, p.dropFromTarget = true, true }, links...)
		return
	}
	f.disturb(ctx, func(p *proxy) { p.refuse = true }, links...)
}

// disturb changes some links for the duration of the fault.
func (f Fault) disturb(ctx context.Context, change func(p *proxy), links ...*proxy) {
	for _, p := range links {
		p.update(change)
		if p.refuses() {
			p.resetAll()
		}
	}
	sleep(ctx, f.span)
	for _, p := range links {
		p.clearFaults()
	}
}

// injectLeaderFault injects a fault into the instance that became the leader last. It does nothing if there was none.
func (s *Soak) injectLeaderFault(ctx context.Context, f Fault) error {
	e, err := s.leader()
	if e == nil || err != nil {
		return err
	}
	switch f.kind {
	case CutLeader:
		f.cut(ctx, e.proxy)
		return nil
	case KillLeader:
		f.kind = KillEntry
	case PauseLeader:
		f.kind = PauseEntry
	case KillTwoLeaders:
		return s.killTwoLeaders(ctx, e, f)
	case TerminateLeader:
		f.kind = TerminateEntry
	default:
		f.kind = StopEntry
	}
	return s.injectEntryFault(ctx, e, f)
}

// leader returns the instance that became the leader last according to the logs, or nil.
func (s *Soak) leader() (*entryNode, error) {
	var newest int64
	var leader *entryNode
	for _, e := range s.fleet.entries {
		token, err := newestToken(e.file + ".log")
		if err != nil {
			return nil, err
		}
		if token > newest {
			newest, leader = token, e
		}
	}
	return leader, nil
}

// newestToken returns the fencing token of the last leadership in the log of an instance, 0 if there is none.
func newestToken(log string) (int64, error) {
	file, err := os.Open(log)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	var newest int64
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Event int   `json:"event"`
			Token int64 `json:"token"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == int(anvilevent.LeadershipGranted) {
			newest = max(newest, line.Token)
		}
	}
	return newest, lines.Err()
}
