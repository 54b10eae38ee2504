package anvilconfig

import (
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// DefaultMaxAge is the time for which a confirmation is valid unless WithMaxAge sets another.
const DefaultMaxAge anvilclock.Millis = 3000

// maxOutageReplyAge is the age up to which a peer's answer that it doesn't reach the table counts: three
// requests at intervals of 500 ms.
const maxOutageReplyAge anvilclock.Millis = 1500

// Status says whether the configuration in force may be relied on.
type Status string

// The values of Status. Work for keys is accepted in all but Unconfirmed.
const (
	Current     Status = "current"     // confirmed within half of the maximum age
	Expiring    Status = "doubtful"    // confirmed within the maximum age; the peers should be asked
	Outage      Status = "outage"      // no instance reaches the table, so none can accept a change
	Unconfirmed Status = "unconfirmed" // a change may have been missed
)

// Trusted reports whether work may be accepted for keys.
func (s Status) Trusted() bool { return s != Unconfirmed }

// Confirmation decides whether the configuration in force is current. Times are those of the
// instance's own monotonic clock. It is not safe for concurrent use.
//
// A confirmation is valid because a read of the table shows every change accepted before the read began.
// An outage is valid because every instance that could accept a change was asked, which needs five rules
// that the callers of this type keep:
//
//   - The peers are all instances whose session row exists, whether or not it is still renewed. An
//     instance that only paused can resume and accept a change. A row that is no longer renewed is
//     deleted by an instance that has introduced itself (see Introduction), in a commit that checks
//     that instance's own session row.
//   - A peer counts as unable to reach the table only when the version here is not below its version,
//     and when it has no gap (see Store.HasGap). Between two requests to it, it may have reached the table
//     and accepted a change that is missing here.
//   - An instance answers requests only of instances whose session row it knows and hasn't tried to
//     delete.
//   - An instance accepts changes, and shows operators the configuration, only after it has introduced
//     itself. The commit of a change checks the writer's own session row. A change whose answer was
//     lost counts as accepted as soon as an operator can read it.
//   - An instance whose session row is missing starts again: it writes the row, and only a read that
//     began after that counts as confirmed, for a new Confirmation.
type Confirmation struct {
	maxAge        anvilclock.Millis
	confirmed     anvilclock.Millis
	confirmedOnce bool
	failed        bool                         // the last own read of the table failed
	readBegan     anvilclock.Millis            // when the last own read that was applied began
	peers         map[string]anvilclock.Millis // when a peer's session row was last read or it introduced itself
	// tableFailures has an entry for each peer that answered that it doesn't reach the table: the time at which
	// the request that it answered was sent.
	tableFailures map[string]anvilclock.Millis
}

// ConfirmationOption configures a Confirmation.
type ConfirmationOption func(*Confirmation)

// WithMaxAge sets the time for which a confirmation is valid.
func WithMaxAge(d anvilclock.Millis) ConfirmationOption {
	return func(c *Confirmation) { c.maxAge = d }
}

// NewConfirmation returns a confirmation whose status is Unconfirmed until Confirmed is called.
func NewConfirmation(opts ...ConfirmationOption) *Confirmation {
	c := &Confirmation{
		maxAge: DefaultMaxAge, peers: map[string]anvilclock.Millis{}, tableFailures: map[string]anvilclock.Millis{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Confirmed records that a complete read of the table, which began at a time, was applied.
func (c *Confirmation) Confirmed(at anvilclock.Millis) {
	c.failed, c.confirmedOnce = false, true
	c.readBegan = max(c.readBegan, at)
	c.confirmed = max(c.confirmed, at)
	// A peer whose session row or introduction came after the read began may be missing in the read.
	maps.DeleteFunc(c.peers, func(_ string, since anvilclock.Millis) bool { return since < c.readBegan })
}

// TableFailed records that this instance's own read of the table failed.
func (c *Confirmation) TableFailed(_ anvilclock.Millis) { c.failed = true }

// PeerIntroduced records that an instance introduced itself. It counts as a peer until a read that began
// later shows whether its session exists. The caller answers the introduction only after this call.
func (c *Confirmation) PeerIntroduced(peer string, now anvilclock.Millis) { c.peers[peer] = now }

// PeerConfirmed records that a peer's complete read began at a time of this instance's clock, and that
// the version here is not below the peer's. The peer reports the age of its confirmation; at is the time
// of the request less that age, so that network delay makes the confirmation older and not newer.
func (c *Confirmation) PeerConfirmed(peer string, at anvilclock.Millis) {
	delete(c.tableFailures, peer)
	if c.confirmedOnce {
		c.confirmed = max(c.confirmed, at)
	}
}

// PeerTableFailed records that a peer answered a request sent at asked that it doesn't reach the table,
// and that the version here is not below the peer's.
func (c *Confirmation) PeerTableFailed(peer string, asked anvilclock.Millis) {
	c.tableFailures[peer] = max(c.tableFailures[peer], asked)
}

// PeerUnanswered records that a peer did not answer a request, or that its answer proves nothing.
func (c *Confirmation) PeerUnanswered(peer string, _ anvilclock.Millis) {
	delete(c.tableFailures, peer)
}

// Age returns the time since the last confirmation.
func (c *Confirmation) Age(now anvilclock.Millis) anvilclock.Millis { return now - c.confirmed }

// TableReachable reports whether this instance reaches the table, which is the answer to a peer's request.
func (c *Confirmation) TableReachable() bool { return c.confirmedOnce && !c.failed }

// Peers returns the sorted peers that must all answer before an outage is certain.
func (c *Confirmation) Peers() []string { return slices.Sorted(maps.Keys(c.peers)) }

// Status returns the status. peers are all instances whose session row exists. A peer that was passed once
// stays a peer until a later read of the table without it is applied, so that sessions that can't be renewed
// during an outage don't expire as if their instances had exited.
func (c *Confirmation) Status(now anvilclock.Millis, peers []string) Status {
	for _, p := range peers {
		c.peers[p] = now
	}
	switch {
	case !c.confirmedOnce:
		return Unconfirmed
	case now-c.confirmed <= c.maxAge/2:
		return Current
	case now-c.confirmed <= c.maxAge:
		return Expiring
	case now <= c.outageEnd(now):
		return Outage
	default:
		return Unconfirmed
	}
}

// Until returns the last time at which the status can still be trusted without another event; it is
// below now when the status isn't trusted. It is published to other goroutines together with the status,
// because a process that was paused must not rely on a status from before the pause.
func (c *Confirmation) Until(now anvilclock.Millis) anvilclock.Millis {
	if !c.confirmedOnce {
		return now - 1
	}
	return max(c.confirmed+c.maxAge, c.outageEnd(now))
}

// outageEnd returns the time until which the answers of the peers prove an outage.
func (c *Confirmation) outageEnd(now anvilclock.Millis) anvilclock.Millis {
	if !c.failed {
		return now - 1
	}
	end := now + maxOutageReplyAge
	for p := range c.peers {
		asked, ok := c.tableFailures[p]
		if !ok {
			return now - 1
		}
		end = min(end, asked+maxOutageReplyAge)
	}
	return end
}

// Introduction decides when a new instance is known to every instance that may not have read its session
// row. An instance that starts later reads that row. It is not safe for concurrent use.
type Introduction struct {
	registered []string
	answered   map[string]bool
	done       bool
}

// NewIntroduction returns an introduction that no instance has answered.
func NewIntroduction() *Introduction { return &Introduction{answered: map[string]bool{}} }

// SetInstances sets the instances whose session rows exist, whether or not they are renewed, from a read
// that began after this instance's own session row was written. It copies the slice.
func (i *Introduction) SetInstances(instances []string) {
	i.registered = slices.Clone(instances)
	i.done = i.done || len(i.Missing()) == 0
}

// Answered records that an instance has answered the introduction.
func (i *Introduction) Answered(instance string) {
	i.answered[instance] = true
	i.done = i.done || i.registered != nil && len(i.Missing()) == 0
}

// Missing returns the instances of the last SetInstances that haven't answered.
func (i *Introduction) Missing() []string {
	var out []string
	for _, name := range i.registered {
		if !i.answered[name] {
			out = append(out, name)
		}
	}
	return out
}

// Done reports whether the instance may accept changes and delete the sessions of others. It stays
// true as long as the instance's session row exists.
func (i *Introduction) Done() bool { return i.done }
