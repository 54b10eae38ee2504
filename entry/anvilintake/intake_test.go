package anvilintake

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anviladmission"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

const (
	goodID  = "5c0e7a21d94b36f8"
	otherID = "ffffffffffffffff"
)

var errStore = errors.New("no answer")

// store is a fake store. Its commits fail with errs, one after another, and then succeed.
type store struct {
	errs    []error
	row     anvilstorage.Row
	getErr  error
	commits int
	gets    int
	// gate, when set, blocks commits until it is closed; sizes are the numbers of jobs in the transactions.
	gate  chan struct{}
	sizes []int
	// onCommit, when set, is called by each commit.
	onCommit func()
	// conditions are the versions that the commits expect of the configuration's row.
	conditions []int64
}

func (s *store) Commit(_ context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	if s.gate != nil {
		<-s.gate
	}
	s.commits++
	s.conditions = append(s.conditions, tx.PolicyRowVersion())
	if s.onCommit != nil {
		s.onCommit()
	}
	s.sizes = append(s.sizes, len(tx.Sets())/2)
	if len(s.errs) > 0 {
		err := s.errs[0]
		s.errs = s.errs[1:]
		return anvilstorage.Receipt{}, err
	}
	return anvilstorage.NewReceipt(9, 1), nil
}

func (s *store) Get(context.Context, anvilstorage.Table, string) (anvilstorage.Row, error) {
	s.gets++
	return s.row, s.getErr
}

func (s *store) Now() anvilclock.Millis { return 5 }

// control is a control loop with a configuration.
type control struct {
	loop          *anvilscheduler.Loop
	clock         *anvilclock.Manual
	policyUpdates int
	// connectivity overrides that of the loop when it is set.
	connectivity atomic.Pointer[anvilscheduler.Connectivity]
	backlog      *anviladmission.Backlog
}

func (c *control) Backlog() *anviladmission.Backlog { return c.backlog }

func (c *control) Connectivity() *anvilscheduler.Connectivity {
	if k := c.connectivity.Load(); k != nil {
		return k
	}
	return c.loop.Connectivity()
}

func (c *control) View() *anvilscheduler.View           { return c.loop.View() }
func (c *control) Directory() *anvilscheduler.Directory { return c.loop.Directory() }
func (c *control) Clock() anvilclock.Clock              { return c.clock }

func (c *control) UpdatePolicy(page anvilstorage.PolicyPage) {
	c.policyUpdates++
	c.loop.UpdatePolicy(page)
	c.loop.ProcessMessages()
}

type meter struct{}

func (meter) Count(string)                  {}
func (meter) Observe(string, time.Duration) {}

type notifier struct{ notified int }

func (n *notifier) Notify(string, []string, ...anvilstorage.Row) { n.notified++ }

// forwarder returns the replies of other instances by their addresses; an address without one does not answer.
type forwarder struct {
	replies map[string]Reply
	calls   []string
}

func (f *forwarder) Forward(_ context.Context, addr string, kind Kind, c Call, _ *anviljob.Spec) (Reply, error) {
	f.calls = append(f.calls, string(kind)+" "+addr+" "+c.Path())
	if reply, ok := f.replies[addr]; ok {
		return reply, nil
	}
	return Reply{}, errStore
}

// harness is an intake with a fake store and forwarder, and a control loop with the policy of the tests.
type harness struct {
	in        *Intake
	store     *store
	control   *control
	forwarder *forwarder
}

func policy(version int64) *anvilpolicy.Policy {
	return anvilpolicy.New(version, []anvilpolicy.Queue{
		anvilpolicy.NewQueue("keyed", "h", "/k/", "layout"),
		anvilpolicy.NewQueue("open", "h", "/o/", "layout", anvilpolicy.WithOpen(true)),
	}, anvilpolicy.WithTeams(anvilpolicy.NewTeam("mosaic", 1, anvilsize.Size{}, []string{"key"}),
		anvilpolicy.NewTeam("water", 1, anvilsize.Size{}, []string{"other"})))
}

func newHarness(t *testing.T, opts ...Option) *harness {
	t.Helper()
	clock := anvilclock.NewManual(10_000)
	loop, err := anvilscheduler.New(anvilstorage.NewInstance("e1", "a:1", "d1", 0), nil, nil, nil, nil, anvilscheduler.WithClock(clock))
	if err != nil {
		t.Fatal(err)
	}
	c := &control{loop: loop, clock: clock}
	loop.UpdatePolicy(anvilstorage.NewPolicyPage(policy(1), 3, 3).SentAt(clock.Now()))
	loop.ProcessMessages()
	s, f := &store{}, &forwarder{replies: map[string]Reply{}}
	return &harness{in: New(s, c, &notifier{}, f, &anvilevent.Log{}, meter{}, opts...), store: s, control: c, forwarder: f}
}

