package anvilbench

import (
	"cmp"
	"fmt"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// pamoja returns the fleet of the first user: 35 layout and 13 cutting workers in three failure domains.
func pamoja() []workerSpec {
	var out []workerSpec
	for i := range 35 {
		out = append(out, workerSpec{
			id: fmt.Sprintf("layout%02d", i), pool: "layout", domain: fmt.Sprintf("d%d", i%3),
			capacity: anvilsize.New(64_000, 128*1024, 0),
		})
	}
	for i := range 13 {
		out = append(out, workerSpec{
			id: fmt.Sprintf("cutting%02d", i), pool: "cutting", domain: fmt.Sprintf("d%d", i%3),
			capacity: anvilsize.New(64_000, 256*1024, 8),
		})
	}
	return out
}

// coastal returns the fleet of the second user: its dispatch pool in three failure domains.
func coastal() []workerSpec {
	var out []workerSpec
	for i := range 35 {
		out = append(out, workerSpec{
			id: fmt.Sprintf("dispatch%02d", i), pool: "dispatch", domain: fmt.Sprintf("d%d", i%3),
			capacity: anvilsize.New(32_000, 64*1024, 0),
		})
	}
	return out
}

// loadSpec describes a load: its fleet, and the function that adds its jobs.
type loadSpec struct {
	name    string
	fleet   func() []workerSpec
	addJobs func(b *jobBuilder)
}

const (
	firstBurst    = anvilclock.Millis(60_000)
	burstInterval = anvilclock.Millis(120_000)
	burstLength   = anvilclock.Millis(20_000)

	heavyTeam   = 3 // number of the team whose weight is not 1
	heavyWeight = 2
)

// studio adds services, and the calls of editing sessions: a low rate with bursts of six times that rate.
func studio(b *jobBuilder) {
	b.services()
	b.calls(20, 0, b.horizon)
	for at := firstBurst; at < b.horizon; at += burstInterval {
		b.calls(100, at, min(at+burstLength, b.horizon))
	}
}

func overnight(b *jobBuilder) {
	for range 1500 {
		b.layoutBatch(0, 180_000)
	}
	for range 300 {
		b.cuttingBatch(0, 180_000)
	}
	b.poissonArrivals(2, 0, b.horizon, func(at anvilclock.Millis) { b.layoutBatch(at, 180_000) })
}

func steady(b *jobBuilder) {
	b.services()
	b.calls(40, 0, b.horizon)
	b.poissonArrivals(2, 0, b.horizon, func(at anvilclock.Millis) { b.layoutBatch(at, 90_000) })
	b.poissonArrivals(0.5, 0, b.horizon, func(at anvilclock.Millis) { b.cuttingBatch(at, 90_000) })
	b.poissonArrivals(1.0/60, 0, b.horizon, func(at anvilclock.Millis) { b.gang(at, 16) })
}

func loadSpecs() []loadSpec {
	return []loadSpec{
		{"steady", pamoja, func(b *jobBuilder) {
			steady(b)
			b.urgent()
		}},
		{"burst", pamoja, func(b *jobBuilder) {
			overnight(b)
			studio(b)
			b.urgent()
		}},
		{"gang", pamoja, func(b *jobBuilder) {
			b.services()
			b.calls(20, 0, b.horizon)
			for range 300 {
				b.cuttingBatch(0, 60_000)
			}
			b.poissonArrivals(1.2, 0, b.horizon, func(at anvilclock.Millis) { b.cuttingBatch(at, 60_000) })
			b.poissonArrivals(1.0/25, 0, b.horizon, func(at anvilclock.Millis) { b.gang(at, 48) })
			b.urgent()
		}},
		{"greedy", coastal, greedy},
		{"wrong", pamoja, func(b *jobBuilder) {
			steady(b)
			for range 400 {
				b.layoutBatch(0, 180_000)
			}
			b.urgent()
			b.distortDeclarations(anvilsize.New(64_000, 128*1024, 8))
		}},
	}
}

// greedy fills the fleet with the tasks of one team before those of five other teams arrive. Each team submits more
// than its share. Teams 1 and 2 need mostly memory.
func greedy(b *jobBuilder) {
	submit := func(at anvilclock.Millis, team int) {
		cpu, memory := b.powerOfTwo(0, 3)*1000, b.powerOfTwo(0, 3)*1024
		if team == 1 || team == 2 {
			cpu, memory = b.powerOfTwo(0, 1)*1000, b.powerOfTwo(2, 4)*1024
		}
		b.add(at, anviltask.Batch, "dispatch", fmt.Sprint("team", team), anvilsize.New(cpu, memory, 0), b.uniform(10_000, 60_000))
	}
	for range 1500 {
		submit(0, 0)
	}
	b.poissonArrivals(3, 0, b.horizon, func(at anvilclock.Millis) { submit(at, 0) })
	for team := 1; team < 6; team++ {
		for range 120 {
			submit(60_000, team)
		}
		rate := 2.0
		if team == heavyTeam {
			rate *= heavyWeight
		}
		b.poissonArrivals(rate, 60_000, b.horizon, func(at anvilclock.Millis) { submit(at, team) })
	}
	b.poissonArrivals(0.1, 0, b.horizon, func(at anvilclock.Millis) {
		b.add(at, anviltask.Batch, "dispatch", "team5", anvilsize.New(b.powerOfTwo(0, 2)*1000, b.powerOfTwo(0, 3)*1024, 0),
			b.uniform(5000, 20_000), anviltask.WithUrgent(true))
	})
}

// build generates the load. With failing, one worker in sixteen fails every task that it starts.
func (s loadSpec) build(seed uint64, horizon anvilclock.Millis, failing bool) load {
	b := newJobBuilder(seed, s.name, horizon)
	s.addJobs(b)
	l := load{
		name: s.name, fleet: s.fleet(), jobs: b.jobs, horizon: horizon, sharesFrom: 180_000,
		weights: map[string]int64{fmt.Sprint("team", heavyTeam): heavyWeight},
	}
	if l.sharesFrom > horizon/2 {
		l.sharesFrom = horizon / 2
	}
	if failing {
		l.name += ".failing"
		for i := range l.fleet {
			l.fleet[i].failing = i%16 == 5
		}
	}
	slices.SortStableFunc(l.jobs, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	return l
}
