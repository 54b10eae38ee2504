package anvilscheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// world is a store, a fleet and an advisor in memory. It audits what the scheduler must never do.
type world struct {
	t       testing.TB
	clock   *anvilclock.Manual
	store   *fakeStore
	workers map[string]*fakeWorker
	list    []Registration
	policy  *anvilpolicy.Policy
	// advice tells whether the advisor approves a worker; questions holds what it was asked.
	advice    func(worker string) bool
	questions [][]string
	// unadvised is how many questions get no answer.
	unadvised int
}

func newWorld(t testing.TB, policy *anvilpolicy.Policy) *world {
	w := &world{
		t: t, clock: anvilclock.NewManual(1_000_000), workers: map[string]*fakeWorker{}, policy: policy,
		advice: func(string) bool { return true },
	}
	w.store = &fakeStore{world: w, rows: map[place]anvilstorage.Row{}}
	return w
}

// addWorker adds a worker to the fleet and to the platform's list.
func (w *world) addWorker(id string, capacity anvilsize.Size, labels ...string) *fakeWorker {
	k := &fakeWorker{world: w, id: id, incarnation: int64(len(w.list) + 1), capacity: capacity, runs: map[anviljob.TaskID]*fakeRun{}, floor: map[anviljob.TaskID]int{}}
	w.workers[id] = k
	w.list = append(w.list, NewRegistration(id, id+":1", poolName, "d1", labels, capacity, k.incarnation))
	return k
}

// running returns the tasks that run anywhere, in order of their names.
func (w *world) running() []string {
	var out []string
	for _, k := range w.workers {
		for id := range k.runs {
			out = append(out, id.String())
		}
	}
	slices.Sort(out)
	return out
}

// at returns the worker that runs a task; nil when none does.
func (w *world) at(task string) *fakeWorker {
	for _, k := range w.workers {
		for id := range k.runs {
			if id.String() == task {
				return k
			}
		}
	}
	return nil
}

// end ends a run wherever it is.
func (w *world) end(task string, cause Cause, checkpoint string) {
	w.t.Helper()
	k := w.at(task)
	if k == nil {
		w.t.Fatalf("task %s runs nowhere", task)
	}
	id, err := anviljob.ParseTaskID(task)
	if err != nil {
		w.t.Fatal(err)
	}
	k.end(id, cause, checkpoint)
}

// Policy is read by the rig itself.
func (w *world) Policy(context.Context, int64, anvilclock.Millis) (anvilstorage.PolicyPage, error) {
	return anvilstorage.NewPolicyPage(w.policy, 1, 1), nil
}

// Workers returns the whole list.
func (w *world) Workers(context.Context, int64, anvilclock.Millis) (WorkerPage, error) {
	return NewWorkerPage(slices.Clone(w.list), w.store.version), nil
}

// Ask is the advisor.
func (w *world) Ask(_ context.Context, _, _ string, workers []string) (Advice, error) {
	w.questions = append(w.questions, workers)
	if w.unadvised > 0 {
		w.unadvised--
		return Advice{}, errDown
	}
	var tickets []Ticket
	for _, id := range workers {
		if w.advice(id) {
			tickets = append(tickets, NewTicket(id, "ticket-"+id))
		}
	}
	return NewAdvice(tickets, 2000), nil
}

// place is where a row is.
type place struct {
	table     anvilstorage.Table
	partition anvilstorage.Partition
	key       string
}

// fakeStore is a linearizable store of rows.
type fakeStore struct {
	world   *world
	rows    map[place]anvilstorage.Row
	version int64
	// down makes calls fail without effect; lost applies commits and loses their answers that many times.
	down bool
	lost int
}

var errDown = errors.New("down")

// get returns a row from the first part of its table that has it.
func (s *fakeStore) get(table anvilstorage.Table, key string) anvilstorage.Row {
	for _, part := range table.Partitions() {
		if r := s.at(table, part, key); r.Version() != 0 {
			return r
		}
	}
	return anvilstorage.ReadRow(table, key, nil, 0, false)
}

func (s *fakeStore) at(table anvilstorage.Table, part anvilstorage.Partition, key string) anvilstorage.Row {
	if r, ok := s.rows[place{table, part, key}]; ok {
		return r
	}
	return anvilstorage.ReadRow(table, key, nil, 0, false)
}

// count returns the number of rows of a table.
func (s *fakeStore) count(table anvilstorage.Table) int {
	n := 0
	for p := range s.rows {
		if p.table == table {
			n++
		}
	}
	return n
}

