// Package anvilfault generates the schedule of faults of a randomised run. The schedule depends only on the seed,
// the length of the run and the size of the cell, so that a run can be repeated.
package anvilfault

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// Kind is a kind of fault, as schedules and messages show it.
type Kind string

// The kinds of faults.
const (
	KillEntry    Kind = "kill-entry"    // an entry instance is killed and replaced
	FreezeEntry  Kind = "freeze-entry"  // an entry instance is paused and resumed
	StopEntry    Kind = "stop-entry"    // an entry instance is stopped gracefully and replaced
	KillWorker   Kind = "kill-worker"   // a worker is killed and replaced
	FreezeWorker Kind = "freeze-worker" // a worker is paused and resumed
	LeaveWorker  Kind = "leave-worker"  // a worker is marked as leaving, and the mark is removed
	TableDown    Kind = "table-down"    // the table service does not answer
	TableSlow    Kind = "table-slow"    // the table service answers late
	TableLose    Kind = "table-lose"    // answers of the table service are lost
	CutRegion    Kind = "cut-region"    // the table service does not answer in the second region
	Race         Kind = "race"          // two operators change the same contract
	WithdrawKey  Kind = "withdraw-key"  // a key is withdrawn and restored
	LowerLimit   Kind = "lower-limit"   // a team's limit is lowered and raised
)

// targetKind is the kind of thing that a fault affects. At any time at most one fault affects the same target, because
// two of them could undo each other.
type targetKind int

const (
	entries targetKind = iota
	workers
	teams
	table
	noTarget
	targetKindCount
)

// rule says what a kind of fault affects and the range of its duration.
type rule struct {
	kind    Kind
	target  targetKind
	minSpan anvilclock.Millis
	maxSpan anvilclock.Millis
}

// Faults of keys, limits and leave marks last longer than the 4 s within which a change takes effect
// everywhere, because the audit can judge only what happens after that.
var rules = []rule{
	{KillEntry, entries, 500, 3000},
	{FreezeEntry, entries, 1000, 8000},
	{StopEntry, entries, 3000, 5000},
	{KillWorker, workers, 500, 3000},
	{FreezeWorker, workers, 1000, 12_000},
	{LeaveWorker, workers, 5000, 8000},
	{TableDown, table, 1000, 6000},
	{TableSlow, table, 1000, 3000},
	{TableLose, table, 1000, 3000},
	{CutRegion, table, 2000, 6000},
	{Race, noTarget, 0, 0},
	{WithdrawKey, teams, 4500, 7000},
	{LowerLimit, teams, 5000, 8000},
}

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(rules))
	for _, r := range rules {
		kinds = append(kinds, r.kind)
	}
	return kinds
}

// Fault is a fault of a schedule, with its start, duration and target.
type Fault struct {
	kind    Kind
	at      anvilclock.Millis
	span    anvilclock.Millis
	target  int
	percent int64
}

// Kind returns the kind, which determines what Target and Percent mean.
func (f Fault) Kind() Kind { return f.kind }

// At returns when the fault begins, as the time since the start of the run.
func (f Fault) At() anvilclock.Millis { return f.at }

// Span returns how long the fault lasts. For a killed process it is the time until a replacement starts.
func (f Fault) Span() anvilclock.Millis { return f.span }

// Target returns the index of the affected entry instance, worker or team. It is 0 for faults of the table
// service and for races.
func (f Fault) Target() int { return f.target }

// Percent returns the percentage of answers that are lost during a fault of kind TableLose. Other kinds don't use it.
func (f Fault) Percent() int64 { return f.percent }

// String returns f on one line. Its start is the time since the start of the run.
func (f Fault) String() string {
	return fmt.Sprintf("at=%s kind=%s target=%d span=%s share=%d%%", f.at, f.kind, f.target, f.span, f.percent)
}

// TargetCounts holds how many entry instances, workers and teams a cell has.
type TargetCounts struct {
	counts [targetKindCount]int
}

