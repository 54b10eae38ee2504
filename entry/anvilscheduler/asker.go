package anvilscheduler

import (
	"cmp"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// proxySet is who can ask the advisor. It takes one question at a time from each instance.
type proxySet struct {
	byName map[string]*proxy
	// rates tell for each queue which share of the workers the advisor approves.
	rates map[string]*approvalRate
	// superseded are the names of processes whose rows can be removed.
	superseded []string
}

type proxy struct {
	instance anvilstorage.Instance
	version  int64
	// inflight is the number of questions on their way, load the time that the advisor needs for them.
	inflight     int
	queuedCost   anvilclock.Millis
	backoffUntil anvilclock.Millis
	self         bool
	// lastReply is when it last answered, trip how long questions and answers are on their way through it.
	lastReply anvilclock.Millis
	latency   anvilclock.Millis
}

// observeLatency takes the time that a question took which had to wait for no other one.
func (p *proxy) observeLatency(took anvilclock.Millis) {
	took = max(took, 0)
	if p.latency == 0 {
		p.latency = took
		return
	}
	p.latency += (took - p.latency) / latencySamples
}

// expectedDelay is when a question would be answered, but for its own cost.
func (p *proxy) expectedDelay() anvilclock.Millis { return p.queuedCost + p.latency }

// approvalRate is a share of approvals that follows the newest answers.
type approvalRate struct {
	queried  float64
	approved float64
}

const (
	// rateSmoothing is the number of workers that the first guess, of one in two, counts for.
	rateSmoothing = 8
	// maxRateSamples is the number of judged workers after which older answers count half.
	maxRateSamples = 400
	// minApprovalRate bounds the share from below, so that a series of refusals does not name the whole pool.
	minApprovalRate = 0.1
)

func (r *approvalRate) estimate() float64 {
	return max((r.approved+rateSmoothing/2)/(r.queried+rateSmoothing), minApprovalRate)
}

func (r *approvalRate) observe(asked, approved int) {
	r.queried += float64(asked)
	r.approved += float64(approved)
	if r.queried > maxRateSamples {
		r.queried, r.approved = r.queried/2, r.approved/2
	}
}

func newProxySet(self anvilstorage.Instance) proxySet {
	return proxySet{byName: map[string]*proxy{self.Name(): {instance: self, self: true}}, rates: map[string]*approvalRate{}}
}

// add takes an instance that was registered with a version. A newer one at an address takes the place of
// the former process there, because the advisor tells machines apart, not processes.
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

// hasCPU reports whether an instance with at least some processor has answered lately.
func (s *proxySet) hasCPU(milliCPU int64, now anvilclock.Millis) bool {
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

// relays returns, for each failure domain, the address of the instance that passes news on and the addresses of
// the others. An instance that has answered lately comes first, then one with more processor.
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

func (p *proxy) betterRelay(o *proxy, now anvilclock.Millis) bool {
	repliedRecently := func(x *proxy) bool {
		return x.lastReply != 0 && now-x.lastReply < maxRelayReplyAge && now >= x.backoffUntil
	}
	if repliedRecently(p) != repliedRecently(o) {
		return repliedRecently(p)
	}
	return cmp.Or(cmp.Compare(p.instance.MilliCPU(), o.instance.MilliCPU()), strings.Compare(o.instance.Name(), p.instance.Name())) > 0
}

func (s *proxySet) rateOf(queue string) *approvalRate {
	r := s.rates[queue]
	if r == nil {
		r = &approvalRate{}
		s.rates[queue] = r
	}
	return r
}

// pick returns the instance that has a question answered first; nil when all have enough to do. Short
// questions are sent ahead of the answers to others, because the way to the advisor takes longer than
// they do.
func (s *proxySet) pick(cost, now anvilclock.Millis) *proxy {
	var best *proxy
	for _, p := range s.byName {
		if now < p.backoffUntil || (p.inflight > 0 && p.queuedCost+cost > maxQueuedCost) {
			continue
		}
		if best == nil || p.expectedDelay() < best.expectedDelay() || (p.expectedDelay() == best.expectedDelay() && strings.Compare(p.instance.Name(), best.instance.Name()) < 0) {
			best = p
		}
	}
	return best
}
