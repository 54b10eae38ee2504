package anvilscheduler

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"anvilhold.org/entry/anvilrelay"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anviladmission"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilinvariant"
	"anvilhold.org/lib/anvillocality"
	"anvilhold.org/lib/anvilpolicy"
)

// Meter records metrics. It must be safe for concurrent use.
type Meter interface {
	Count(name string)
	Gauge(name string, v int64)
	Observe(name string, d time.Duration)
}

type noMeter struct{}

func (noMeter) Count(string)                  {}
func (noMeter) Gauge(string, int64)           {}
func (noMeter) Observe(string, time.Duration) {}

// View is an immutable snapshot of control state for traffic goroutines.
type View struct {
	policy           *anvilpolicy.Policy
	policyRowVersion int64
	document         []byte // the text of policy; nil when it isn't known
	confirmed        anvilclock.Millis
	synced           bool
	shuttingDown     bool
	leaderAddr       string
	connectivity     *Connectivity
	backlog          *anviladmission.Backlog
}

// LeaderAddr returns the address of the leader; empty when it is not known or there is none.
func (v *View) LeaderAddr() string { return v.leaderAddr }

// Policy returns the newest known configuration; nil before one was read.
func (v *View) Policy() *anvilpolicy.Policy { return v.policy }

// PolicyRowVersion returns the store's version of the configuration row; 0 before one was read.
func (v *View) PolicyRowVersion() int64 { return v.policyRowVersion }

// Confirmed returns the time of the loop's clock up to which the configuration is known to have been the newest.
func (v *View) Confirmed() anvilclock.Millis { return v.confirmed }

// Synced reports whether the states of all jobs have been read at least once.
func (v *View) Synced() bool { return v.synced }

// ShuttingDown reports whether Shutdown was called.
func (v *View) ShuttingDown() bool { return v.shuttingDown }

// Loop is the control loop of an entry instance. The goroutine that calls Run owns its fields, except for the atomic
// ones, the channels and directory, which traffic goroutines use, too.
type Loop struct {
	// machineName and a hyphen begin the names of all processes of this machine; empty when it is not known.
	machineName string
	self        anvilstorage.Instance
	store       Store
	registry    Registry
	workers     Workers
	advisors    Advisors
	notifier    Notifier
	peers       Peers
	witnesses   Witnesses
	// policyReader reads the configuration and relay gives it to other instances. regions maps failure domains to regions.
	policyReader  *anvilrelay.Reader
	readerOptions []anvilrelay.Option
	relay         *anvilrelay.Relay
	regions       map[string]string
	clock         anvilclock.Clock
	log           *anvilevent.Log
	check         *anvilinvariant.Checker
	meter         Meter
	charts        *charts
	inbox         chan message
	view          atomic.Pointer[View]
	// isLeader reports to traffic goroutines whether this instance is the leader, and leaderToken its token, or 0.
	isLeader    atomic.Bool
	leaderToken atomic.Int64
	// renewedAt is when the last applied commit of the leader was sent, in milliseconds of the loop's clock.
	renewedAt atomic.Int64
	// pollInterval is the pause between two reads of the leadership row, in milliseconds.
	pollInterval atomic.Int64
	// peerCount is the number of other instances; peersKnown is closed once it is known.
	peerCount      atomic.Int64
	peersKnown     chan struct{}
	peersKnownOnce sync.Once
	// peerAddrs are the addresses of the other instances; nil while unknown.
	peerAddrs atomic.Pointer[[]string]
	// witnessRequest is nil while no confirmation of an outage is possible.
	witnessRequest atomic.Pointer[witnessRequest]
	witness        witness
	// members are the other instances; nil while unknown.
	members atomic.Pointer[[]anvilstorage.Instance]
	// upstreams are the addresses of the instances from which this one may read the states of jobs; nil while unknown.
	upstreams atomic.Pointer[[]string]
	// pollRequests has a value while the pause between two reads of the leadership row should end early.
	pollRequests chan struct{}
	directory    *Directory

	limits     limits
	locality   *anvillocality.Rule
	refusals   bool
	state      instanceState
	leadership leadership
	storeTime  storeClock
	commits    commitQueue
	fleet      fleet
	workload   workload
	proxies    proxySet
	wall       wallClock
	lateness   lateness
	ackAudit   ackAudit
	// longestTurn is the longest turn of the loop since the last summary.
	longestTurn anvilclock.Millis
	answers     lateAnswers
	// guards are the workers that this instance holds for a leader, by their ids.
	guards map[string]*guard
	// evacuations outlive a leadership: every instance follows them.
	evacuations evacuations

	ctx context.Context
	// spawn runs a call to the store, a worker or another instance on a traffic goroutine.
	spawn func(func())
	// after calls a function on another goroutine once d has passed.
	after func(d anvilclock.Millis, f func())
	// watching is set by Run, which follows the tables. Tests that don't call Run post the changes instead.
	watching bool
	// shutdownDone is closed once the leadership is released; nil when no shutdown is in progress.
	shutdownDone chan struct{}
}

