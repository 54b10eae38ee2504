// Package anvilrecord keeps the record by which one owner starts a non-idempotent request at most once:
// the ids that were started, and how the requests ended.
//
// The record of a shard is lost with its owner. The next owner rebuilds it from the task lists of the
// shard's workers (Adopt). When a list is incomplete, because a worker could not be read or has
// restarted within the retention time, the owner calls AddGap, and the outcome of ids that the list could
// have held is unknown until the retention time has passed.
package anvilrecord

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

// Defaults of WithRetention, WithSkew and WithBound.
const (
	DefaultRetention anvilclock.Millis = 600_000
	DefaultSkew      anvilclock.Millis = 5_000
	DefaultBound                       = 200_000
)

// Kind says whether a request may start and, if not, why.
type Kind string

// The kinds of a verdict.
const (
	Fresh          Kind = "fresh"    // never started; now recorded as pending
	Pending        Kind = "pending"  // the first request with the id is in progress
	Ended          Kind = "ended"    // the first request has ended
	OutcomeUnknown Kind = "doubtful" // the first request may have run
	Expired        Kind = "expired"  // the id is so old that the record of it may have been removed
	Early          Kind = "early"    // the id's time is too far in the future
	Full           Kind = "full"     // the record is at its bound; nothing was recorded
)

// Verdict is the result of Admit.
type Verdict struct {
	kind    Kind
	outcome anvilerror.Outcome
	code    anvilerror.Code
	answer  []byte
}

// Kind returns whether the request may start; only Fresh allows it.
func (v Verdict) Kind() Kind { return v.kind }

// Outcome returns how the first request ended. It is set when the kind is Ended, and Unknown or empty
// otherwise.
func (v Verdict) Outcome() anvilerror.Outcome { return v.outcome }

// Code returns the reason code with which the first request ended; empty when it succeeded or when no
// end is recorded.
func (v Verdict) Code() anvilerror.Code { return v.code }

// Answer returns the response of the first request; nil unless the kind is Ended. The slice must not
// be changed.
func (v Verdict) Answer() []byte { return v.answer }

type entry struct {
	verdict   Verdict
	shard     string
	keepUntil anvilclock.Millis // Unix time until which the entry is kept
}

type gap struct {
	until     anvilclock.Millis
	keepUntil anvilclock.Millis
}

// Record holds the ids of one owner's shards. It is not safe for concurrent use.
type Record struct {
	retention anvilclock.Millis
	skew      anvilclock.Millis
	bound     int
	entries   map[string]*entry
	gaps      map[string]gap
}

// Option configures a Record.
type Option func(*Record)

// WithRetention sets how long an id is kept after the request's end.
func WithRetention(d anvilclock.Millis) Option { return func(r *Record) { r.retention = d } }

// WithSkew sets the largest difference between two clocks of the fleet.
func WithSkew(d anvilclock.Millis) Option { return func(r *Record) { r.skew = d } }

// WithBound sets the number of ids at which Admit accepts no new one. Adopt may exceed it.
func WithBound(n int) Option { return func(r *Record) { r.bound = n } }

