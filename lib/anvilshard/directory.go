package anvilshard

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilclock"
)

// Timing of sessions and of changes of ownership.
const (
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval anvilclock.Millis = 1000
	// Expiry is the time without a heartbeat after which a session counts as dead: three missed
	// heartbeats and the time of a slow table access.
	Expiry anvilclock.Millis = 4000
	// Jitter is the longest delay of a takeover after the session of the owner has expired, so that
	// the remaining instances don't all claim the same shards at once.
	Jitter anvilclock.Millis = 500
	// ClaimsPerSecond bounds takeovers by one instance, so that the loss of many owners doesn't make
	// a storm of commits and fences.
	ClaimsPerSecond = 8
	// GivesPerSecond bounds hand-overs that only balance the shards.
	GivesPerSecond = 1
	// Starved is the time after which a shard without an owner is claimed by any instance of the
	// region, beyond its target: those below theirs may be unable to reach the workers.
	Starved anvilclock.Millis = 10_000
	// StarvedHold is the time for which such a shard isn't given up again to balance the region.
	StarvedHold anvilclock.Millis = 60_000
)

type seen struct {
	session Session
	changed anvilclock.Millis
}

// Directory holds the sessions and shards that were read from the table. It is not safe for
// concurrent use.
type Directory struct {
	self     string
	domain   string
	region   string
	sessions map[string]*seen
	shards   map[string]Shard
	claims   bucket
	gives    bucket
	jitter   anvilclock.Millis
	// strangers holds since when the owner of a shard has had no session row.
	strangers map[string]anvilclock.Millis
	free      map[string]anvilclock.Millis // since when a shard could be claimed
	starved   map[string]anvilclock.Millis // when a shard was claimed because it was starved
}

// longGone is a time of strangers that any takeover delay has passed.
const longGone anvilclock.Millis = math.MinInt64 / 2

// DirectoryOption sets an optional part of a Directory.
type DirectoryOption func(*Directory)

// WithJitter sets the longest delay of a takeover after a session's expiry; 0 means none.
func WithJitter(d anvilclock.Millis) DirectoryOption {
	return func(dir *Directory) { dir.jitter = max(d, 0) }
}

