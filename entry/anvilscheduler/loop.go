package anvilscheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilinvariant"
	"anvilhold.org/lib/anvilpolicy"
)

// Meter counts events and measures lengths of time.
type Meter interface {
	Count(name string)
	Gauge(name string, v int64)
	Observe(name string, d time.Duration)
}

type noMeter struct{}

func (noMeter) Count(string)                  {}
func (noMeter) Gauge(string, int64)           {}
func (noMeter) Observe(string, time.Duration) {}

// View is what traffic goroutines see of control state. It is immutable.
type View struct {
	policy       *anvilpolicy.Policy
	row          int64
	confirmed    anvilclock.Millis
	synced       bool
	leaving      bool
	leader       string
	connectivity *Connectivity
}

// LeaderAddr returns the address of the instance that schedules; empty when it is not known.
func (v *View) LeaderAddr() string { return v.leader }

// Policy returns the configuration in force; nil before one was read.
func (v *View) Policy() *anvilpolicy.Policy { return v.policy }

// Row returns the version of the configuration's row.
func (v *View) Row() int64 { return v.row }

// Confirmed returns the time of the loop's clock up to which the configuration is known to be the newest.
func (v *View) Confirmed() anvilclock.Millis { return v.confirmed }

// Synced reports whether the states of all jobs have been read once.
func (v *View) Synced() bool { return v.synced }

// Leaving reports whether the instance was told to stop.
func (v *View) Leaving() bool { return v.leaving }

// Loop is the control loop of an entry instance. Its fields are owned by the goroutine that runs Run,
// except for view and directory.
type Loop struct {
	// machineName is the beginning of the names of this machine's instances; empty when it is not known.
	machineName string
	self        anvilstorage.Instance
	store       Store
	registry    Registry
	workers     Workers
	advisors    Advisors
	notifier    Notifier
	peers       Peers
	clock       anvilclock.Clock
	log         *anvilevent.Log
	check       *anvilinvariant.Checker
	meter       Meter
	charts      *charts
	inbox       chan message
	view        atomic.Pointer[View]
	// scheduling tells traffic goroutines whether this instance is the leader.
	scheduling atomic.Bool
	// pollInterval is the pause between two looks at the row of the leadership.
	pollInterval atomic.Int64
	// peerCount is the number of other instances; listed is closed once it is known.
	peerCount      atomic.Int64
	peersKnown     chan struct{}
	peersKnownOnce sync.Once
	// upstreams are instances of the same failure domain from which the states of jobs may be read.
	upstreams atomic.Pointer[[]string]
	// pollRequests ends such a pause early.
	pollRequests chan struct{}
	directory    *Directory

	limits     leaseLimits
	config     configuration
	leadership leadership
	commits    commitQueue
	fleet      fleet
	work       work
	proxies    proxySet
	wall       wallClock

	ctx context.Context
	// spawn runs a call to the outside on a traffic goroutine.
	spawn func(func())
	// after calls a function after a time, on another goroutine.
	after func(d anvilclock.Millis, f func())
	// watching says that the tables are followed; a test tells the loop itself what has changed.
	watching     bool
	shutdownDone chan struct{}
}

// limits holds what the platform promises of workers and asks of the scheduler.
type leaseLimits struct {
	maxLease  anvilclock.Millis
	stopGrace anvilclock.Millis
}

// configuration is the newest configuration and how long it is known to be that.
type configuration struct {
	policy       *anvilpolicy.Policy
	row          int64
	confirmed    anvilclock.Millis
	synced       bool
	leaving      bool
	connectivity *Connectivity
	// partitionDetected is closed when the instance turns out to be partitioned.
	partitionDetected chan struct{}
}

// Option sets an optional part of a Loop.
type Option func(*Loop)

// WithClock replaces the machine's clock.
func WithClock(c anvilclock.Clock) Option { return func(l *Loop) { l.clock = c } }

// WithLog sets where events are written.
func WithLog(log *anvilevent.Log) Option { return func(l *Loop) { l.log = log } }