func spec(t *testing.T) *anviljob.Spec {
	t.Helper()
	s, err := anviljob.NewSpec("p", []anviljob.Step{anviljob.NewStep(1, anvilsize.New(1, 1, 0))}, anviljob.Repeat{})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func submit(t *testing.T, h *harness, path, key string) Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	return h.in.Submit(ctx, NewCall("h", path, key), spec(t))
}

func assertResult(t *testing.T, got Reply, want Result) {
	t.Helper()
	if got.Result() != want {
		t.Fatalf("got %s (%s), want %s", got.Result(), got.Reason(), want)
	}
}

func TestSubmit(t *testing.T) {
	t.Run("a submission is accepted once it is stored", func(t *testing.T) {
		// Guards against accepting a job before it is stored.
		h := newHarness(t)
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
		if h.store.commits != 1 {
			t.Fatalf("%d commits", h.store.commits)
		}
	})
	t.Run("a stored id is accepted without another commit", func(t *testing.T) {
		// Guards against a second job when a caller repeats a submission.
		h := newHarness(t)
		submit(t, h, "/k/"+goodID, "key")
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
		if h.store.commits != 1 {
			t.Fatalf("%d commits", h.store.commits)
		}
	})
	t.Run("an id that another instance has stored is accepted", func(t *testing.T) {
		// Guards against refusing a job that is stored.
		h := newHarness(t)
		h.store.errs = []error{anvilstorage.NewConflict([]anvilstorage.Row{
			anvilstorage.ReadRow(anvilstorage.States, goodID, nil, 4, false)}, nil)}
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("keys and queues are checked", func(t *testing.T) {
		// Guards against accepting jobs with a wrong key, for an unknown queue or with a malformed id.
		h := newHarness(t)
		assertResult(t, submit(t, h, "/k/"+goodID, "wrong"), Unauthorized)
		assertResult(t, submit(t, h, "/x/"+goodID, "key"), NoQueue)
		assertResult(t, submit(t, h, "/k/short", "key"), Invalid)
		assertResult(t, submit(t, h, "/o/"+goodID, ""), Accepted)
	})
	t.Run("a commit without an answer makes the outcome unknown", func(t *testing.T) {
		// Guards against a refusal, which promises that the job will never run, after a commit that may have stored it.
		h := newHarness(t)
		unknown := anvilstorage.NewError(anvilstorage.Unknown, errStore)
		refused := anvilstorage.NewError(anvilstorage.Refused, errStore)
		for range 20 {
			h.store.errs = append(h.store.errs, refused)
		}
		reply := submit(t, h, "/k/"+goodID, "key")
		assertResult(t, reply, Refused)
		if reply.Retry() == 0 {
			t.Fatal("the refusal has no retry delay")
		}
		h.store.errs = append([]error{unknown}, h.store.errs...)
		for range 20 {
			h.store.errs = append(h.store.errs, refused)
		}
		assertResult(t, submit(t, h, "/k/"+otherID, "key"), Unknown)
	})
	t.Run("a newer configuration in a conflict is applied", func(t *testing.T) {
		// Guards against storing jobs under a configuration that was replaced.
		h := newHarness(t)
		h.control.clock.Advance(maxConfigAge)
		page := anvilstorage.NewPolicyPage(policy(2), 5, 5)
		h.store.errs = []error{anvilstorage.NewConflict(nil, &page)}
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
		if h.control.policyUpdates != 1 {
			t.Fatal("the configuration was not updated")
		}
	})
}

// withoutKey returns a newer configuration in which team mosaic has no key, and withoutQueue one without the queue.
func withoutKey() anvilstorage.PolicyPage {
	return anvilstorage.NewPolicyPage(anvilpolicy.New(2, []anvilpolicy.Queue{anvilpolicy.NewQueue("keyed", "h", "/k/", "layout")},
		anvilpolicy.WithTeams(anvilpolicy.NewTeam("mosaic", 1, anvilsize.Size{}, nil))), 5, 5)
}

func withoutQueue() anvilstorage.PolicyPage {
	return anvilstorage.NewPolicyPage(anvilpolicy.New(2, nil, anvilpolicy.WithTeams(anvilpolicy.NewTeam("mosaic", 1, anvilsize.Size{},
		[]string{"key"}))), 5, 5)
}

// Guards against a refusal, which promises that the job will never run, after a commit without an answer: the key or the queue
// is removed before the next try.
func TestRemovalAfterUnansweredCommit(t *testing.T) {
	for name, page := range map[string]anvilstorage.PolicyPage{"of the key": withoutKey(), "of the queue": withoutQueue()} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.store.errs = []error{anvilstorage.NewError(anvilstorage.Unknown, errStore)}
			h.store.onCommit = func() { h.control.UpdatePolicy(page) }
			assertResult(t, submit(t, h, "/k/"+goodID, "key"), Unknown)
		})
	}
}

