package anvilstorage

import (
	"encoding/json"
	"fmt"

	"anvilhold.org/lib/anvilclock"
)

// LeadershipKey is the key of the only row of the leaderships table.
const LeadershipKey = "fleet"

// Leadership is the stored result of leader election: the instance that schedules, with its fencing token. Every commit
// of the leader raises the count, so the row also shows that the leader is alive, and which of its commits was applied
// last.
type Leadership struct {
	leader string
	addr   string
	token  int64
	count  int64
	// extendsUntil and boundedSince are zero in a row of a program that doesn't store them.
	extendsUntil anvilclock.Millis
	boundedSince int64
	first        int64
	backlog      string
	exposed      []string
}

// NewLeadership returns a leadership; an empty leader means that the last leader has released it.
func NewLeadership(leader, addr string, token, count int64) Leadership {
	return Leadership{leader: leader, addr: addr, token: token, count: count}
}

// Leader returns the name of the leader; empty when it has released the leadership.
func (l Leadership) Leader() string { return l.leader }

// Addr returns the address on which the leader serves other instances.
func (l Leadership) Addr() string { return l.addr }

// Token returns the fencing token that the leader puts in its orders. Workers refuse orders with a lower
// token than the highest they have seen.
func (l Leadership) Token() int64 { return l.token }

// Count returns the number of commits that the leader has made under the token.
func (l Leadership) Count() int64 { return l.count }

// WithExtension returns a copy that states until when leases may be extended, as ExtendsUntil says, and since which token
// leaders store the bounds of leases.
func (l Leadership) WithExtension(until anvilclock.Millis, boundedSince int64) Leadership {
	l.extendsUntil, l.boundedSince = until, boundedSince
	return l
}

// WithFirst returns a copy for a leadership whose first token was lower than the present one.
func (l Leadership) WithFirst(token int64) Leadership {
	l.first = token
	return l
}

// WithBacklog returns a copy with the leader's shortages of capacity, as the package anviladmission encodes them.
func (l Leadership) WithBacklog(text string) Leadership {
	l.backlog = text
	return l
}

// WithExposed returns a copy with the ids of the workers at which a start may arrive although its run has ended. The slice is kept.
func (l Leadership) WithExposed(workers []string) Leadership {
	l.exposed = workers
	return l
}

// Exposed returns the ids of the workers at which a start of this leader or of an earlier one may arrive although its run has ended.
// The caller must not change the slice.
func (l Leadership) Exposed() []string { return l.exposed }

// Backlog returns the shortages of capacity that the leader has found; empty when there are none.
func (l Leadership) Backlog() string { return l.backlog }

// First returns the token with which the leadership began. The leader raises it for workers that restart.
func (l Leadership) First() int64 {
	if l.first == 0 {
		return l.token
	}
	return l.first
}

// ExtendsUntil returns the time of the store's clock after which neither this leader nor an earlier one sends an order that
// extends leases, except by confirmation of all of the leader's witnesses. It is 0 when no bound is stored.
func (l Leadership) ExtendsUntil() anvilclock.Millis { return l.extendsUntil }

// BoundedSince returns the token of the first of the leaders up to this one, without a gap, that keep to the stored bounds of
// leases. It is 0 when this one doesn't.
func (l Leadership) BoundedSince() int64 { return l.boundedSince }

type leadershipRow struct {
	Leader string `json:"holder"`
	Addr   string `json:"addr"`
	Token  int64  `json:"token"`
	Count  int64  `json:"count"`
	Until  int64  `json:"until,omitempty"`
	Since  int64  `json:"since,omitempty"`
	First  int64  `json:"first,omitempty"`
	Busy   string `json:"busy,omitempty"`

	Exposed []string `json:"exposed,omitempty"`
}

// LeadershipRow returns the row that stores a leadership.
func LeadershipRow(l Leadership) (Row, error) {
	value, err := json.Marshal(leadershipRow{
		Leader: l.leader, Addr: l.addr, Token: l.token, Count: l.count, Until: int64(l.extendsUntil), Since: l.boundedSince, First: l.first,
		Busy: l.backlog, Exposed: l.exposed,
	})
	if err != nil {
		return Row{}, fmt.Errorf("leadership: %w", err)
	}
	return NewRow(Leaderships, LeadershipKey, value), nil
}

// ParseLeadership decodes the row of a leadership.
func ParseLeadership(r Row) (Leadership, error) {
	var in leadershipRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return Leadership{}, fmt.Errorf("leadership: %w", err)
	}
	out := NewLeadership(in.Leader, in.Addr, in.Token, in.Count)
	return out.WithExtension(anvilclock.Millis(in.Until), in.Since).WithFirst(in.First).WithBacklog(in.Busy).WithExposed(in.Exposed), nil
}

// Instance is an entry instance as it registers in the store for the others.
type Instance struct {
	name     string
	addr     string
	domain   string
	milliCPU int64
}

// NewInstance returns an instance. addr is where it serves other instances, domain its failure domain and milliCPU its CPU
// in millicores, or 0 when that is not known.
func NewInstance(name, addr, domain string, milliCPU int64) Instance {
	return Instance{name: name, addr: addr, domain: domain, milliCPU: milliCPU}
}

// Name returns the instance's name, which is the key of its row.
func (i Instance) Name() string { return i.name }

// Addr returns the address on which the instance serves other instances.
func (i Instance) Addr() string { return i.addr }

// Domain returns the failure domain that the instance runs in.
func (i Instance) Domain() string { return i.domain }

// MilliCPU returns the instance's CPU in millicores; 0 when that is not known.
func (i Instance) MilliCPU() int64 { return i.milliCPU }

type instanceRow struct {
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Power  int64  `json:"power,omitempty"`
}

// InstanceRow returns the row that stores an instance, under its name.
func InstanceRow(i Instance) (Row, error) {
	value, err := json.Marshal(instanceRow{Addr: i.addr, Domain: i.domain, Power: i.milliCPU})
	if err != nil {
		return Row{}, fmt.Errorf("instance %s: %w", i.name, err)
	}
	return NewRow(Instances, i.name, value), nil
}

// ParseInstance decodes the row of an instance.
func ParseInstance(r Row) (Instance, error) {
	var in instanceRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return Instance{}, fmt.Errorf("instance %s: %w", r.key, err)
	}
	return NewInstance(r.key, in.Addr, in.Domain, in.Power), nil
}
