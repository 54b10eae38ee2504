// Package anvilaudit checks what a cell did against what anvilhold promises. It is a pure function
// of the workers' traces, the callers' records and the harness's own log of kills, freezes and
// accepted changes. All times are Unix milliseconds of one machine.
package anvilaudit

import (
	"fmt"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Rule names a promise that a violation breaks.
type Rule string

// The rules.
const (
	Overcommitted Rule = "overcommitted" // a worker had more than its size
	Doubled       Rule = "doubled"       // a task ran in two places, or a non-idempotent one twice
	Overlimit     Rule = "overlimit"     // a team had more than its contract's limit
	Lost          Rule = "lost"          // no outcome, a false one, or one of another request
	Stale         Rule = "stale"         // a withdrawn key still worked
	Leaving       Rule = "leaving"       // a leaving worker received work
	Reverted      Rule = "reverted"      // the configuration went back, or two operators both won
	Interrupted   Rule = "interrupted"   // a graceful stop broke a request
	Exited        Rule = "exited"        // a process stopped by itself
)

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{Overcommitted, Doubled, Overlimit, Lost, Stale, Leaving, Reverted, Interrupted, Exited}
}

const (
	// propagation is the time in which an accepted change is in effect everywhere.
	propagation anvilclock.Millis = 4000
	// order is the ambiguity of the order of two events in traces of different processes: each
	// rounds to whole milliseconds and takes the time just before or after the fact.
	order anvilclock.Millis = 2
	// thaw is the time after which a resumed worker must have ended tasks whose lease ran out
	// while it was frozen. It only covers the scheduling delay of the resumed process.
	thaw anvilclock.Millis = 250
	// never is later than every event.
	never anvilclock.Millis = 1 << 62
)

// Span is a length of time; a zero end means that it lasts.
type Span struct {
	from anvilclock.Millis
	to   anvilclock.Millis
}

// NewSpan returns the span from one time to another.
func NewSpan(from, to anvilclock.Millis) Span { return Span{from: from, to: to} }

func (s Span) end() anvilclock.Millis {
	if s.to == 0 {
		return never
	}
	return s.to
}

// Trace is the trace of one incarnation of a worker's process, in the order of its file.
type Trace struct {
	events []Event
	died   anvilclock.Millis
	frozen []Span
}

// Events returns the events in the order of the trace.
func (t Trace) Events() []Event { return slices.Clone(t.events) }

// NewTrace returns a trace. died is the time at which the process ended, 0 when it did not.
func NewTrace(events []Event, died anvilclock.Millis, frozen ...Span) Trace {
	return Trace{events: events, died: died, frozen: frozen}
}

// Limit is a change of a team's limit.
type Limit struct {
	team    string
	limit   anvilsize.Size
	sent    anvilclock.Millis
	settled anvilclock.Millis
}

// NewLimit returns a change that was sent and accepted at the given times. A zero settled time
// means that its outcome is unknown.
func NewLimit(team string, limit anvilsize.Size, sent, settled anvilclock.Millis) Limit {
	return Limit{team: team, limit: limit, sent: sent, settled: settled}
}

// Withdrawal is the time during which a key was withdrawn.
type Withdrawal struct {
	key  string
	span Span
}

// NewWithdrawal returns a withdrawal from its acceptance until the key is given again.
func NewWithdrawal(key string, span Span) Withdrawal { return Withdrawal{key: key, span: span} }

// Departure is the time during which a worker was marked as leaving.
type Departure struct {
	worker string
	span   Span
}

// NewDeparture returns a departure from the acceptance of the mark until its removal is sent.
func NewDeparture(worker string, span Span) Departure { return Departure{worker: worker, span: span} }

// Reading is a configuration version that an instance told.
type Reading struct {
	instance string
	at       anvilclock.Millis
	version  int64
}

// NewReading returns a reading.
func NewReading(instance string, at anvilclock.Millis, version int64) Reading {
	return Reading{instance: instance, at: at, version: version}
}

// Race is a set of changes that operators sent at the same time with the same base version.
type Race struct {
	at   anvilclock.Millis
	base int64
	won  int
}

// NewRace returns a race in which won changes were accepted.
func NewRace(at anvilclock.Millis, base int64, won int) Race {
	return Race{at: at, base: base, won: won}
}

