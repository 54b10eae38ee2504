package anviltrial

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/load/anvilaudit"
)

// Recorder collects the evidence of a run for the audit, except for the evidence of the processes. One goroutine
// owns the records. The methods are safe for concurrent use.
type Recorder struct {
	ops    chan func(*records)
	closed chan struct{}
}

type records struct {
	requests     []anvilaudit.Request
	tickets      map[int]string // of accepted tasks that are not known to have ended, by index of the request
	limitChanges []anvilaudit.LimitChange
	withdrawals  []anvilaudit.Withdrawal
	departures   []anvilaudit.Departure
	readings     []anvilaudit.VersionReading
	races        []anvilaudit.Race
	stops        []anvilaudit.Stop
	steps        int
}

// NewRecorder returns an empty recorder. The caller must close it.
func NewRecorder() *Recorder {
	rec := &Recorder{ops: make(chan func(*records)), closed: make(chan struct{})}
	go rec.run()
	return rec
}

func (rec *Recorder) run() {
	rs := &records{tickets: make(map[int]string)}
	for {
		select {
		case op := <-rec.ops:
			op(rs)
		case <-rec.closed:
			return
		}
	}
}

// Close ends the recorder's goroutine. Afterwards nothing is recorded, and methods that return records return empty
// results. It must be called once.
func (rec *Recorder) Close() { close(rec.closed) }

// do runs an operation on the recorder's goroutine and waits for it.
func (rec *Recorder) do(op func(*records)) {
	done := make(chan struct{})
	select {
	case rec.ops <- func(rs *records) { op(rs); close(done) }:
		<-done
	case <-rec.closed:
	}
}

// Request records a request that has its outcome. ticket is the id of an accepted task, under which its state
// is polled until it has ended; it is empty for other requests.
func (rec *Recorder) Request(r anvilaudit.Request, ticket string) {
	rec.do(func(rs *records) {
		rs.steps += len(r.Attempts())
		rs.requests = append(rs.requests, r)
		if ticket != "" {
			rs.tickets[len(rs.requests)-1] = ticket
		}
	})
}

// LimitChange records a change of a team's limit that may have taken effect.
func (rec *Recorder) LimitChange(l anvilaudit.LimitChange) {
	rec.do(func(rs *records) { rs.steps++; rs.limitChanges = append(rs.limitChanges, l) })
}

// Withdrawal records the interval during which a key was withdrawn; to is 0 if it has not ended.
func (rec *Recorder) Withdrawal(key string, from, to anvilclock.Millis) {
	rec.do(func(rs *records) {
		rs.steps++
		rs.withdrawals = append(rs.withdrawals, anvilaudit.NewWithdrawal(key, anvilaudit.NewInterval(from, to)))
	})
}

// Departure records the interval during which a worker was leaving; to is 0 if it has not ended.
func (rec *Recorder) Departure(worker string, from, to anvilclock.Millis) {
	rec.do(func(rs *records) {
		rs.steps++
		rs.departures = append(rs.departures, anvilaudit.NewDeparture(worker, anvilaudit.NewInterval(from, to)))
	})
}

// VersionReading records a configuration version that an instance reported.
func (rec *Recorder) VersionReading(r anvilaudit.VersionReading) {
	rec.do(func(rs *records) { rs.readings = append(rs.readings, r) })
}

// Race records changes that operators sent at the same time with the same base version.
func (rec *Recorder) Race(r anvilaudit.Race) {
	rec.do(func(rs *records) { rs.steps++; rs.races = append(rs.races, r) })
}

// Stop records a graceful stop of an entry instance.
func (rec *Recorder) Stop(s anvilaudit.Stop) {
	rec.do(func(rs *records) { rs.steps++; rs.stops = append(rs.stops, s) })
}

// Steps returns the number of attempts, changes, races and stops so far.
func (rec *Recorder) Steps() int {
	var n int
	rec.do(func(rs *records) { n = rs.steps })
	return n
}

// Requests returns a copy of all recorded requests.
func (rec *Recorder) Requests() []anvilaudit.Request {
	var r []anvilaudit.Request
	rec.do(func(rs *records) { r = slices.Clone(rs.requests) })
	return r
}

// pending returns the tickets of accepted tasks that are not known to have ended, by index of their request.
func (rec *Recorder) pending() map[int]string {
	m := make(map[int]string)
	rec.do(func(rs *records) {
		for i, t := range rs.tickets {
			m[i] = t
		}
	})
	return m
}

// setState sets the state of the task of a request, as an instance reported it.
func (rec *Recorder) setState(i int, state string) {
	rec.do(func(rs *records) {
		rs.requests[i] = rs.requests[i].WithState(state)
		if anvilaudit.Final(state) {
			delete(rs.tickets, i)
		}
	})
}

// evidence returns all records as options of an audit.
func (rec *Recorder) evidence() []anvilaudit.Option {
	var opts []anvilaudit.Option
	rec.do(func(rs *records) {
		opts = []anvilaudit.Option{
			anvilaudit.WithRequests(rs.requests...), anvilaudit.WithLimitChanges(rs.limitChanges...),
			anvilaudit.WithWithdrawals(rs.withdrawals...), anvilaudit.WithDepartures(rs.departures...),
			anvilaudit.WithVersionReadings(rs.readings...), anvilaudit.WithRaces(rs.races...), anvilaudit.WithStops(rs.stops...),
		}
	})
	return opts
}
