// Package anvilroute chooses the entry instance to which a task is sent, based on the summaries that entry
// instances exchange.
package anvilroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// maxAge is the age above which a summary is ignored. Summaries arrive once a second, and a session that hasn't
// been renewed for 4 s has expired, so an older summary describes shards that are being taken over.
const maxAge = anvilclock.Millis(5000)

// Peer is the summary of one entry instance.
type Peer struct {
	instance     string
	domain       string
	region       string
	pools        []poolSummary
	teamsAtLimit map[string]bool
	leaving      bool
}

// poolSummary describes the workers of a pool that an instance owns in one failure domain. sent is the total
// size of the tasks sent there since the summary.
type poolSummary struct {
	pool    string
	domain  string
	free    anvilsize.Size
	largest anvilsize.Size
	queued  int
	workers int
	sent    anvilsize.Size
}

// PeerOption configures a Peer.
type PeerOption func(*Peer)

// WithPool adds what the instance owns of a pool in a failure domain: the sum of the free sizes, the largest
// free size, the number of queued tasks and the number of schedulable workers.
func WithPool(pool, domain string, free, largest anvilsize.Size, queued, workers int) PeerOption {
	return func(p *Peer) {
		p.pools = append(p.pools, poolSummary{
			pool: pool, domain: domain, free: free, largest: largest, queued: queued, workers: workers,
		})
	}
}

// WithTeamsAtLimit names the teams whose allocations held in escrow by the instance are used up.
func WithTeamsAtLimit(teams ...string) PeerOption {
	return func(p *Peer) {
		for _, t := range teams {
			p.teamsAtLimit[t] = true
		}
	}
}

// WithLeaving sets whether the instance is leaving and accepts no more tasks.
func WithLeaving(leaving bool) PeerOption { return func(p *Peer) { p.leaving = leaving } }

// NewPeer returns the summary of an instance in the given failure domain and region.
func NewPeer(instance, domain, region string, opts ...PeerOption) Peer {
	p := Peer{instance: instance, domain: domain, region: region, teamsAtLimit: map[string]bool{}}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// Instance returns the name of the instance that the summary describes.
func (p Peer) Instance() string { return p.instance }

type row struct {
	peer Peer
	at   anvilclock.Millis
}

// Table is the routing table: the newest summary of each other instance. It is not safe for concurrent use.
type Table struct {
	self   string
	domain string
	region string
	rng    *rand.Rand
	rows   []*row
}

// New returns an empty table for the instance self, which is in the given failure domain and region. The seed
// determines the random choices.
func New(self, domain, region string, seed uint64) *Table {
	return &Table{self: self, domain: domain, region: region, rng: rand.New(rand.NewPCG(seed, 0))}
}

func (t *Table) find(instance string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, instance, func(r *row, instance string) int {
		return strings.Compare(r.peer.instance, instance)
	})
}

// Put adds or replaces the summary of an instance. It resets the record of what was sent to the instance,
// because the new summary includes that. A summary of self is ignored.
func (t *Table) Put(p Peer, now anvilclock.Millis) {
	if p.instance == t.self {
		return
	}
	p.pools = slices.Clone(p.pools)
	i, ok := t.find(p.instance)
	if ok {
		t.rows[i] = &row{peer: p, at: now}
		return
	}
	t.rows = slices.Insert(t.rows, i, &row{peer: p, at: now})
}

// Remove deletes the summary of an instance.
func (t *Table) Remove(instance string) {
	if i, ok := t.find(instance); ok {
		t.rows = slices.Delete(t.rows, i, i+1)
	}
}

// KnowsPool reports whether any summary, however old, names the pool.
func (t *Table) KnowsPool(pool string) bool {
	for _, r := range t.rows {
		for i := range r.peer.pools {
			if r.peer.pools[i].pool == pool {
				return true
			}
		}
	}
	return false
}

// Distances from this instance to the workers of a pool, nearest first.
const (
	sameDomain = iota
	sameRegion
	otherRegion
	distances
)

func (t *Table) distance(p *Peer, s *poolSummary) int {
	switch {
	case s.domain == t.domain:
		return sameDomain
	case p.region == t.region:
		return sameRegion
	default:
		return otherRegion
	}
}

type candidate struct {
	instance string
	pool     *poolSummary
	slots    int64
}

// Choose returns the instance to send a task to, or false when there is none. It skips the instances in tried.
// Instances with free slots come before those where the task would wait, and nearer ones before farther ones.
// Among equally near ones it draws two at random and takes the one with more free slots for the size, less what
// was sent there since its summary, or, where the task would wait, the one with the shorter queue per worker. If
// every instance took the one with the most slots, all of them would send their tasks to the same owner. Choose
// counts the task as sent to the chosen instance.
func (t *Table) Choose(pool, team string, size anvilsize.Size, tried []string, now anvilclock.Millis) (instance string, ok bool) {
	var free, full [distances][]candidate
	for _, r := range t.rows {
		p := &r.peer
		if now-r.at > maxAge || p.leaving || team != "" && p.teamsAtLimit[team] || slices.Contains(tried, p.instance) {
			continue
		}
		for i := range p.pools {
			s := &p.pools[i]
			if s.pool != pool || s.workers == 0 {
				continue
			}
			d := t.distance(p, s)
			c := candidate{instance: p.instance, pool: s, slots: s.slots(size)}
			if c.slots > 0 {
				free[d] = append(free[d], c)
			} else {
				full[d] = append(full[d], c)
			}
		}
	}
	for _, cs := range free {
		if len(cs) > 0 {
			return t.chooseOfTwo(cs, size, moreSlots), true
		}
	}
	for _, cs := range full {
		if len(cs) > 0 {
			return t.chooseOfTwo(cs, size, shorterQueue), true
		}
	}
	return "", false
}

// slots returns how many tasks of the given size fit into the free size less what was sent.
func (s *poolSummary) slots(size anvilsize.Size) int64 {
	if !size.Fits(s.largest) {
		return 0
	}
	n := int64(s.workers) << 20
	left := s.free.Sub(s.sent)
	for _, d := range anvilsize.Dimensions() {
		if size.In(d) > 0 {
			n = min(n, left.In(d)/size.In(d))
		}
	}
	return max(n, 0)
}

func moreSlots(a, b candidate) int { return cmp.Compare(b.slots, a.slots) }

// shorterQueue compares the numbers of queued tasks per worker.
func shorterQueue(a, b candidate) int {
	return cmp.Compare(a.pool.queued*b.pool.workers, b.pool.queued*a.pool.workers)
}

// chooseOfTwo draws two candidates at random, takes the better one and counts the task as sent to it.
func (t *Table) chooseOfTwo(cs []candidate, size anvilsize.Size, compare func(a, b candidate) int) string {
	best := cs[0]
	if len(cs) > 1 {
		i := t.rng.IntN(len(cs))
		j := t.rng.IntN(len(cs) - 1)
		if j >= i {
			j++
		}
		best = cs[i]
		if compare(cs[j], best) < 0 {
			best = cs[j]
		}
	}
	best.pool.sent = best.pool.sent.Add(size)
	best.pool.queued++
	return best.instance
}
