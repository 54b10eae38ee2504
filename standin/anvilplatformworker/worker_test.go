package anvilplatformworker

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// log keeps the trace.
type log struct{ lines []string }

func (l *log) Trace(e Event) {
	l.lines = append(l.lines, fmt.Sprintf("%s %s %d %s", e.Kind(), e.Task(), e.Run(), e.Cause()))
}

// joins counts the members of gangs.
type joins struct{ n int }

func (j *joins) Join(anviljob.TaskID, int, int) { j.n++ }

type bench struct {
	worker *Worker
	clock  *anvilclock.Manual
	log    *log
	joins  *joins
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{clock: anvilclock.NewManual(1000), log: &log{}, joins: &joins{}}
	var err error
	if b.worker, err = New("w1", anvilsize.New(4000, 8192, 0), b.clock, b.log, b.joins); err != nil {
		t.Fatal(err)
	}
	return b
}

func task(index int) anviljob.TaskID { return anviljob.NewTaskID("j1", 0, 0, index) }

func payload(t *testing.T, opts ...PartOption) string {
	t.Helper()
	text, err := Payload(NewPart(anvilsize.New(2000, 1024, 0), 500, opts...))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func (b *bench) start(t *testing.T, index, run int, token int64, opts ...PartOption) Refusal {
	t.Helper()
	return b.worker.Start(NewStartOrder(task(index), run, payload(t, opts...), b.clock.Now()+5000, token, ""))
}

func (b *bench) pass(d anvilclock.Millis) {
	b.clock.Advance(d)
	b.worker.Tick()
}

func assertRefusal(t *testing.T, got, want Refusal) {
	t.Helper()
	if got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func assertEnds(t *testing.T, b *bench, want ...string) {
	t.Helper()
	var got []string
	for _, e := range b.worker.ends {
		got = append(got, e.Cause())
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("ends %v, want %v", got, want)
	}
}

func TestOrders(t *testing.T) {
	t.Run("an older token does nothing", func(t *testing.T) {
		// Guards against a stand-in that lets a former leader start work.
		b := newBench(t)
		assertRefusal(t, b.start(t, 0, 1, 7), None)
		assertRefusal(t, b.start(t, 1, 1, 6), Fenced)
	})
	t.Run("a run starts once", func(t *testing.T) {
		// Guards against work that is doubled by an order that is sent again.
		b := newBench(t)
		assertRefusal(t, b.start(t, 0, 1, 1), None)
		assertRefusal(t, b.start(t, 0, 1, 1), None)
		b.pass(600)
		assertRefusal(t, b.start(t, 0, 1, 1), Old)
		assertEnds(t, b, "done")
	})
	t.Run("a stop comes before its start", func(t *testing.T) {
		// Guards against a run that begins after it was stopped.
		b := newBench(t)
		assertRefusal(t, b.worker.Stop(task(0), 2, 1), None)
		assertRefusal(t, b.start(t, 0, 2, 1), Old)
		assertRefusal(t, b.start(t, 0, 3, 1), None)
	})
	t.Run("more than the room is told", func(t *testing.T) {
		// Guards against a scheduler that overcommits unseen.
		b := newBench(t)
		for i := range 3 {
			assertRefusal(t, b.start(t, i, 1, 1), None)
		}
		if last := b.log.lines[len(b.log.lines)-1]; last[:4] != string(Overcommitted) {
			t.Fatalf("the trace ends with %q", last)
		}
	})
}

func TestLease(t *testing.T) {
	t.Run("what is not held lapses, also what was due meanwhile", func(t *testing.T) {
		// Guards against a paused worker that says its work was done after others have taken it over.
		b := newBench(t)
		b.start(t, 0, 1, 1)
		b.pass(6000)
		assertEnds(t, b, "lapsed")
	})
	t.Run("ends are listed until they are noted", func(t *testing.T) {
		// Guards against an end that a successor never hears of.
		b := newBench(t)
		b.start(t, 0, 1, 1)
		b.pass(600)
		reply := make(chan Report, 1)
		b.worker.Hold(1, 0, 0, 1000, reply)
		if r := <-reply; len(r.RunEnds()) != 1 {
			t.Fatalf("%d ends", len(r.RunEnds()))
		}
		b.worker.Hold(1, 1, 0, 0, reply)
		if r := <-reply; len(r.RunEnds()) != 0 {
			t.Fatalf("%d ends after they were noted", len(r.RunEnds()))
		}
	})
}

func TestGang(t *testing.T) {
	t.Run("a member waits for the others and gives up alone", func(t *testing.T) {
		// Guards against a gang that works without a member.
		b := newBench(t)
		b.start(t, 0, 1, 1, WithGang(2))
		b.pass(1000)
		assertEnds(t, b)
		b.pass(aloneAfter)
		assertEnds(t, b, "alone")
	})
	t.Run("work begins when all are present", func(t *testing.T) {
		// Guards against members that end apart.
		b := newBench(t)
		b.start(t, 0, 1, 1, WithGang(2))
		b.worker.Present(task(0), 1, 30)
		b.pass(520)
		assertEnds(t, b)
		b.pass(20)
		assertEnds(t, b, "done")
	})
	t.Run("a report that waits shows all members as ended", func(t *testing.T) {
		// Guards against a report, made at the first end, that shows the other members as running.
		b := newBench(t)
		b.start(t, 0, 1, 1, WithGang(2))
		b.start(t, 1, 1, 1, WithGang(2))
		b.worker.Present(task(0), 1, 30)
		reply := make(chan Report, 1)
		b.worker.Hold(1, 0, 0, 2000, reply)
		b.pass(600)
		if r := <-reply; len(r.Active()) != 0 || len(r.RunEnds()) != 2 {
			t.Fatalf("%d active, %d ends", len(r.Active()), len(r.RunEnds()))
		}
	})
	t.Run("members end together though their clocks differ by milliseconds", func(t *testing.T) {
		// Guards against room that seems taken, or a member that is stopped, after another one's end was listed.
		b := newBench(t)
		b.start(t, 0, 1, 1, WithGang(2))
		b.start(t, 1, 1, 1, WithGang(2))
		b.worker.Present(task(0), 1, 30)
		b.pass(515)
		assertEnds(t, b)
		if used := b.worker.used(); !used.IsZero() {
			t.Fatalf("%s is in use", used)
		}
		assertRefusal(t, b.worker.Stop(task(1), 1, 1), None)
		b.pass(15)
		assertEnds(t, b, "done", "done")
	})
}