// limits holds the limits of the platform and the machine: the longest lease that a worker grants, the time that it gives a
// run to stop, and the interval at which it renews its entry in the registry.
type limits struct {
	maxLease  anvilclock.Millis
	stopGrace anvilclock.Millis
	heartbeat anvilclock.Millis
	// liveBytes bounds what the leader holds of jobs that have not ended, in bytes.
	liveBytes int64
}

// instanceState is the state that every instance has, leader or not. View describes its fields.
type instanceState struct {
	policy           *anvilpolicy.Policy
	policyRowVersion int64
	document         []byte
	confirmed        anvilclock.Millis
	synced           bool
	shuttingDown     bool
	connectivity     *Connectivity
	// partitionDetected is closed when a partition from the store is detected, and replaced when it has ended.
	partitionDetected chan struct{}
	// backlog holds the shortages that this instance has found as the leader, or read from the leader.
	backlog *anviladmission.Backlog
}

// Option sets an optional part of a Loop.
type Option func(*Loop)

// WithClock sets the loop's clock; the default is the machine's time since boot.
func WithClock(c anvilclock.Clock) Option { return func(l *Loop) { l.clock = c } }

// WithLog sets the log of events; by default nothing is logged.
func WithLog(log *anvilevent.Log) Option { return func(l *Loop) { l.log = log } }

// WithChecker sets the checker of invariants; by default violations are only counted.
func WithChecker(c *anvilinvariant.Checker) Option { return func(l *Loop) { l.check = c } }

// WithNotifier sets how other instances are notified of stored rows; by default they are not.
func WithNotifier(n Notifier) Option { return func(l *Loop) { l.notifier = n } }

// WithPeers sets how other instances are called. Without it, partitions from the store and the exit of the leader's
// process are not detected, and all states are read from the store.
func WithPeers(p Peers) Option { return func(l *Loop) { l.peers = p } }

// WithWitnesses sets how other instances are asked to confirm an outage of the store. Without it, no leases are extended once the
// leadership can't be renewed.
func WithWitnesses(w Witnesses) Option { return func(l *Loop) { l.witnesses = w } }

// WithMeter sets where metrics are recorded; by default nowhere.
func WithMeter(m Meter) Option { return func(l *Loop) { l.meter = m } }

// WithLease sets the longest lease that workers grant, and the time that they give a run to stop.
func WithLease(longest, stopGrace anvilclock.Millis) Option {
	return func(l *Loop) { l.limits.maxLease, l.limits.stopGrace = longest, stopGrace }
}

// WithHeartbeat sets the interval at which workers renew their entries in the registry. Without it, the removal of an
// entry never shows that a worker has left.
func WithHeartbeat(interval anvilclock.Millis) Option {
	return func(l *Loop) { l.limits.heartbeat = interval }
}

// WithMemory sets the memory of the process, in bytes. The leader holds jobs that wait in a part of it, and reads the others when
// there is space; 0 keeps the default.
func WithMemory(n int64) Option {
	return func(l *Loop) {
		if n > 0 {
			l.limits.liveBytes = n / liveMemoryDivisor
		}
	}
}

// WithRemotePenalty sets how many times as long a run takes on another rack than that of its data or its gang. Above 1, tasks
// wait for a near place where that pays; by default they never do.
func WithRemotePenalty(penalty float64) Option {
	return func(l *Loop) { l.locality = anvillocality.New(penalty) }
}

