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
	// HeartbeatInterval is the time between two heartbeats, which each change the row of the session.
	HeartbeatInterval anvilclock.Millis = 1000
	// Expiry is the time without a heartbeat after which a session has expired: three missed
	// heartbeats and the time of a slow table access.
	Expiry anvilclock.Millis = 4000
	// Jitter is the longest delay of a takeover after the session of the owner has expired, so that
	// the remaining instances don't all claim the same shards at once.
	Jitter anvilclock.Millis = 500
	// ClaimsPerSecond bounds takeovers by one instance, so that the loss of many owners doesn't cause
	// a burst of commits and fence requests.
	ClaimsPerSecond = 8
	// ReleasesPerSecond bounds the shards that one instance releases to balance the region.
	ReleasesPerSecond = 1
	// StarvedAfter is the time after which a shard without an owner is starved: any instance of the
	// region claims it, even beyond its claim quota, because the instances below the floor may be
	// unable to reach the workers.
	StarvedAfter anvilclock.Millis = 10_000
	// StarvedReleaseDelay is the time after its claim for which a shard claimed as starved isn't released to
	// balance the region.
	StarvedReleaseDelay anvilclock.Millis = 60_000
)

type sessionState struct {
	session    Session
	lastChange anvilclock.Millis
}

// Directory holds the sessions and shards that were read from the table and says which shards to claim
// and which to release. It is not safe for concurrent use.
type Directory struct {
	self      string
	domain    string
	region    string
	sessions  map[string]*sessionState
	shards    map[string]Shard
	claims    bucket
	releases  bucket
	maxJitter anvilclock.Millis
	// missingSince holds the owners of shards that have no session row, with the times since when.
	missingSince   map[string]anvilclock.Millis
	claimableSince map[string]anvilclock.Millis // since when a shard could be claimed
	claimedStarved map[string]anvilclock.Millis // when a shard was claimed because it was starved
}

// longAgo is a time so early that every expiry and takeover delay has passed since.
const longAgo anvilclock.Millis = math.MinInt64 / 2

// DirectoryOption configures a Directory.
type DirectoryOption func(*Directory)

// WithJitter sets the longest delay of a takeover after a session's expiry; 0 or less means none.
func WithJitter(d anvilclock.Millis) DirectoryOption {
	return func(dir *Directory) { dir.maxJitter = max(d, 0) }
}