// NewDirectory returns an empty directory for an entry instance.
func NewDirectory(self, domain, region string, opts ...DirectoryOption) *Directory {
	d := &Directory{
		self: self, domain: domain, region: region,
		sessions: map[string]*seen{}, shards: map[string]Shard{},
		claims: bucket{rate: ClaimsPerSecond}, gives: bucket{rate: GivesPerSecond},
		jitter: Jitter, strangers: map[string]anvilclock.Millis{},
		free: map[string]anvilclock.Millis{}, starved: map[string]anvilclock.Millis{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// PutSession records a session row that was read at now. A row with the same heartbeat as before, or
// with a smaller one from a stale read, doesn't prolong the session. So an instance that restarts
// under the same id must go on with a larger number.
func (d *Directory) PutSession(s Session, now anvilclock.Millis) {
	old := d.sessions[s.instance]
	if old != nil && old.session.heartbeat >= s.heartbeat {
		return
	}
	d.sessions[s.instance] = &seen{session: s, changed: now}
}

// DropSession forgets a session whose row was deleted.
func (d *Directory) DropSession(instance string) {
	if d.sessions[instance] != nil {
		delete(d.sessions, instance)
		d.strangers[instance] = longGone
	}
}

// PutShard records a shard row. A row older than what is known is dropped.
func (d *Directory) PutShard(s Shard) {
	if old, ok := d.shards[s.name]; ok && old.version > s.version {
		return
	}
	d.shards[s.name] = s
}

// Shard returns a shard by name.
func (d *Directory) Shard(name string) (Shard, bool) {
	s, ok := d.shards[name]
	return s, ok
}

// Shards returns all shards in order of their names.
func (d *Directory) Shards() []Shard {
	out := make([]Shard, 0, len(d.shards))
	for _, s := range d.shards {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Shard) int { return cmp.Compare(a.name, b.name) })
	return out
}

// Alive reports whether a session has changed within the expiry time.
func (d *Directory) Alive(instance string, now anvilclock.Millis) bool {
	s := d.sessions[instance]
	return s != nil && now-s.changed < Expiry
}

// Session returns the session of an instance when it is alive.
func (d *Directory) Session(instance string, now anvilclock.Millis) (Session, bool) {
	if !d.Alive(instance, now) {
		return Session{}, false
	}
	return d.sessions[instance].session, true
}

// Sessions returns the sessions that are alive, in order of their instances.
func (d *Directory) Sessions(now anvilclock.Millis) []Session {
	var out []Session
	for _, s := range d.sessions {
		if now-s.changed < Expiry {
			out = append(out, s.session)
		}
	}
	slices.SortFunc(out, func(a, b Session) int { return cmp.Compare(a.instance, b.instance) })
	return out
}

// Lapsed returns the sessions that have been dead for at least a time, so that their rows can be
// deleted.
func (d *Directory) Lapsed(now, after anvilclock.Millis) []string {
	var out []string
	for name, s := range d.sessions {
		if now-s.changed >= Expiry+after {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Extend moves the last change of every session to now. The caller does this after the table was
// out of reach, when no session could be renewed and none may count as dead.
func (d *Directory) Extend(now anvilclock.Millis) {
	for _, s := range d.sessions {
		s.changed = max(s.changed, now)
	}
	for owner, since := range d.strangers {
		if since != longGone {
			d.strangers[owner] = now
		}
	}
}

// Claims returns the shards of the region that this instance should claim now: shards without an
// owner and shards whose owner's session has expired. Own domain goes first; the order within is
// by rendezvous hash, so that instances that race prefer different shards. It returns nothing while
// this instance's own session isn't alive or is leaving.
//
// Call it after a complete read of sessions and shards, once for each round of claims: what it
// returns counts against the claims of this second.
func (d *Directory) Claims(now anvilclock.Millis) []Shard {
	due := d.due(now)
	self := d.sessions[d.self]
	if self == nil || self.session.leaving || !d.Alive(d.self, now) {
		return nil
	}
	slices.SortFunc(due, func(a, b Shard) int {
		if near := cmp.Compare(d.distance(a), d.distance(b)); near != 0 {
			return near
		}
		return cmp.Compare(d.weight(b), d.weight(a))
	})
	room := d.balance(now, len(due)).room(d.self)
	var out []Shard
	for _, s := range due {
		starved := now-d.free[s.name] >= Starved
		if len(out) >= room && !starved {
			continue
		}
		if starved {
			d.starved[s.name] = now
		}
		out = append(out, s)
	}
	return out[:d.claims.take(len(out), now)]
}

// due returns the shards of the region that may be taken over, and notes since when.
func (d *Directory) due(now anvilclock.Millis) []Shard {
	strangers, free := map[string]anvilclock.Millis{}, map[string]anvilclock.Millis{}
	var out []Shard
	for _, s := range d.shards {
		if s.region != d.region || s.owner == d.self {
			continue
		}
		if s.owner != "" && d.sessions[s.owner] == nil {
			strangers[s.owner] = now
			if since, ok := d.strangers[s.owner]; ok {
				strangers[s.owner] = since
			}
		}
		if now < d.lost(s, strangers)+d.delay(s) {
			continue
		}
		free[s.name] = now
		if since, ok := d.free[s.name]; ok {
			free[s.name] = since
		}
		out = append(out, s)
	}
	d.strangers, d.free = strangers, free
	return out
}

// lost returns when a shard's owner counts as dead. An owner without a session row may only be
// missing in what was read so far, so it gets the time of a session that was read just now.
func (d *Directory) lost(s Shard, strangers map[string]anvilclock.Millis) anvilclock.Millis {
	if s.owner == "" {
		return longGone
	}
	if owner := d.sessions[s.owner]; owner != nil {
		return owner.changed + Expiry
	}
	if since := strangers[s.owner]; since != longGone {
		return since + Expiry
	}
	return longGone
}

// delay returns this instance's delay before it takes over a shard. It is a hash, so that instances
// differ and tests repeat.
func (d *Directory) delay(s Shard) anvilclock.Millis {
	return anvilclock.Millis(d.weight(s) % uint64(d.jitter+1))
}

// Gives returns the shards that this instance should hand over to balance the region. Like Claims
// it is called once for each round.
func (d *Directory) Gives(now anvilclock.Millis) []Shard {
	var out []Shard
	for _, s := range d.shards {
		if s.owner != d.self {
			delete(d.starved, s.name)
			continue
		}
		if at, ok := d.starved[s.name]; s.region == d.region && (!ok || now-at >= StarvedHold) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Shard) int {
		if far := cmp.Compare(d.distance(b), d.distance(a)); far != 0 {
			return far
		}
		return cmp.Compare(d.weight(a), d.weight(b))
	})
	out = out[:min(len(out), d.balance(now, len(d.due(now))).extra(d.self))]
	return out[:d.gives.take(len(out), now)]
}

func (d *Directory) distance(s Shard) int {
	if s.domain == d.domain {
		return 0
	}
	return 1
}

func (d *Directory) weight(s Shard) uint64 { return xxhash.Sum64String(s.name + "\x00" + d.self) }

// bucket is a token bucket that holds one second's worth.
type bucket struct {
	rate   int
	tokens int
	at     anvilclock.Millis
	primed bool
}

func (b *bucket) take(n int, now anvilclock.Millis) int {
	if !b.primed || now-b.at >= 1000 {
		b.tokens, b.at, b.primed = b.rate, now, true
	}
	n = min(n, b.tokens)
	b.tokens -= n
	return n
}
