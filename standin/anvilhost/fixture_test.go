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

// testingT is the part of testing.T that rapid.T has too.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fixture is a host of 4 cores and implements the interfaces that the host calls.
type fixture struct {
	t          testingT
	host       *Host
	clock      *anvilclock.Manual
	trace      []string
	saves      map[string]string
	loads      []string
	percent    int
	startCount map[string]int
	events     []Event
}

func (f *fixture) Save(task, _ string, data []byte, _ anvilclock.Millis) {
	f.saves[task] = string(data)
}
func (f *fixture) Load(task, _ string, _ anvilclock.Millis) { f.loads = append(f.loads, task) }
func (f *fixture) Percent() int                             { return f.percent }

func (f *fixture) Record(e Event) {
	f.events = append(f.events, e)
	f.trace = append(f.trace, fmt.Sprintf("%s %s %s", e.Kind(), e.Task(), e.State()))
	if e.Kind() == EventStart || e.Kind() == EventGo {
		f.startCount[e.Task()]++
	}
}

func (f *fixture) Violated(number int, message string, args ...any) {
	f.t.Fatalf("invariant %d: %s %v", number, message, args)
}

func newFixture(t testingT, opts ...Option) *fixture {
	t.Helper()
	f := &fixture{t: t, clock: anvilclock.NewManual(1000), saves: map[string]string{}, startCount: map[string]int{}}
	h, err := New("w1", "boot", anvilsize.New(4000, 4096, 1), f, f, f, append(opts, WithClock(f.clock))...)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	f.host = h
	return f
}

// newLeasedFixture returns a fixture whose shard has epoch 1 and a valid lease.
func newLeasedFixture(t testingT, opts ...Option) *fixture {
	t.Helper()
	f := newFixture(t, opts...)
	f.fence(1, 0)
	return f
}

func (f *fixture) fence(epoch, cursor int64) FenceReply {
	f.t.Helper()
	r, err := f.host.Fence(shardName, epoch, leaseTime, cursor)
	if err != nil {
		f.t.Fatalf("Fence: %v", err)
	}
	return r
}

// advance moves the clock by d and calls Tick whenever Next says that it is due.
func (f *fixture) advance(d anvilclock.Millis) {
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

// pause moves the clock by d without a Tick, as when the process was paused.
func (f *fixture) pause(d anvilclock.Millis) { f.clock.Advance(d) }

// startReplies collects the replies to a start request.
type startReplies struct {
	f       *fixture
	replies []StartReply
}

func (f *fixture) start(id, kind string, opts ...StartOption) *startReplies {
	f.t.Helper()
	return f.startAt(1, id, kind, opts...)
}

func (f *fixture) startAt(epoch int64, id, kind string, opts ...StartOption) *startReplies {
	f.t.Helper()
	req, err := NewStartRequest(shardName, epoch, id, kind, append([]StartOption{WithSize(anvilsize.New(1000, 0, 0))}, opts...)...)
	if err != nil {
		f.t.Fatalf("NewStartRequest: %v", err)
	}
	r := &startReplies{f: f}
	f.host.Start(req, func(a StartReply) { r.replies = append(r.replies, a) })
	return r
}

func (r *startReplies) wantReply(state, code string) {
	r.f.t.Helper()
	if len(r.replies) != 1 || r.replies[0].State() != state || r.replies[0].Code() != code {
		r.f.t.Fatalf("replies = %+v, want one with state %q and code %q", r.replies, state, code)
	}
}

func (r *startReplies) wantBody(prefix, suffix string) {
	r.f.t.Helper()
	body := string(r.replies[0].Body())
	if !strings.HasPrefix(body, prefix) || !strings.HasSuffix(body, suffix) {
		r.f.t.Fatalf("body = %q, want %q ... %q", body, prefix, suffix)
	}
}

func (r *startReplies) wantNoReply() {
	r.f.t.Helper()
	if len(r.replies) != 0 {
		r.f.t.Fatalf("replies = %+v, want none so far", r.replies)
	}
}

// mustControl sends a control request at epoch 1 and checks the reply.
func (f *fixture) mustControl(id, op string, ok bool, state string) {
	f.t.Helper()
	replies := f.sendControl(1, id, op)
	if len(replies) != 1 || replies[0].OK() != ok || replies[0].State() != state {
		f.t.Fatalf("%s %s = %+v, want ok=%t state=%q", op, id, replies, ok, state)
	}
}

func (f *fixture) sendControl(epoch int64, id, op string) []ControlReply {
	f.t.Helper()
	var replies []ControlReply
	if err := f.host.Control(shardName, epoch, id, op, 0, func(r ControlReply) { replies = append(replies, r) }); err != nil {
		f.t.Fatalf("Control: %v", err)
	}
	return replies
}

func wantTasks(f *fixture, r FenceReply, want ...string) {
	f.t.Helper()
	var got []string
	for _, task := range r.Tasks() {
		got = append(got, task.ID()+" "+task.State())
	}
	if !slices.Equal(got, want) {
		f.t.Fatalf("tasks = %v, want %v", got, want)
	}
}

func wantEnded(f *fixture, r FenceReply, want ...string) {
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

// withInstructions sets a body with the given instructions to the stand-in, one a line.
func withInstructions(lines ...string) StartOption {
	return WithBody([]byte(strings.Join(lines, "\n")))
}

// runEach runs each function as a subtest with a new leased fixture.
func runEach(t *testing.T, tests map[string]func(f *fixture)) {
	t.Helper()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(newLeasedFixture(t)) })
	}
}