// Guards against a submission that is accepted with a removed key because its job is already stored: the store's answer shows
// both the job and the newer configuration.
func TestRemovedKeyOfStoredJob(t *testing.T) {
	h := newHarness(t)
	h.control.clock.Advance(maxConfigAge)
	page := withoutKey().SentAt(h.control.clock.Now())
	h.store.errs = []error{anvilstorage.NewConflict([]anvilstorage.Row{anvilstorage.ReadRow(anvilstorage.States, goodID, nil, 4, false)}, &page)}
	assertResult(t, submit(t, h, "/k/"+goodID, "key"), Unauthorized)
}

func TestState(t *testing.T) {
	call := NewCall("h", "/k/"+goodID, "key")
	t.Run("a job that is not in memory is read from the store", func(t *testing.T) {
		// Guards against answering "no such job" for a job that another instance has just accepted.
		h := newHarness(t)
		row, err := anvilstorage.StateRow(anvilstorage.NewJobState(goodID, "keyed", "mosaic", anviljob.Running, 0))
		if err != nil {
			t.Fatal(err)
		}
		h.store.row = anvilstorage.ReadRow(anvilstorage.States, goodID, row.Value(), 8, false)
		reply := h.in.State(t.Context(), call)
		assertResult(t, reply, Answered)
		if reply.State() != anviljob.Running {
			t.Fatalf("state %s", reply.State())
		}
	})
	t.Run("a job is only reported missing when the store has no row", func(t *testing.T) {
		// Guards against reporting a stored job as missing during an outage of the store.
		h := newHarness(t)
		assertResult(t, h.in.State(t.Context(), call), NoJob)
		h.store.getErr = anvilstorage.NewError(anvilstorage.Refused, errStore)
		assertResult(t, h.in.State(t.Context(), call), Refused)
	})
	t.Run("another team's job is not shown", func(t *testing.T) {
		// Guards against access with another team's key.
		h := newHarness(t)
		submit(t, h, "/k/"+goodID, "key")
		assertResult(t, h.in.State(t.Context(), NewCall("h", "/k/"+goodID, "other")), NoJob)
	})
	t.Run("calls are refused when the configuration is too old", func(t *testing.T) {
		// Guards against a withdrawn key that keeps working while the store does not answer.
		h := newHarness(t)
		submit(t, h, "/k/"+goodID, "key")
		h.control.clock.Advance(maxConfigAge)
		assertResult(t, h.in.State(t.Context(), call), Refused)
		assertResult(t, h.in.Cancel(t.Context(), call), Refused)
		assertResult(t, h.in.Waiting(NewCall("h", "/k/", "key")), Refused)
	})
}

func TestCancel(t *testing.T) {
	t.Run("a cancellation is accepted once it is stored", func(t *testing.T) {
		// Guards against accepting a cancellation that the leader never sees.
		h := newHarness(t)
		submit(t, h, "/k/"+goodID, "key")
		assertResult(t, h.in.Cancel(t.Context(), NewCall("h", "/k/"+goodID, "key")), Accepted)
		if h.store.commits != 2 {
			t.Fatalf("%d commits", h.store.commits)
		}
	})
	t.Run("a missing job is reported once its cancellation is stored", func(t *testing.T) {
		// Guards against a job that starts after its cancellation was answered: its submission had no answer and is stored
		// later.
		h := newHarness(t)
		assertResult(t, h.in.Cancel(t.Context(), NewCall("h", "/k/"+goodID, "key")), NoJob)
		if h.store.commits != 1 {
			t.Fatalf("%d commits", h.store.commits)
		}
	})
	t.Run("nothing is stored for another team's job or a malformed id", func(t *testing.T) {
		// Guards against one team cancelling the jobs of another, and against rows under any key.
		h := newHarness(t)
		submit(t, h, "/k/"+goodID, "key")
		assertResult(t, h.in.Cancel(t.Context(), NewCall("h", "/k/"+goodID, "other")), NoJob)
		assertResult(t, h.in.Cancel(t.Context(), NewCall("h", "/k/short", "key")), NoJob)
		if h.store.commits != 1 {
			t.Fatalf("%d commits", h.store.commits)
		}
	})
}