// Commit applies a transaction.
func (s *fakeStore) Commit(_ context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	if s.down {
		return anvilstorage.Receipt{}, anvilstorage.NewError(anvilstorage.Refused, errDown)
	}
	if tx.Len() > anvilstorage.MaxEntries {
		s.world.t.Errorf("a transaction of %d entries", tx.Len())
	}
	var current []anvilstorage.Row
	ok := true
	for _, e := range tx.Expects() {
		r := s.at(e.Table(), tx.Partition(), e.Key())
		current = append(current, r)
		ok = ok && r.Version() == e.Version()
	}
	if !ok {
		return anvilstorage.Receipt{}, anvilstorage.NewConflict(current, nil)
	}
	s.version++
	for _, r := range tx.Sets() {
		s.rows[place{r.Table(), tx.Partition(), r.Key()}] = anvilstorage.ReadRow(r.Table(), r.Key(), r.Value(), s.version, false)
	}
	for _, r := range tx.Deletes() {
		delete(s.rows, place{r.Table(), tx.Partition(), r.Key()})
	}
	if s.lost > 0 {
		s.lost--
		return anvilstorage.Receipt{}, anvilstorage.NewError(anvilstorage.Unknown, errDown)
	}
	return anvilstorage.NewReceipt(s.version, s.world.clock.Now()), nil
}

// Scan returns a table.
func (s *fakeStore) Scan(_ context.Context, table anvilstorage.Table) (anvilstorage.Page, error) {
	if s.down {
		return anvilstorage.Page{}, anvilstorage.NewError(anvilstorage.Refused, errDown)
	}
	var rows []anvilstorage.Row
	for p, r := range s.rows {
		if p.table == table {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b anvilstorage.Row) int { return strings.Compare(a.Key(), b.Key()) })
	return anvilstorage.NewPage(rows, s.version, s.world.clock.Now()), nil
}

// LastReply returns the present.
func (s *fakeStore) LastReply() anvilclock.Millis { return s.world.clock.Now() }

// Changes is not used: the rig tells the loops what has changed.
func (s *fakeStore) Changes(ctx context.Context, table anvilstorage.Table, _ int64, _ anvilclock.Millis) (anvilstorage.Page, error) {
	return s.Scan(ctx, table)
}

// fakeWorker is a worker of the platform, as its protocol describes it.
type fakeWorker struct {
	world       *world
	id          string
	incarnation int64
	capacity    anvilsize.Size
	token       int64
	until       anvilclock.Millis
	runs        map[anviljob.TaskID]*fakeRun
	// floor holds the highest run of each task that was stopped or has ended.
	floor  map[anviljob.TaskID]int
	ends   []RunEnd
	number int64
	starts int
	// silent loses all orders; mute carries them out and loses the answers; fault refuses starts.
	// slow accepts stops and leaves the run to the test.
	silent bool
	mute   bool
	slow   bool
	fault  Fault
}

type fakeRun struct {
	run        int
	size       anvilsize.Size
	checkpoint string
	percent    int
	load       int64
	pace       int
}

func (k *fakeWorker) used() anvilsize.Size {
	var sum anvilsize.Size
	for _, r := range k.runs {
		sum = sum.Add(r.size)
	}
	return sum
}

func (k *fakeWorker) end(id anviljob.TaskID, cause Cause, checkpoint string) {
	r := k.runs[id]
	delete(k.runs, id)
	k.floor[id] = max(k.floor[id], r.run)
	k.number++
	k.ends = append(k.ends, NewRunEnd(k.number, id, r.run, cause, checkpoint))
}

// lapse ends what runs longer than it is held.
func (k *fakeWorker) lapse() {
	if k.world.clock.Now() < k.until {
		return
	}
	for id := range k.runs {
		k.end(id, CauseLeaseExpired, "")
	}
}

// crash forgets everything, as a restart does.
func (k *fakeWorker) crash() {
	k.runs, k.floor, k.ends, k.number, k.token = map[anviljob.TaskID]*fakeRun{}, map[anviljob.TaskID]int{}, nil, 0, 0
	k.incarnation += 1000
}

// fence checks what comes before every order.
func (w *world) fence(to Target, token int64) (*fakeWorker, error) {
	k := w.workers[to.ID()]
	if k == nil || k.silent {
		return nil, NewOrderError(FaultNoReply, 0, errDown)
	}
	k.lapse()
	if token < k.token {
		return nil, NewOrderError(FaultFenced, w.clock.Now(), nil)
	}
	k.token = token
	return k, nil
}

func (k *fakeWorker) answer() (anvilclock.Millis, error) {
	if k.mute {
		return 0, NewOrderError(FaultNoReply, 0, errDown)
	}
	return k.world.clock.Now(), nil
}

