// Package anvilshard decides which entry instance owns which shard of workers.
//
// Shards are rows in the platform's table with an owner and an epoch. Sessions are rows that each
// entry instance changes with every heartbeat. The Directory holds what was read of both and says
// which shards to claim and which to give back; it does no I/O.
package anvilshard

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Name returns the name of the shard that holds a worker, for n shards in each pool of a failure
// domain.
func Name(domain, pool, worker string, n int) string {
	k := xxhash.Sum64String(worker) % uint64(max(n, 1))
	return fmt.Sprintf("%s.%s.%d", domain, pool, k)
}

// Session is an entry instance as its row in the table shows it.
type Session struct {
	instance  string
	heartbeat int64
	addr      string
	domain    string
	region    string
	leaving   bool
	version   int64
}

// NewSession returns a session row.
func NewSession(instance, addr, domain, region string, heartbeat, version int64, leaving bool) Session {
	return Session{instance: instance, addr: addr, domain: domain, region: region, heartbeat: heartbeat, version: version, leaving: leaving}
}

// Instance returns the instance's id.
func (s Session) Instance() string { return s.instance }

// Addr returns the address of the peer protocol.
func (s Session) Addr() string { return s.addr }

// Domain returns the failure domain.
func (s Session) Domain() string { return s.domain }

// Region returns the region.
func (s Session) Region() string { return s.region }

// Heartbeat returns the heartbeat's number.
func (s Session) Heartbeat() int64 { return s.heartbeat }

// Leaving reports whether the instance is leaving.
func (s Session) Leaving() bool { return s.leaving }

// Version returns the configuration version in force at the instance.
func (s Session) Version() int64 { return s.version }

// Shard is a shard as its row in the table shows it.
type Shard struct {
	name    string
	owner   string
	epoch   int64
	domain  string
	region  string
	pool    string
	since   anvilclock.Millis
	version int64
	members []Member
	gap     anvilclock.Millis
}

// Member is a worker that may have run tasks of the shard. An owner lists a worker in the row
// before it places there, so that the next owner knows whom to ask, even when the platform's list
// no longer has the worker or its process has been replaced.
type Member struct {
	worker string
	addr   string
	boot   string
	size   anvilsize.Size
}

// NewMember returns a member; boot is the id of the worker's process.
func NewMember(worker, addr, boot string, size anvilsize.Size) Member {
	return Member{worker: worker, addr: addr, boot: boot, size: size}
}

// Worker returns the worker's id.
func (m Member) Worker() string { return m.worker }

// Addr returns the address of the worker's protocol.
func (m Member) Addr() string { return m.addr }

// Boot returns the id of the worker's process.
func (m Member) Boot() string { return m.boot }

// Size returns the worker's capacity.
func (m Member) Size() anvilsize.Size { return m.size }

// NewShard returns a shard without an owner, as it is before its row exists.
func NewShard(name, domain, region, pool string, since anvilclock.Millis) Shard {
	return Shard{name: name, domain: domain, region: region, pool: pool, since: since}
}

// Owned returns a copy of s as it is read from the table.
func (s Shard) Owned(owner string, epoch, version int64) Shard {
	s.owner, s.epoch, s.version = owner, epoch, version
	return s
}

// WithMembers returns a copy of s with other members. gap is the Unix time up to which records of
// ended tasks may be lost, because a member's process has gone.
func (s Shard) WithMembers(members []Member, gap anvilclock.Millis) Shard {
	s.members, s.gap = members, gap
	return s
}

// Members returns the members; the slice must not be changed.
func (s Shard) Members() []Member { return s.members }

// Gap returns the Unix time up to which records of ended tasks may be lost.
func (s Shard) Gap() anvilclock.Millis { return s.gap }

// Name returns the shard's name.
func (s Shard) Name() string { return s.name }

// Owner returns the owner, empty when there is none.
func (s Shard) Owner() string { return s.owner }

// Epoch returns the epoch.
func (s Shard) Epoch() int64 { return s.epoch }

// Domain returns the failure domain.
func (s Shard) Domain() string { return s.domain }

// Region returns the region.
func (s Shard) Region() string { return s.region }

// Pool returns the pool.
func (s Shard) Pool() string { return s.pool }

// Since returns the Unix time at which the shard was created.
func (s Shard) Since() anvilclock.Millis { return s.since }

// Version returns the version of the row; 0 when there is no row yet.
func (s Shard) Version() int64 { return s.version }

// Home returns the home shard of an id among the shards of a pool that existed at the id's time,
// by rendezvous hashing. It returns an empty name when there is none.
func Home(shards []Shard, pool, id string, at anvilclock.Millis) string {
	var best string
	var most uint64
	for _, s := range shards {
		if !s.holds(pool, at) {
			continue
		}
		if h := s.weightFor(id); best == "" || h > most {
			best, most = s.name, h
		}
	}
	return best
}
