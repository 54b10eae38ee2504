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

// Defaults of the options WithShards, WithLease, WithQueue and WithLeave.
const (
	DefaultShards = 2
	DefaultLease  = anvilclock.Millis(8000)
	DefaultMargin = anvilclock.Millis(2000)
	DefaultQueue  = 4096
	DefaultWait   = anvilclock.Millis(2000)
	DefaultNotice = anvilclock.Millis(2000)
	DefaultDrain  = anvilclock.Millis(30000)
)

// tickInterval is the resolution of all timers of the loop.
const tickInterval = 25 * time.Millisecond

// maxMessageBatch bounds the messages that processPending handles before the next pass over the queue.
const maxMessageBatch = 128

// Loop is the control loop of an entry instance. Other goroutines may call View and post to the inbox; the fields
// below view belong to the goroutine that calls Run.
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
	registeredByShard map[string][]Registration // workers, by the shard that their id hashes to
	registrations     map[string]Registration
	unreadableEntries int // entries of the last read registry that name no instance
	// poolKnownSince holds, by pool, when the first shard row of the pool was read.
	poolKnownSince map[string]anvilclock.Millis
	pools          map[string]poolSizes
	shards         map[string]*shard
	workers        map[string]*worker
	jobs           map[string]*job
	adoptedJobs    map[string]*job // jobs that run under an earlier owner's starts
	endedJobs      []*job
	feeds          []*feed
	timers         timers
	writer         writer
	// demand is what waiting tasks have requested of their team's limit since transfers were last planned.
	demand  map[demandKey]anvilsize.Size
	calls   calls
	runSeq  uint64
	passDue bool
}

// settings holds the values of the options.
type settings struct {
	shards   int
	lease    anvilclock.Millis
	margin   anvilclock.Millis
	maxQueue int
	maxWait  anvilclock.Millis
	notice   anvilclock.Millis
	drain    anvilclock.Millis
}

// idleAllocation is the time after which unused capacity of a shard's allocation is returned to the team's limit. With
// 2 s, the last of 60 tasks in three shards of a team whose limit allows 20 at a time ended only after 7.5 s.
const idleAllocation = anvilclock.Millis(1000)

// minFloor is the smallest allocation that a shard keeps while it is idle; it is the size of a request that declares
// none. If a team's limit is too small for that, idle shards keep nothing: with smaller allocations, a gang job of 3
// cores of a team with 4 could never start, because six idle shards kept half of the limit.
func minFloor() anvilsize.Size { return anvilsize.New(500, 256, 0) }

// minRetries is the number of retries per second that the retry budget always allows. With one per second the tasks of
// a lost worker took 12 s to start again.
const minRetries = 10

// Option configures a Loop.
type Option func(*Loop)

// WithClock replaces the system clock.
func WithClock(c anvilclock.Clock) Option { return func(l *Loop) { l.clock = c } }

// WithLog sets the log of events; by default they are dropped.
func WithLog(log *anvilevent.Log) Option { return func(l *Loop) { l.log = log } }

// WithChecker sets the checker of the loop's invariants; by default violations are only counted.
func WithChecker(c *anvilinvariant.Checker) Option { return func(l *Loop) { l.invariants = c } }

// WithShards sets the number of shards for each pool of a failure domain.
func WithShards(n int) Option { return func(l *Loop) { l.settings.shards = n } }

// WithLease sets the duration of the leases that workers get, and the margin that is added to it before the tasks of a
// worker with an expired lease count as ended.
func WithLease(lease, margin anvilclock.Millis) Option {
	return func(l *Loop) { l.settings.lease, l.settings.margin = lease, margin }
}

// WithQueue sets the maximum length of the queue, and how long a service request may wait in it if it declares no wait
// of its own.
func WithQueue(bound int, wait anvilclock.Millis) Option {
	return func(l *Loop) { l.settings.maxQueue, l.settings.maxWait = bound, wait }
}

// WithLeave sets how long the load balancer has to notice that the instance is leaving, and the time limit of the
// graceful stop after that.
func WithLeave(notice, drain anvilclock.Millis) Option {
	return func(l *Loop) { l.settings.notice, l.settings.drain = notice, drain }
}

// New returns a loop, which handles nothing before Run is called. It fails if a state chart can't be loaded.
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
		ledger:      anvilescrow.NewLedger(anvilescrow.WithIdle(idleAllocation), anvilescrow.WithMinFloor(minFloor())), record: anvilrecord.New(), share: anvilshare.New(),
		backfill: anvilplacement.NewBackfill(), headroom: anvilplacement.NewHeadroom(), admission: anvillimit.NewAdmission(), retryBudget: anvillimit.NewBudget(anvillimit.WithMinRate(minRetries)),
		health:            anvilworker.NewHealth(),
		routes:            anvilroute.New(self.instance, self.domain, self.region, anvilshard.Seed(self.instance)),
		registeredByShard: map[string][]Registration{}, poolKnownSince: map[string]anvilclock.Millis{}, registrations: map[string]Registration{}, pools: map[string]poolSizes{},
		shards: map[string]*shard{}, workers: map[string]*worker{}, jobs: map[string]*job{}, adoptedJobs: map[string]*job{},
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

// View returns the newest snapshot of control state, which is never nil. It is safe for concurrent use.
func (l *Loop) View() *View { return l.view.Load() }

// Run handles messages and timers until ctx is done or a Shutdown message has been carried out, and returns nil in
// both cases. The inbox discards messages from then on.
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

// processPending handles messages that have already arrived, results first, because they free capacity.
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

// passIfDue makes a pass over the queue if something has changed since the last one.
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

// publish replaces the snapshot that other goroutines read.
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
