package anvilagent

import (
	"bytes"
	"errors"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilhost"
)

// noopDeps is an object store that never replies and an alarm that fails the test.
type noopDeps struct{ t *testing.T }

func (noopDeps) Save(string, string, []byte, anvilclock.Millis) {}
func (noopDeps) Load(string, string, anvilclock.Millis)         {}
func (d noopDeps) Violated(number int, message string, _ ...any) {
	d.t.Errorf("invariant %d: %s", number, message)
}

// fullDisk is a writer whose writes fail as on a full disk.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errors.New("no space left") }

func wantText(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Fatalf("trace =\n%s\nwant\n%s", got, want)
	}
}

// Guards against a changed line format, which the programs that check traces depend on, and against a write that fails
// without a report.
func TestTrace(t *testing.T) {
	size := anvilsize.New(64000, 131072, 0)
	t.Run("lines", func(t *testing.T) {
		var out bytes.Buffer
		trace := NewTrace(&out, "w1", "b1", func(err error) { t.Errorf("write failed: %v", err) })
		trace.Boot(7, size)
		deps := noopDeps{t: t}
		host, err := anvilhost.New("w1", "b1", size, deps, trace, deps, anvilhost.WithClock(anvilclock.NewManual(9)))
		if err != nil {
			t.Fatal(err)
		}
		req, err := anvilhost.NewStartRequest("s", 2, "a", "call",
			anvilhost.WithTeamAndJob("red", "j"), anvilhost.WithSize(size), anvilhost.WithNonIdempotent(true))
		if err != nil {
			t.Fatal(err)
		}
		host.Start(req, func(anvilhost.StartReply) {})
		wantText(t, out.String(), `{"at":7,"kind":"boot","worker":"w1","boot":"b1","size":"64000m,131072,0"}
{"at":9,"kind":"refuse","task":"a","job":"j","team":"red","size":"64000m,131072,0","worker":"w1","boot":"b1","epoch":2,"shard":"s","once":true,"state":"not-run","code":"stale","call":true}
`)
	})
	t.Run("failed write", func(t *testing.T) {
		var failed error
		NewTrace(fullDisk{}, "w1", "b1", func(err error) { failed = err }).Boot(7, size)
		if failed == nil {
			t.Fatal("a failed write was not reported")
		}
	})
}