// WithChecker sets what happens when an invariant does not hold.
func WithChecker(c *anvilinvariant.Checker) Option { return func(l *Loop) { l.check = c } }

// WithNotifier sets what announces the ends of jobs to other instances.
func WithNotifier(h Notifier) Option { return func(l *Loop) { l.notifier = h } }

// WithPeers sets how other instances are asked whether they reach the store.
func WithPeers(p Peers) Option { return func(l *Loop) { l.peers = p } }

// WithMeter sets where figures go.
func WithMeter(m Meter) Option { return func(l *Loop) { l.meter = m } }

// WithLease sets the longest lease that workers grant, and how long a stop may take.
func WithLease(longest, stopGrace anvilclock.Millis) Option {
	return func(l *Loop) { l.limits = leaseLimits{maxLease: longest, stopGrace: stopGrace} }
}

// WithMachine sets the name of the machine. Names of instances begin with it: an earlier process of the
// machineName is gone once a new one runs.
func WithMachine(name string) Option { return func(l *Loop) { l.machineName = name } }

// Defaults of the bounds.
const (
	defaultMaxLease  = anvilclock.Millis(6000)
	defaultStopGrace = anvilclock.Millis(900)
)

// inboxSize is the number of messages that wait for the loop before traffic goroutines wait.
const inboxSize = 4096

// New returns a loop that has not started.
func New(self anvilstorage.Instance, s Store, r Registry, w Workers, a Advisors, opts ...Option) (*Loop, error) {
	l := &Loop{
		self: self, store: s, registry: r, workers: w, advisors: a, clock: anvilclock.NewBoot(),
		log: &anvilevent.Log{}, check: anvilinvariant.New(), meter: noMeter{}, notifier: noNotifier{},
		inbox: make(chan message, inboxSize), directory: NewDirectory(), ctx: context.Background(),
		spawn:        func(f func()) { go f() },
		after:        func(d anvilclock.Millis, f func()) { time.AfterFunc(d.Duration(), f) },
		pollRequests: make(chan struct{}, 1),
		peersKnown:   make(chan struct{}),
		limits:       leaseLimits{maxLease: defaultMaxLease, stopGrace: defaultStopGrace},
	}
	l.config.partitionDetected = make(chan struct{})
	l.config.connectivity = NewConnectivity(false, l.config.partitionDetected)
	for _, opt := range opts {
		opt(l)
	}
	if err := l.loadCharts(); err != nil {
		return nil, err
	}
	l.pollInterval.Store(int64(pollInterval))
	l.leadership.machine = l.charts.leadership.NewMachine()
	l.resetLeaderState()
	l.publish()
	return l, nil
}

// resetLeaderState forgets everything that only the leader knows.
func (l *Loop) resetLeaderState() {
	l.commits = newCommitQueue()
	l.fleet = newFleet()
	l.work = newWork()
	l.proxies = newProxySet(l.self)
}

// View returns the newest snapshot of control state. It is safe for concurrent use.
func (l *Loop) View() *View { return l.view.Load() }

// Connectivity returns whether this instance reaches the store. It is safe for concurrent use.
func (l *Loop) Connectivity() *Connectivity { return l.View().connectivity }

// Directory returns the states of jobs. It is safe for concurrent use.
func (l *Loop) Directory() *Directory { return l.directory }

// Clock returns the loop's clock.
func (l *Loop) Clock() anvilclock.Clock { return l.clock }

// UpdatePolicy takes a newer configuration that a transaction of this instance has met.
func (l *Loop) UpdatePolicy(page anvilstorage.PolicyPage) {
	l.post(policyRead{page: page, since: l.clock.Now()})
}

// ReceiveRows takes rows that another instance has just stored, ahead of the store's feed: submissions and
// cancellations at the instance that schedules, ends of jobs and a leadership that was given up at the others.
func (l *Loop) ReceiveRows(rows []anvilstorage.Row) { l.post(rowsReceived{rows: rows}) }

