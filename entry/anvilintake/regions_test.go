package anvilintake_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"anvilhold.org/entry/anvilintake"
	"anvilhold.org/entry/anvilrelay"
	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// The simulated fleet has a region with the store and a far region. Answers to the far region share one link. Time is that of a
// synctest bubble.
const (
	bytesPerMilli  = 125 // of a link of 1 Mbit/s
	linkChunk      = 16 << 10
	nearDelay      = time.Millisecond
	farDelay       = 12 * time.Millisecond
	configRowBytes = 145_000 // in the store's encoding
	smallBytes     = 300
	configBound    = 4 * time.Second
)

var errSimulatedStore = errors.New("no answer")

// link carries the answers of the store to the far region, one chunk after another.
type link struct {
	mbits int
	mu    sync.Mutex
	until time.Time
	bytes int
}

// carry waits until n bytes have crossed the link, or returns the error of ctx.
func (l *link) carry(ctx context.Context, n int) error {
	for ; n > 0; n -= linkChunk {
		size := min(n, linkChunk)
		l.mu.Lock()
		if now := time.Now(); l.until.Before(now) {
			l.until = now
		}
		l.until = l.until.Add(time.Duration(size) * time.Millisecond / time.Duration(l.mbits*bytesPerMilli))
		l.bytes += size
		wait := time.Until(l.until)
		l.mu.Unlock()
		if err := pause(ctx, wait); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) carried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type rowKey struct {
	table     anvilstorage.Table
	partition anvilstorage.Partition
	key       string
}

// fleetStore is the store of the simulated fleet, with the history of the configuration.
type fleetStore struct {
	mu      sync.Mutex
	version int64
	rows    map[rowKey]anvilstorage.Row
	configs []anvilstorage.PolicyPage
	changed chan struct{}
}

func newFleetStore() *fleetStore {
	return &fleetStore{version: 1, rows: map[rowKey]anvilstorage.Row{}, changed: make(chan struct{})}
}

// bump returns a new version and wakes all that wait for a change. The caller holds mu.
func (s *fleetStore) bump() int64 {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *fleetStore) setConfig(version int64, queues int, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configs = append(s.configs, configPage(version, queues, key, s.bump()))
}

// newestConfig returns the newest configuration. The caller holds mu.
func (s *fleetStore) newestConfig() anvilstorage.PolicyPage {
	return s.configs[len(s.configs)-1]
}

// conflict returns the error of a transaction whose conditions don't hold, or nil, and the bytes of its answer. The caller holds mu.
func (s *fleetStore) conflict(tx *anvilstorage.Tx) (size int, err error) {
	var rows []anvilstorage.Row
	failed := false
	for _, want := range tx.Expects() {
		r := s.rows[rowKey{want.Table(), tx.Partition(), want.Key()}]
		failed = failed || r.Version() != want.Version()
		rows = append(rows, r)
	}
	var page *anvilstorage.PolicyPage
	size = smallBytes
	if v := tx.PolicyRowVersion(); v != 0 {
		p := s.newestConfig()
		failed = failed || p.RowVersion() != v
		page, size = &p, configRowBytes
	}
	if !failed {
		return 0, nil
	}
	return size, anvilstorage.NewConflict(rows, page)
}

func (s *fleetStore) commit(tx *anvilstorage.Tx) (anvilstorage.Receipt, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size, err := s.conflict(tx); err != nil {
		return anvilstorage.Receipt{}, size, err
	}
	v := s.bump()
	for _, r := range tx.Sets() {
		s.rows[rowKey{r.Table(), tx.Partition(), r.Key()}] = anvilstorage.ReadRow(r.Table(), r.Key(), r.Value(), v, false)
	}
	for _, r := range tx.Deletes() {
		delete(s.rows, rowKey{r.Table(), tx.Partition(), r.Key()})
	}
	return anvilstorage.NewReceipt(v, storeNow()), smallBytes, nil
}

func storeNow() anvilclock.Millis { return anvilclock.Millis(time.Now().UnixMilli()) }

// since returns the rows of a table that are newer than a version, and their size.
func (s *fleetStore) since(table anvilstorage.Table, after int64) (anvilstorage.Page, int) {
	var rows []anvilstorage.Row
	size := smallBytes
	for k, r := range s.rows {
		if k.table == table && r.Version() > after {
			rows = append(rows, r)
			size += r.Size()
		}
	}
	slices.SortFunc(rows, func(a, b anvilstorage.Row) int { return strings.Compare(a.Key(), b.Key()) })
	return anvilstorage.NewPage(rows, s.version, storeNow()), size
}

// wait waits for a change that found reports, at most for d. found is called with mu held.
func (s *fleetStore) wait(ctx context.Context, d anvilclock.Millis, found func() bool) error {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	for {
		s.mu.Lock()
		ok, changed := found(), s.changed
		s.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// storeClient is the access of one instance to the store.
type storeClient struct {
	store *fleetStore
	link  *link // nil in the region of the store
	clock anvilclock.Clock
	mu    sync.Mutex
	last  anvilclock.Millis
	// down makes all calls wait until their time is over.
	down bool
}

func (c *storeClient) delay() time.Duration {
	if c.link != nil {
		return farDelay
	}
	return nearDelay
}

// request carries a request to the store.
func (c *storeClient) request(ctx context.Context) error {
	c.mu.Lock()
	down := c.down
	c.mu.Unlock()
	if down {
		<-ctx.Done()
		return anvilstorage.NewError(anvilstorage.Refused, errSimulatedStore)
	}
	return pause(ctx, c.delay())
}

// answer carries an answer of n bytes from the store.
func (c *storeClient) answer(ctx context.Context, n int) error {
	if c.link != nil {
		if err := c.link.carry(ctx, n); err != nil {
			return err
		}
	}
	if err := pause(ctx, c.delay()); err != nil {
		return err
	}
	c.mu.Lock()
	c.last = c.clock.Now()
	c.mu.Unlock()
	return nil
}

func refusedAs(kind anvilstorage.Kind, err error) error {
	if err == nil {
		return nil
	}
	return anvilstorage.NewError(kind, err)
}

func (c *storeClient) Commit(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	if err := c.request(ctx); err != nil {
		return anvilstorage.Receipt{}, refusedAs(anvilstorage.Unknown, err)
	}
	receipt, size, err := c.store.commit(tx)
	if lost := c.answer(ctx, size); lost != nil {
		return anvilstorage.Receipt{}, refusedAs(anvilstorage.Unknown, lost)
	}
	return receipt, err
}

func (c *storeClient) read(ctx context.Context, table anvilstorage.Table, after int64) (anvilstorage.Page, error) {
	c.store.mu.Lock()
	page, size := c.store.since(table, after)
	c.store.mu.Unlock()
	return page, refusedAs(anvilstorage.Refused, c.answer(ctx, size))
}

func (c *storeClient) Scan(ctx context.Context, table anvilstorage.Table) (anvilstorage.Page, error) {
	if err := c.request(ctx); err != nil {
		return anvilstorage.Page{}, refusedAs(anvilstorage.Refused, err)
	}
	return c.read(ctx, table, 0)
}

func (c *storeClient) Changes(ctx context.Context, table anvilstorage.Table, after int64, wait anvilclock.Millis) (anvilstorage.Page, error) {
	if err := c.request(ctx); err != nil {
		return anvilstorage.Page{}, refusedAs(anvilstorage.Refused, err)
	}
	if err := c.store.wait(ctx, wait, func() bool {
		page, _ := c.store.since(table, after)
		return len(page.Rows()) > 0
	}); err != nil {
		return anvilstorage.Page{}, refusedAs(anvilstorage.Refused, err)
	}
	return c.read(ctx, table, after)
}

func (c *storeClient) Get(ctx context.Context, table anvilstorage.Table, key string) (anvilstorage.Row, error) {
	page, err := c.Scan(ctx, table)
	for _, r := range page.Rows() {
		if r.Key() == key {
			return r, err
		}
	}
	return anvilstorage.ReadRow(table, key, nil, 0, false), err
}

func (c *storeClient) Now() anvilclock.Millis { return storeNow() }

func (c *storeClient) LastReply() anvilclock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Policy returns the newest configuration. After a version it lists, and carries, every change since then.
func (c *storeClient) Policy(ctx context.Context, after int64, wait anvilclock.Millis) (anvilstorage.PolicyPage, error) {
	if err := c.request(ctx); err != nil {
		return anvilstorage.PolicyPage{}, refusedAs(anvilstorage.Refused, err)
	}
	if after != 0 {
		if err := c.store.wait(ctx, wait, func() bool { return c.store.newestConfig().RowVersion() > after }); err != nil {
			return anvilstorage.PolicyPage{}, refusedAs(anvilstorage.Refused, err)
		}
	}
	c.store.mu.Lock()
	page, version, changes := c.store.newestConfig(), c.store.version, 1
	if after != 0 {
		changes = 0
		for _, p := range c.store.configs {
			if p.RowVersion() > after {
				changes++
			}
		}
	}
	c.store.mu.Unlock()
	if err := c.answer(ctx, smallBytes+changes*configRowBytes); err != nil {
		return anvilstorage.PolicyPage{}, refusedAs(anvilstorage.Refused, err)
	}
	if changes == 0 {
		return anvilstorage.NewPolicyPage(nil, 0, version), nil
	}
	return configAnswer(page, version, changes), nil
}

func (c *storeClient) Workers(ctx context.Context, _ int64, wait anvilclock.Millis) (anvilscheduler.WorkerPage, error) {
	return anvilscheduler.NewWorkerPage(nil, 1), pause(ctx, wait.Duration())
}

type noWorkers struct{ anvilscheduler.Workers }

type noAdvisors struct{ anvilscheduler.Advisors }

type noMeter struct{}

func (noMeter) Count(string)                  {}
func (noMeter) Observe(string, time.Duration) {}

// instance is an entry instance of the simulated fleet.
type instance struct {
	addr   string
	region string
	loop   *anvilscheduler.Loop
	intake *anvilintake.Intake
	store  *storeClient
	stop   context.CancelFunc
}

// fleet is the simulated fleet. It implements what instances call each other for.
type fleet struct {
	store     *fleetStore
	link      *link
	instances []*instance
	byAddr    map[string]*instance
	// failing holds how instances fail that others ask for the configuration, by their addresses.
	failing sync.Map
}

// failure is how an instance fails that another one asks for the configuration.
type failure string

const (
	silent failure = "silent" // it doesn't answer
	gone   failure = "gone"   // nothing listens there
)

func (f *fleet) Notify(addr string, forwardTo []string, rows ...anvilstorage.Row) {
	for _, to := range append([]string{addr}, forwardTo...) {
		if in := f.byAddr[to]; in != nil {
			time.AfterFunc(farDelay, func() { in.loop.ReceiveRows(rows) })
		}
	}
}

func (f *fleet) Forward(context.Context, string, anvilintake.Kind, anvilintake.Call, *anviljob.Spec) (anvilintake.Reply, error) {
	return anvilintake.Reply{}, errSimulatedStore
}

func (f *fleet) StoreReplyAge(ctx context.Context, addr string) (anvilclock.Millis, error) {
	return f.byAddr[addr].loop.StoreReplyAge(), pause(ctx, farDelay)
}

func (f *fleet) States(ctx context.Context, addr string, after int64) (anvilstorage.Page, error) {
	if err := pause(ctx, nearDelay); err != nil {
		return anvilstorage.Page{}, err
	}
	return f.byAddr[addr].loop.States(after)
}

func (f *fleet) NotifyLeadershipEnded(string, int64) {}

func (f *fleet) AwaitExit(ctx context.Context, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}

// policyPeers is how an instance asks others for the configuration. Answers from the other region cross the link.
type policyPeers struct {
	fleet  *fleet
	region string
}

func (p policyPeers) Policy(ctx context.Context, addr string, q anvilrelay.Query) (anvilrelay.Update, error) {
	if how, ok := p.fleet.failing.Load(addr); ok {
		if how == silent {
			<-ctx.Done()
		}
		return anvilrelay.Update{}, errSimulatedStore
	}
	in := p.fleet.byAddr[addr]
	delay := nearDelay
	if in.region != p.region {
		delay = farDelay
	}
	if err := pause(ctx, delay); err != nil {
		return anvilrelay.Update{}, err
	}
	update, err := in.loop.Policy(ctx, q)
	if err == nil && in.region != p.region {
		err = p.fleet.link.carry(ctx, smallBytes+len(update.Difference()))
	}
	if err == nil {
		err = pause(ctx, delay)
	}
	return update, err
}

// startFleet starts instances in both regions, half of them in each, and waits until they know the configuration.
func startFleet(t *testing.T, n, linkMbits int) *fleet {
	t.Helper()
	f := &fleet{store: newFleetStore(), link: &link{mbits: linkMbits}, byAddr: map[string]*instance{}}
	f.store.setConfig(1, 1, "key-0")
	for i := range n {
		region := "near"
		if i%2 == 1 {
			region = "far"
		}
		f.add(t, i, region)
	}
	for _, in := range f.instances {
		ctx, cancel := context.WithCancel(context.Background())
		in.stop = cancel
		go func() { _ = in.loop.Run(ctx) }()
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
	for _, in := range f.instances {
		assertAnswer(t, in, "/q1/", "key-0", anvilintake.Answered)
	}
	return f
}

func (f *fleet) add(t *testing.T, i int, region string) {
	t.Helper()
	clock := anvilclock.NewSystem()
	client := &storeClient{store: f.store, clock: clock}
	if region == "far" {
		client.link = f.link
	}
	in := &instance{addr: fmt.Sprintf("10.0.0.%d:7", i), region: region, store: client}
	self := anvilstorage.NewInstance(fmt.Sprintf("e%d", i), in.addr, region+"-1", 200)
	loop, err := anvilscheduler.New(self, client, client, noWorkers{}, noAdvisors{},
		anvilscheduler.WithClock(clock), anvilscheduler.WithNotifier(f), anvilscheduler.WithPeers(f),
		anvilscheduler.WithPolicyPeers(policyPeers{fleet: f, region: region}, configParser{}, map[string]string{"near-1": "near", "far-1": "far"}))
	if err != nil {
		t.Fatal(err)
	}
	in.loop = loop
	in.intake = anvilintake.New(client, loop, f, f, &anvilevent.Log{}, noMeter{})
	f.instances, f.byAddr[in.addr] = append(f.instances, in), in
}

func (f *fleet) stop() {
	for _, in := range f.instances {
		in.stop()
	}
	synctest.Wait()
}

// cutStore cuts the instances of a region off from the store, or ends that.
func (f *fleet) cutStore(region string, down bool) {
	for _, in := range f.in(region) {
		in.store.mu.Lock()
		in.store.down = down
		in.store.mu.Unlock()
	}
}

func (f *fleet) in(region string) []*instance {
	var out []*instance
	for _, in := range f.instances {
		if in.region == region {
			out = append(out, in)
		}
	}
	return out
}

// simulatedPolicy returns a configuration with the queues q1 to qN and one key.
func simulatedPolicy(version int64, queues int, key string) *anvilpolicy.Policy {
	out := make([]anvilpolicy.Queue, 0, queues)
	for i := range queues {
		out = append(out, anvilpolicy.NewQueue(fmt.Sprintf("q%d", i+1), "h", fmt.Sprintf("/q%d/", i+1), "pool"))
	}
	return anvilpolicy.New(version, out, anvilpolicy.WithTeams(anvilpolicy.NewTeam("team", 1, anvilsize.Size{}, []string{key})))
}

func assertAnswer(t *testing.T, in *instance, path, key string, want anvilintake.Result) {
	t.Helper()
	if got := in.intake.Waiting(anvilintake.NewCall("h", path, key)); got.Result() != want {
		t.Fatalf("%s in %s: %s: got %s (%s), want %s", in.addr, in.region, path, got.Result(), got.Reason(), want)
	}
}

// series changes the configuration, changes times: each version has a queue more than the one before.
func (f *fleet) series(acked func(version int64, at time.Time)) {
	for v := int64(2); v <= changes+1; v++ {
		f.store.setConfig(v, int(v), "key-0")
		acked(v, time.Now())
		time.Sleep(changeGap)
	}
}

// ackedVersions holds when versions were acknowledged.
type ackedVersions struct {
	mu sync.Mutex
	at map[int64]time.Time
}

func (a *ackedVersions) add(version int64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at == nil {
		a.at = map[int64]time.Time{}
	}
	a.at[version] = at
}

// due returns the newest version that was acknowledged at least d ago.
func (a *ackedVersions) due(d time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	newest := int64(1)
	for v, at := range a.at {
		if time.Since(at) >= d {
			newest = max(newest, v)
		}
	}
	return newest
}

// call submits a job of a queue and returns the result.
func (in *instance) call(t *testing.T, id int, queue int64) anvilintake.Result {
	t.Helper()
	spec, err := anviljob.NewSpec("p", []anviljob.Step{anviljob.NewStep(1, anvilsize.New(1, 1, 0))}, anviljob.Repeat{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return in.intake.Submit(ctx, anvilintake.NewCall("h", fmt.Sprintf("/q%d/%016x", queue, id), "key-0"), spec).Result()
}

// tally counts the results of the calls in the far region.
type tally struct {
	mu     sync.Mutex
	counts map[anvilintake.Result]int
	stale  []string
}

// load sends calls to all instances of the far region for d: a submission to a queue of the first version, and one to the newest
// queue that must be known.
func (f *fleet) load(t *testing.T, d time.Duration, acked *ackedVersions) *tally {
	t.Helper()
	out := &tally{counts: map[anvilintake.Result]int{}}
	var wg sync.WaitGroup
	id := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, in := range f.in("far") {
			for _, queue := range []int64{1, acked.due(configBound)} {
				id++
				job := id
				wg.Go(func() {
					r := in.call(t, job, queue)
					out.mu.Lock()
					defer out.mu.Unlock()
					out.counts[r]++
					if r == anvilintake.NoQueue {
						out.stale = append(out.stale, fmt.Sprintf("%s: queue %d", in.addr, queue))
					}
				})
			}
		}
	}
	wg.Wait()
	return out
}

func (o *tally) assertServed(t *testing.T, share float64) {
	t.Helper()
	total := 0
	for _, n := range o.counts {
		total += n
	}
	if got := float64(o.counts[anvilintake.Accepted]) / float64(total); got < share {
		t.Errorf("%.2f of %d calls of the far region are accepted, want %.2f: %v", got, total, share, o.counts)
	}
	if len(o.stale) > 0 {
		t.Errorf("%d calls are refused as an older version says, the first: %s", len(o.stale), o.stale[0])
	}
}

// changes is the number of versions in a series of the tests, a change every 150 ms.
const (
	changes   = 60
	changeGap = 150 * time.Millisecond
)

func TestFarRegionIsServedDuringConfigurationChanges(t *testing.T) {
	for _, c := range []struct{ instances, mbits int }{{24, 60}, {24, 20}, {64, 60}} {
		t.Run(fmt.Sprintf("%d instances and %d Mbit per s", c.instances, c.mbits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, c.instances, c.mbits)
				defer f.stop()
				var acked ackedVersions
				go f.series(acked.add)
				f.load(t, (changes+10)*changeGap, &acked).assertServed(t, 0.95)
			})
		})
	}
}

func TestConfigurationChangeCrossesLinkOnce(t *testing.T) {
	cost := func(t *testing.T, instances int) (perChange int) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, instances, 60)
			defer f.stop()
			before := f.link.carried()
			f.series(func(int64, time.Time) {})
			time.Sleep(configBound)
			perChange = (f.link.carried() - before) / changes
		})
		return perChange
	}
	for _, n := range []int{12, 24, 48, 100} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			if got := cost(t, n); got > 2*configRowBytes {
				t.Errorf("a change costs the link %d bytes, at most %d are allowed", got, 2*configRowBytes)
			}
		})
	}
}

func TestReaderCatchesUpAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 24, 60)
		defer f.stop()
		f.cutStore("far", true)
		f.cutStore("near", true)
		f.series(func(int64, time.Time) {})
		f.cutStore("far", false)
		f.cutStore("near", false)
		time.Sleep(configBound)
		for _, in := range f.in("far") {
			call := anvilintake.NewCall("h", fmt.Sprintf("/q%d/%016x", changes+1, 1), "key-0")
			if got := in.intake.State(t.Context(), call); got.Result() != anvilintake.NoJob {
				t.Errorf("%s: got %s (%s), want no job", in.addr, got.Result(), got.Reason())
			}
		}
	})
}

// assertConfirmed checks that the configuration of all instances was confirmed less than a time ago.
func (f *fleet) assertConfirmed(t *testing.T, maxAge anvilclock.Millis) {
	t.Helper()
	for _, in := range f.instances {
		if age := in.loop.Clock().Now() - in.loop.View().Confirmed(); age > maxAge {
			t.Fatalf("the configuration of %s in %s was confirmed %d ms ago", in.addr, in.region, age)
		}
	}
}

func TestInstancesKeepUpWhenOthersDoNotRelay(t *testing.T) {
	for _, how := range []failure{silent, gone} {
		t.Run(string(how), func(t *testing.T) {
			// Guards against instances whose configuration gets too old because those that they ask fail.
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 24, 60)
				defer f.stop()
				for _, addr := range []string{"10.0.0.1:7", "10.0.0.10:7", "10.0.0.11:7", "10.0.0.12:7"} {
					f.failing.Store(addr, how)
				}
				go f.series(func(int64, time.Time) {})
				for range (changes + 10) * changeGap / (100 * time.Millisecond) {
					time.Sleep(100 * time.Millisecond)
					f.assertConfirmed(t, 2500)
				}
				for _, in := range f.instances {
					assertAnswer(t, in, fmt.Sprintf("/q%d/", changes+1), "key-0", anvilintake.Answered)
				}
			})
		})
	}
}

