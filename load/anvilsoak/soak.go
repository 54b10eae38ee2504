// Package anvilsoak runs the programs of an entry fleet against the stand-in of the users' platform and injects
// faults that a seed determines. While they run, it checks the promises against what workers and clients
// observe.
package anvilsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilplatformapi"
)

// Soak is a single run: a fleet, its load and its faults.
type Soak struct {
	seed     uint64
	length   time.Duration
	entries  int
	workers  int
	bin, dir string
	noFaults bool
	mix      jobMix
	domains  bool
	// longRunning submits long-running jobs and injects the rounds of faults of roundSchedule.
	longRunning bool
	idle        time.Duration
	// rate is the number of short jobs a second; 0 for random jobs. fixed holds the faults that are injected instead of random
	// ones if noFaults is set.
	rate  int
	fixed []Fault
	// linkMbits is the width of the link between the store and the instances of farDomain; 0 for no limit.
	linkMbits int

	fleet    *fleet
	audit    *audit
	operator *anvilplatformapi.Operator
	caller   *anvilplatformapi.Caller
	config   configuration

	mu         sync.Mutex
	violations []string
}

// Option configures a Soak.
type Option func(*Soak)

// WithLength sets for how long jobs are submitted and faults injected; the default is 15 s.
func WithLength(d time.Duration) Option { return func(s *Soak) { s.length = d } }

// WithSizes sets the numbers of entry instances and workers, from 1 to 40 each; the defaults are 4 and 8.
func WithSizes(entries, workers int) Option {
	return func(s *Soak) { s.entries, s.workers = entries, workers }
}

// WithoutFaults turns the injection of faults off.
func WithoutFaults() Option { return func(s *Soak) { s.noFaults = true } }

// WithGangs makes some of the jobs gang jobs. By default there are none.
func WithGangs() Option { return func(s *Soak) { s.mix.gangs = true } }

// WithDomainFaults adds faults of whole failure domains and of the leader, gives each worker a clock rate of its own
// and adds repeated jobs and tasks that outlast a lease. With an even seed these are the only faults.
func WithDomainFaults() Option {
	return func(s *Soak) { s.domains, s.mix.long, s.mix.bursts = true, true, s.seed/2%2 == 1 }
}

// WithIdle pauses the submission of jobs for d before the first fault, so that what the leader knows about the clocks of
// idle workers gets old.
func WithIdle(d time.Duration) Option { return func(s *Soak) { s.idle = d } }

// WithLink makes the instances of one of three failure domains another region, which the store's answers reach over a link of so
// many Mbit/s, with a large configuration that changes in series.
func WithLink(mbits int) Option { return func(s *Soak) { s.linkMbits = mbits } }

// Sizes and times of a run.
const (
	defaultEntries = 4
	defaultWorkers = 8
	maxNodes       = 40
	defaultLength  = 15 * time.Second
	// startTimeout limits the time until all instances are ready, finishTimeout the time from the last fault until
	// all jobs have ended: leases last 5 s, and a long job a few seconds more.
	startTimeout  = 10 * time.Second
	finishTimeout = 40 * time.Second
	// meanJobInterval is the mean time between two jobs, meanLongJobInterval that in a mix with long jobs, and callTimeout
	// limits the time of a call.
	meanJobInterval     = 120 * time.Millisecond
	meanLongJobInterval = 300 * time.Millisecond
	callTimeout         = 3 * time.Second
	// With half of the seeds of a mix with long jobs, bursts of burstJobs short jobs begin every burstInterval, so that the
	// workers are idle between them.
	burstInterval = 5 * time.Second
	burstJobs     = 8
	// pollInterval is the time between two requests for the state of a job, and between two attempts of a
	// submission or cancellation.
	pollInterval = 350 * time.Millisecond
	// maxAttempts is how often a client sends a submission.
	maxAttempts = 6
)

// New returns a run with the programs in the directory bin and with logs and settings in the directory dir. It
// fails if a number of instances or workers is out of range.
func New(seed uint64, bin, dir string, opts ...Option) (*Soak, error) {
	s := &Soak{seed: seed, length: defaultLength, entries: defaultEntries, workers: defaultWorkers, bin: bin, dir: dir}
	for _, opt := range opts {
		opt(s)
	}
	if s.entries < 1 || s.entries > maxNodes || s.workers < 1 || s.workers > maxNodes {
		return nil, fmt.Errorf("the numbers of instances and workers must be from 1 to %d", maxNodes)
	}
	return s, nil
}

