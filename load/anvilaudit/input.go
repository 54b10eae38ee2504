// Package anvilaudit checks what a cell did against rules that follow from the promises of anvilhold. The result depends
// only on the workers' traces, the callers' records and the harness's own log of kills, pauses and accepted changes. All
// times are Unix milliseconds of one machine.
package anvilaudit

import (
	"fmt"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Rule is the name of a rule, as reports show it.
type Rule string

// The rules that an audit checks.
const (
	Overcommitted Rule = "overcommitted" // a worker ran or reserved more than its size
	Doubled       Rule = "doubled"       // a task ran on two workers at once, or a non-idempotent one started twice
	Overlimit     Rule = "overlimit"     // a team ran or reserved more than its contract's limit
	Lost          Rule = "lost"          // a request has no outcome, a wrong one, or that of another request
	Stale         Rule = "stale"         // a request with a withdrawn key was started
	Leaving       Rule = "leaving"       // a task started on a leaving worker
	Reverted      Rule = "reverted"      // a configuration version decreased, or two racing changes were accepted
	Interrupted   Rule = "interrupted"   // a graceful stop broke a request
	Exited        Rule = "exited"        // a process exited although the harness had not ended it, or because of a violated invariant
)

// Rules returns all rules in the order in which reports show them.
func Rules() []Rule {
	return []Rule{Overcommitted, Doubled, Overlimit, Lost, Stale, Leaving, Reverted, Interrupted, Exited}
}

const (
	// propagationTime is the time within which an accepted change takes effect everywhere.
	propagationTime anvilclock.Millis = 4000
	// orderTolerance is the uncertainty of the order of two events in traces of different processes: each
	// process rounds to whole milliseconds and reads the clock just before or just after the event.
	orderTolerance anvilclock.Millis = 2
	// resumeGrace is the time within which a resumed worker must have ended the tasks whose lease expired while
	// it was paused. It only covers the scheduling delay of the resumed process.
	resumeGrace anvilclock.Millis = 250
	// never is later than any event.
	never anvilclock.Millis = 1 << 62
)

// Interval is the time between two events; an end of 0 means that it has not ended.
type Interval struct {
	from anvilclock.Millis
	to   anvilclock.Millis
}

// NewInterval returns the interval between two times; to is 0 if it has not ended.
func NewInterval(from, to anvilclock.Millis) Interval { return Interval{from: from, to: to} }

func (s Interval) end() anvilclock.Millis {
	if s.to == 0 {
		return never
	}
	return s.to
}

// Trace is the trace of one incarnation of a worker, with the end and the pauses of its process.
type Trace struct {
	events []Event
	ended  anvilclock.Millis
	pauses []Interval
}

// Events returns a copy of the events, in the order of the trace.
func (t Trace) Events() []Event { return slices.Clone(t.events) }

// NewTrace returns a trace. ended is when the process ended, 0 if it still runs; pauses are the times during
// which it was paused.
func NewTrace(events []Event, ended anvilclock.Millis, pauses ...Interval) Trace {
	return Trace{events: events, ended: ended, pauses: pauses}
}

// LimitChange is an accepted change of a team's limit, or one with an unknown outcome.
type LimitChange struct {
	team     string
	limit    anvilsize.Size
	sent     anvilclock.Millis
	accepted anvilclock.Millis
}

// NewLimitChange returns a change that was sent and accepted at the given times. accepted is 0 if the outcome of the
// change is unknown.
func NewLimitChange(team string, limit anvilsize.Size, sent, accepted anvilclock.Millis) LimitChange {
	return LimitChange{team: team, limit: limit, sent: sent, accepted: accepted}
}

// Withdrawal is the interval during which a key was withdrawn.
type Withdrawal struct {
	key      string
	interval Interval
}

// NewWithdrawal returns a withdrawal. interval lasts from the acceptance of the withdrawal until the key is about
// to be restored.
func NewWithdrawal(key string, interval Interval) Withdrawal {
	return Withdrawal{key: key, interval: interval}
}

// Departure is the interval during which a worker was leaving, because of a leave mark or the platform's registry.
type Departure struct {
	worker   string
	interval Interval
}

// NewDeparture returns a departure. With a leave mark, interval lasts from the acceptance of the mark until its
// removal is sent.
func NewDeparture(worker string, interval Interval) Departure {
	return Departure{worker: worker, interval: interval}
}

// VersionReading is a configuration version that an instance reported.
type VersionReading struct {
	instance string
	at       anvilclock.Millis
	version  int64
}

// NewVersionReading returns the version that an instance, given by its address, reported at a time.
func NewVersionReading(instance string, at anvilclock.Millis, version int64) VersionReading {
	return VersionReading{instance: instance, at: at, version: version}
}

// Race is a set of changes that operators sent at the same time with the same base version. At most one of them
// may be accepted.
type Race struct {
	at       anvilclock.Millis
	base     int64
	accepted int
}

// NewRace returns a race in which the given number of changes were accepted.
func NewRace(at anvilclock.Millis, base int64, accepted int) Race {
	return Race{at: at, base: base, accepted: accepted}
}

// Exit is an unexpected exit of a process: the harness had not ended it, or an invariant was violated.
type Exit struct {
	at     anvilclock.Millis
	name   string
	detail string
}

// NewExit returns the exit of the process with a name; detail says how it ended.
func NewExit(at anvilclock.Millis, name, detail string) Exit {
	return Exit{at: at, name: name, detail: detail}
}

// Stop is a graceful stop of an entry instance.
type Stop struct {
	instance string
	interval Interval
}

// NewStop returns a stop of the instance at an address. interval lasts from the signal to the exit of the process.
func NewStop(instance string, interval Interval) Stop {
	return Stop{instance: instance, interval: interval}
}

// Violation is a broken rule with the time at which that was observed.
type Violation struct {
	rule   Rule
	at     anvilclock.Millis
	detail string
}

// Rule returns the broken rule.
func (v Violation) Rule() Rule { return v.rule }

// Detail returns what was observed, without the rule and the time.
func (v Violation) Detail() string { return v.detail }

// String returns v on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at=%d %s", v.rule, int64(v.at), v.detail)
}

