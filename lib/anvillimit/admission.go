// Package anvillimit limits load: the requests of a team by rate and concurrency, retries by a budget, and
// repeated attempts by exponential backoff.
package anvillimit

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

// bucket is a token bucket that counts thousandths of a token, so that a rate per second adds rate units per
// millisecond without rounding.
type bucket struct {
	units    int64
	filledAt anvilclock.Millis
}

const unit = 1000

// idleAfter is the time after which a team without requests in flight is forgotten. Its bucket is full by then:
// a bucket refills within one second.
const idleAfter anvilclock.Millis = 1000

func (b *bucket) fill(rate, burst int64, now anvilclock.Millis) {
	if now > b.filledAt {
		// One second fills any bucket; the cap on the time keeps the product small.
		b.units += min(int64(now-b.filledAt), 1000) * rate
		b.filledAt = now
	}
	b.units = min(b.units, burst*unit)
}

type teamState struct {
	bucket   bucket
	inFlight int64
}

// Admission limits the requests of each team by rate and by the number in flight. It is not safe for concurrent
// use.
type Admission struct {
	teams     map[string]*teamState
	lastSweep anvilclock.Millis
}

// NewAdmission returns an Admission without any requests.
func NewAdmission() *Admission { return &Admission{teams: map[string]*teamState{}} }

// concurrencyRetryDelay is the retry delay for a team with too many requests in flight. It is fixed, because it can't
// be known when one of them will end.
const concurrencyRetryDelay anvilclock.Millis = 100

// Admit admits a request of a team, or returns an error with code OverRate and the delay after which to retry.
// rate is in requests per second, with a burst of one second's worth; maxInFlight is the largest number of
// requests in flight. 0 means unlimited for both. After a nil result the caller must call Done when the request
// has ended.
func (a *Admission) Admit(team string, rate, maxInFlight int64, now anvilclock.Millis) *anvilerror.Error {
	a.sweep(now)
	s := a.teams[team]
	if s == nil {
		s = &teamState{bucket: bucket{units: rate * unit, filledAt: now}}
		a.teams[team] = s
	}
	if maxInFlight > 0 && s.inFlight >= maxInFlight {
		return anvilerror.Refuse(anvilerror.OverRate, "too many requests in flight for the team", anvilerror.WithRetry(concurrencyRetryDelay))
	}
	s.bucket.fill(rate, rate, now)
	if rate > 0 {
		if s.bucket.units < unit {
			wait := (unit - s.bucket.units + rate - 1) / rate
			return anvilerror.Refuse(anvilerror.OverRate, "the team has exceeded its request rate", anvilerror.WithRetry(anvilclock.Millis(wait)))
		}
		s.bucket.units -= unit
	}
	s.inFlight++
	return nil
}

// Done ends an admitted request of a team. It ignores a team without requests in flight.
func (a *Admission) Done(team string) {
	if s := a.teams[team]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

// InFlight returns the number of admitted requests of a team that haven't ended.
func (a *Admission) InFlight(team string) int64 {
	if s := a.teams[team]; s != nil {
		return s.inFlight
	}
	return 0
}

// sweep forgets idle teams, so that the map doesn't grow with teams that no longer send requests.
func (a *Admission) sweep(now anvilclock.Millis) {
	if now-a.lastSweep < idleAfter {
		return
	}
	a.lastSweep = now
	for team, s := range a.teams {
		if s.inFlight == 0 && now-s.bucket.filledAt > idleAfter {
			delete(a.teams, team)
		}
	}
}
