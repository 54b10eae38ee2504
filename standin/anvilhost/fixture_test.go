package anvilhost

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

const (
	shardName                   = "d1.layout.0"
	leaseTime anvilclock.Millis = 8000
)

// failer is the part of testing.T that property tests have too.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fixture is a host of 4 cores with the interfaces that it declares.
type fixture struct {
	t      failer
	host   *Host
	clock  *anvilclock.Manual
	trace  []string
	saves  map[string]string
	loads  []string
	drawn  int
	began  map[string]int
	events []Event
}

func (f *fixture) Save(task, _ string, data []byte, _ anvilclock.Millis) {
	f.saves[task] = string(data)
}
func (f *fixture) Load(task, _ string, _ anvilclock.Millis) { f.loads = append(f.loads, task) }
func (f *fixture) Percent() int                             { return f.drawn }

func (f *fixture) Record(e Event) {
	f.events = append(f.events, e)
	f.trace = append(f.trace, fmt.Sprintf("%s %s %s", e.Kind(), e.Task(), e.State()))
	if e.Kind() == EventStart || e.Kind() == EventGo {
		f.began[e.Task()]++
	}
}

func (f *fixture) Violated(number int, message string, args ...any) {
	f.t.Fatalf("invariant %d: %s %v", number, message, args)
}

func newFixture(t failer, opts ...Option) *fixture {
	t.Helper()
	f := &fixture{t: t, clock: anvilclock.NewManual(1000), saves: map[string]string{}, began: map[string]int{}}
	h, err := New("w1", "boot", anvilsize.New(4000, 4096, 1), f, f, f, append(opts, WithClock(f.clock))...)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	f.host = h
	return f
}

// leased returns a fixture whose shard has epoch 1.
func leased(t failer, opts ...Option) *fixture {
	t.Helper()
	f := newFixture(t, opts...)
	f.fence(1, 0)
	return f
}

func (f *fixture) fence(epoch, cursor int64) Report {
	f.t.Helper()
	r, err := f.host.Fence(shardName, epoch, leaseTime, cursor)
	if err != nil {
		f.t.Fatalf("Fence: %v", err)
	}
	return r
}

// run lets time pass the way the owner's timer does.
func (f *fixture) run(d anvilclock.Millis) {
	for d > 0 {
		next, ok := f.host.Next()
		if !ok || next > d {
			next = d
		}
		f.clock.Advance(next)
		f.host.Tick()
		d -= next
	}
}

// pause lets time pass as for a process that was frozen.
func (f *fixture) pause(d anvilclock.Millis) { f.clock.Advance(d) }

// request collects the replies to a start.
type request struct {
	f       *fixture
	answers []Answer
}

func (f *fixture) start(id, kind string, opts ...OrderOption) *request {
	f.t.Helper()
	return f.startAt(1, id, kind, opts...)
}

func (f *fixture) startAt(epoch int64, id, kind string, opts ...OrderOption) *request {
	f.t.Helper()
	o, err := NewOrder(shardName, epoch, id, kind, append([]OrderOption{WithSize(anvilsize.New(1000, 0, 0))}, opts...)...)
	if err != nil {
		f.t.Fatalf("NewOrder: %v", err)
	}
	r := &request{f: f}
	f.host.Start(o, func(a Answer) { r.answers = append(r.answers, a) })
	return r
}

func (r *request) want(state, code string) {
	r.f.t.Helper()
	if len(r.answers) != 1 || r.answers[0].State() != state || r.answers[0].Code() != code {
		r.f.t.Fatalf("answers = %+v, want one with state %q and code %q", r.answers, state, code)
	}
}

func (r *request) wantBody(head, tail string) {
	r.f.t.Helper()
	body := string(r.answers[0].Body())
	if !strings.HasPrefix(body, head) || !strings.HasSuffix(body, tail) {
		r.f.t.Fatalf("body = %q, want %q ... %q", body, head, tail)
	}
}

func (r *request) wantNone() {
	r.f.t.Helper()
	if len(r.answers) != 0 {
		r.f.t.Fatalf("answers = %+v, want none yet", r.answers)
	}
}

// control sends a control request at epoch 1 and checks the reply.
func (f *fixture) control(id, op string, ok bool, state string) {
	f.t.Helper()
	acks := f.ask(1, id, op)
	if len(acks) != 1 || acks[0].OK() != ok || acks[0].State() != state {
		f.t.Fatalf("%s %s = %+v, want ok=%t state=%q", op, id, acks, ok, state)
	}
}

func (f *fixture) ask(epoch int64, id, op string) []Ack {
	f.t.Helper()
	var acks []Ack
	if err := f.host.Control(shardName, epoch, id, op, 0, func(a Ack) { acks = append(acks, a) }); err != nil {
		f.t.Fatalf("Control: %v", err)
	}
	return acks
}

func wantTasks(f *fixture, r Report, want ...string) {
	f.t.Helper()
	var got []string
	for _, task := range r.Tasks() {
		got = append(got, task.ID()+" "+task.State())
	}
	if !slices.Equal(got, want) {
		f.t.Fatalf("tasks = %v, want %v", got, want)
	}
}

func wantEnded(f *fixture, r Report, want ...string) {
	f.t.Helper()
	var got []string
	for _, e := range r.Ended() {
		got = append(got, strings.TrimSpace(e.ID()+" "+e.State()+" "+e.Code()))
	}
	if !slices.Equal(got, want) {
		f.t.Fatalf("ended = %v, want %v", got, want)
	}
}

func wantTrace(f *fixture, want ...string) {
	f.t.Helper()
	if !slices.Equal(f.trace, want) {
		f.t.Fatalf("trace = %q, want %q", f.trace, want)
	}
}

// text is a body of the stand-in's instructions.
func text(lines ...string) OrderOption { return WithBody([]byte(strings.Join(lines, "\n"))) }

// each runs subtests that have a fresh leased fixture each.
func each(t *testing.T, tests map[string]func(f *fixture)) {
	t.Helper()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(leased(t)) })
	}
}