// WithRefusals makes the leader look for jobs that get no capacity while they have a value, so that the instances refuse such
// jobs. By default none is refused for lack of capacity.
func WithRefusals() Option { return func(l *Loop) { l.refusals = true } }

// WithMachine sets the name of the machine, with which the names of its instances begin. When the leader's name begins
// with it, the leader was an earlier process of the machine, which has exited, and this instance claims without a
// delay.
func WithMachine(name string) Option { return func(l *Loop) { l.machineName = name } }

// Defaults of limits.
const (
	defaultMaxLease  = anvilclock.Millis(6000)
	defaultStopGrace = anvilclock.Millis(900)
)

// inboxSize is the capacity of the inbox in messages. Traffic goroutines block while it is full.
const inboxSize = 4096

// New returns a loop for the instance self; Run starts it. It fails when a state chart is invalid.
func New(self anvilstorage.Instance, s Store, r Registry, w Workers, a Advisors, opts ...Option) (*Loop, error) {
	l := &Loop{
		self: self, store: s, registry: r, workers: w, advisors: a, clock: anvilclock.NewBoot(),
		log: &anvilevent.Log{}, check: anvilinvariant.New(), meter: noMeter{}, notifier: noNotifier{}, locality: anvillocality.New(0),
		inbox: make(chan message, inboxSize), directory: NewDirectory(), ctx: context.Background(),
		spawn:        func(f func()) { go f() },
		after:        func(d anvilclock.Millis, f func()) { time.AfterFunc(d.Duration(), f) },
		pollRequests: make(chan struct{}, 1),
		peersKnown:   make(chan struct{}),

		guards:      map[string]*guard{},
		evacuations: evacuations{active: map[string]*evacuation{}},
		limits:      limits{maxLease: defaultMaxLease, stopGrace: defaultStopGrace, liveBytes: defaultLiveBytes},
	}
	l.state.partitionDetected = make(chan struct{})
	l.state.connectivity = NewConnectivity(false, l.state.partitionDetected)
	for _, opt := range opts {
		opt(l)
	}
	if err := l.loadCharts(); err != nil {
		return nil, err
	}
	var err error
	fleet := policyFleet{loop: l, limits: evacuations{bound: l.evacuations.bound}}
	if l.policyReader, err = anvilrelay.NewReader(l.registry, fleet, l.clock, l.log, l.meter, l.readerOptions...); err != nil {
		return nil, err
	}
	l.relay = anvilrelay.NewRelay(l.clock)
	l.pollInterval.Store(int64(pollInterval))
	// An earlier process at this address may have confirmed extensions.
	l.witness.until = l.clock.Now() + outageConfirmation
	l.leadership.machine = l.charts.leadership.NewMachine()
	l.clear()
	l.publish()
	return l, nil
}

// clear drops the state that only the leader has.
func (l *Loop) clear() {
	l.commits = newCommitQueue()
	l.fleet = newFleet()
	l.workload = newWorkload()
	l.proxies = newProxySet(l.self)
	l.ackAudit = newAckAudit()
	l.lateness, l.answers = lateness{}, lateAnswers{}
}

// View returns the newest snapshot of control state. It is safe for concurrent use.
func (l *Loop) View() *View { return l.view.Load() }

// Connectivity returns the newest state of the network path to the store. It is safe for concurrent use.
func (l *Loop) Connectivity() *Connectivity { return l.View().connectivity }

// Backlog returns the shortages of capacity for new jobs, as the leader has last shown them; nil while there is no leader. It is
// safe for concurrent use.
func (l *Loop) Backlog() *anviladmission.Backlog {
	v := l.View()
	if v.leaderAddr == "" {
		return nil
	}
	return v.backlog
}

// Directory returns the states of jobs that this instance knows. It is safe for concurrent use.
func (l *Loop) Directory() *Directory { return l.directory }

// Clock returns the clock that the loop's times refer to.
func (l *Loop) Clock() anvilclock.Clock { return l.clock }

// UpdatePolicy passes the loop a configuration that another call of this instance has read. It confirms the version in force
// from when that call was sent. It is safe for concurrent use.
func (l *Loop) UpdatePolicy(page anvilstorage.PolicyPage) {
	l.post(policyRead{page: page, since: page.Sent()})
}