// Start starts a run.
func (w *world) Start(_ context.Context, to Target, o StartOrder) (anvilclock.Millis, error) {
	k, err := w.fence(to, o.Token())
	if err != nil {
		return 0, err
	}
	if k.fault != "" {
		return 0, NewOrderError(k.fault, w.clock.Now(), nil)
	}
	k.until = max(k.until, o.Until())
	if r := k.runs[o.Task()]; r != nil && r.run == o.Run() {
		return k.answer()
	}
	if o.Run() <= k.floor[o.Task()] {
		return 0, NewOrderError(FaultOutdated, w.clock.Now(), nil)
	}
	if other := w.at(o.Task().String()); other != nil {
		w.t.Errorf("task %s starts on %s while it runs on %s", o.Task(), k.id, other.id)
	}
	k.starts++
	k.runs[o.Task()] = &fakeRun{run: o.Run(), size: w.sizeOf(o.Task()), checkpoint: o.Checkpoint(), pace: 100}
	if !k.used().Fits(k.capacity) {
		w.t.Errorf("worker %s is over its capacity: %s of %s", k.id, k.used(), k.capacity)
	}
	return k.answer()
}

// sizeOf returns what a task takes, from its submission.
func (w *world) sizeOf(id anviljob.TaskID) anvilsize.Size {
	r := w.store.get(anvilstorage.Intake, id.Job())
	sub, err := anvilstorage.ParseSubmission(r)
	if err != nil {
		w.t.Errorf("a start of %s, which nobody submitted: %v", id, err)
		return anvilsize.Size{}
	}
	return sub.Spec().Step(id.Step()).Reservation()
}

// Stop stops a run.
func (w *world) Stop(_ context.Context, to Target, o StopOrder) (anvilclock.Millis, error) {
	k, err := w.fence(to, o.Token())
	if err != nil {
		return 0, err
	}
	if r := k.runs[o.Task()]; r != nil && r.run == o.Run() && !k.slow {
		k.end(o.Task(), CauseStopped, r.checkpoint)
	}
	k.floor[o.Task()] = max(k.floor[o.Task()], o.Run())
	return k.answer()
}

// Hold lists what runs and what has ended.
func (w *world) Hold(_ context.Context, to Target, o HoldOrder) (Report, error) {
	k, err := w.fence(to, o.Token())
	if err != nil {
		return Report{}, err
	}
	if o.Until() != 0 {
		k.until = max(k.until, o.Until())
	}
	k.ends = slices.DeleteFunc(k.ends, func(e RunEnd) bool { return e.number <= o.Acked() })
	var active []Active
	for id, r := range k.runs {
		active = append(active, NewActive(id, r.run, r.checkpoint, r.percent, r.load))
	}
	return NewReport(k.incarnation, w.clock.Now(), active, slices.Clone(k.ends)), nil
}

// Pace sets the speed of a task.
func (w *world) Pace(_ context.Context, to Target, o PaceOrder) (anvilclock.Millis, error) {
	k, err := w.fence(to, o.Token())
	if err != nil {
		return 0, err
	}
	if r := k.runs[o.Task()]; r != nil {
		r.pace = o.Percent()
	}
	return k.answer()
}

// rig is an instance with its loop, driven by hand: effects are carried out in line, and time stands
// still between steps.
type rig struct {
	world *world
	loop  *Loop
	// frozen instances get no turn.
	frozen bool
}

func (w *world) newRig(name string, opts ...Option) *rig { return w.newRigOf(name, 0, opts...) }

// newRigOf returns an instance with a processor of a size.
func (w *world) newRigOf(name string, milliCPU int64, opts ...Option) *rig {
	w.t.Helper()
	self := anvilstorage.NewInstance(name, name+":1", "d1", milliCPU)
	l, err := New(self, w.store, w, w, advisors{w}, append(opts, WithClock(w.clock))...)
	if err != nil {
		w.t.Fatal(err)
	}
	l.spawn = func(f func()) { f() }
	return &rig{world: w, loop: l}
}

// advisors asks the advisor of the world through any instance.
type advisors struct{ world *world }

// Ask asks the advisor.
func (a advisors) Ask(ctx context.Context, addr, step string, workers []string) (Advice, error) {
	return a.world.Ask(ctx, addr, step, workers)
}

