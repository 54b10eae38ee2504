package anvilsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"anvilhold.org/standin/anvilplatform"
)

// Kind is a kind of fault, as schedules and error messages show it.
type Kind string

// The kinds of faults.
const (
	KillEntry   Kind = "kill-entry"    // an instance is killed and restarted
	KillAll     Kind = "kill-all"      // all instances are killed and restarted
	StopEntry   Kind = "stop-entry"    // an instance is stopped gracefully and restarted
	PauseEntry  Kind = "pause-entry"   // an instance is paused and resumed
	ReloadEntry Kind = "reload-entry"  // an instance is sent a signal to reload its settings
	CutEntry    Kind = "cut-entry"     // an instance can't reach the store
	MuteEntry   Kind = "mute-entry"    // requests of an instance to the store, or the replies, are dropped
	DelayEntry  Kind = "delay-entry"   // the connection to the store is slow
	ResetEntry  Kind = "reset-entry"   // connections to the store are reset
	KillWorker  Kind = "kill-worker"   // a worker is killed and restarted under its id
	LeaveWorker Kind = "leave-worker"  // a worker drains and leaves, and one with a new id replaces it
	PauseWorker Kind = "pause-worker"  // a worker is paused and resumed
	CutWorker   Kind = "cut-worker"    // a worker can't be reached
	MuteWorker  Kind = "mute-worker"   // requests to a worker, or its replies, are dropped
	DelayWorker Kind = "delay-worker"  // the connection to a worker is slow
	ResetWorker Kind = "reset-worker"  // connections to a worker are reset
	StoreFault  Kind = "store-trouble" // a fault of the store
	Reconfigure Kind = "reconfigure"   // the limit of a team changes
	RevokeKey   Kind = "revoke-key"    // a key is revoked and restored
)

var kinds = []Kind{
	KillEntry, KillAll, StopEntry, PauseEntry, ReloadEntry, CutEntry, MuteEntry, DelayEntry, ResetEntry,
	KillWorker, LeaveWorker, PauseWorker, CutWorker, MuteWorker, DelayWorker, ResetWorker, StoreFault, Reconfigure, RevokeKey,
}

// Fault is a fault of a schedule. target modulo the number of instances, workers or teams is the index of the
// affected one; variant selects among the variants of the kind.
type Fault struct {
	kind    Kind
	at      time.Duration
	span    time.Duration
	target  int
	variant int
}

// String returns the fault on one line. Its start is the time since the start of the load.
func (f Fault) String() string {
	return fmt.Sprintf("at=%s kind=%s target=%d span=%s variant=%d", f.at, f.kind, f.target, f.span, f.variant)
}

// storeFault returns the kind of store fault that the variant selects.
func (f Fault) storeFault() anvilplatform.FaultKind {
	all := anvilplatform.FaultKinds()
	return all[f.variant%len(all)]
}

const (
	// firstFaultDelay is the time at the start of a run in which no fault begins.
	firstFaultDelay = 1500 * time.Millisecond
	// meanFaultInterval is the mean time between the starts of two faults. Most faults last longer, so that they
	// overlap.
	meanFaultInterval = 700 * time.Millisecond
	// minSpan and maxSpan limit how long a fault lasts.
	minSpan = 300 * time.Millisecond
	maxSpan = 4500 * time.Millisecond
	// repeatPercent is the percentage of faults that are injected a second time within a second after their
	// end.
	repeatPercent = 25
)

// Schedule returns the faults of a seed, sorted by their start. They depend on the seed and the length only.
func Schedule(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, uint64(len(kinds))))
	var out []Fault
	for range max(int((length-firstFaultDelay)/meanFaultInterval), 1) {
		f := Fault{
			kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(1 << 16), variant: rng.IntN(1 << 16),
			at:   firstFaultDelay + time.Duration(rng.Int64N(int64(length-firstFaultDelay))),
			span: minSpan + time.Duration(rng.Int64N(int64(maxSpan-minSpan))),
		}
		out = append(out, f)
		if rng.IntN(100) < repeatPercent {
			f.at += f.span + time.Duration(rng.Int64N(int64(time.Second)))
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Fault) int { return cmp.Compare(a.at, b.at) })
	return out
}