// Result holds the violations and the counts of a run.
type Result struct {
	violations []string
	jobs       int
	starts     int
	faults     int
	completed  int
	linkBytes  int64
}

// Jobs returns the number of jobs that clients tried to submit.
func (r Result) Jobs() int { return r.jobs }

// Completed returns the number of jobs that were last reported as completed.
func (r Result) Completed() int { return r.completed }

// Violations returns a line for each violation, which starts with the name of the broken rule. It is nil if there is
// none.
func (r Result) Violations() []string { return r.violations }

// String returns the counts on one line.
func (r Result) String() string {
	out := fmt.Sprintf("jobs=%d completed=%d starts=%d faults=%d violations=%d", r.jobs, r.completed, r.starts, r.faults, len(r.violations))
	if r.linkBytes > 0 {
		out += fmt.Sprintf(" link_bytes=%d", r.linkBytes)
	}
	return out
}

func (s *Soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// Run starts the fleet, sends jobs, injects the faults, checks the promises and stops the fleet. Violations are
// part of the result; an error means that the fleet could not be started or that ctx has ended. It may be
// called once.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	s.audit = newAudit()
	defer close(s.audit.closed)
	bin, err := filepath.Abs(s.bin)
	if err != nil {
		return Result{}, err
	}
	s.fleet = &fleet{
		bin: bin, dir: s.dir, net: newNetwork(), spawner: newSpawner(), audit: s.audit, latePercent: 4,
		maxLease: anvilplatformapi.MaxLease, stopGrace: anvilplatformapi.StopGrace,
	}
	if s.linkMbits > 0 {
		s.fleet.link = newLink(s.linkMbits)
	}
	if s.longRunning {
		s.fleet.maxLease, s.fleet.stopGrace, s.fleet.minLagPPM, s.fleet.latePercent = shortLease, shortStopGrace, maxLagPPM/2, 0
	}
	if s.domains || s.longRunning {
		s.fleet.rng = rand.New(rand.NewPCG(s.seed, fleetStream))
	}
	defer s.fleet.close()
	if err := s.fleet.start(s.entries, s.workers); err != nil {
		return Result{}, err
	}
	s.caller = anvilplatformapi.NewCaller()
	defer s.caller.Close()
	s.operator = anvilplatformapi.NewOperator(s.fleet.addr(platformHost, platformPort))
	if err := s.reconfigure(ctx, func(*configuration) {}); err != nil {
		return Result{}, err
	}
	if err := s.waitReady(ctx); err != nil {
		return Result{}, err
	}
	faults := s.fixed
	if !s.noFaults {
		faults = s.schedule()
	}
	if err := s.logFaults(faults); err != nil {
		return Result{}, err
	}
	jobs := s.runJobs(ctx, faults)
	if err := ctx.Err(); err != nil {
		return Result{}, err
	}
	return s.result(faults, jobs), nil
}

// logFaults writes the faults of the run to a file beside the logs.
func (s *Soak) logFaults(faults []Fault) error {
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	return os.WriteFile(filepath.Join(s.dir, "faults.log"), []byte(b.String()), 0o600)
}

// networkCount counts the runs of this process, so that each has loopback addresses of its own.
var networkCount atomic.Int64

// newNetwork returns the first three bytes of loopback addresses that no other run uses, in this process or in
// one that runs at the same time.
func newNetwork() string {
	const maxByte = 250
	return fmt.Sprintf("127.%d.%d", 1+os.Getpid()%maxByte, 1+(os.Getpid()/maxByte+int(networkCount.Add(1)))%maxByte)
}

