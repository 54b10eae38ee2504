package anvilscheduler

import (
	"context"
	"slices"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// A leader extends leases until its row says, and in an outage of the store as long as all of its witnesses confirm it. So
// a successor, which is a witness itself, knows until when the leases of workers that don't answer can last.

// extension is the leader's permission to extend leases, and what it knows of that of former leaders.
type extension struct {
	// until is the local time until which the last applied commit allows extensions, confirmedUntil that until which the
	// witnesses have confirmed them.
	until          anvilclock.Millis
	confirmedUntil anvilclock.Millis
	// formerUntil is the time of the store's clock until which former leaders may extend leases; 0 when there was none or no
	// bound is known. formerEnd is the same as a local time, which is always known.
	formerUntil anvilclock.Millis
	formerEnd   anvilclock.Millis
	// boundedSince is that of the leadership row.
	boundedSince int64
	// formerBoundedSince is the token from which on stored bounds of leases hold; 0 when none do.
	formerBoundedSince int64
	// found are the instances that answered last, stored the witnesses by the last applied commit, and sending those in the
	// commit in flight; stored is nil before the first ones are stored.
	found, stored, sending []string
}

// mayExtendLeases reports whether the leader may extend leases now.
func (l *Loop) mayExtendLeases(now anvilclock.Millis) bool {
	e := &l.leadership.extension
	// A successor that is no witness accounts for the grace from the stored row.
	grace := e.until - extensionValidity + leaseGrace
	return l.mayOrder(now) && (now < e.until || now < min(e.confirmedUntil, grace))
}

// extendedUntil returns the local time after which no leader before this one, nor this one before now, has extended leases.
func (l *Loop) extendedUntil(now anvilclock.Millis) anvilclock.Millis {
	if l.leading() {
		return max(now, l.leadership.extension.formerEnd)
	}
	return l.leadership.extension.formerEnd
}

// leadershipRow returns a leadership row that allows extensions until a local time.
func (l *Loop) leadershipRow(leader, addr string, count int64, until anvilclock.Millis) (anvilstorage.Row, error) {
	ls := &l.leadership
	m := anvilstorage.NewLeadership(leader, addr, ls.fence, count).WithFirst(ls.token).WithExposed(l.exposedWorkers(l.clock.Now()))
	return extensionRow(m, l.storeTime, until, ls.extension)
}

func extensionRow(m anvilstorage.Leadership, c storeClock, until anvilclock.Millis, e extension) (anvilstorage.Row, error) {
	if c.known() {
		m = m.WithExtension(max(c.latestAt(until), e.formerUntil), e.boundedSince)
	}
	return anvilstorage.LeadershipRow(m)
}

// claim is a claim of the leadership and what it is based on.
type claim struct {
	former anvilstorage.Leadership
	// vacant means that no leadership row exists.
	vacant bool
	next   anvilstorage.Leadership
	addr   string
	clock  storeClock
	// deferred means that this instance has let others claim first.
	deferred bool
	// confirmedUntil is the local time until which this instance has confirmed extensions by the former leader.
	confirmedUntil anvilclock.Millis
}

// isNoWitness reports whether extensions may have been confirmed to the former leader without this instance, also to a leader before
// it if the former one has stored no witnesses.
func (c *claim) isNoWitness(w anvilstorage.Witnesses) bool {
	return !c.vacant && c.former.Leader() != "" && c.former.Addr() != c.addr && w.Token() != 0 && !slices.Contains(w.Addrs(), c.addr)
}

// inherit returns what a leader that claims at a local time knows of the extensions of former leaders. The witnesses are
// those that are stored.
func (c *claim) inherit(now anvilclock.Millis, w anvilstorage.Witnesses) extension {
	e := extension{formerEnd: now, boundedSince: c.former.BoundedSince(), formerBoundedSince: c.former.BoundedSince()}
	if e.boundedSince == 0 {
		e.boundedSince = c.next.Token()
	}
	until := c.former.ExtendsUntil()
	switch {
	case c.vacant:
		return e
	case until == 0 || !c.clock.known():
		// The former leader's program may have extended leases during the whole grace.
		e.formerEnd = now + leaseGrace
		if c.clock.known() {
			e.formerUntil = c.clock.latestAt(e.formerEnd)
		}
		return e
	case c.former.Addr() == c.addr:
		// The former leader was this process, which has stepped down, or an earlier one, which has exited.
		e.formerUntil = max(until, c.clock.latestAt(now))
	case c.isNoWitness(w):
		e.formerUntil = until - extensionValidity + leaseGrace
	default:
		e.formerUntil = max(until, c.clock.latestAt(c.confirmedUntil))
	}
	e.formerEnd = c.clock.passedBy(e.formerUntil)
	return e
}

// readWitnesses reads the stored witnesses.
func readWitnesses(ctx context.Context, s Store) (anvilstorage.Witnesses, error) {
	ctx, cancel := withTimeout(ctx, witnessReadTimeout)
	defer cancel()
	page, err := s.Scan(ctx, anvilstorage.WitnessList)
	if err != nil {
		return anvilstorage.Witnesses{}, err
	}
	for _, r := range page.Rows() {
		if r.Key() == anvilstorage.WitnessKey {
			return anvilstorage.ParseWitnesses(r)
		}
	}
	return anvilstorage.Witnesses{}, nil
}
