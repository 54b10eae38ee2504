package anvilpeer

import (
	"net"
	"reflect"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// testTimeout ends a test that hangs; no result depends on it.
const testTimeout = 20 * time.Second

type fakeInbox chan anvilcontrol.Message

func (in fakeInbox) Post(m anvilcontrol.Message) { in <- m }

// fakeLoop answers as the control loop of the other instance.
type fakeLoop struct {
	inboxFull, noReply bool
	received           chan struct{}
	result             anvilcontrol.Result
	status             anvilcontrol.Status
	summary            anvilcontrol.Summary
	forward            anvilcontrol.Forward
	query              anvilcontrol.Query
	exchanged          anvilcontrol.Summary
	rows               []anvilrow.Row
}

func (l *fakeLoop) Submit(f anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool {
	l.forward = f
	if l.received != nil {
		close(l.received)
	}
	if !l.inboxFull && !l.noReply {
		reply <- l.result
	}
	return !l.inboxFull
}

func (l *fakeLoop) Inspect(q anvilcontrol.Query, reply chan<- anvilcontrol.Status) bool {
	l.query = q
	reply <- l.status
	return !l.inboxFull
}

func (l *fakeLoop) Exchange(s anvilcontrol.Summary, reply chan<- anvilcontrol.Summary) bool {
	l.exchanged = s
	reply <- l.summary
	return !l.inboxFull
}

func (l *fakeLoop) Push(rows []anvilrow.Row, version int64, reply chan<- int64) bool {
	l.rows = rows
	reply <- version
	return !l.inboxFull
}

func serve(t *testing.T, loop *fakeLoop) (*Server, string) {
	t.Helper()
	return serveWith(t, loop, nil)
}

func serveWith(t *testing.T, loop *fakeLoop, creds credentials.TransportCredentials) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(loop, loop, creds)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		s.Stop(0)
		<-ended
	})
	return s, l.Addr().String()
}

func client(t *testing.T, opts ...Option) (*Peers, fakeInbox) {
	t.Helper()
	in := make(fakeInbox, 1)
	p := New(in, append([]Option{WithTimeout(testTimeout, testTimeout)}, opts...)...)
	t.Cleanup(p.Close)
	return p, in
}

func assertPosted(t *testing.T, in fakeInbox, want anvilcontrol.Message) {
	t.Helper()
	if got := <-in; !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func assertFailure(t *testing.T, r anvilcontrol.Result, o anvilerror.Outcome, c anvilerror.Code) {
	t.Helper()
	if err := r.Err(); err == nil || err.Outcome() != o || err.Code() != c {
		t.Fatalf("got %v, want %s %s", err, o, c)
	}
}

func task() *anviltask.Task {
	return anviltask.New("id", anviltask.Call, "layout", anviltask.WithTeam("red", "w1"), anviltask.WithSize(anvilsize.New(1, 2, 3)),
		anviltask.WithBody([]byte("body")), anviltask.WithNonIdempotent(true), anviltask.WithMaxWait(900), anviltask.WithShard("a.layout.0"))
}

// Guards against the outcome not-run for a task that the other instance may have started, and against the outcome
// unknown for one that was never sent.
func TestSubmitOutcome(t *testing.T) {
	f := anvilcontrol.NewForward(task(), 1, 7)
	t.Run("not sent", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		p, _ := client(t)
		assertFailure(t, p.forward(l.Addr().String(), f), anvilerror.NotRun, anvilerror.NoOwner)
	})
	t.Run("connection failed after sending", func(t *testing.T) {
		loop := &fakeLoop{noReply: true, received: make(chan struct{})}
		s, addr := serve(t, loop)
		p, _ := client(t)
		got := make(chan anvilcontrol.Result, 1)
		go func() { got <- p.forward(addr, f) }()
		<-loop.received
		s.grpc.Stop()
		assertFailure(t, <-got, anvilerror.Unknown, anvilerror.Lost)
	})
	t.Run("no answer in time", func(t *testing.T) {
		_, addr := serve(t, &fakeLoop{noReply: true})
		p, _ := client(t, WithTimeout(50*time.Millisecond, testTimeout))
		assertFailure(t, p.forward(addr, f), anvilerror.Unknown, anvilerror.Lost)
	})
	t.Run("full inbox", func(t *testing.T) {
		_, addr := serve(t, &fakeLoop{inboxFull: true})
		p, _ := client(t)
		assertFailure(t, p.forward(addr, f), anvilerror.NotRun, anvilerror.QueueFull)
	})
	t.Run("no free slot", func(t *testing.T) {
		p, in := client(t, WithSlots(0, 0))
		p.Submit(4, "127.0.0.1:1", f)
		assertPosted(t, in, anvilcontrol.NewSubmitted(4, anvilcontrol.NewFailure(refuseNoSlot())))
	})
}

