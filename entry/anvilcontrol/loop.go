package anvilcontrol

import (
	"context"
	"sync/atomic"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilescrow"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilinvariant"
	"anvilhold.org/lib/anvillimit"
	"anvilhold.org/lib/anvilplacement"
	"anvilhold.org/lib/anvilqueue"
	"anvilhold.org/lib/anvilrecord"
	"anvilhold.org/lib/anvilroute"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilshare"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

// Defaults of the settings that the loop takes.
const (
	DefaultShards = 2
	DefaultLease  = anvilclock.Millis(8000)
	DefaultMargin = anvilclock.Millis(2000)
	DefaultQueue  = 4096
	DefaultWait   = anvilclock.Millis(2000)
	DefaultNotice = anvilclock.Millis(2000)
	DefaultDrain  = anvilclock.Millis(30000)
)

// tickEvery is the resolution of every timer in the loop.
const tickInterval = 25 * time.Millisecond

// batchMessages bounds how many messages are worked off before the queue gets its turn.
const maxMessageBatch = 128

// Loop is the control loop of an entry instance. All fields below view belong to the goroutine
// that runs Run.
type Loop struct {
	self       Identity
	inbox      *Inbox
	backends   Backends
	table      Table
	peers      Peers
	clock      anvilclock.Clock
	log        *anvilevent.Log
	invariants *anvilinvariant.Checker
	meter      Meter
	settings   settings
	charts     *charts
	view       atomic.Pointer[View]

	instance          instanceState
	directory         *anvilshard.Directory
	configStore       *anvilconfig.Store
	config            configState
	ledger            *anvilescrow.Ledger
	record            *anvilrecord.Record
	queue             *anvilqueue.Queue
	share             *anvilshare.Tree
	index             *anvilplacement.Index
	backfill          *anvilplacement.Backfill
	headroom          *anvilplacement.Headroom
	routes            *anvilroute.Table
	admission         *anvillimit.Admission
	retryBudget       *anvillimit.Budget
	health            *anvilworker.Health
	registeredByShard map[string][]Registration // workers of the platform's list by shard
	registrations     map[string]Registration
	// firstSeen holds when the first shard row of each pool was read.
	poolKnownSince map[string]anvilclock.Millis
	pools          map[string]poolSizes
	shards         map[string]*shard
	workers        map[string]*worker
	jobs           map[string]*job
	endedJobs      []*job
	feeds          []*feed
	timers         timers
	writer         writer
	// demand is what was asked for since the last moves of parts.
	demand  map[demandKey]anvilsize.Size
	calls   calls
	runSeq  uint64
	passDue bool
}

// tuning holds what the settings say.
type settings struct {
	shards   int
	lease    anvilclock.Millis
	margin   anvilclock.Millis
	maxQueue int
	maxWait  anvilclock.Millis
	notice   anvilclock.Millis
	drain    anvilclock.Millis
}

// idlePart is the time after which room in a part that nothing needs goes back. In a trial with 60
// tasks in three shards of a team with room for 20, the last ended after 7.5 s with 2 s.
const idleAllocation = anvilclock.Millis(1000)

// leastFloor is the size of a request that declares none. With smaller floors a gang job of 3 cores of
// a team with 4 could never start, because six idle shards kept half of the limit.
func minFloor() anvilsize.Size { return anvilsize.New(500, 256, 0) }

// leastRetries is the number of retries a second that are allowed however few tasks start. With one a
// second the tasks of one lost worker took 12 s to start again.
const minRetries = 10

// Option sets an optional part of a Loop.
type Option func(*Loop)

// WithClock replaces the system clock.
func WithClock(c anvilclock.Clock) Option { return func(l *Loop) { l.clock = c } }

// WithLog sets where events are written.
func WithLog(log *anvilevent.Log) Option { return func(l *Loop) { l.log = log } }

// WithChecker sets what happens when an invariant does not hold.
func WithChecker(c *anvilinvariant.Checker) Option { return func(l *Loop) { l.invariants = c } }

// WithShards sets the number of shards for each pool of a failure domain.
func WithShards(n int) Option { return func(l *Loop) { l.settings.shards = n } }

// WithLease sets the time to live of leases at workers, and the time that is added before a lapsed
// lease is relied on.
func WithLease(lease, margin anvilclock.Millis) Option {
	return func(l *Loop) { l.settings.lease, l.settings.margin = lease, margin }
}

// WithQueue sets the bound of the queue and the time that a service request may wait in it.
func WithQueue(bound int, wait anvilclock.Millis) Option {
	return func(l *Loop) { l.settings.maxQueue, l.settings.maxWait = bound, wait }
}

// WithLeave sets how long the balancer is given to notice that the instance leaves, and how long
// a graceful stop may take after that.
func WithLeave(notice, drain anvilclock.Millis) Option {
	return func(l *Loop) { l.settings.notice, l.settings.drain = notice, drain }
}

// New returns a loop that has not started. The state charts are loaded and checked here.
func New(self Identity, in *Inbox, b Backends, t Table, p Peers, opts ...Option) (*Loop, error) {
	l := &Loop{
		self: self, inbox: in, backends: b, table: t, peers: p,
		clock: anvilclock.NewSystem(), log: &anvilevent.Log{}, invariants: anvilinvariant.New(), meter: noMeter{},
		settings: settings{
			shards: DefaultShards, lease: DefaultLease, margin: DefaultMargin, maxQueue: DefaultQueue,
			maxWait: DefaultWait, notice: DefaultNotice, drain: DefaultDrain,
		},
		directory:   anvilshard.NewDirectory(self.instance, self.domain, self.region),
		configStore: anvilconfig.NewStore(),
		ledger:      anvilescrow.NewLedger(anvilescrow.WithIdle(idleAllocation), anvilescrow.WithLeastFloor(minFloor())), record: anvilrecord.New(), share: anvilshare.New(),
		backfill: anvilplacement.NewBackfill(), headroom: anvilplacement.NewHeadroom(), admission: anvillimit.NewAdmission(), retryBudget: anvillimit.NewBudget(anvillimit.WithMinimum(minRetries)),
		health:            anvilworker.NewHealth(),
		routes:            anvilroute.New(self.instance, self.domain, self.region, anvilshard.Seed(self.instance)),
		registeredByShard: map[string][]Registration{}, poolKnownSince: map[string]anvilclock.Millis{}, registrations: map[string]Registration{}, pools: map[string]poolSizes{},
		shards: map[string]*shard{}, workers: map[string]*worker{}, jobs: map[string]*job{},
		feeds: newFeeds(), demand: map[demandKey]anvilsize.Size{}, calls: newCalls(),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.index = anvilplacement.NewIndex(anvilplacement.WithGroup(func(w *anvilworker.Worker) string {
		return anvilshard.Name(w.Domain(), w.Pool(), w.ID(), l.settings.shards)
	}))
	l.queue = anvilqueue.New(anvilqueue.WithBound(l.settings.maxQueue), anvilqueue.WithShare(l.share))
	if err := l.loadCharts(); err != nil {
		return nil, err
	}
	l.publish()
	return l, nil
}

// View returns the newest snapshot of control state. It is safe for concurrent use.
func (l *Loop) View() *View { return l.view.Load() }

// Run works until ctx ends or a Shutdown message has been carried out.
func (l *Loop) Run(ctx context.Context) error {
	defer l.inbox.close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !l.instance.exited {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox.results:
			l.handle(m)
		case m := <-l.inbox.requests:
			l.handle(m)
		case <-ticker.C:
			l.tick()
		}
		l.processPending()
		l.passIfDue()
	}
	return nil
}

// drain works off messages that have already arrived, results first, since they free room.
func (l *Loop) processPending() {
	for range maxMessageBatch {
		select {
		case m := <-l.inbox.results:
			l.handle(m)
			continue
		default:
		}
		select {
		case m := <-l.inbox.requests:
			l.handle(m)
		default:
			return
		}
	}
}

// settle gives the queue its turn when something has changed since the last time.
func (l *Loop) passIfDue() {
	if l.passDue {
		l.passDue = false
		l.passQueue()
	}
}

func (l *Loop) handle(m Message) {
	switch m := m.(type) {
	case Submit:
		l.submit(m)
	case Inspect:
		l.inspect(m)
	case Change:
		l.change(m)
	case ExchangeRequest:
		l.answerExchange(m)
	case PushRequest:
		l.receivePush(m)
	case SnapshotRequest:
		m.reply <- l.snapshot()
	case Shutdown:
		l.shutdown(m)
	case Fenced:
		l.fenced(m)
	case Started:
		l.started(m)
	case Controlled:
		l.controlled(m)
	case Committed:
		l.committed(m)
	case RowsRead:
		l.rowsRead(m)
	case InstancesRead:
		l.instancesRead(m)
	case Submitted:
		l.submitted(m)
	case Inspected:
		l.inspected(m)
	case Exchanged:
		l.exchanged(m)
	case Pushed:
		l.pushed(m)
	}
}

// publish replaces the snapshot that traffic goroutines read.
func (l *Loop) publish() {
	state := l.instance.machine.State()
	l.view.Store(&View{
		config:       l.configStore.Snapshot(),
		clock:        l.clock,
		trustedUntil: l.config.confirmation.Until(l.clock.Now()),
		introduced:   l.instance.introduction.Done(),
		serving:      state == stateServing || state == stateLeaving,
		leaving:      state != stateJoining && state != stateServing,
	})
}