// Report is the result of an audit.
type Report struct {
	violations []Violation
	starts     int
}

// Violations returns the violations, grouped by check and not sorted by time. The slice is not a copy.
func (r *Report) Violations() []Violation { return r.violations }

// Starts returns the number of task starts in the traces.
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

// Option adds evidence to an audit or sets a parameter of it.
type Option func(*audit)

// WithTraces adds traces of workers, one for each incarnation.
func WithTraces(t ...Trace) Option { return func(a *audit) { a.traces = append(a.traces, t...) } }

// WithRequests adds the requests that callers sent.
func WithRequests(r ...Request) Option {
	return func(a *audit) { a.requests = append(a.requests, r...) }
}

// WithLimitChanges adds changes of limits, in the order in which they were accepted.
func WithLimitChanges(l ...LimitChange) Option {
	return func(a *audit) { a.limitChanges = append(a.limitChanges, l...) }
}

// WithWithdrawals adds withdrawals of keys.
func WithWithdrawals(w ...Withdrawal) Option {
	return func(a *audit) { a.withdrawals = append(a.withdrawals, w...) }
}

// WithDepartures adds the intervals during which workers were leaving.
func WithDepartures(d ...Departure) Option {
	return func(a *audit) { a.departures = append(a.departures, d...) }
}

// WithVersionReadings adds configuration versions that instances reported, in the order in which they were read.
func WithVersionReadings(r ...VersionReading) Option {
	return func(a *audit) { a.readings = append(a.readings, r...) }
}

// WithRaces adds races of operators.
func WithRaces(r ...Race) Option { return func(a *audit) { a.races = append(a.races, r...) } }

// WithExits adds unexpected exits.
func WithExits(e ...Exit) Option { return func(a *audit) { a.exits = append(a.exits, e...) } }

// WithStops adds graceful stops of entry instances.
func WithStops(s ...Stop) Option { return func(a *audit) { a.stops = append(a.stops, s...) } }

// WithLease sets the duration of the leases of the workers; the default is 8,000 ms.
func WithLease(d anvilclock.Millis) Option { return func(a *audit) { a.lease = d } }

type audit struct {
	traces       []Trace
	requests     []Request
	limitChanges []LimitChange
	withdrawals  []Withdrawal
	departures   []Departure
	readings     []VersionReading
	races        []Race
	exits        []Exit
	stops        []Stop
	lease        anvilclock.Millis
	runs         []*run
	report       *Report
}

// Audit checks the evidence that the options add and returns a report. A team without a limit may run nothing.
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
