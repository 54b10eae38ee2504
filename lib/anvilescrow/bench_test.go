package anvilescrow

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilsize"
)

// BenchmarkPlan measures one plan of an owner of 48 of 96 shards with 140 teams, each of which uses
// most of its allocation and demands more, so that the plan reaches its bound. Plan runs on the
// control loop.
func BenchmarkPlan(b *testing.B) {
	l := NewLedger()
	var shards, teams []string
	for i := range 96 {
		shards = append(shards, fmt.Sprintf("s%02d", i))
	}
	l.SetShards(shards)
	for i := range 140 {
		teams = append(teams, fmt.Sprintf("t%03d", i))
		l.SetTeam(teams[i], size(10_000), 1)
		allocations := map[string]anvilsize.Size{}
		for _, s := range shards {
			allocations[s] = size(80)
		}
		l.PutRow(teams[i], allocations, 1)
	}
	for _, s := range shards[:48] {
		l.AddShard(s)
		for _, t := range teams {
			l.Account(s, t).Reserve(size(70))
		}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		for _, t := range teams {
			l.RecordDemand(shards[n%48], t, size(100), 0)
		}
		for _, tr := range l.Plan(0) {
			l.Rejected(tr.ID())
			l.Refreshed(tr.Team())
		}
	}
}
