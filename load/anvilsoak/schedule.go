package anvilsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"anvilhold.org/standin/anvilplatform"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KillEntry    Kind = "kill-entry"    // an instance is killed and started again
	KillAll      Kind = "kill-all"      // all instances are killed and started again
	StopEntry    Kind = "stop-entry"    // an instance is told to stop, and started again
	PauseEntry   Kind = "pause-entry"   // an instance is paused
	ReloadEntry  Kind = "reload-entry"  // an instance is told that its settings have changed
	CutEntry     Kind = "cut-entry"     // an instance can't reach the store
	MuteEntry    Kind = "mute-entry"    // what an instance sends to the store, or what comes back, is dropped
	DelayEntry   Kind = "delay-entry"   // the link to the store is slow
	ResetEntry   Kind = "reset-entry"   // connections to the store are reset
	KillWorker   Kind = "kill-worker"   // a worker is killed and comes back under its id
	LeaveWorker  Kind = "leave-worker"  // a worker drains and leaves, and another comes
	PauseWorker  Kind = "pause-worker"  // a worker is paused
	CutWorker    Kind = "cut-worker"    // a worker can't be reached
	MuteWorker   Kind = "mute-worker"   // orders to a worker, or its answers, are dropped
	DelayWorker  Kind = "delay-worker"  // the link to a worker is slow
	ResetWorker  Kind = "reset-worker"  // connections to a worker are reset
	StoreTrouble Kind = "store-trouble" // a fault of the store
	Reconfigure  Kind = "reconfigure"   // limits change
	RevokeKey    Kind = "revoke-key"    // a key is taken away and given back
)

var kinds = []Kind{
	KillEntry, KillAll, StopEntry, PauseEntry, ReloadEntry, CutEntry, MuteEntry, DelayEntry, ResetEntry,
	KillWorker, LeaveWorker, PauseWorker, CutWorker, MuteWorker, DelayWorker, ResetWorker, StoreTrouble, Reconfigure, RevokeKey,
}

// Fault is a fault of a schedule.
type Fault struct {
	kind    Kind
	at      time.Duration
	span    time.Duration
	target  int
	variant int
}

// String tells the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("at=%s kind=%s target=%d span=%s variant=%d", f.at, f.kind, f.target, f.span, f.variant)
}

// trouble returns the fault of the store.
func (f Fault) trouble() anvilplatform.FaultKind {
	all := anvilplatform.FaultKinds()
	return all[f.variant%len(all)]
}

const (
	// quietStart is the time before the first fault.
	quietStart = 1500 * time.Millisecond
	// faultEvery is the mean time between two faults; they overlap.
	faultEvery = 700 * time.Millisecond
	// spanLeast and spanMost bound how long a fault lasts.
	spanLeast = 300 * time.Millisecond
	spanMost  = 4500 * time.Millisecond
	// seriesPercent is the share of the faults that come again, soon after.
	seriesPercent = 25
)

// Schedule returns the faults of a seed in order of time. It depends on the seed and the length only.
func Schedule(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, uint64(len(kinds))))
	var out []Fault
	for range max(int((length-quietStart)/faultEvery), 1) {
		f := Fault{
			kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(1 << 16), variant: rng.IntN(1 << 16),
			at:   quietStart + time.Duration(rng.Int64N(int64(length-quietStart))),
			span: spanLeast + time.Duration(rng.Int64N(int64(spanMost-spanLeast))),
		}
		out = append(out, f)
		if rng.IntN(100) < seriesPercent {
			f.at += f.span + time.Duration(rng.Int64N(int64(time.Second)))
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Fault) int { return cmp.Compare(a.at, b.at) })
	return out
}
