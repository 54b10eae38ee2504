package anvilescrow

import (
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

func actions(w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { w.check(t) },
		"wait": func(t *rapid.T) {
			w.now += anvilclock.Millis(rapid.IntRange(1, 1200).Draw(t, "ms"))
		},
		"start": func(t *rapid.T) {
			o, shard := w.owner(t), rapid.SampledFrom(shardNames).Draw(t, "shard")
			s := size(int64(rapid.IntRange(1, 60).Draw(t, "size")))
			w.start(o, shard, rapid.SampledFrom(teamNames).Draw(t, "team"), s)
		},
		"burst": func(t *rapid.T) {
			team := rapid.SampledFrom(teamNames).Draw(t, "team")
			for _, shard := range shardNames {
				if o := w.owners[w.shards[shard].owner]; o != nil {
					for w.start(o, shard, team, size(5)) {
						continue
					}
				}
			}
		},
		"end": func(t *rapid.T) {
			jobs := w.jobs()
			if len(jobs) == 0 {
				t.Skip("nothing runs")
			}
			w.end(rapid.SampledFrom(jobs).Draw(t, "task"))
		},
		"report": func(t *rapid.T) { w.report(w.owner(t)) },
		"plan":   func(t *rapid.T) { w.plan(t, w.owner(t)) },
		"round":  func(t *rapid.T) { w.round(t, w.owner(t)) },
		"begin":  func(t *rapid.T) { w.begin(w.owner(t)) },
		"finish": func(t *rapid.T) { w.finish(w.owner(t)) },
		"push": func(t *rapid.T) { // the contract arrives from a peer before the next read
			team := rapid.SampledFrom(teamNames).Draw(t, "team")
			c := w.contracts[team]
			w.owner(t).ledger.SetTeam(team, c.limit, c.version)
		},
		"deliver": func(t *rapid.T) {
			w.deliver(t, w.pick(t, func(r *request) bool { return !r.delivered }))
		},
		"answer": func(t *rapid.T) {
			w.answer(w.pick(t, func(r *request) bool { return r.delivered && !r.answered }))
		},
		"complete": func(t *rapid.T) {
			r := w.pick(t, func(r *request) bool { return !r.delivered && !r.answered })
			w.deliver(t, r)
			w.answer(r)
		},
		"lose": func(t *rapid.T) {
			w.lose(w.pick(t, func(r *request) bool { return !r.answered }))
		},
		"refuse": func(t *rapid.T) {
			r := w.pick(t, func(r *request) bool { return !r.delivered && !r.answered })
			r.delivered = true
			w.answer(r)
		},
		"late": func(t *rapid.T) { // an answer that is read back after the doubt
			r := w.pick(t, func(r *request) bool { return r.delivered && r.answered && r.ok })
			w.answer(r)
		},
		"limit": func(t *rapid.T) {
			s := size(int64(rapid.IntRange(0, 120).Draw(t, "limit")))
			w.setLimit(rapid.SampledFrom(teamNames).Draw(t, "team"), s)
		},
		"takeover": func(t *rapid.T) {
			w.takeOver(w.owner(t), rapid.SampledFrom(shardNames).Draw(t, "shard"))
		},
		"notice": func(t *rapid.T) { w.notice(w.owner(t)) },
		"kill": func(t *rapid.T) {
			w.boot(rapid.SampledFrom(ownerNames).Draw(t, "owner"))
		},
	}
}

// Guards against a team that runs more than its limit after delayed and lost commits, takeovers and
// changes of the limit, and against parts that nobody gets back.
func TestLedgers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.unsettled = rapid.Bool().Draw(t, "unsettled")
		t.Repeat(actions(w))
		for _, job := range w.jobs() {
			w.end(job)
		}
		w.settle(t, 40)
		for _, team := range teamNames {
			floor := w.contracts[team].limit.Ratio(1, 2*int64(len(shardNames)))
			for _, shard := range shardNames {
				anvilassert.Equal(t, "part of "+team+" in "+shard+" without demand", w.escrow[team].parts[shard], floor)
			}
			w.claimAll(t, team, floor)
		}
	})
}

// claimAll starts one task of all that the other shards' floors leave.
func (w *world) claimAll(t *rapid.T, team string, floor anvilsize.Size) {
	shard := rapid.SampledFrom(shardNames).Draw(t, "shard")
	all := w.contracts[team].limit.Sub(floor.Scale(int64(len(shardNames) - 1)))
	for range 6 {
		if w.start(w.owners[w.shards[shard].owner], shard, team, all) {
			return
		}
		w.settle(t, 1)
	}
	t.Fatalf("team %s can't use %v in %s; parts %v", team, all, shard, w.escrow[team].parts)
}

// Guards against a model that can't fail: without the check of the shards' rows a former owner's
// delayed commit lowers a part that the next owner uses.
func TestFormerOwner(t *testing.T) {
	run := func(t *testing.T, unchecked bool) anvilsize.Size {
		w := newWorld()
		w.unchecked = unchecked
		w.settle(t, 10)
		a, b := w.owners["a"], w.owners["b"]
		w.start(a, "s1", "red", size(30))
		w.settle(t, 4)
		anvilassert.True(t, w.start(a, "s1", "red", size(30)), "the part did not grow")
		w.end(w.jobs()[0])
		w.report(a)
		w.now += 10 * Idle
		for range 4 {
			w.plan(t, a) // the transfer that lowers s1 stays on its way
			w.now += Idle
		}
		anvilassert.Equal(t, "moves on their way", len(w.requests), 1)
		w.takeOver(b, "s1")
		anvilassert.True(t, w.start(b, "s1", "red", size(30)), "the part did not pass to the new owner")
		w.deliver(t, w.requests[0])
		return w.escrow["red"].parts["s1"]
	}
	t.Run("checked", func(t *testing.T) {
		anvilassert.True(t, size(30).Fits(run(t, false)), "a former owner lowered a part in use")
	})
	t.Run("unchecked", func(t *testing.T) {
		anvilassert.True(t, !size(30).Fits(run(t, true)), "the model doesn't show the fault")
	})
}