// Guards against a count that is shown although the states of jobs have not been read for long, while other instances confirm the
// configuration.
func TestWaitingJobsAreNotCountedFromOldStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 24, 60)
		defer f.stop()
		f.cutStore("far", true)
		time.Sleep(10 * time.Second)
		f.assertConfirmed(t, 2500)
		for _, in := range f.in("far") {
			assertAnswer(t, in, "/q1/", "key-0", anvilintake.Refused)
		}
		f.cutStore("far", false)
		time.Sleep(configBound)
		for _, in := range f.in("far") {
			assertAnswer(t, in, "/q1/", "key-0", anvilintake.Answered)
		}
	})
}

func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	for name, c := range map[string]struct {
		cut, alone bool
		far        anvilintake.Result
	}{
		"the far region reaches the store":     {far: anvilintake.Unauthorized},
		"it hears of the key through others":   {cut: true, far: anvilintake.Unauthorized},
		"it is cut off from the store and all": {cut: true, alone: true, far: anvilintake.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			// Guards against a key that works for longer than the bound because instances hear of changes from each other.
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 24, 60)
				defer f.stop()
				if c.alone {
					for _, in := range f.instances {
						f.failing.Store(in.addr, silent)
					}
				}
				f.cutStore("far", c.cut)
				f.store.setConfig(2, 1, "key-1")
				time.Sleep(configBound)
				for region, want := range map[string]anvilintake.Result{"near": anvilintake.Unauthorized, "far": c.far} {
					for _, in := range f.in(region) {
						assertAnswer(t, in, "/q1/", "key-0", want)
					}
				}
				assertAnswer(t, f.in("near")[0], "/q1/", "key-1", anvilintake.Answered)
			})
		})
	}
}
