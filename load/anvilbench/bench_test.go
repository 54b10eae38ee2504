package anvilbench

import (
	"bytes"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
)

const testHorizon = anvilclock.Millis(15_000)

func rowsOf(s loadSpec, p policy, failing bool) string {
	var out bytes.Buffer
	l := s.build(1, testHorizon, failing)
	r := &result{load: l.name, policy: p, stats: newTrial(l, p, 1).simulate()}
	r.print(&rowWriter{w: &out})
	return out.String()
}

func assertSame(t *testing.T, a, b string) {
	t.Helper()
	if a != b {
		t.Errorf("two runs differ:\n%s\n%s", a, b)
	}
}

// Guards against results that depend on map order, and against a policy that overcommits workers.
func TestTrialsAreDeterministic(t *testing.T) {
	for _, s := range loadSpecs() {
		for _, p := range policies() {
			t.Run(s.name+" "+p.name, func(t *testing.T) {
				rows := rowsOf(s, p, true)
				assertSame(t, rows, rowsOf(s, p, true))
				if !strings.Contains(rows, "overcommitted."+s.name+".failing "+p.name+" 0.000") {
					t.Errorf("workers were overcommitted:\n%s", rows)
				}
			})
		}
	}
}

// Guards against refused attempts in the design in which only the owner of a worker places on it.
func TestOwnersDoNotCollide(t *testing.T) {
	f := newSharedFleet(1)
	f.simulate("batch", 90, f.placeByOwner)
	if f.attempts == 0 || f.refused > 0 {
		t.Errorf("%d of %d attempts refused", f.refused, f.attempts)
	}
}
