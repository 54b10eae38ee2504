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
	requests    []anvilaudit.Request
	tickets     map[int]string // of accepted tasks that are not known to have ended, by index of the request
	limits      []anvilaudit.Limit
	withdrawals []anvilaudit.Withdrawal
	departures  []anvilaudit.Departure
	readings    []anvilaudit.Reading
	races       []anvilaudit.Race
	stops       []anvilaudit.Stop
	steps       int
}

// NewRecorder returns an empty recorder. The caller must close it.
func NewRecorder() *Recorder {
	b := &Recorder{ops: make(chan func(*records)), closed: make(chan struct{})}
	go b.run()
	return b
}

func (b *Recorder) run() {
	p := &records{tickets: make(map[int]string)}
	for {
		select {
		case op := <-b.ops:
			op(p)
		case <-b.closed:
			return
		}
	}
}

// Close ends the recorder's goroutine. Afterwards nothing is recorded, and methods that return records return empty
// results. It must be called once.
func (b *Recorder) Close() { close(b.closed) }

// do runs an operation on the recorder's goroutine and waits for it.
func (b *Recorder) do(op func(*records)) {
	done := make(chan struct{})
	select {
	case b.ops <- func(p *records) { op(p); close(done) }:
		<-done
	case <-b.closed:
	}
}

// Request records a request that has its outcome. ticket is the id of an accepted task, under which its state
// is polled until it has ended; it is empty for other requests.
func (b *Recorder) Request(r anvilaudit.Request, ticket string) {
	b.do(func(p *records) {
		p.steps += len(r.Attempts())
		p.requests = append(p.requests, r)
		if ticket != "" {
			p.tickets[len(p.requests)-1] = ticket
		}
	})
}

// Limit records a change of a team's limit.
func (b *Recorder) Limit(l anvilaudit.Limit) {
	b.do(func(p *records) { p.steps++; p.limits = append(p.limits, l) })
}

// Withdrawal records the interval during which a key was withdrawn; to is 0 if it has not ended.
func (b *Recorder) Withdrawal(key string, from, to anvilclock.Millis) {
	b.do(func(p *records) {
		p.steps++
		p.withdrawals = append(p.withdrawals, anvilaudit.NewWithdrawal(key, anvilaudit.NewSpan(from, to)))
	})
}

// Departure records the interval during which a worker was marked as leaving; to is 0 if it has not ended.
func (b *Recorder) Departure(worker string, from, to anvilclock.Millis) {
	b.do(func(p *records) {
		p.steps++
		p.departures = append(p.departures, anvilaudit.NewDeparture(worker, anvilaudit.NewSpan(from, to)))
	})
}

// Reading records a configuration version that an instance reported.
func (b *Recorder) Reading(r anvilaudit.Reading) {
	b.do(func(p *records) { p.readings = append(p.readings, r) })
}

// Race records changes that operators sent at the same time with the same base version.
func (b *Recorder) Race(r anvilaudit.Race) {
	b.do(func(p *records) { p.steps++; p.races = append(p.races, r) })
}

// Stop records a graceful stop of an entry instance.
func (b *Recorder) Stop(s anvilaudit.Stop) {
	b.do(func(p *records) { p.steps++; p.stops = append(p.stops, s) })
}

// Steps returns the number of attempts, changes, races and stops so far.
func (b *Recorder) Steps() int {
	var n int
	b.do(func(p *records) { n = p.steps })
	return n
}

// Requests returns a copy of all recorded requests.
func (b *Recorder) Requests() []anvilaudit.Request {
	var r []anvilaudit.Request
	b.do(func(p *records) { r = slices.Clone(p.requests) })
	return r
}

// pending returns the tickets of accepted tasks that are not known to have ended, by index of their request.
func (b *Recorder) pending() map[int]string {
	m := make(map[int]string)
	b.do(func(p *records) {
		for i, t := range p.tickets {
			m[i] = t
		}
	})
	return m
}

// setState sets the state of the task of a request, as an instance reported it.
func (b *Recorder) setState(i int, state string) {
	b.do(func(p *records) {
		p.requests[i] = p.requests[i].WithState(state)
		if anvilaudit.Final(state) {
			delete(p.tickets, i)
		}
	})
}

// evidence returns all records as options of an audit.
func (b *Recorder) evidence() []anvilaudit.Option {
	var opts []anvilaudit.Option
	b.do(func(p *records) {
		opts = []anvilaudit.Option{
			anvilaudit.WithRequests(p.requests...), anvilaudit.WithLimits(p.limits...),
			anvilaudit.WithWithdrawals(p.withdrawals...), anvilaudit.WithDepartures(p.departures...),
			anvilaudit.WithReadings(p.readings...), anvilaudit.WithRaces(p.races...), anvilaudit.WithStops(p.stops...),
		}
	})
	return opts
}