// ReceiveRows passes the loop rows that another instance has stored, ahead of the store's feed: submissions and
// cancellations for the leader, ends of jobs and a released leadership for followers. It is safe for concurrent use.
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

// applyState puts the row of a job's state into the directory.
func (l *Loop) applyState(r anvilstorage.Row) {
	s, err := anvilstorage.ParseState(r)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.States), "key", r.Key())
		return
	}
	l.directory.Put(s, r.Version())
}

// Shutdown makes the loop release the leadership for good, and returns a channel that is closed once it has. It does
// not wait, and must be called only once.
func (l *Loop) Shutdown() <-chan struct{} {
	done := make(chan struct{})
	l.post(shutdown{done: done})
	return done
}

func (l *Loop) post(m message) { l.inbox <- m }

// Run processes messages and timers until ctx ends, and returns nil then.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.ctx = ctx
	l.startWatches()
	timer := time.NewTimer(tickFollowing.Duration())
	defer timer.Stop()
	for {
		var began anvilclock.Millis
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			began = l.clock.Now()
			m.deliver(l)
			l.drain()
		case <-timer.C:
			began = l.clock.Now()
			l.tick()
			timer.Reset(l.tickInterval().Duration())
		}
		l.passAndCommit()
		l.observeTurn(began)
	}
}

// maxDrain bounds how many queued messages are processed before the next decisions.
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
	if l.leading() || len(l.guards) > 0 {
		return tickLeading
	}
	return tickFollowing
}

// tick samples the time of day, and does the work of a leader that depends on time.
func (l *Loop) tick() {
	now := l.clock.Now()
	l.wall.sample(l.clock)
	l.reviewStartHold(now)
	l.tickGuards(now)
	if !l.leading() {
		return
	}
	l.checkLeadership(now)
	if !l.leading() {
		return
	}
	l.tickFleet(now)
	l.tickWorkload(now)
	l.cleanRows(now)
}

// passAndCommit runs a scheduling pass and sends a commit, each if due.
func (l *Loop) passAndCommit() {
	now := l.clock.Now()
	if l.leading() && l.workload.passRequested && now-l.workload.lastPass >= l.workload.passInterval {
		l.pass(now)
	}
	l.flush(now)
}

func (l *Loop) publish() {
	l.view.Store(&View{
		policy: l.state.policy, policyRowVersion: l.state.policyRowVersion, document: l.state.document, confirmed: l.state.confirmed, synced: l.state.synced,
		shuttingDown: l.state.shuttingDown, leaderAddr: l.leadership.current.Addr(), connectivity: l.state.connectivity,
		backlog: l.state.backlog,
	})
}

func (m policyRead) deliver(l *Loop) {
	c := &l.state
	if p := m.page.Policy(); p != nil && (c.policy == nil || p.Version() > c.policy.Version()) {
		c.policy, c.policyRowVersion, c.document = p, m.page.RowVersion(), m.page.Document()
		l.relay.Add(c.policyRowVersion, c.document)
		l.log.Record(anvilevent.PolicyApplied, "version", p.Version(), "row", c.policyRowVersion, "took", int64(l.clock.Now()-m.since))
		l.requestPass()
	}
	if c.policy != nil {
		c.confirmed = max(c.confirmed, m.since)
	}
	if e := m.page.Evacuations(); e != nil {
		l.applyEvacuations(e, m.since)
	}
	if m.complete {
		l.relay.Confirm(m.since, m.page.Version(), slices.Sorted(maps.Keys(l.evacuations.active)))
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
	l.directory.Sync(m.page.Version(), m.readAt)
	if m.full && !l.state.synced {
		l.state.synced = true
		l.publish()
	}
}

func (m shutdown) deliver(l *Loop) {
	l.state.shuttingDown = true
	l.publish()
	l.shutdownDone = m.done
	l.fireLeadership("resign")
	if !l.leadership.releasing {
		l.completeShutdown()
	}
}

// completeShutdown reports that the leadership is released. The loop continues, because calls are still being answered.
func (l *Loop) completeShutdown() {
	if l.shutdownDone != nil {
		close(l.shutdownDone)
		l.shutdownDone = nil
	}
}

// ProcessMessages processes queued messages, up to maxDrain of them. It is for callers that drive a loop without Run,
// such as tests.
func (l *Loop) ProcessMessages() { l.drain() }
