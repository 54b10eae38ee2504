package anvilscheduler

import (
	"cmp"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// asking is who can ask the advisor. It takes one question at a time from each instance.
type asking struct {
	askers map[string]*asker
	// rates tell for each queue which share of the workers the advisor approves.
	rates map[string]*rate
	// former are the names of processes whose rows can be removed.
	former []string
}

type asker struct {
	instance anvilstorage.Instance
	version  int64
	// calls is the number of questions on their way, load the time that the advisor needs for them.
	calls int
	load  anvilclock.Millis
	rest  anvilclock.Millis
	self  bool
	// heard is when it last answered, trip how long questions and answers are on their way through it.
	heard anvilclock.Millis
	trip  anvilclock.Millis
}

// learnTrip takes the time that a question took which had to wait for no other one.
func (k *asker) learnTrip(took anvilclock.Millis) {
	took = max(took, 0)
	if k.trip == 0 {
		k.trip = took
		return
	}
	k.trip += (took - k.trip) / tripMemory
}

// due is when a question would be answered, but for its own cost.
func (k *asker) due() anvilclock.Millis { return k.load + k.trip }

// rate is a share of approvals that follows the newest answers.
type rate struct {
	asked    float64
	approved float64
}

const (
	// ratePrior is the number of workers that the first guess, of one in two, counts for.
	ratePrior = 8
	// rateMemory is the number of judged workers after which older answers count half.
	rateMemory = 400
	// leastRate bounds the share from below, so that a series of refusals does not name the whole pool.
	leastRate = 0.1
)

func (r *rate) share() float64 {
	return max((r.approved+ratePrior/2)/(r.asked+ratePrior), leastRate)
}

func (r *rate) learn(asked, approved int) {
	r.asked += float64(asked)
	r.approved += float64(approved)
	if r.asked > rateMemory {
		r.asked, r.approved = r.asked/2, r.approved/2
	}
}

func newAsking(self anvilstorage.Instance) asking {
	return asking{askers: map[string]*asker{self.Name(): {instance: self, self: true}}, rates: map[string]*rate{}}
}

// add takes an instance that was registered with a version. A newer one at an address takes the place of
// the former process there, because the advisor tells machines apart, not processes.
func (a *asking) add(in anvilstorage.Instance, version int64) {
	if k := a.askers[in.Name()]; k != nil {
		k.version = max(k.version, version)
		return
	}
	for name, k := range a.askers {
		if k.instance.Addr() != in.Addr() {
			continue
		}
		if k.self || k.version > version {
			a.former = append(a.former, in.Name())
			return
		}
		delete(a.askers, name)
		a.former = append(a.former, name)
	}
	a.askers[in.Name()] = &asker{instance: in, version: version}
}

func (a *asking) remove(name string) {
	if k := a.askers[name]; k != nil && !k.self {
		delete(a.askers, name)
	}
}

// stronger reports whether an instance with at least some processor has answered lately.
func (a *asking) stronger(milliCPU int64, now anvilclock.Millis) bool {
	if milliCPU == 0 {
		return false
	}
	for _, k := range a.askers {
		if !k.self && k.instance.MilliCPU() >= milliCPU && k.heard != 0 && now-k.heard < heardLately {
			return true
		}
	}
	return false
}

// relays returns, for each failure domain, the address of the instance that passes news on and the addresses of
// the others. An instance that has answered lately comes first, then one with more processor.
func (a *asking) relays(now anvilclock.Millis) map[string][]string {
	first := map[string]*asker{}
	for _, k := range a.askers {
		if best := first[k.instance.Domain()]; !k.self && (best == nil || k.betterRelay(best, now)) {
			first[k.instance.Domain()] = k
		}
	}
	out := make(map[string][]string, len(first))
	for _, k := range first {
		out[k.instance.Addr()] = nil
	}
	for _, k := range a.askers {
		if best := first[k.instance.Domain()]; !k.self && k != best {
			out[best.instance.Addr()] = append(out[best.instance.Addr()], k.instance.Addr())
		}
	}
	return out
}

func (k *asker) betterRelay(o *asker, now anvilclock.Millis) bool {
	lately := func(x *asker) bool { return x.heard != 0 && now-x.heard < relayLately && now >= x.rest }
	if lately(k) != lately(o) {
		return lately(k)
	}
	return cmp.Or(cmp.Compare(k.instance.MilliCPU(), o.instance.MilliCPU()), strings.Compare(o.instance.Name(), k.instance.Name())) > 0
}

func (a *asking) rateOf(queue string) *rate {
	r := a.rates[queue]
	if r == nil {
		r = &rate{}
		a.rates[queue] = r
	}
	return r
}

// pick returns the instance that has a question answered first; nil when all have enough to do. Short
// questions are sent ahead of the answers to others, because the way to the advisor takes longer than
// they do.
func (a *asking) pick(cost, now anvilclock.Millis) *asker {
	var best *asker
	for _, k := range a.askers {
		if now < k.rest || (k.calls > 0 && k.load+cost > askAhead) {
			continue
		}
		if best == nil || k.due() < best.due() || (k.due() == best.due() && strings.Compare(k.instance.Name(), best.instance.Name()) < 0) {
			best = k
		}
	}
	return best
}
