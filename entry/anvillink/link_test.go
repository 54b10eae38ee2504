package anvillink

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"anvilhold.org/entry/anvilintake"
	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// patience ends a test that hangs; no result depends on it.
const patience = 10 * time.Second

// advisor approves every worker, or fails.
type advisor struct{ err error }

func (a advisor) Ask(_ context.Context, step string, workers []string) (anvilscheduler.Advice, error) {
	tickets := make([]anvilscheduler.Ticket, 0, len(workers))
	for _, w := range workers {
		tickets = append(tickets, anvilscheduler.NewTicket(w, step+"/"+w))
	}
	return anvilscheduler.NewAdvice(tickets, 1500), a.err
}

type listener struct {
	rows   chan []anvilstorage.Row
	tokens chan int64
}

func (l listener) LeadershipEnded(token int64) { l.tokens <- token }

func (l listener) ReceiveRows(rows []anvilstorage.Row) { l.rows <- rows }
func (listener) StoreReplyAge() anvilclock.Millis      { return 42 }
func (listener) States(after int64) (anvilstorage.Page, error) {
	if after == 0 {
		return anvilstorage.Page{}, errors.New("not read")
	}
	return anvilstorage.NewPage([]anvilstorage.Row{anvilstorage.ReadRow(anvilstorage.States, "j1", []byte("v"), after+1, false)}, after+2, 0), nil
}

// desk answers with what it was asked.
type desk struct{}

func (desk) Decide(_ context.Context, kind anvilintake.Kind, c anvilintake.Call, spec *anviljob.Spec) anvilintake.Reply {
	text := string(kind) + " " + c.Host() + c.Path() + " " + c.Key()
	if spec != nil {
		text += " " + spec.Payload()
	}
	return anvilintake.RestoreReply(anvilintake.Refused, text, anviljob.Running, 700)
}

// serve starts an instance and returns its address.
func serve(t *testing.T, a Advisor, l Listener) string {
	t.Helper()
	addr, _ := serveUntil(t, a, l)
	return addr
}

// serveUntil also returns what ends the instance.
func serveUntil(t *testing.T, a Advisor, l Listener) (string, func()) {
	t.Helper()
	in, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	on := NewLinks(advisor{})
	t.Cleanup(on.Close)
	s := NewServer(a, l, desk{}, on)
	go func() { _ = s.Serve(in) }()
	t.Cleanup(s.Stop)
	return in.Addr().String(), s.Stop
}

func links(t *testing.T) (*Links, context.Context) {
	t.Helper()
	l := NewLinks(advisor{})
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return l, ctx
}

func assertTickets(t *testing.T, got anvilscheduler.Advice, err error) {
	t.Helper()
	if err != nil || len(got.Tickets()) != 2 || got.Tickets()[1].Text() != "s/w2" || got.Validity() != 1500 {
		t.Fatalf("%+v, %v", got, err)
	}
}

func TestAsk(t *testing.T) {
	t.Run("through another instance and directly", func(t *testing.T) {
		// Guards against tickets or their validity that are lost on the way.
		l, ctx := links(t)
		addr := serve(t, advisor{}, listener{})
		for _, to := range []string{addr, ""} {
			advice, err := l.Ask(ctx, to, "s", []string{"w1", "w2"})
			assertTickets(t, advice, err)
		}
	})
	t.Run("a failure of the advisor is a failure", func(t *testing.T) {
		// Guards against an advisor that does not answer and is taken to approve nobody.
		l, ctx := links(t)
		addr := serve(t, advisor{err: errors.New("no answer")}, listener{})
		if _, err := l.Ask(ctx, addr, "s", []string{"w1"}); err == nil {
			t.Fatal("no error")
		}
	})
}

// receive returns what comes over a channel.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	var v T
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing was heard")
	}
	return v
}

func assertHeard(t *testing.T, l listener) {
	t.Helper()
	rows := receive(t, l.rows)
	if len(rows) != 1 || rows[0].Key() != "j1" || rows[0].Version() != 7 || string(rows[0].Value()) != "v" {
		t.Fatalf("%+v", rows)
	}
}

