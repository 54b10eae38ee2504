package anvilintake

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
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

// store answers commits with the errors given, in turn, and then with success.
type store struct {
	errs    []error
	row     anvilstorage.Row
	getErr  error
	commits int
	gets    int
	// gate holds commits up; sizes are the numbers of jobs in them.
	gate  chan struct{}
	sizes []int
}

func (s *store) Commit(_ context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	if s.gate != nil {
		<-s.gate
	}
	s.commits++
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

// control is a control loop that has read a configuration.
type control struct {
	loop    *anvilscheduler.Loop
	clock   *anvilclock.Manual
	learned int
	// connectivity replaces the loop's when it is set.
	connectivity atomic.Pointer[anvilscheduler.Connectivity]
}

func (c *control) Connectivity() *anvilscheduler.Connectivity {
	if k := c.connectivity.Load(); k != nil {
		return k
	}
	return c.loop.Connectivity()
}

func (c *control) View() *anvilscheduler.View           { return c.loop.View() }
func (c *control) Directory() *anvilscheduler.Directory { return c.loop.Directory() }
func (c *control) Clock() anvilclock.Clock              { return c.clock }
func (c *control) UpdatePolicy(anvilstorage.PolicyPage) { c.learned++ }

type meter struct{}

func (meter) Count(string)                  {}
func (meter) Observe(string, time.Duration) {}

type notifier struct{ notified int }

func (h *notifier) Notify(string, []string, ...anvilstorage.Row) { h.notified++ }

// forwarder answers for other instances, by their addresses; an address without an answer is silent.
type forwarder struct {
	replies map[string]Reply
	asked   []string
}

func (r *forwarder) Forward(_ context.Context, addr string, kind Kind, c Call, _ *anviljob.Spec) (Reply, error) {
	r.asked = append(r.asked, string(kind)+" "+addr+" "+c.Path())
	if reply, ok := r.replies[addr]; ok {
		return reply, nil
	}
	return Reply{}, errStore
}

// bench is an intake before a store and a control loop with the configuration of the tests.
type bench struct {
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

func newBench(t *testing.T) *bench {
	t.Helper()
	clock := anvilclock.NewManual(10_000)
	loop, err := anvilscheduler.New(anvilstorage.NewInstance("e1", "a:1", "d1", 0), nil, nil, nil, nil, anvilscheduler.WithClock(clock))
	if err != nil {
		t.Fatal(err)
	}
	c := &control{loop: loop, clock: clock}
	loop.UpdatePolicy(anvilstorage.NewPolicyPage(policy(1), 3, 3))
	loop.Turn()
	s, r := &store{}, &forwarder{replies: map[string]Reply{}}
	return &bench{in: New(s, c, &notifier{}, r, &anvilevent.Log{}, meter{}), store: s, control: c, forwarder: r}
}

func spec(t *testing.T) *anviljob.Spec {
	t.Helper()
	s, err := anviljob.NewSpec("p", []anviljob.Step{anviljob.NewStep(1, anvilsize.New(1, 1, 0))}, anviljob.Repeat{})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func submit(t *testing.T, b *bench, path, key string) Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	return b.in.Submit(ctx, NewCall("h", path, key), spec(t))
}

func assertResult(t *testing.T, got Reply, want Result) {
	t.Helper()
	if got.Result() != want {
		t.Fatalf("got %s (%s), want %s", got.Result(), got.Reason(), want)
	}
}

func TestSubmit(t *testing.T) {
	t.Run("is accepted once it is stored", func(t *testing.T) {
		// Guards against an acceptance before the store has the job.
		b := newBench(t)
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Accepted)
		if b.store.commits != 1 {
			t.Fatalf("%d commits", b.store.commits)
		}
	})
	t.Run("a known id is accepted without another job", func(t *testing.T) {
		// Guards against a second job for a submission that is sent again.
		b := newBench(t)
		submit(t, b, "/k/"+goodID, "key")
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Accepted)
		if b.store.commits != 1 {
			t.Fatalf("%d commits", b.store.commits)
		}
	})
	t.Run("an id that another instance has stored is accepted", func(t *testing.T) {
		// Guards against a refusal of a job that is stored.
		b := newBench(t)
		b.store.errs = []error{anvilstorage.NewConflict([]anvilstorage.Row{
			anvilstorage.ReadRow(anvilstorage.States, goodID, nil, 4, false)}, nil)}
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("keys and queues are checked", func(t *testing.T) {
		// Guards against work without a key, for unknown queues or with unreadable ids.
		b := newBench(t)
		assertResult(t, submit(t, b, "/k/"+goodID, "wrong"), Unauthorized)
		assertResult(t, submit(t, b, "/x/"+goodID, "key"), NoQueue)
		assertResult(t, submit(t, b, "/k/short", "key"), Invalid)
		assertResult(t, submit(t, b, "/o/"+goodID, ""), Accepted)
	})
	t.Run("a refusal is only said when nothing can be stored", func(t *testing.T) {
		// Guards against "not run" said of a job that a lost commit may still store.
		b := newBench(t)
		unknown := anvilstorage.NewError(anvilstorage.Unknown, errStore)
		refused := anvilstorage.NewError(anvilstorage.Refused, errStore)
		for range 20 {
			b.store.errs = append(b.store.errs, refused)
		}
		reply := submit(t, b, "/k/"+goodID, "key")
		assertResult(t, reply, Refused)
		if reply.Retry() == 0 {
			t.Fatal("the refusal does not say when to come back")
		}
		b.store.errs = append([]error{unknown}, b.store.errs...)
		for range 20 {
			b.store.errs = append(b.store.errs, refused)
		}
		assertResult(t, submit(t, b, "/k/"+otherID, "key"), Unknown)
	})
	t.Run("a newer configuration is learned from the store", func(t *testing.T) {
		// Guards against work under a configuration that was replaced.
		b := newBench(t)
		page := anvilstorage.NewPolicyPage(policy(2), 5, 5)
		b.store.errs = []error{anvilstorage.NewConflict(nil, &page)}
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Accepted)
		if b.control.learned != 1 {
			t.Fatal("the configuration was not learned")
		}
	})
}

func TestState(t *testing.T) {
	call := NewCall("h", "/k/"+goodID, "key")
	t.Run("a job that this instance does not know is looked up", func(t *testing.T) {
		// Guards against "no such job" said of a job that another instance has just taken.
		b := newBench(t)
		row, err := anvilstorage.StateRow(anvilstorage.NewJobState(goodID, "keyed", "mosaic", anviljob.Running, 0))
		if err != nil {
			t.Fatal(err)
		}
		b.store.row = anvilstorage.ReadRow(anvilstorage.States, goodID, row.Value(), 8, false)
		reply := b.in.State(t.Context(), call)
		assertResult(t, reply, Answered)
		if reply.State() != anviljob.Running {
			t.Fatalf("state %s", reply.State())
		}
	})
	t.Run("an unknown job is only denied when the store says so", func(t *testing.T) {
		// Guards against a lost job because of an outage.
		b := newBench(t)
		assertResult(t, b.in.State(t.Context(), call), NoJob)
		b.store.getErr = anvilstorage.NewError(anvilstorage.Refused, errStore)
		assertResult(t, b.in.State(t.Context(), call), Refused)
	})
	t.Run("another team's job is not shown", func(t *testing.T) {
		// Guards against access with another team's key.
		b := newBench(t)
		submit(t, b, "/k/"+goodID, "key")
		assertResult(t, b.in.State(t.Context(), NewCall("h", "/k/"+goodID, "other")), NoJob)
	})
	t.Run("nothing is answered for keys that may be withdrawn", func(t *testing.T) {
		// Guards against a withdrawn key that goes on working while the store is silent.
		b := newBench(t)
		submit(t, b, "/k/"+goodID, "key")
		b.control.clock.Advance(freshness)
		assertResult(t, b.in.State(t.Context(), call), Refused)
		assertResult(t, b.in.Cancel(t.Context(), call), Refused)
		assertResult(t, b.in.Waiting(NewCall("h", "/k/", "key")), Refused)
	})
}

func TestCancel(t *testing.T) {
	t.Run("is answered once it is stored", func(t *testing.T) {
		// Guards against an acknowledgement that nobody acts on.
		b := newBench(t)
		submit(t, b, "/k/"+goodID, "key")
		assertResult(t, b.in.Cancel(t.Context(), NewCall("h", "/k/"+goodID, "key")), Accepted)
		if b.store.commits != 2 {
			t.Fatalf("%d commits", b.store.commits)
		}
	})
	t.Run("of an unknown job says so", func(t *testing.T) {
		// Guards against rows for jobs that nobody has submitted.
		b := newBench(t)
		assertResult(t, b.in.Cancel(t.Context(), NewCall("h", "/k/"+goodID, "key")), NoJob)
	})
}

// awaitWaiting returns once n submissions wait to be stored.
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

func TestBatch(t *testing.T) {
	row := func(id string) []anvilstorage.Row {
		return []anvilstorage.Row{anvilstorage.NewRow(anvilstorage.Intake, id, nil), anvilstorage.NewRow(anvilstorage.States, id, nil)}
	}
	t.Run("submissions that come while one is stored share a transaction", func(t *testing.T) {
		// Guards against a slow store that is kept busy by single submissions.
		s := &store{gate: make(chan struct{})}
		b := newBatcher(s)
		results := make(chan error, 4)
		put := func(id string) {
			_, err := b.commit(t.Context(), nil, id, row(id), 1)
			results <- err
		}
		go put("a")
		for {
			b.mu.Lock()
			first := b.byID["a"] != nil && b.byID["a"].taken
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
	t.Run("a known id does not hold up the others", func(t *testing.T) {
		// Guards against a submission that fails because another one was sent twice.
		s := &store{errs: []error{anvilstorage.NewConflict([]anvilstorage.Row{anvilstorage.ReadRow(anvilstorage.States, "a", nil, 4, false)}, nil)}}
		b := newBatcher(s)
		b.busy = true
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
	t.Run("what was not sent is withdrawn", func(t *testing.T) {
		// Guards against a job that runs after its caller was told that it will not.
		b := newBatcher(&store{})
		b.busy = true
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := b.commit(ctx, nil, "a", row("a"), 1)
		if anvilstorage.As(err).Kind() != anvilstorage.Refused || len(b.waiting) != 0 {
			t.Fatalf("%v, %d wait", err, len(b.waiting))
		}
	})
}