// NewDirectory returns an empty directory for the entry instance self in a failure domain and region.
func NewDirectory(self, domain, region string, opts ...DirectoryOption) *Directory {
	d := &Directory{
		self: self, domain: domain, region: region,
		sessions: map[string]*sessionState{}, shards: map[string]Shard{},
		claims: bucket{rate: ClaimsPerSecond}, releases: bucket{rate: ReleasesPerSecond},
		maxJitter: Jitter, missingSince: map[string]anvilclock.Millis{},
		claimableSince: map[string]anvilclock.Millis{}, claimedStarved: map[string]anvilclock.Millis{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// PutSession records a session row that was read at now. A row with the same heartbeat number as before,
// or with a smaller one from a stale read, doesn't extend the session. So an instance that restarts
// under the same id must continue with a larger number.
func (d *Directory) PutSession(s Session, now anvilclock.Millis) {
	old := d.sessions[s.instance]
	if old != nil && old.session.heartbeat >= s.heartbeat {
		return
	}
	d.sessions[s.instance] = &sessionState{session: s, lastChange: now}
}

// DropSession removes a session whose row was deleted. Its shards can be claimed without waiting for
// the session's expiry.
func (d *Directory) DropSession(instance string) {
	if d.sessions[instance] != nil {
		delete(d.sessions, instance)
		d.missingSince[instance] = longAgo
	}
}

// PutShard records a shard row. A row older than the known one is ignored.
func (d *Directory) PutShard(s Shard) {
	if old, ok := d.shards[s.name]; ok && old.rowVersion > s.rowVersion {
		return
	}
	d.shards[s.name] = s
}

// Shard returns a shard by name; false when no row of it was read.
func (d *Directory) Shard(name string) (Shard, bool) {
	s, ok := d.shards[name]
	return s, ok
}

// Shards returns all shards, of all regions, in order of their names.
func (d *Directory) Shards() []Shard {
	out := make([]Shard, 0, len(d.shards))
	for _, s := range d.shards {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Shard) int { return cmp.Compare(a.name, b.name) })
	return out
}

// Alive reports whether an instance's session has changed within the expiry time.
func (d *Directory) Alive(instance string, now anvilclock.Millis) bool {
	s := d.sessions[instance]
	return s != nil && now-s.lastChange < Expiry
}

// Session returns the session of an instance; false when it is unknown or has expired.
func (d *Directory) Session(instance string, now anvilclock.Millis) (Session, bool) {
	if !d.Alive(instance, now) {
		return Session{}, false
	}
	return d.sessions[instance].session, true
}

// Sessions returns the sessions that have not expired, in order of their instances.
func (d *Directory) Sessions(now anvilclock.Millis) []Session {
	var out []Session
	for _, s := range d.sessions {
		if now-s.lastChange < Expiry {
			out = append(out, s.session)
		}
	}
	slices.SortFunc(out, func(a, b Session) int { return cmp.Compare(a.instance, b.instance) })
	return out
}

// ExpiredSessions returns the sorted instances whose sessions have been expired for at least the duration
// after, so that their rows can be deleted.
func (d *Directory) ExpiredSessions(now, after anvilclock.Millis) []string {
	var out []string
	for name, s := range d.sessions {
		if now-s.lastChange >= Expiry+after {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Extend counts every session as renewed at now. The caller does this after the table was unreachable,
// because no session could be renewed meanwhile and none may count as expired.
func (d *Directory) Extend(now anvilclock.Millis) {
	for _, s := range d.sessions {
		s.lastChange = max(s.lastChange, now)
	}
	for owner, since := range d.missingSince {
		if since != longAgo {
			d.missingSince[owner] = now
		}
	}
}

// Claims returns the shards of the region that this instance should claim now: shards without an
// owner and shards whose owner's session has expired. Those of the instance's own domain come first;
// within a domain the order is by rendezvous hash, so that instances that claim at the same time prefer
// different shards. It returns nothing while this instance's own session has expired or is leaving.
//
// Call it after a complete read of sessions and shards, once for each round of claims: the shards that
// it returns count against ClaimsPerSecond.
func (d *Directory) Claims(now anvilclock.Millis) []Shard {
	claimable := d.claimable(now)
	self := d.sessions[d.self]
	if self == nil || self.session.leaving || !d.Alive(d.self, now) {
		return nil
	}
	slices.SortFunc(claimable, func(a, b Shard) int {
		if byDistance := cmp.Compare(d.distance(a), d.distance(b)); byDistance != 0 {
			return byDistance
		}
		return cmp.Compare(d.weight(b), d.weight(a))
	})
	quota := d.balance(now, len(claimable)).claimQuota(d.self)
	var out []Shard
	for _, s := range claimable {
		starved := now-d.claimableSince[s.name] >= StarvedAfter
		if len(out) >= quota && !starved {
			continue
		}
		if starved {
			d.claimedStarved[s.name] = now
		}
		out = append(out, s)
	}
	return out[:d.claims.take(len(out), now)]
}

// claimable returns the shards of the region that may be taken over, and records since when.
func (d *Directory) claimable(now anvilclock.Millis) []Shard {
	missingSince, claimableSince := map[string]anvilclock.Millis{}, map[string]anvilclock.Millis{}
	var out []Shard
	for _, s := range d.shards {
		if s.region != d.region || s.owner == d.self {
			continue
		}
		if s.owner != "" && d.sessions[s.owner] == nil {
			missingSince[s.owner] = now
			if since, ok := d.missingSince[s.owner]; ok {
				missingSince[s.owner] = since
			}
		}
		if now < d.expiresAt(s, missingSince)+d.takeoverDelay(s) {
			continue
		}
		claimableSince[s.name] = now
		if since, ok := d.claimableSince[s.name]; ok {
			claimableSince[s.name] = since
		}
		out = append(out, s)
	}
	d.missingSince, d.claimableSince = missingSince, claimableSince
	return out
}

// expiresAt returns when the session of a shard's owner expires. An owner without a session row may only
// be missing in what was read so far, so it gets the full expiry time from the first read without it.
func (d *Directory) expiresAt(s Shard, missingSince map[string]anvilclock.Millis) anvilclock.Millis {
	if s.owner == "" {
		return longAgo
	}
	if owner := d.sessions[s.owner]; owner != nil {
		return owner.lastChange + Expiry
	}
	if since := missingSince[s.owner]; since != longAgo {
		return since + Expiry
	}
	return longAgo
}

// takeoverDelay returns this instance's delay before it takes over a shard. It is derived from a hash, so
// that it differs between instances and tests are reproducible.
func (d *Directory) takeoverDelay(s Shard) anvilclock.Millis {
	return anvilclock.Millis(d.weight(s) % uint64(d.maxJitter+1))
}

// Releases returns the shards that this instance should release to balance the region. Like Claims it is
// called once for each round: the shards that it returns count against ReleasesPerSecond.
func (d *Directory) Releases(now anvilclock.Millis) []Shard {
	var out []Shard
	for _, s := range d.shards {
		if s.owner != d.self {
			delete(d.claimedStarved, s.name)
			continue
		}
		if at, ok := d.claimedStarved[s.name]; s.region == d.region && (!ok || now-at >= StarvedReleaseDelay) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Shard) int {
		if byDistance := cmp.Compare(d.distance(b), d.distance(a)); byDistance != 0 {
			return byDistance
		}
		return cmp.Compare(d.weight(a), d.weight(b))
	})
	out = out[:min(len(out), d.balance(now, len(d.claimable(now))).surplus(d.self))]
	return out[:d.releases.take(len(out), now)]
}

func (d *Directory) distance(s Shard) int {
	if s.domain == d.domain {
		return 0
	}
	return 1
}

func (d *Directory) weight(s Shard) uint64 { return xxhash.Sum64String(s.name + "\x00" + d.self) }

// bucket is a token bucket that is refilled to rate tokens when a second has passed.
type bucket struct {
	rate     int
	tokens   int
	refilled anvilclock.Millis
	filled   bool
}

func (b *bucket) take(n int, now anvilclock.Millis) int {
	if !b.filled || now-b.refilled >= 1000 {
		b.tokens, b.refilled, b.filled = b.rate, now, true
	}
	n = min(n, b.tokens)
	b.tokens -= n
	return n
}
