package anvilscheduler

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// Timing of reading the states of jobs from a neighbor.
const (
	// minUpstreamDomain is the number of instances in a failure domain from which on one of them reads the states of
	// jobs for all. Each reading of all states is 600 kB and their changes are 36 kB a second at 40 jobs a second:
	// 130 instances fill the 30 Mbit/s between two regions.
	minUpstreamDomain = 12
	// upstreamTimeout bounds a question to a neighbor, neighborStale the age of what it knows.
	upstreamTimeout = anvilclock.Millis(1500)
	maxStatesAge    = anvilclock.Millis(5000)
	// upstreamBackoff is how long a neighbor that gave no answer is left alone.
	upstreamBackoff = anvilclock.Millis(3000)
	// fullReadInterval is the pause between two readings of everything: a neighbor tells of no removed job.
	fullReadInterval = anvilclock.Millis(60_000)
)

// upstreamsOf returns the instances of a failure domain that read before self does, the first one first; none when the
// domain is small. The strongest one reads from the store.
func upstreamsOf(self anvilstorage.Instance, domain []anvilstorage.Instance) []string {
	if len(domain)+1 < minUpstreamDomain {
		return nil
	}
	order := func(a, b anvilstorage.Instance) int {
		return cmp.Or(cmp.Compare(b.MilliCPU(), a.MilliCPU()), strings.Compare(a.Addr(), b.Addr()))
	}
	slices.SortFunc(domain, order)
	var out []string
	for _, in := range domain {
		if order(in, self) < 0 {
			out = append(out, in.Addr())
		}
	}
	return out
}

// States returns the states of jobs that are newer than a version, for a neighbor. It is safe for concurrent use.
func (l *Loop) States(after int64) (anvilstorage.Page, error) {
	rows, version, read := l.directory.Since(after)
	if version == 0 || l.clock.Now()-read > maxStatesAge {
		return anvilstorage.Page{}, errStatesStale
	}
	return anvilstorage.NewPage(rows, version, 0), nil
}

var errStatesStale = errors.New("the states of jobs have not been read lately")

// stateSource reads the states of jobs from a neighbor or from the store. One goroutine owns it.
type stateSource struct {
	loop         *Loop
	backoffUntil map[string]anvilclock.Millis
	// lastFullRead is when everything was last read.
	lastFullRead anvilclock.Millis
	backoff      scanBackoff
}

// scanBackoff bounds readings of a whole table. Each failure doubles the time: over a full link, readings that are
// broken off and begin again would fill it for ever.
type scanBackoff struct{ failures int }

// timeout returns the time for the next reading.
func (w *scanBackoff) timeout() anvilclock.Millis {
	return scanTimeout << min(w.failures, scanDoublings)
}

// record takes how a reading ended.
func (w *scanBackoff) record(err error) {
	if err == nil {
		w.failures = 0
		return
	}
	w.failures++
}

func newStateSource(l *Loop) *stateSource {
	return &stateSource{loop: l, backoffUntil: map[string]anvilclock.Millis{}}
}

// read returns what is newer than a version, and whether that is everything.
func (s *stateSource) read(ctx context.Context, after int64) (anvilstorage.Page, bool, error) {
	addr, now := s.upstream(), s.loop.clock.Now()
	if addr == "" {
		page, err := s.readStore(ctx, after)
		return page, after == 0, err
	}
	if now-s.lastFullRead > fullReadInterval {
		after = 0
	}
	ctx, cancel := withTimeout(ctx, upstreamTimeout)
	defer cancel()
	page, err := s.loop.peers.States(ctx, addr, after)
	if err != nil {
		s.backoffUntil[addr] = now + upstreamBackoff
		return page, false, anvilstorage.NewError(anvilstorage.Refused, err)
	}
	if after == 0 {
		s.lastFullRead = now
	}
	return page, after == 0, nil
}

// readStore reads from the store.
func (s *stateSource) readStore(ctx context.Context, after int64) (anvilstorage.Page, error) {
	page, err := s.loop.readTable(ctx, anvilstorage.States, after, s.backoff.timeout())
	if after == 0 {
		s.backoff.record(err)
	}
	return page, err
}

// upstream returns the first neighbor that may be asked; empty when this instance reads from the store.
func (s *stateSource) upstream() string {
	list := s.loop.upstreams.Load()
	if list == nil || s.loop.scheduling.Load() {
		// Whoever schedules must know which jobs were removed.
		return ""
	}
	now := s.loop.clock.Now()
	for _, addr := range *list {
		if now >= s.backoffUntil[addr] {
			return addr
		}
	}
	return ""
}