func (s *Soak) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range s.fleet.entries {
		for !s.caller.Ready(ctx, e.settings.ReadyAddr()) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", e.settings.CallerAddr())
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// runJobs submits jobs while faults are injected, waits until the jobs have ended and returns their number.
func (s *Soak) runJobs(ctx context.Context, faults []Fault) int {
	var clients, endless, injections sync.WaitGroup
	begin := time.Now()
	for _, f := range faults {
		injections.Go(func() {
			sleep(ctx, s.idle+f.at-time.Since(begin))
			if err := s.injectRecorded(ctx, f); err != nil {
				fmt.Fprintf(os.Stderr, "fault %s: %v\n", f, err)
			}
		})
	}
	if s.linkMbits > 0 {
		injections.Go(func() { s.changeInSeries(ctx, begin) })
	}
	rng := rand.New(rand.NewPCG(s.seed, 1))
	jobs := 0
	loadCtx, cancel := context.WithTimeout(ctx, s.idle+s.length+2*finishTimeout)
	defer cancel()
	clientCtx, stop := context.WithCancel(loadCtx)
	defer stop()
	idle, next := s.idle, begin
	for time.Since(begin) < s.idle+s.length && ctx.Err() == nil {
		if idle > 0 && time.Since(begin) > firstFaultDelay/2 {
			sleep(ctx, idle)
			idle = 0
		}
		j, err := s.nextJob(rng, jobs)
		if err != nil {
			s.addViolation("JOB: %v", err)
			break
		}
		clientRNG := rand.New(rand.NewPCG(s.seed, rng.Uint64()))
		jobs++
		group := &clients
		if j.endless() {
			group = &endless
		}
		group.Go(func() { s.runClient(clientCtx, j, clientRNG) })
		interval := s.untilNextJob(rng, jobs, time.Since(begin)-s.idle)
		if s.rate == 0 {
			sleep(ctx, interval)
			continue
		}
		// Jobs that take long to send don't lower the rate.
		next = next.Add(interval)
		sleep(ctx, time.Until(next))
	}
	injections.Wait()
	for _, e := range s.fleet.entries {
		e.proxy.clearFaults()
	}
	// Jobs that have not ended must be able to run: limits are raised and all keys are valid again.
	if err := s.reconfigure(ctx, func(c *configuration) { c.lowered, c.revoked = [teamCount]bool{}, nil }); err != nil {
		s.addViolation("CONFIG: %v", err)
	}
	finished := make(chan struct{})
	go func() { clients.Wait(); close(finished) }()
	select {
	case <-finished:
	case <-time.After(finishTimeout):
		stop()
		<-finished
	}
	stop()
	endless.Wait()
	return jobs
}

// untilNextJob returns the time until the next job, after a number of jobs. elapsed is the time since the pause of the load
// ended.
func (s *Soak) untilNextJob(rng *rand.Rand, jobs int, elapsed time.Duration) time.Duration {
	switch {
	case s.longRunning:
		return s.untilNextShortJob(rng, jobs)
	case s.rate > 0:
		return time.Second / time.Duration(s.rate)
	case s.mix.bursts && jobs%burstJobs == 0:
		return burstInterval - elapsed%burstInterval
	case s.mix.bursts:
		return 0
	case s.mix.long:
		return time.Duration(rng.Int64N(int64(2 * meanLongJobInterval)))
	default:
		return time.Duration(rng.Int64N(int64(2 * meanJobInterval)))
	}
}

func (s *Soak) result(faults []Fault, jobs int) Result {
	sleep(context.Background(), 2*reorderDelay)
	r := Result{jobs: jobs, faults: len(faults), linkBytes: s.fleet.link.carried()}
	s.audit.call(func(a *audit) {
		r.violations = append(r.violations, a.finish()...)
		r.starts = a.starts
		for _, j := range a.jobs {
			if j.state == "completed" {
				r.completed++
			}
		}
	})
	for _, e := range s.fleet.entries {
		if e.process.exitedUnexpectedly() {
			r.violations = append(r.violations, fmt.Sprintf("EXIT: %s exited unexpectedly with status %d", e.file, e.process.status()))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.violations = append(r.violations, s.violations...)
	return r
}

// runClient submits a job, polls its state until it has ended, and cancels it if the plan says so.
func (s *Soak) runClient(ctx context.Context, j *jobPlan, rng *rand.Rand) {
	s.audit.call(func(a *audit) {
		a.jobs[j.id] = newJobState(j)
	})
	if !s.submit(ctx, j, rng) {
		return
	}
	accepted := nowMillis()
	for ctx.Err() == nil {
		if j.cancelAfter > 0 && nowMillis()-accepted > j.cancelAfter && s.cancel(ctx, j, rng) {
			return
		}
		sent := nowMillis()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		status, state := s.caller.State(call, s.target(j, rng))
		cancel()
		s.audit.call(func(a *audit) { a.recordState(j.id, status, state, sent) })
		if state == "completed" || state == "failed" || state == "cancelled" {
			return
		}
		sleep(ctx, pollInterval)
	}
}

func (s *Soak) target(j *jobPlan, rng *rand.Rand) anvilplatformapi.Target {
	e := s.fleet.entries[rng.IntN(len(s.fleet.entries))]
	return anvilplatformapi.NewTarget(e.settings.CallerAddr(), host, j.path(), s.config.workingKey(j.key))
}

// submit submits a job until it is accepted or the attempts are used up, and reports whether it was accepted.
func (s *Soak) submit(ctx context.Context, j *jobPlan, rng *rand.Rand) bool {
	for range maxAttempts {
		sent, revoked := nowMillis(), s.config.revokedAt(j.key)
		s.audit.call(func(a *audit) { a.jobs[j.id].attempts++ })
		e := s.fleet.entries[rng.IntN(len(s.fleet.entries))]
		call, cancel := context.WithTimeout(ctx, callTimeout)
		status := s.caller.Submit(call, anvilplatformapi.NewTarget(e.settings.CallerAddr(), host, j.path(), j.key), j.wire)
		cancel()
		if s.config.revokedAt(j.key) != revoked {
			// The key was restored before the answer, and the job may have been stored after that.
			revoked = 0
		}
		s.audit.call(func(a *audit) { a.recordSubmission(j.id, status, sent, revoked) })
		if status/100 == 2 {
			return true
		}
		sleep(ctx, pollInterval)
	}
	return false
}

// cancel cancels a job, with retries until ctx is done, and reports whether the cancellation was acknowledged.
func (s *Soak) cancel(ctx context.Context, j *jobPlan, rng *rand.Rand) bool {
	s.audit.call(func(a *audit) { a.jobs[j.id].cancelRequested = true })
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		status := s.caller.Cancel(call, s.target(j, rng))
		cancel()
		if status/100 == 2 || status == 410 {
			s.audit.call(func(a *audit) { a.jobs[j.id].cancelled = nowMillis() })
			return true
		}
		sleep(ctx, pollInterval)
	}
	return false
}

// teamLimit returns the limit of a team. The normal limit is smaller than the capacity of the default fleet, so that
// limits have an effect.
func teamLimit(lowered bool) anvilsize.Size {
	if lowered {
		return anvilsize.New(12_000, 32_768, 0)
	}
	return anvilsize.New(40_000, 131_072, 0)
}

// configuration is the configuration that the operator wrote last. mu must be locked for revoke and restore; the
// other methods lock it.
type configuration struct {
	mu      sync.Mutex
	version int64
	lowered [teamCount]bool
	// revoked holds the revoked keys with the time at which the revocation was acknowledged, 0 before that.
	revoked map[string]anvilclock.Millis
}

func (c *configuration) revoke(team, key int) {
	if c.revoked == nil {
		c.revoked = map[string]anvilclock.Millis{}
	}
	c.revoked[keySecret(team, key)] = 0
}

func (c *configuration) restore(team, key int) { delete(c.revoked, keySecret(team, key)) }

// revokedAt returns when a key was revoked; 0 if it is valid, or if the revocation has not been acknowledged
// yet.
func (c *configuration) revokedAt(key string) anvilclock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revoked[key]
}

// workingKey returns a valid key of the team that key belongs to.
func (c *configuration) workingKey(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for team := range teamCount {
		for n := range keyCount {
			if keySecret(team, n) != key {
				continue
			}
			for other := range keyCount {
				if _, revoked := c.revoked[keySecret(team, other)]; !revoked {
					return keySecret(team, other)
				}
			}
		}
	}
	return key
}

// reconfigure changes the configuration and writes it. It passes new limits to the audit before it writes them,
// because they may apply before the operator receives the answer.
func (s *Soak) reconfigure(ctx context.Context, change func(c *configuration)) error {
	c := &s.config
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
	c.version += 3
	queues := []anvilplatformapi.Queue{
		anvilplatformapi.NewQueue(quickQueue, host, prefixOf(quickQueue), pool, 0, attempts, true),
		anvilplatformapi.NewQueue(batchQueue, host, prefixOf(batchQueue), pool, 1, attempts, false),
	}
	if s.linkMbits > 0 {
		queues = append(queues, unusedQueues(c.version)...)
	}
	var teams []anvilplatformapi.Team
	for i := range teamCount {
		var keys []string
		for n := range keyCount {
			if _, revoked := c.revoked[keySecret(i, n)]; !revoked {
				keys = append(keys, keySecret(i, n))
			}
		}
		teams = append(teams, anvilplatformapi.NewTeam(teamName(i), teamLimit(c.lowered[i]), keys...))
	}
	before := nowMillis()
	s.audit.call(func(a *audit) {
		for i := range teamCount {
			a.limits[teamName(i)] = append(a.limits[teamName(i)], limitChange{at: before, limit: teamLimit(c.lowered[i])})
		}
	})
	if err := s.operator.Configure(ctx, c.version, []string{pool}, queues, teams); err != nil {
		return err
	}
	for key, at := range c.revoked {
		if at == 0 {
			c.revoked[key] = nowMillis()
		}
	}
	return nil
}
