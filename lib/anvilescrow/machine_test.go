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
			tasks := w.tasks()
			if len(tasks) == 0 {
				t.Skip("nothing runs")
			}
			w.end(rapid.SampledFrom(tasks).Draw(t, "task"))
		},
		"report": func(t *rapid.T) { w.report(w.owner(t)) },
		"plan":   func(t *rapid.T) { w.plan(t, w.owner(t)) },
		"round":  func(t *rapid.T) { w.round(t, w.owner(t)) },
		"begin":  func(t *rapid.T) { w.beginRead(w.owner(t)) },
		"finish": func(t *rapid.T) { w.finishRead(w.owner(t)) },
		"push": func(t *rapid.T) { // the contract comes from a peer before the next read
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
			w.loseAnswer(w.pick(t, func(r *request) bool { return !r.answered }))
		},
		"refuse": func(t *rapid.T) {
			r := w.pick(t, func(r *request) bool { return !r.delivered && !r.answered })
			r.delivered = true
			w.answer(r)
		},
		"late": func(t *rapid.T) { // the outcome of a commit becomes known after its answer was lost
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
		"notice": func(t *rapid.T) { w.dropLostShards(w.owner(t)) },
		"kill": func(t *rapid.T) {
			w.restart(rapid.SampledFrom(ownerNames).Draw(t, "owner"))
		},
	}
}

// Guards against a team that runs more than its limit after delayed and lost commits, takeovers and
// changes of the limit, and against allocations that are never given back.
func TestLedgers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.neverRefresh = rapid.Bool().Draw(t, "never refresh")
		t.Repeat(actions(w))
		for _, task := range w.tasks() {
			w.end(task)
		}
		w.stabilize(t, 40)
		for _, team := range teamNames {
			floor := w.contracts[team].limit.Ratio(1, 2*int64(len(shardNames)))
			for _, shard := range shardNames {
				anvilassert.Equal(t, "allocation of "+team+" in "+shard+" without demand", w.escrow[team].allocations[shard], floor)
			}
			w.startLargest(t, team, floor)
		}
	})
}

// startLargest starts one task of the size that the other shards' floors leave of the limit.
func (w *world) startLargest(t *rapid.T, team string, floor anvilsize.Size) {
	shard := rapid.SampledFrom(shardNames).Draw(t, "shard")
	largest := w.contracts[team].limit.Sub(floor.Scale(int64(len(shardNames) - 1)))
	for range 6 {
		if w.start(w.owners[w.shards[shard].owner], shard, team, largest) {
			return
		}
		w.stabilize(t, 1)
	}
	t.Fatalf("team %s can't use %v in %s; allocations %v", team, largest, shard, w.escrow[team].allocations)
}

// Guards against a delayed commit of a former owner that lowers an allocation which the next owner uses.
// Without the check of the shards' rows the model must show this fault.
func TestDelayedCommitOfFormerOwner(t *testing.T) {
	run := func(t *testing.T, skipShardChecks bool) anvilsize.Size {
		w := newWorld()
		w.skipShardChecks = skipShardChecks
		w.stabilize(t, 10)
		a, b := w.owners["a"], w.owners["b"]
		w.start(a, "s1", "red", size(30))
		w.stabilize(t, 4)
		anvilassert.True(t, w.start(a, "s1", "red", size(30)), "the allocation did not grow")
		w.end(w.tasks()[0])
		w.report(a)
		w.now += 10 * DefaultIdle
		for range 4 {
			w.plan(t, a) // the transfer that lowers s1 stays in flight
			w.now += DefaultIdle
		}
		anvilassert.Equal(t, "transfers in flight", len(w.requests), 1)
		w.takeOver(b, "s1")
		anvilassert.True(t, w.start(b, "s1", "red", size(30)), "the new owner can't use the allocation")
		w.deliver(t, w.requests[0])
		return w.escrow["red"].allocations["s1"]
	}
	t.Run("checked", func(t *testing.T) {
		anvilassert.True(t, size(30).Fits(run(t, false)), "a former owner lowered an allocation in use")
	})
	t.Run("unchecked", func(t *testing.T) {
		anvilassert.True(t, !size(30).Fits(run(t, true)), "the model doesn't show the fault")
	})
}