// NewTargetCounts returns the counts of a cell. A count of 0 excludes the faults that need such a target.
func NewTargetCounts(entryCount, workerCount, teamCount int) TargetCounts {
	var s TargetCounts
	s.counts[entries], s.counts[workers], s.counts[teams] = entryCount, workerCount, teamCount
	s.counts[table], s.counts[noTarget] = 1, 1
	return s
}

const (
	// minFaults is the number of faults of the shortest schedule.
	minFaults = 32
	// meanInterval is the mean time between two faults of a longer schedule, and the time that a target has to
	// recover.
	meanInterval anvilclock.Millis = 1250
	// pairPercent is the percentage of faults that begin at the same time as another one.
	pairPercent = 40
	// faultFreeTime is the time at the start and at the end of a run in which no fault begins.
	faultFreeTime anvilclock.Millis = 1500
	// maxDrawAttempts limits the search for a fault whose target is free.
	maxDrawAttempts = 50
)

// Schedule returns the faults of a seed for a run of the given length, sorted by their start. Every kind occurs
// if a target for it is free.
func Schedule(seed uint64, length anvilclock.Millis, targetCounts TargetCounts) []Fault {
	rng := rand.New(rand.NewPCG(seed, uint64(len(rules))))
	n := max(minFaults, int(length/meanInterval))
	times := startTimes(rng, n, length)
	order := rng.Perm(len(rules))
	g := &generator{rng: rng, targetCounts: targetCounts, length: length, busyUntil: make(map[targetKey]anvilclock.Millis)}
	faults := make([]Fault, 0, n)
	for i, at := range times {
		r := rules[rng.IntN(len(rules))]
		if i < len(order) {
			r = rules[order[i]]
		}
		faults = append(faults, g.draw(r, at))
	}
	return faults
}

// startTimes returns n sorted times, some of them twice.
func startTimes(rng *rand.Rand, n int, length anvilclock.Millis) []anvilclock.Millis {
	usable := max(int64(length-2*faultFreeTime), 1)
	times := make([]anvilclock.Millis, 0, n)
	for len(times) < n {
		at := faultFreeTime + anvilclock.Millis(rng.Int64N(usable))
		times = append(times, at)
		if len(times) < n && rng.IntN(100) < pairPercent/2 {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, cmp.Compare)
	return times
}

type targetKey struct {
	kind  targetKind
	index int
}

type generator struct {
	rng          *rand.Rand
	targetCounts TargetCounts
	length       anvilclock.Millis
	busyUntil    map[targetKey]anvilclock.Millis
}

// draw returns a fault of rule r, or of a random other rule if no target of r is free. If it finds no free target, it
// returns a race, which needs none.
func (g *generator) draw(r rule, at anvilclock.Millis) Fault {
	for range maxDrawAttempts {
		if f, ok := g.tryRule(r, at); ok {
			return f
		}
		r = rules[g.rng.IntN(len(rules))]
	}
	return Fault{kind: Race, at: at}
}

func (g *generator) tryRule(r rule, at anvilclock.Millis) (Fault, bool) {
	n := g.targetCounts.counts[r.target]
	if n == 0 {
		return Fault{}, false
	}
	span := r.minSpan
	if r.maxSpan > r.minSpan {
		span += anvilclock.Millis(g.rng.Int64N(int64(r.maxSpan - r.minSpan)))
	}
	span = max(min(span, g.length-at), 0)
	f := Fault{kind: r.kind, at: at, span: span, percent: 30 + g.rng.Int64N(71)}
	for _, i := range g.rng.Perm(n) {
		if k := (targetKey{r.target, i}); r.target == noTarget || g.busyUntil[k] <= at {
			// A target gets some time to recover before the next fault.
			g.busyUntil[k] = at + span + meanInterval
			f.target = i
			return f, true
		}
	}
	return Fault{}, false
}
