package anvilbench

import (
	"fmt"
	"math/rand/v2"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// job is a task with its true run time and usage, which the scheduler doesn't know.
type job struct {
	task      *anviltask.Task
	arrival   anvilclock.Millis
	remaining anvilclock.Millis
	usage     anvilsize.Size
	started   bool
	failedOn  map[string]bool
}

// workerSpec describes a worker. A failing one fails every task that it starts.
type workerSpec struct {
	id       string
	pool     string
	domain   string
	capacity anvilsize.Size
	failing  bool
}

// load is a fleet with the jobs that arrive at it.
type load struct {
	name       string
	fleet      []workerSpec
	jobs       []*job
	weights    map[string]int64
	horizon    anvilclock.Millis
	sharesFrom anvilclock.Millis // shares are sampled from this time on
}

// jobBuilder generates the random jobs of a load, which depend only on the seed, the load's name and the horizon.
type jobBuilder struct {
	rng     *rand.Rand
	jobs    []*job
	horizon anvilclock.Millis
}

func newJobBuilder(seed uint64, name string, horizon anvilclock.Millis) *jobBuilder {
	var salt uint64
	for _, c := range name {
		salt = salt*31 + uint64(c)
	}
	return &jobBuilder{rng: rand.New(rand.NewPCG(seed, salt)), horizon: horizon}
}

func (b *jobBuilder) uniform(low, high int64) int64 { return low + b.rng.Int64N(high-low+1) }

// powerOfTwo returns a power of two whose exponent is from low to high. Teams declare sizes in such steps.
func (b *jobBuilder) powerOfTwo(low, high int) int64 { return 1 << b.uniform(int64(low), int64(high)) }

func (b *jobBuilder) team() string { return fmt.Sprintf("team%d", b.rng.IntN(6)) }

func (b *jobBuilder) add(at anvilclock.Millis, k anviltask.Kind, pool, team string, s anvilsize.Size, run int64, opts ...anviltask.Option) {
	id := fmt.Sprintf("%s%06d", k, len(b.jobs))
	workspace := fmt.Sprintf("ws%d", min(b.rng.IntN(3), b.rng.IntN(3)))
	opts = append([]anviltask.Option{
		anviltask.WithTeam(team, workspace), anviltask.WithSize(s), anviltask.WithRunTime(anvilclock.Millis(run)),
	}, opts...)
	b.jobs = append(b.jobs, &job{
		task: anviltask.New(id, k, pool, opts...), arrival: at, remaining: anvilclock.Millis(run), usage: s,
	})
}

// poissonArrivals calls f with random times between from and to, rate times a second on average.
func (b *jobBuilder) poissonArrivals(rate float64, from, to anvilclock.Millis, f func(at anvilclock.Millis)) {
	for at := float64(from); ; {
		at += b.rng.ExpFloat64() * 1000 / rate
		if at >= float64(to) {
			return
		}
		f(anvilclock.Millis(at))
	}
}

func (b *jobBuilder) calls(rate float64, from, to anvilclock.Millis) {
	b.poissonArrivals(rate, from, to, func(at anvilclock.Millis) {
		b.add(at, anviltask.Call, "layout", b.team(), anvilsize.New(b.uniform(1, 8)*500, b.uniform(1, 6)*1024, 0),
			b.uniform(500, 4000), anviltask.WithMaxWait(2000))
	})
}

func (b *jobBuilder) services() {
	for range 20 {
		b.add(0, anviltask.Service, "layout", b.team(), anvilsize.New(b.uniform(1000, 4000), b.uniform(2048, 8192), 0),
			int64(b.horizon)*2)
	}
}

func (b *jobBuilder) layoutBatch(at anvilclock.Millis, maxRun int64) {
	b.add(at, anviltask.Batch, "layout", b.team(),
		anvilsize.New(b.powerOfTwo(0, 4)*1000, b.powerOfTwo(0, 5)*1024, 0), b.uniform(maxRun/6, maxRun))
}

func (b *jobBuilder) cuttingBatch(at anvilclock.Millis, maxRun int64) {
	n := b.powerOfTwo(0, 2)
	b.add(at, anviltask.Batch, "cutting", b.team(), anvilsize.New(n*b.powerOfTwo(1, 3)*1000, n*b.powerOfTwo(3, 5)*1024, n),
		b.uniform(maxRun/6, maxRun))
}

func (b *jobBuilder) gang(at anvilclock.Millis, maxCount int64) {
	b.add(at, anviltask.Gang, "cutting", b.team(), anvilsize.New(8000, 16*1024, 1), b.uniform(20_000, 60_000),
		anviltask.WithCount(int(b.uniform(8, maxCount))))
}

func (b *jobBuilder) urgent() {
	b.poissonArrivals(0.1, 0, b.horizon, func(at anvilclock.Millis) {
		if b.rng.IntN(2) == 0 {
			b.add(at, anviltask.Batch, "layout", b.team(), anvilsize.New(b.powerOfTwo(0, 3)*1000, b.powerOfTwo(1, 4)*1024, 0),
				b.uniform(5000, 20_000), anviltask.WithUrgent(true))
			return
		}
		accels := b.uniform(1, 2)
		b.add(at, anviltask.Batch, "cutting", b.team(), anvilsize.New(accels*4000, accels*16*1024, accels), b.uniform(5000, 20_000),
			anviltask.WithUrgent(true))
	})
}

// distortDeclarations makes the declared sizes and run times of some jobs wrong by a factor of ten, in either
// direction. Calls, services and urgent jobs keep theirs. A declared size doesn't exceed maxSize.
func (b *jobBuilder) distortDeclarations(maxSize anvilsize.Size) {
	for _, j := range b.jobs {
		if j.task.Kind() == anviltask.Call || j.task.Kind() == anviltask.Service || j.task.Urgent() {
			continue
		}
		s, run := j.task.Size(), j.task.RunTime()
		switch b.rng.IntN(3) {
		case 0:
			minSize := anvilsize.New(100, 128, s.Accel())
			s = anvilsize.New(s.CPU()/10, s.Memory()/10, s.Accel()).Max(minSize)
		case 1:
			s = anvilsize.New(s.CPU()*10, s.Memory()*10, s.Accel()).Min(maxSize)
		}
		switch b.rng.IntN(3) {
		case 0:
			run /= 10
		case 1:
			run *= 10
		}
		j.task = j.task.With(anviltask.WithSize(s), anviltask.WithRunTime(run))
	}
}
