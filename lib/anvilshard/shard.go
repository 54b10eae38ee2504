// Package anvilshard decides which entry instance owns which shard of workers.
//
// Shards are rows in the platform's table with an owner and an epoch. Sessions are rows that each
// entry instance changes with every heartbeat. The Directory holds the rows that were read and says
// which shards to claim and which to release; it does no I/O.
package anvilshard

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Name returns the name of the shard that a worker belongs to, for n shards in each pool of a failure
// domain; n below 1 counts as 1.
func Name(domain, pool, worker string, n int) string {
	k := xxhash.Sum64String(worker) % uint64(max(n, 1))
	return fmt.Sprintf("%s.%s.%d", domain, pool, k)
}

// Session is the row of an entry instance in the table. A live instance renews it with every heartbeat.
type Session struct {
	instance      string
	heartbeat     int64
	addr          string
	domain        string
	region        string
	leaving       bool
	configVersion int64
}

// NewSession returns a session. addr is the address of the peer protocol, configVersion the version of the
// configuration in force at the instance.
func NewSession(instance, addr, domain, region string, heartbeat, configVersion int64, leaving bool) Session {
	return Session{instance: instance, addr: addr, domain: domain, region: region, heartbeat: heartbeat, configVersion: configVersion, leaving: leaving}
}

// Instance returns the id of the entry instance.
func (s Session) Instance() string { return s.instance }

// Addr returns the address at which the instance serves the peer protocol.
func (s Session) Addr() string { return s.addr }

// Domain returns the instance's failure domain.
func (s Session) Domain() string { return s.domain }

// Region returns the instance's region. The instance claims only shards of this region.
func (s Session) Region() string { return s.region }

// Heartbeat returns the number of the last heartbeat; it rises with every heartbeat.
func (s Session) Heartbeat() int64 { return s.heartbeat }

// Leaving reports whether the instance is about to stop and claims no shards.
func (s Session) Leaving() bool { return s.leaving }

// ConfigVersion returns the version of the configuration in force at the instance.
func (s Session) ConfigVersion() int64 { return s.configVersion }

// Shard is the row of a shard in the table.
type Shard struct {
	name       string
	owner      string
	epoch      int64
	domain     string
	region     string
	pool       string
	since      anvilclock.Millis
	rowVersion int64
	members    []Member
	gapUntil   anvilclock.Millis
}

// Member is a worker that may have run tasks of the shard. An owner adds a worker to the row before it
// places tasks there, so that the next owner knows which workers to fence, even when the worker is no
// longer registered with the platform or its process has been replaced.
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

// Worker returns the id of the worker.
func (m Member) Worker() string { return m.worker }

// Addr returns the address at which the worker serves its protocol.
func (m Member) Addr() string { return m.addr }

// Boot returns the id of the worker's process, which changes when the worker restarts.
func (m Member) Boot() string { return m.boot }

// Size returns the capacity of the worker.
func (m Member) Size() anvilsize.Size { return m.size }

// NewShard returns a shard without an owner and without a row in the table. since is the Unix time at
// which it was created.
func NewShard(name, domain, region, pool string, since anvilclock.Millis) Shard {
	return Shard{name: name, domain: domain, region: region, pool: pool, since: since}
}

// WithOwner returns a copy of s with an owner, an epoch and the version of its row.
func (s Shard) WithOwner(owner string, epoch, rowVersion int64) Shard {
	s.owner, s.epoch, s.rowVersion = owner, epoch, rowVersion
	return s
}

// WithMembers returns a copy of s with other members; it keeps the slice. gapUntil is the Unix time
// up to which records of ended tasks may be lost, because a member's process has exited.
func (s Shard) WithMembers(members []Member, gapUntil anvilclock.Millis) Shard {
	s.members, s.gapUntil = members, gapUntil
	return s
}

// Members returns the workers that may have run tasks of the shard; the slice must not be changed.
func (s Shard) Members() []Member { return s.members }

// GapUntil returns the Unix time up to which records of ended tasks may be lost; 0 when none is lost.
func (s Shard) GapUntil() anvilclock.Millis { return s.gapUntil }

// Name returns the shard's name in the form DOMAIN.POOL.NUMBER.
func (s Shard) Name() string { return s.name }

// Owner returns the id of the entry instance that owns the shard; empty when no instance does.
func (s Shard) Owner() string { return s.owner }

// Epoch returns the fencing epoch, which rises with every takeover.
func (s Shard) Epoch() int64 { return s.epoch }

// Domain returns the failure domain of the shard's workers.
func (s Shard) Domain() string { return s.domain }

// Region returns the region of the shard's workers.
func (s Shard) Region() string { return s.region }

// Pool returns the name of the pool that the shard's workers belong to.
func (s Shard) Pool() string { return s.pool }

// Since returns the Unix time at which the shard was created.
func (s Shard) Since() anvilclock.Millis { return s.since }

// RowVersion returns the version of the shard's row; 0 when there is no row yet.
func (s Shard) RowVersion() int64 { return s.rowVersion }

// Home returns the name of an id's home shard: by rendezvous hashing among the shards of a pool that
// existed at the id's time. It is empty when there was no shard.
func Home(shards []Shard, pool, id string, at anvilclock.Millis) string {
	var best string
	var maxWeight uint64
	for _, s := range shards {
		if !s.existedIn(pool, at) {
			continue
		}
		if h := s.weightFor(id); best == "" || h > maxWeight {
			best, maxWeight = s.name, h
		}
	}
	return best
}