// Guards against fields that are lost in the messages between two instances.
func TestRoundTrip(t *testing.T) {
	loop := &fakeLoop{}
	_, addr := serve(t, loop)
	p, in := client(t)
	t.Run("answer", func(t *testing.T) {
		f := anvilcontrol.NewForward(task(), 1, 7)
		loop.result = anvilcontrol.NewAnswer([]byte("answer"))
		p.Submit(1, addr, f)
		assertPosted(t, in, anvilcontrol.NewSubmitted(1, loop.result))
		if !reflect.DeepEqual(loop.forward, f) {
			t.Fatalf("received %+v, want %+v", loop.forward.Task(), f.Task())
		}
	})
	t.Run("accepted", func(t *testing.T) {
		loop.result = anvilcontrol.NewAccepted("a.layout.0~id")
		p.Submit(2, addr, anvilcontrol.NewForward(task(), 1, 7))
		assertPosted(t, in, anvilcontrol.NewSubmitted(2, loop.result))
	})
	t.Run("refusal", func(t *testing.T) {
		loop.result = anvilcontrol.NewFailure(anvilerror.Refuse(anvilerror.NoCapacity, "reason", anvilerror.WithRetry(5)))
		p.Submit(3, addr, anvilcontrol.NewForward(task(), 1, 7))
		assertPosted(t, in, anvilcontrol.NewSubmitted(3, loop.result))
	})
	t.Run("status", func(t *testing.T) {
		loop.status = anvilcontrol.NewStatus("id", "red", "running", anvilcontrol.WithReason("c", "r"),
			anvilcontrol.WithLocation("s", "o", []string{"w1"}, 2), anvilcontrol.WithDecisions([]anvilcontrol.Decision{anvilcontrol.NewDecision(1, 2, "placed")}))
		p.Inspect(4, addr, anvilcontrol.NewQuery("id", "red", true, true, 0))
		assertPosted(t, in, anvilcontrol.NewInspected(4, loop.status))
		if want := anvilcontrol.NewQuery("id", "red", true, true, 1); loop.query != want {
			t.Fatalf("received %+v, want %+v", loop.query, want)
		}
	})
	t.Run("summaries", func(t *testing.T) {
		pools := []anvilcontrol.PoolSummary{anvilcontrol.NewPoolSummary("p", "d", anvilsize.New(1, 2, 3), anvilsize.New(4, 5, 6), 7, 8)}
		rows := []anvilrow.Row{anvilrow.Read("config/version", anvilrow.NewVersion(7), 8, "c", false)}
		sent := anvilcontrol.NewSummary("e1", 7, anvilcontrol.NeverConfirmed, pools, []string{"red"}, true, rows)
		loop.summary = anvilcontrol.NewSummary("e2", 6, 40, pools, []string{"blue"}, false, rows)
		p.Exchange(5, addr, sent)
		assertPosted(t, in, anvilcontrol.NewExchanged(5, loop.summary))
		if !reflect.DeepEqual(loop.exchanged, sent) {
			t.Fatalf("received %+v, want %+v", loop.exchanged, sent)
		}
	})
	t.Run("pushed rows", func(t *testing.T) {
		rows := []anvilrow.Row{anvilrow.Read("config/leave/w1", anvilrow.NewLeave("w1"), 8, "c", false)}
		p.Push(6, addr, rows, 9)
		assertPosted(t, in, anvilcontrol.NewPushed(6, 9, nil))
		if !reflect.DeepEqual(loop.rows, rows) {
			t.Fatalf("received %+v, want %+v", loop.rows, rows)
		}
	})
}

// Guards against connections to replaced instances that are never closed, and against closing a connection that is in
// use.
func TestPool(t *testing.T) {
	clock := anvilclock.NewManual(0)
	p, _ := client(t, WithClock(clock))
	_, releaseUsed, err := p.pool.acquire("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	_, release, err := p.pool.acquire("127.0.0.1:2")
	if err != nil {
		t.Fatal(err)
	}
	release()
	clock.Advance(maxIdle)
	_, release, err = p.pool.acquire("127.0.0.1:3")
	if err != nil {
		t.Fatal(err)
	}
	release()
	if len(p.pool.conns) != 2 || p.pool.conns["127.0.0.1:1"] == nil {
		t.Fatalf("got connections %v, want the one in use and the last one", p.pool.conns)
	}
	releaseUsed()
}