// awaitWaiting blocks until n submissions are queued in b.
func awaitWaiting(b *batcher, n int) {
	for {
		b.mu.Lock()
		waiting := len(b.waiting)
		b.mu.Unlock()
		if waiting == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a submission that the store refuses as too large together with all those that share its transaction.
func TestSubmissionTooLargeToStore(t *testing.T) {
	h := newHarness(t)
	label := strings.Repeat("l", anvilstorage.MaxRowBytes)
	large, err := anviljob.NewSpec("p", []anviljob.Step{anviljob.NewStep(1, anvilsize.New(1, 1, 0), anviljob.WithLabel(label))}, anviljob.Repeat{})
	if err != nil {
		t.Fatal(err)
	}
	assertResult(t, h.in.Submit(t.Context(), NewCall("h", "/k/"+goodID, "key"), large), Invalid)
	if h.store.commits != 0 {
		t.Fatalf("%d commits", h.store.commits)
	}
}

func TestBatch(t *testing.T) {
	row := func(id string) []anvilstorage.Row {
		return []anvilstorage.Row{anvilstorage.NewRow(anvilstorage.Intake, id, nil), anvilstorage.NewRow(anvilstorage.States, id, nil)}
	}
	t.Run("submissions during a commit share the next transaction", func(t *testing.T) {
		// Guards against loading a slow store with a transaction for each submission.
		s := &store{gate: make(chan struct{})}
		b := newBatcher(s, anvilclock.NewManual(0))
		results := make(chan error, 4)
		put := func(id string) {
			_, err := b.commit(t.Context(), nil, id, row(id), 1)
			results <- err
		}
		go put("a")
		for {
			b.mu.Lock()
			first := b.byID["a"] != nil && b.byID["a"].sent
			b.mu.Unlock()
			if first {
				break
			}
			time.Sleep(time.Millisecond)
		}
		for _, id := range []string{"b", "c", "c"} {
			go put(id)
		}
		awaitWaiting(b, 2)
		time.Sleep(5 * time.Millisecond)
		close(s.gate)
		for range 4 {
			if err := <-results; err != nil {
				t.Fatal(err)
			}
		}
		if len(s.sizes) != 2 || s.sizes[1] != 2 {
			t.Fatalf("transactions of %v jobs", s.sizes)
		}
	})
	t.Run("a batch is no larger than the store accepts", func(t *testing.T) {
		// Guards against a transaction of large submissions that the store refuses as a whole, again and again.
		b := newBatcher(&store{}, anvilclock.NewManual(0))
		for i := range maxBatch {
			rows := row(strconv.Itoa(i))
			rows[0] = anvilstorage.NewRow(anvilstorage.Intake, rows[0].Key(), make([]byte, anvilstorage.MaxRowBytes))
			b.waiting = append(b.waiting, &batchEntry{id: rows[0].Key(), rows: rows, done: make(chan struct{})})
		}
		for total := 0; total < maxBatch; {
			batch := b.nextBatch()
			if n := transaction(batch).Size(); len(batch) == 0 || n > anvilstorage.MaxBytes {
				t.Fatalf("a batch of %d submissions has %d bytes", len(batch), n)
			}
			total += len(batch)
		}
	})
	t.Run("a stored id does not fail the others of its batch", func(t *testing.T) {
		// Guards against a submission that fails because the id of another submission in its batch is already stored.
		s := &store{errs: []error{anvilstorage.NewConflict([]anvilstorage.Row{anvilstorage.ReadRow(anvilstorage.States, "a", nil, 4, false)}, nil)}}
		b := newBatcher(s, anvilclock.NewManual(0))
		b.running = true
		errs := make(chan error, 2)
		for _, id := range []string{"a", "b"} {
			go func() {
				_, err := b.commit(t.Context(), nil, id, row(id), 1)
				if id == "b" {
					errs <- err
				}
			}()
		}
		awaitWaiting(b, 2)
		b.run()
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	})
	t.Run("a submission that was not sent is withdrawn", func(t *testing.T) {
		// Guards against a job that runs after its caller got a refusal.
		b := newBatcher(&store{}, anvilclock.NewManual(0))
		b.running = true
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := b.commit(ctx, nil, "a", row("a"), 1)
		if anvilstorage.As(err).Kind() != anvilstorage.Refused || len(b.waiting) != 0 {
			t.Fatalf("%v, %d waiting", err, len(b.waiting))
		}
	})
}