// Exit is a process that ended without the harness ending it.
type Exit struct {
	at     anvilclock.Millis
	name   string
	detail string
}

// NewExit returns an exit.
func NewExit(at anvilclock.Millis, name, detail string) Exit {
	return Exit{at: at, name: name, detail: detail}
}

// Stop is a graceful stop of an entry instance.
type Stop struct {
	instance string
	span     Span
}

// NewStop returns a stop, from the signal to the end of the process.
func NewStop(instance string, span Span) Stop { return Stop{instance: instance, span: span} }

// Violation is a broken promise.
type Violation struct {
	rule   Rule
	at     anvilclock.Millis
	detail string
}

// Rule returns the rule.
func (v Violation) Rule() Rule { return v.rule }

// Detail returns what was seen.
func (v Violation) Detail() string { return v.detail }

// String prints v on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at=%d %s", v.rule, int64(v.at), v.detail)
}

// Report is the result of an audit.
type Report struct {
	violations []Violation
	starts     int
}

// Violations returns the violations.
func (r *Report) Violations() []Violation { return r.violations }

// Starts returns the number of task starts that the traces hold.
func (r *Report) Starts() int { return r.starts }

// Count returns the number of violations of a rule.
func (r *Report) Count(rule Rule) int {
	n := 0
	for _, v := range r.violations {
		if v.rule == rule {
			n++
		}
	}
	return n
}

// Option adds evidence to an audit.
type Option func(*audit)

// WithTraces adds workers' traces.
func WithTraces(t ...Trace) Option { return func(a *audit) { a.traces = append(a.traces, t...) } }

// WithRequests adds callers' records.
func WithRequests(r ...Request) Option {
	return func(a *audit) { a.requests = append(a.requests, r...) }
}

// WithLimits adds changes of limits in the order in which they were accepted.
func WithLimits(l ...Limit) Option { return func(a *audit) { a.limits = append(a.limits, l...) } }

// WithWithdrawals adds withdrawals of keys.
func WithWithdrawals(w ...Withdrawal) Option {
	return func(a *audit) { a.withdrawals = append(a.withdrawals, w...) }
}

// WithDepartures adds workers marked as leaving.
func WithDepartures(d ...Departure) Option {
	return func(a *audit) { a.departures = append(a.departures, d...) }
}

// WithReadings adds versions in the order in which they were read.
func WithReadings(r ...Reading) Option {
	return func(a *audit) { a.readings = append(a.readings, r...) }
}

// WithRaces adds races of operators.
func WithRaces(r ...Race) Option { return func(a *audit) { a.races = append(a.races, r...) } }

// WithExits adds unexpected exits.
func WithExits(e ...Exit) Option { return func(a *audit) { a.exits = append(a.exits, e...) } }

// WithStops adds graceful stops.
func WithStops(s ...Stop) Option { return func(a *audit) { a.stops = append(a.stops, s...) } }

// WithLease sets the lease time of the workers; the default is 8,000 ms.
func WithLease(d anvilclock.Millis) Option { return func(a *audit) { a.lease = d } }

type audit struct {
	traces      []Trace
	requests    []Request
	limits      []Limit
	withdrawals []Withdrawal
	departures  []Departure
	readings    []Reading
	races       []Race
	exits       []Exit
	stops       []Stop
	lease       anvilclock.Millis
	runs        []*run
	report      *Report
}

// Audit checks the evidence.
func Audit(opts ...Option) *Report {
	a := &audit{lease: 8000, report: &Report{}}
	for _, opt := range opts {
		opt(a)
	}
	for _, t := range a.traces {
		a.replay(t)
	}
	a.checkDoubled()
	a.checkLimits()
	a.checkRequests()
	a.checkGangs()
	a.checkKeys()
	a.checkDepartures()
	a.checkVersions()
	a.checkStops()
	for _, e := range a.exits {
		a.violate(Exited, e.at, "%s %s", e.name, e.detail)
	}
	return a.report
}

func (a *audit) violate(rule Rule, at anvilclock.Millis, format string, args ...any) {
	a.report.violations = append(a.report.violations, Violation{rule: rule, at: at, detail: fmt.Sprintf(format, args...)})
}