func TestTell(t *testing.T) {
	t.Run("rows arrive as they were stored", func(t *testing.T) {
		// Guards against announcements that name other versions than the store.
		l, _ := links(t)
		heard := listener{rows: make(chan []anvilstorage.Row, 1)}
		l.Notify(serve(t, advisor{}, heard), nil, anvilstorage.ReadRow(anvilstorage.States, "j1", []byte("v"), 7, false))
		assertHeard(t, heard)
	})
	t.Run("rows are passed on to the relays", func(t *testing.T) {
		// Guards against instances of a failure domain that hear nothing because only one of them is told.
		l, _ := links(t)
		first := listener{rows: make(chan []anvilstorage.Row, 1)}
		second := listener{rows: make(chan []anvilstorage.Row, 1)}
		l.Notify(serve(t, advisor{}, first), []string{serve(t, advisor{}, second)}, anvilstorage.ReadRow(anvilstorage.States, "j1", []byte("v"), 7, false))
		assertHeard(t, first)
		assertHeard(t, second)
	})
	t.Run("never waits for an instance that is gone", func(t *testing.T) {
		// Guards against a leader that stands still because an instance does not listen.
		l, _ := links(t)
		begin := time.Now()
		for range 10 * tellsMost {
			l.Notify("127.0.0.1:1", nil, anvilstorage.NewRow(anvilstorage.States, "j1", nil))
		}
		if time.Since(begin) > patience {
			t.Fatal("the announcements waited")
		}
	})
}

func TestReach(t *testing.T) {
	t.Run("tells the age of the last answer", func(t *testing.T) {
		// Guards against an instance that takes an outage for a cut of its own, or the other way round.
		l, ctx := links(t)
		if age, err := l.StoreReplyAge(ctx, serve(t, advisor{}, listener{})); err != nil || age != 42 {
			t.Fatalf("%d, %v", age, err)
		}
	})
}

func TestPass(t *testing.T) {
	spec, err := anviljob.NewSpec("payload", []anviljob.Step{anviljob.NewStep(1, anvilsize.New(1, 1, 0))}, anviljob.Repeat{})
	if err != nil {
		t.Fatal(err)
	}
	l, ctx := links(t)
	addr := serve(t, advisor{}, listener{})
	for kind, want := range map[anvilintake.Kind]string{
		anvilintake.KindSubmit: "submit h/p/id key payload", anvilintake.KindCancel: "cancel h/p/id key",
	} {
		t.Run(string(kind), func(t *testing.T) {
			// Guards against a call or an answer that changes between two instances.
			of := spec
			if kind != anvilintake.KindSubmit {
				of = nil
			}
			got, err := l.Forward(ctx, addr, kind, anvilintake.NewCall("h", "/p/id", "key"), of)
			if err != nil || got.Result() != anvilintake.Refused || got.Reason() != want || got.State() != anviljob.Running || got.Retry() != 700 {
				t.Fatalf("%+v, %v", got, err)
			}
		})
	}
}

func TestStates(t *testing.T) {
	l, ctx := links(t)
	addr := serve(t, advisor{}, listener{})
	t.Run("rows and versions arrive", func(t *testing.T) {
		// Guards against states that look older or newer than they are.
		page, err := l.States(ctx, addr, 7)
		if err != nil || page.Version() != 9 || len(page.Rows()) != 1 || page.Rows()[0].Version() != 8 || page.Rows()[0].Key() != "j1" {
			t.Fatalf("%+v, %v", page, err)
		}
	})
	t.Run("a neighbor that has read nothing says so", func(t *testing.T) {
		// Guards against instances that believe that there are no jobs.
		if _, err := l.States(ctx, addr, 0); err == nil {
			t.Fatal("no error")
		}
	})
}

func TestYield(t *testing.T) {
	// Guards against a leader that is partitioned and whose successors wait for its row to stand still.
	l, _ := links(t)
	heard := listener{tokens: make(chan int64, 1)}
	l.NotifyLeadershipEnded(serve(t, advisor{}, heard), 7)
	if token := receive(t, heard.tokens); token != 7 {
		t.Fatalf("token %d", token)
	}
}

func TestAttend(t *testing.T) {
	t.Run("ends when the process is gone", func(t *testing.T) {
		// Guards against a fleet that stands still for a second after its leader has died.
		l, ctx := links(t)
		addr, stop := serveUntil(t, advisor{}, listener{})
		if _, err := l.StoreReplyAge(ctx, addr); err != nil {
			t.Fatal(err)
		}
		gone := make(chan error, 1)
		go func() { gone <- l.AwaitExit(ctx, addr) }()
		stop()
		if err := <-gone; err != nil {
			t.Fatal(err)
		}
	})
	t.Run("goes on while the process is there", func(t *testing.T) {
		// Guards against a leadership that is taken from a living leader.
		l, _ := links(t)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if err := l.AwaitExit(ctx, serve(t, advisor{}, listener{})); err == nil {
			t.Fatal("the process seems to be gone")
		}
	})
}
