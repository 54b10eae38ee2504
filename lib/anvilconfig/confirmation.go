package anvilconfig

import (
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// Limit is the time for which a confirmation holds.
const Limit anvilclock.Millis = 3000

// cutAge is the age up to which a peer's answer that it doesn't reach the table counts: three
// rounds of questions at intervals of 500 ms.
const cutAge anvilclock.Millis = 1500

// Status says whether the configuration in force may be relied on.
type Status string

// The values of Status. Keys are trusted in all but Unconfirmed.
const (
	Current     Status = "current"     // confirmed within half of the limit
	Expiring    Status = "doubtful"    // confirmed within the limit; peers are to be asked
	Outage      Status = "outage"      // no instance reaches the table, so no change can be accepted
	Unconfirmed Status = "unconfirmed" // a change may have been missed
)

// Trusted reports whether work may be accepted for keys.
func (s Status) Trusted() bool { return s != Unconfirmed }

// Confirmation decides whether the configuration in force is current. Times are those of the
// instance's own monotonic clock. It is not safe for concurrent use.
//
// A confirmation holds because a read that began at a time shows every change accepted before. An
// outage holds because nobody who could accept a change is left out, which needs five rules that
// the callers of this type keep:
//
//   - The peers are all instances whose session row exists, whether or not it is still renewed. An
//     instance that only paused can resume and accept a change. A row that has not been renewed is
//     deleted by an instance that has introduced itself (see Introduction), in a commit that checks
//     that instance's own session row.
//   - A peer counts as cut off only when the version here is not below its version, and when it has
//     no gap (see Store.Gap). It can have reached the table, and accepted a change, between two
//     questions.
//   - An instance answers the questions only of instances whose session row it knows and hasn't
//     tried to delete.
//   - An instance accepts changes, and tells operators what the configuration is, only after it has
//     introduced itself. The commit of a change checks the writer's own session row. A change whose
//     answer was lost counts as accepted when an operator can read it.
//   - An instance whose session row is missing starts anew: it writes the row, and only a read that
//     began after that counts as confirmed, for a new Confirmation.
type Confirmation struct {
	limit     anvilclock.Millis
	confirmed anvilclock.Millis
	ever      bool
	failed    bool                         // the last own read of the table failed
	read      anvilclock.Millis            // the beginning of the last own read that was applied
	peers     map[string]anvilclock.Millis // when a peer was last listed or met
	cuts      map[string]anvilclock.Millis // when a peer was asked that answered that it is cut off
}

// ConfirmationOption sets an optional part of a Confirmation.
type ConfirmationOption func(*Confirmation)

// WithMaxAge sets the time for which a confirmation holds.
func WithMaxAge(d anvilclock.Millis) ConfirmationOption {
	return func(c *Confirmation) { c.limit = d }
}

// NewConfirmation returns a confirmation that trusts nothing before the first Confirmed.
func NewConfirmation(opts ...ConfirmationOption) *Confirmation {
	c := &Confirmation{
		limit: Limit, peers: map[string]anvilclock.Millis{}, cuts: map[string]anvilclock.Millis{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Confirmed says that a complete read of the table that began at a time was applied.
func (c *Confirmation) Confirmed(at anvilclock.Millis) {
	c.failed, c.ever = false, true
	c.read = max(c.read, at)
	c.confirmed = max(c.confirmed, at)
	// A peer that was listed or met after the read began may be missing in it.
	maps.DeleteFunc(c.peers, func(_ string, seen anvilclock.Millis) bool { return seen < c.read })
}

// TableFailed says that an own read of the table failed.
func (c *Confirmation) TableFailed(_ anvilclock.Millis) { c.failed = true }

// PeerIntroduced says that an instance introduced itself. It counts as a peer until a read that began later
// shows whether its session exists. The introduction is answered only after this.
func (c *Confirmation) PeerIntroduced(peer string, now anvilclock.Millis) { c.peers[peer] = now }

// PeerConfirmed says that a peer's complete read began at a time of this instance's clock, and that
// the version here is not below the peer's. The peer tells the age of its confirmation; at is the
// time of the question less that age, so that the time on the network makes it older and not newer.
func (c *Confirmation) PeerConfirmed(peer string, at anvilclock.Millis) {
	delete(c.cuts, peer)
	if c.ever {
		c.confirmed = max(c.confirmed, at)
	}
}

// PeerTableFailed says that a peer that was asked at a time answered that it doesn't reach the table, and
// that the version here is not below the peer's.
func (c *Confirmation) PeerTableFailed(peer string, asked anvilclock.Millis) {
	c.cuts[peer] = max(c.cuts[peer], asked)
}

// PeerUnanswered says that a peer did not answer a question.
func (c *Confirmation) PeerUnanswered(peer string, _ anvilclock.Millis) { delete(c.cuts, peer) }

// Age returns the time since the last confirmation.
func (c *Confirmation) Age(now anvilclock.Millis) anvilclock.Millis { return now - c.confirmed }

// TableReachable reports what to tell a peer that asks: whether this instance reaches the table.
func (c *Confirmation) TableReachable() bool { return c.ever && !c.failed }

// Peers returns the peers that must answer before an outage holds, in order.
func (c *Confirmation) Peers() []string { return slices.Sorted(maps.Keys(c.peers)) }

// State returns the status. peers are all instances whose session row exists. A peer that was
// listed once counts until a read that began later, so that the sessions that nobody can renew
// during an outage don't end as if their instances had gone.
func (c *Confirmation) State(now anvilclock.Millis, peers []string) Status {
	for _, p := range peers {
		c.peers[p] = now
	}
	switch {
	case !c.ever:
		return Unconfirmed
	case now-c.confirmed <= c.limit/2:
		return Current
	case now-c.confirmed <= c.limit:
		return Expiring
	case now <= c.outageEnd(now):
		return Outage
	default:
		return Unconfirmed
	}
}

// Until returns the last time at which the status can still be trusted without another event. It
// goes with the status into what other goroutines see: a process that paused must not rely on a
// status from before the pause. It is below now when the status isn't trusted.
func (c *Confirmation) Until(now anvilclock.Millis) anvilclock.Millis {
	if !c.ever {
		return now - 1
	}
	return max(c.confirmed+c.limit, c.outageEnd(now))
}

// outageEnd returns the time until which the answers of the peers prove an outage.
func (c *Confirmation) outageEnd(now anvilclock.Millis) anvilclock.Millis {
	if !c.failed {
		return now - 1
	}
	end := now + cutAge
	for p := range c.peers {
		asked, ok := c.cuts[p]
		if !ok {
			return now - 1
		}
		end = min(end, asked+cutAge)
	}
	return end
}

// Introduction decides when a new instance has reached every instance that could otherwise not know
// of it. An instance that starts later reads this one's session row. It is not safe for concurrent
// use.
type Introduction struct {
	listed  []string
	reached map[string]bool
	done    bool
}

// NewIntroduction returns an introduction that has reached nobody.
func NewIntroduction() *Introduction { return &Introduction{reached: map[string]bool{}} }

// Listed takes the instances whose session rows exist, whether or not they are renewed, from a read
// that began after this instance's own session row was written.
func (i *Introduction) Listed(instances []string) {
	i.listed = slices.Clone(instances)
	i.done = i.done || len(i.Missing()) == 0
}

// Reached says that an instance has answered the introduction.
func (i *Introduction) Reached(instance string) {
	i.reached[instance] = true
	i.done = i.done || i.listed != nil && len(i.Missing()) == 0
}

// Missing returns the listed instances that haven't answered.
func (i *Introduction) Missing() []string {
	var out []string
	for _, name := range i.listed {
		if !i.reached[name] {
			out = append(out, name)
		}
	}
	return out
}

// Done reports whether the instance may accept changes and delete the sessions of others. It stays
// true as long as the instance's session row exists.
func (i *Introduction) Done() bool { return i.done }