// read tells the loop what its watches would.
func (r *rig) read() {
	l, s, now := r.loop, r.world.store, r.world.clock.Now()
	if s.down {
		return
	}
	ctx := context.Background()
	if r.world.policy != nil {
		l.post(policyRead{page: anvilstorage.NewPolicyPage(r.world.policy, 1, 1), since: now})
	}
	states, _ := s.Scan(ctx, anvilstorage.States)
	l.post(statesRead{page: states, full: true})
	l.post(leadershipRead{row: s.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey), since: now})
	if l.leading() {
		intake, _ := s.Scan(ctx, anvilstorage.Intake)
		l.post(intakeRead{token: l.leadership.token, page: intake})
		list, _ := r.world.Workers(ctx, 0, 0)
		l.post(workersRead{token: l.leadership.token, page: list, full: true})
	}
}

// turn works off messages until nothing is left to do at this moment.
func (r *rig) turn() {
	if r.frozen {
		return
	}
	r.loop.tick()
	for range 5000 {
		r.loop.decide()
		select {
		case m := <-r.loop.inbox:
			m.deliver(r.loop)
			continue
		default:
		}
		return
	}
	r.world.t.Fatal("the loop does not come to rest")
}

// pass lets time pass in steps of 25 ms, in which every instance reads and works.
func (w *world) pass(d anvilclock.Millis, rigs ...*rig) {
	const step = 25
	for end := w.clock.Now() + d; w.clock.Now() < end; {
		w.clock.Advance(step)
		for _, k := range w.workers {
			k.lapse()
		}
		for _, r := range rigs {
			if !r.frozen {
				r.read()
			}
			r.turn()
		}
	}
}

// submit stores a job as an intake does.
func (w *world) submit(id, queue, team string, steps ...anviljob.Step) {
	w.t.Helper()
	spec, err := anviljob.NewSpec("payload", steps, anviljob.Repeat{})
	if err != nil {
		w.t.Fatal(err)
	}
	w.submitSpec(id, queue, team, spec)
}

func (w *world) submitSpec(id, queue, team string, spec *anviljob.Spec) {
	w.t.Helper()
	intake, err := anvilstorage.SubmissionRow(anviljob.NewSubmission(id, queue, team, w.clock.Now(), spec))
	if err != nil {
		w.t.Fatal(err)
	}
	state, err := anvilstorage.StateRow(anvilstorage.NewJobState(id, queue, team, anviljob.Queued, 0))
	if err != nil {
		w.t.Fatal(err)
	}
	w.commit(intake, state)
}

func (w *world) cancel(id string) {
	w.commit(anvilstorage.NewRow(anvilstorage.Intake, anvilstorage.CancelKey(id), []byte("{}")))
}

func (w *world) commit(rows ...anvilstorage.Row) {
	w.t.Helper()
	tx := anvilstorage.NewTx(anvilstorage.CallsPartition)
	for _, r := range rows {
		tx.Set(r)
	}
	if _, err := w.store.Commit(context.Background(), tx); err != nil {
		w.t.Fatal(err)
	}
}

// state returns a job's state in the store.
func (w *world) state(id string) anviljob.State {
	w.t.Helper()
	s, err := anvilstorage.ParseState(w.store.get(anvilstorage.States, id))
	if err != nil {
		w.t.Fatal(err)
	}
	return s.State()
}

// Names and sizes that the tests share.
const (
	plainQueue  = "plain"
	askingQueue = "asking"
	poolName    = "layout"
	teamName    = "mosaic"
	settleTime  = anvilclock.Millis(400)
	// firstTime is longer than the first instance of all needs for its claim.
	firstTime = firstClaimDelay + settleTime
)

func core(n int64) anvilsize.Size { return anvilsize.New(n*1000, 0, 0) }

// testPolicy has a queue without advice, one with advice, and a team that may use 8 cores.
func testPolicy() *anvilpolicy.Policy {
	return anvilpolicy.New(1, []anvilpolicy.Queue{
		anvilpolicy.NewQueue(plainQueue, "h", "/p/", poolName, anvilpolicy.WithAttempts(3), anvilpolicy.WithObjective(2, 1000)),
		anvilpolicy.NewQueue(askingQueue, "h", "/a/", poolName, anvilpolicy.WithAttempts(3), anvilpolicy.WithObjective(2, 1000),
			anvilpolicy.WithAdvice(anvilpolicy.NewAdvice(10, 1, 2000))),
	}, anvilpolicy.WithTeams(anvilpolicy.NewTeam(teamName, 100, core(8), []string{"key"})))
}

func assertEqual(t testing.TB, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func assertState(t testing.TB, w *world, want anviljob.State) {
	t.Helper()
	assertEqual(t, "state of j1", w.state("j1"), want)
}

func assertRunning(t testing.TB, w *world, want ...string) {
	t.Helper()
	assertEqual(t, "running tasks", w.running(), want)
}