func (m rowsReceived) deliver(l *Loop) {
	var intake []anvilstorage.Row
	for _, r := range m.rows {
		switch r.Table() {
		case anvilstorage.Intake:
			intake = append(intake, r)
		case anvilstorage.States:
			l.applyState(r)
		case anvilstorage.Leaderships:
			l.pollLeadershipNow()
		default:
		}
	}
	if l.leading() {
		l.processIntake(anvilstorage.NewPage(intake, 0, 0))
	}
}

// applyState takes the row of a job's state.
func (l *Loop) applyState(r anvilstorage.Row) {
	s, err := anvilstorage.ParseState(r)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.States), "key", r.Key())
		return
	}
	l.directory.Put(s, r.Version())
}

// Shutdown asks the loop to give up the leadership for good and returns a channel that is closed when it has.
func (l *Loop) Shutdown() <-chan struct{} {
	done := make(chan struct{})
	l.post(shutdown{done: done})
	return done
}

func (l *Loop) post(m message) { l.inbox <- m }

// Run works until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.ctx = ctx
	l.startWatches()
	timer := time.NewTimer(tickFollowing.Duration())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			m.deliver(l)
			l.drain()
		case <-timer.C:
			l.tick()
			timer.Reset(l.tickInterval().Duration())
		}
		l.decide()
	}
}

// maxDrain bounds how many messages are worked off before decisions are made.
const maxDrain = 256

func (l *Loop) drain() {
	for range maxDrain {
		select {
		case m := <-l.inbox:
			m.deliver(l)
		default:
			return
		}
	}
}

func (l *Loop) tickInterval() anvilclock.Millis {
	if l.leading() {
		return tickLeading
	}
	return tickFollowing
}

// tick does what is due by time.
func (l *Loop) tick() {
	now := l.clock.Now()
	l.wall.sample(l.clock)
	if !l.leading() {
		return
	}
	l.checkLeadership(now)
	l.tickFleet(now)
	l.tickWork(now)
	l.cleanRows(now)
}

// decide makes the decisions that the newest messages allow.
func (l *Loop) decide() {
	if !l.leading() {
		return
	}
	now := l.clock.Now()
	if l.work.passRequested && now-l.work.lastPass >= l.work.passInterval {
		l.pass(now)
	}
	l.commitDue(now)
}

func (l *Loop) publish() {
	l.view.Store(&View{
		policy: l.config.policy, row: l.config.row, confirmed: l.config.confirmed, synced: l.config.synced,
		leaving: l.config.leaving, leader: l.leadership.current.Addr(), connectivity: l.config.connectivity,
	})
}

func (m policyRead) deliver(l *Loop) {
	c := &l.config
	if p := m.page.Policy(); p != nil && (c.policy == nil || p.Version() > c.policy.Version()) {
		c.policy, c.row = p, m.page.Row()
		l.log.Record(anvilevent.PolicyApplied, "version", p.Version(), "row", c.row)
		l.requestPass()
	}
	if c.policy != nil {
		c.confirmed = max(c.confirmed, m.since)
	}
	l.publish()
}

func (m statesRead) deliver(l *Loop) {
	ids := make(map[string]bool, len(m.page.Rows()))
	for _, r := range m.page.Rows() {
		if r.Deleted() {
			l.directory.Remove(r.Key())
			continue
		}
		ids[r.Key()] = true
		l.applyState(r)
	}
	if m.full {
		l.directory.RetainOnly(ids, m.page.Version())
	}
	l.directory.Sync(m.page.Version(), l.clock.Now())
	if m.full && !l.config.synced {
		l.config.synced = true
		l.publish()
	}
}

func (m shutdown) deliver(l *Loop) {
	l.config.leaving = true
	l.publish()
	l.shutdownDone = m.done
	l.fireLeadership("resign")
	if !l.leadership.releasing {
		l.completeShutdown()
	}
}

// completeShutdown says that the leadership is given up. The loop goes on for the calls that are still answered.
func (l *Loop) completeShutdown() {
	if l.shutdownDone != nil {
		close(l.shutdownDone)
		l.shutdownDone = nil
	}
}

// Turn works off the messages that have arrived. Run does so by itself; a front end that drives a loop
// without Run, such as a test, calls it.
func (l *Loop) Turn() { l.drain() }