// New returns an empty record.
func New(opts ...Option) *Record {
	r := &Record{
		retention: DefaultRetention, skew: DefaultSkew, bound: DefaultBound,
		entries: map[string]*entry{}, gaps: map[string]gap{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Len returns the number of recorded ids.
func (r *Record) Len() int { return len(r.entries) }

// Admit decides whether the request with an id may start. at is the Unix time in the id, shard its home
// shard. A Fresh id is recorded as pending.
//
// An unrecorded id is Expired two skews before the retention time has passed. A worker keeps an ended
// task for the retention time after its end, but the end may lie one skew before the id's time, when the
// clock that made the id was ahead, and the clock of a new owner may be another skew behind.
func (r *Record) Admit(id string, at anvilclock.Millis, shard string, now anvilclock.Millis) Verdict {
	if e, ok := r.entries[id]; ok {
		return e.verdict
	}
	switch {
	case at > now+r.skew:
		return Verdict{kind: Early}
	case at+r.retention-2*r.skew <= now:
		return Verdict{kind: Expired}
	}
	if g, ok := r.gaps[shard]; ok && at <= g.until {
		return Verdict{kind: OutcomeUnknown}
	}
	if len(r.entries) >= r.bound {
		return Verdict{kind: Full}
	}
	r.entries[id] = &entry{verdict: Verdict{kind: Pending}, shard: shard, keepUntil: at + r.retention}
	return Verdict{kind: Fresh}
}

// Finish records the end of a pending request. Outcome NotRun makes the id fresh again; with Unknown its
// kind becomes OutcomeUnknown, which a later Finish may still change. An ended or unrecorded id stays
// unchanged. It keeps the slice answer.
func (r *Record) Finish(id string, outcome anvilerror.Outcome, code anvilerror.Code, answer []byte, now anvilclock.Millis) {
	e, ok := r.entries[id]
	if !ok || e.verdict.kind == Ended {
		return
	}
	e.keepUntil = max(e.keepUntil, now+r.retention)
	switch outcome {
	case anvilerror.NotRun:
		delete(r.entries, id)
	case anvilerror.Unknown:
		e.verdict = Verdict{kind: OutcomeUnknown, outcome: outcome, code: code}
	default:
		e.verdict = Verdict{kind: Ended, outcome: outcome, code: code, answer: answer}
	}
}

// State is the state of a task in a worker's task list.
type State string

// The states that Adopt knows; any other counts as Lost.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Stopped State = "stopped"
	NotRun  State = "not-run"
	Lost    State = "unknown"
)

// Adopt records an id from the task list of a worker of a shard that was taken over. It may exceed the
// bound, because an id that is not recorded could start again.
func (r *Record) Adopt(shard, id string, state State, answer []byte, now anvilclock.Millis) {
	v := Verdict{kind: OutcomeUnknown, outcome: anvilerror.Unknown, code: anvilerror.Lost}
	switch state {
	case NotRun:
		return
	case Running:
		v = Verdict{kind: Pending}
	case Done:
		v = Verdict{kind: Ended, outcome: anvilerror.Done, answer: answer}
	case Failed:
		v = Verdict{kind: Ended, outcome: anvilerror.Done, code: anvilerror.Failed, answer: answer}
	case Stopped:
		v = Verdict{kind: Ended, outcome: anvilerror.Unknown, code: anvilerror.Cancelled}
	case Lost:
	}
	if old, ok := r.entries[id]; ok && old.verdict.kind == Ended {
		return
	}
	r.entries[id] = &entry{verdict: v, shard: shard, keepUntil: now + r.retention + r.skew}
}

// AddGap records that not all workers of a shard could be read: an unrecorded id of the shard whose time is
// not after until may have run. until is the takeover's Unix time plus the skew that Admit accepts.
// Another skew is added here, because the clock of the former owner, which admitted the ids, may have
// been ahead of this one.
func (r *Record) AddGap(shard string, until anvilclock.Millis) {
	until += r.skew
	g := r.gaps[shard]
	r.gaps[shard] = gap{until: max(g.until, until), keepUntil: max(g.keepUntil, until+r.retention)}
}

// Forget removes the ids and the gap of a shard that this instance no longer owns.
func (r *Record) Forget(shard string) {
	for id, e := range r.entries {
		if e.shard == shard {
			delete(r.entries, id)
		}
	}
	delete(r.gaps, shard)
}

// Expire removes ids and gaps that have been kept for the retention time. Pending ids stay.
func (r *Record) Expire(now anvilclock.Millis) {
	for id, e := range r.entries {
		if e.verdict.kind != Pending && e.keepUntil <= now {
			delete(r.entries, id)
		}
	}
	for shard, g := range r.gaps {
		if g.keepUntil <= now {
			delete(r.gaps, shard)
		}
	}
}
