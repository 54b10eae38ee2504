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

// Limits of reading the states of jobs from an upstream, which is another instance of the same failure domain.
const (
	// In a failure domain with minUpstreamDomain or more instances, only one of them reads the states of jobs from the
	// store. All states are 600 kB, and their changes are 36 kB a second at 40 jobs a second: 130 instances would fill
	// the link of 30 Mbit/s between two regions, and each read is charged for.
	minUpstreamDomain = 4
	// upstreamTimeout bounds a read from an upstream, maxStatesAge the age of the states that an instance serves to
	// others.
	upstreamTimeout = anvilclock.Millis(1500)
	maxStatesAge    = anvilclock.Millis(2000)
	// upstreamBackoff is how long an upstream is skipped after a failed read.
	upstreamBackoff = anvilclock.Millis(3000)
	// firstReadWait is how long a new process tries the preferred upstream before any other: when all processes were
	// killed, the upstream reads all states itself first, and the others would read them from the store as well.
	firstReadWait = anvilclock.Millis(2000)
	// fullReadInterval is the time after which all states are read from an upstream again: its changes don't show which
	// jobs were removed.
	fullReadInterval = anvilclock.Millis(60_000)
)

// upstreamsOf returns the addresses of the instances of a failure domain from which self may read, the preferred one
// first: those that have more CPU than self, or the same CPU and a lower address. So one instance has none and reads
// from the store. It returns nil when the domain is small. It sorts the slice domain.
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

// States returns the states of jobs that are newer than a version, for another instance. It fails when this instance
// has not read the states recently. It is safe for concurrent use.
func (l *Loop) States(after int64) (anvilstorage.Page, error) {
	rows, version, read := l.directory.Since(after)
	age := l.clock.Now() - read
	if version == 0 || age > maxStatesAge {
		return anvilstorage.Page{}, errStatesStale
	}
	return anvilstorage.NewPage(rows, version, 0).WithAge(age), nil
}

var errStatesStale = errors.New("the states of jobs have not been read recently")

// stateSource reads the states of jobs from an upstream or from the store. One goroutine owns it.
type stateSource struct {
	loop         *Loop
	backoffUntil map[string]anvilclock.Millis
	// lastFullRead is when all states were last read from an upstream.
	lastFullRead anvilclock.Millis
	// firstReadUntil is the end of firstReadWait; 0 once states were read.
	firstReadUntil anvilclock.Millis
	scanTimeout    adaptiveTimeout
	// readAt is the local time at which the states of the last page were read from the store.
	readAt anvilclock.Millis
}

// adaptiveTimeout bounds reads of a whole table. Each failure doubles the time: reads over a congested link would
// otherwise time out and be repeated forever, and keep the link congested.
type adaptiveTimeout struct{ failures int }

// next returns the timeout of the next read; at most scanTimeout doubled scanDoublings times.
func (t *adaptiveTimeout) next() anvilclock.Millis {
	return scanTimeout << min(t.failures, scanDoublings)
}

// record doubles the timeout after a failed read, and resets it after a successful one.
func (t *adaptiveTimeout) record(err error) {
	if err == nil {
		t.failures = 0
		return
	}
	t.failures++
}

func newStateSource(l *Loop) *stateSource {
	return &stateSource{loop: l, backoffUntil: map[string]anvilclock.Millis{}, firstReadUntil: l.clock.Now() + firstReadWait}
}

// read returns the states that are newer than a version, and whether these are all states. From an upstream it
// reads all states once per fullReadInterval, whatever after is.
func (s *stateSource) read(ctx context.Context, after int64) (anvilstorage.Page, bool, error) {
	addr, now := s.upstream(), s.loop.clock.Now()
	if addr == "" {
		page, err := s.readStore(ctx, after)
		s.readAt = s.loop.clock.Now()
		return page, after == 0, err
	}
	if now-s.lastFullRead > fullReadInterval {
		after = 0
	}
	ctx, cancel := withTimeout(ctx, upstreamTimeout)
	defer cancel()
	page, err := s.loop.peers.States(ctx, addr, after)
	if err != nil {
		if now >= s.firstReadUntil {
			s.backoffUntil[addr] = now + upstreamBackoff
		}
		return page, false, anvilstorage.NewError(anvilstorage.Refused, err)
	}
	s.firstReadUntil = 0
	s.readAt = now - page.Age()
	if after == 0 {
		s.lastFullRead = now
	}
	return page, after == 0, nil
}

// readStore reads the states that are newer than a version from the store.
func (s *stateSource) readStore(ctx context.Context, after int64) (anvilstorage.Page, error) {
	if after != 0 {
		ctx, cancel := withTimeout(ctx, pageTimeout(after, stateWait))
		defer cancel()
		return s.loop.store.Changes(ctx, anvilstorage.States, after, stateWait)
	}
	page, err := s.loop.readTable(ctx, anvilstorage.States, 0, s.scanTimeout.next())
	s.scanTimeout.record(err)
	return page, err
}

// upstream returns the preferred upstream that is not in backoff; empty when this instance reads from the store.
func (s *stateSource) upstream() string {
	list := s.loop.upstreams.Load()
	if list == nil || s.loop.isLeader.Load() {
		// The leader must know which jobs were removed.
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
