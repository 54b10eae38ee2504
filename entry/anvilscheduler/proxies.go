package anvilscheduler

import (
	"cmp"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// proxySet holds the instances through which the leader can query the advisor, itself included. The advisor processes
// the queries of one instance one after the other, so the leader spreads its queries over several instances.
type proxySet struct {
	byName map[string]*proxy
	// rates estimate for each queue which share of the workers the advisor approves.
	rates map[string]*approvalRate
	// superseded are the names of instances whose rows can be removed, because a newer process has their address.
	superseded []string
}

// proxy is an instance through which the advisor can be queried.
type proxy struct {
	instance anvilstorage.Instance
	version  int64
	// inflight is the number of queries in flight through the instance, queuedCost the time that the advisor needs for
	// them.
	inflight     int
	queuedCost   anvilclock.Millis
	backoffUntil anvilclock.Millis
	self         bool
	// lastReply is when it last replied; 0 when it never did. latency is the average time of a query through it, without
	// the advisor's own time; 0 while unknown.
	lastReply anvilclock.Millis
	latency   anvilclock.Millis
}

// observeLatency adds a sample from a query that was the only one in flight through the instance.
func (p *proxy) observeLatency(took anvilclock.Millis) {
	took = max(took, 0)
	if p.latency == 0 {
		p.latency = took
		return
	}
	p.latency += (took - p.latency) / latencySamples
}

// expectedDelay returns how long the answer to a new query would take, not counting the cost of that query.
func (p *proxy) expectedDelay() anvilclock.Millis { return p.queuedCost + p.latency }

// approvalRate estimates the share of workers that the advisor approves, with less weight on older answers.
type approvalRate struct {
	queried  float64
	approved float64
}

const (
	// rateSmoothing is the number of workers whose answers have the same weight as the initial estimate of one half.
	rateSmoothing = 8
	// maxRateSamples is the number of queried workers after which the weight of all earlier answers is halved.
	maxRateSamples = 400
	// minApprovalRate is the least estimate: after a series of refusals, a query would name the whole pool otherwise.
	minApprovalRate = 0.1
)

func (r *approvalRate) estimate() float64 {
	return max((r.approved+rateSmoothing/2)/(r.queried+rateSmoothing), minApprovalRate)
}

func (r *approvalRate) observe(queried, approved int) {
	r.queried += float64(queried)
	r.approved += float64(approved)
	if r.queried > maxRateSamples {
		r.queried, r.approved = r.queried/2, r.approved/2
	}
}

func newProxySet(self anvilstorage.Instance) proxySet {
	return proxySet{byName: map[string]*proxy{self.Name(): {instance: self, self: true}}, rates: map[string]*approvalRate{}}
}

// add adds an instance; version is the store's version of its row. At most one instance of an address is kept, the
// newest one: the advisor distinguishes machines, not processes, and would serve two instances of an address one after
// the other.
func (s *proxySet) add(in anvilstorage.Instance, version int64) {
	if p := s.byName[in.Name()]; p != nil {
		p.version = max(p.version, version)
		return
	}
	for name, p := range s.byName {
		if p.instance.Addr() != in.Addr() {
			continue
		}
		if p.self || p.version > version {
			s.superseded = append(s.superseded, in.Name())
			return
		}
		delete(s.byName, name)
		s.superseded = append(s.superseded, name)
	}
	s.byName[in.Name()] = &proxy{instance: in, version: version}
}

func (s *proxySet) remove(name string) {
	if p := s.byName[name]; p != nil && !p.self {
		delete(s.byName, name)
	}
}

// anyWithCPU reports whether another instance with at least milliCPU has replied recently. It returns false for 0,
// which stands for an unknown CPU.
func (s *proxySet) anyWithCPU(milliCPU int64, now anvilclock.Millis) bool {
	if milliCPU == 0 {
		return false
	}
	for _, p := range s.byName {
		if !p.self && p.instance.MilliCPU() >= milliCPU && p.lastReply != 0 && now-p.lastReply < maxAliveReplyAge {
			return true
		}
	}
	return false
}

// relays returns, for each failure domain, the address of the instance that forwards notifications, mapped to the
// addresses of the others. An instance that has replied recently is preferred, then one with more CPU.
func (s *proxySet) relays(now anvilclock.Millis) map[string][]string {
	first := map[string]*proxy{}
	for _, p := range s.byName {
		if best := first[p.instance.Domain()]; !p.self && (best == nil || p.betterRelay(best, now)) {
			first[p.instance.Domain()] = p
		}
	}
	out := make(map[string][]string, len(first))
	for _, p := range first {
		out[p.instance.Addr()] = nil
	}
	for _, p := range s.byName {
		if best := first[p.instance.Domain()]; !p.self && p != best {
			out[best.instance.Addr()] = append(out[best.instance.Addr()], p.instance.Addr())
		}
	}
	return out
}

func (p *proxy) betterRelay(other *proxy, now anvilclock.Millis) bool {
	repliedRecently := func(x *proxy) bool {
		return x.lastReply != 0 && now-x.lastReply < maxRelayReplyAge && now >= x.backoffUntil
	}
	if repliedRecently(p) != repliedRecently(other) {
		return repliedRecently(p)
	}
	return cmp.Or(cmp.Compare(p.instance.MilliCPU(), other.instance.MilliCPU()),
		strings.Compare(other.instance.Name(), p.instance.Name())) > 0
}

func (s *proxySet) rateOf(queue string) *approvalRate {
	r := s.rates[queue]
	if r == nil {
		r = &approvalRate{}
		s.rates[queue] = r
	}
	return r
}

// idle returns the number of instances through which no query is in flight.
func (s *proxySet) idle(now anvilclock.Millis) int {
	n := 0
	for _, p := range s.byName {
		if p.inflight == 0 && now >= p.backoffUntil {
			n++
		}
	}
	return n
}

// pick returns the instance through which a query would be answered first; nil when all are busy or in backoff. The
// cost is the time that the advisor needs for the query. An instance may have several short queries in flight, because
// their round trip takes longer than the advisor's work.
func (s *proxySet) pick(cost, now anvilclock.Millis) *proxy {
	var best *proxy
	for _, p := range s.byName {
		if now < p.backoffUntil || (p.inflight > 0 && p.queuedCost+cost > maxQueuedCost) {
			continue
		}
		if best == nil || p.expectedDelay() < best.expectedDelay() ||
			(p.expectedDelay() == best.expectedDelay() && strings.Compare(p.instance.Name(), best.instance.Name()) < 0) {
			best = p
		}
	}
	return best
}
