package anvilqueue_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilqueue"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// placedCounts is a Share whose values are the numbers of placed tasks.
type placedCounts map[string]int

func (c placedCounts) WeightedShare(team string) float64 { return float64(c[team]) }

func (c placedCounts) WeightedWorkspaceShare(team, workspace string) float64 {
	return float64(c[team+"/"+workspace])
}

func (c placedCounts) charge(t *anviltask.Task) {
	c[t.Team()]++
	c[t.Team()+"/"+t.Workspace()]++
}

// model is the queue as a plain list. Among equal shares the team or workspace comes first that was served, or
// began to wait, longest ago.
type model struct {
	tasks      []*anviltask.Task
	counts     placedCounts
	lastServed map[string]int
	clock      int
}

func keys(t *anviltask.Task) (team, workspace string) {
	team = fmt.Sprint(rank(t), t.Team())
	return team, team + "/" + t.Workspace()
}

func (m *model) push(t *anviltask.Task) {
	m.clock++
	for i := range 2 {
		key := func(t *anviltask.Task) string { a, b := keys(t); return []string{a, b}[i] }
		if !slices.ContainsFunc(m.tasks, func(o *anviltask.Task) bool { return key(o) == key(t) }) {
			m.lastServed[key(t)] = m.clock
		}
	}
	m.tasks = append(m.tasks, t)
}

func (m *model) placed(t *anviltask.Task) {
	m.remove(t.ID())
	m.counts.charge(t)
	m.clock++
	team, workspace := keys(t)
	m.lastServed[team], m.lastServed[workspace] = m.clock, m.clock
}

func rank(t *anviltask.Task) int {
	switch {
	case t.Urgent():
		return 0
	case t.Kind() == anviltask.Call || t.Kind() == anviltask.Service:
		return 1
	default:
		return 2
	}
}

// compare orders tasks by rank, team and workspace.
func (m *model) compare(a, b *anviltask.Task) int {
	teamA, workspaceA := keys(a)
	teamB, workspaceB := keys(b)
	none := func(t *anviltask.Task) int {
		if t.Team() == "" {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(none(a), none(b)),
		cmp.Compare(m.counts[a.Team()], m.counts[b.Team()]), cmp.Compare(m.lastServed[teamA], m.lastServed[teamB]),
		cmp.Compare(m.counts[a.Team()+"/"+a.Workspace()], m.counts[b.Team()+"/"+b.Workspace()]),
		cmp.Compare(m.lastServed[workspaceA], m.lastServed[workspaceB]))
}

// next returns the first task in the order of a pass that isn't excluded.
func (m *model) next(excluded func(*anviltask.Task) bool) *anviltask.Task {
	var first *anviltask.Task
	for _, t := range m.tasks {
		if !excluded(t) && (first == nil || m.compare(t, first) < 0) {
			first = t
		}
	}
	return first
}

func (m *model) pass(now anvilclock.Millis, deadline func(*anviltask.Task) anvilclock.Millis,
	try func(*anviltask.Task) anvilqueue.Verdict) {
	var failed, overLimit []*anviltask.Task
	skipped := map[string]bool{}
	excluded := func(t *anviltask.Task) bool {
		return skipped[t.ID()] || deadline(t) != 0 && deadline(t) <= now ||
			slices.ContainsFunc(failed, func(f *anviltask.Task) bool {
				return f.Pool() == t.Pool() && f.Kind() == t.Kind() && f.Size().Fits(t.Size()) &&
					(f.Shard() == "" || f.Shard() == t.Shard())
			}) ||
			slices.ContainsFunc(overLimit, func(o *anviltask.Task) bool {
				return o.Team() == t.Team() && (o.Shard() == "" || o.Shard() == t.Shard())
			})
	}
	for t := m.next(excluded); t != nil; t = m.next(excluded) {
		switch try(t) {
		case anvilqueue.Placed:
			m.placed(t)
		case anvilqueue.NoCapacity:
			failed = append(failed, t)
		case anvilqueue.OverLimit:
			overLimit = append(overLimit, t)
		case anvilqueue.Skip:
			skipped[t.ID()] = true
		case anvilqueue.Stop:
			return
		}
	}
}

func (m *model) remove(id string) {
	m.tasks = slices.DeleteFunc(m.tasks, func(t *anviltask.Task) bool { return t.ID() == id })
}

func drawTask(t *rapid.T, id int) *anviltask.Task {
	kind := rapid.SampledFrom([]anviltask.Kind{anviltask.Call, anviltask.Batch, anviltask.Service}).Draw(t, "kind")
	return anviltask.New(fmt.Sprint(id), kind, rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
		anviltask.WithTeam(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"),
			rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace")),
		anviltask.WithSize(anvilsize.New(rapid.Int64Range(1, 3).Draw(t, "cpu"), rapid.Int64Range(1, 2).Draw(t, "memory"), 0)),
		anviltask.WithShard(rapid.SampledFrom([]string{"", "s"}).Draw(t, "shard")),
		anviltask.WithUrgent(rapid.IntRange(0, 5).Draw(t, "urgent") == 0),
		anviltask.WithMaxWait(anvilclock.Millis(rapid.IntRange(0, 2).Draw(t, "wait")*7)))
}

// Guards against a pass that offers tasks in another order than the model does, offers one twice or never, or
// skips too much or too little after a verdict.
func TestQueueAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share, m := placedCounts{}, &model{counts: placedCounts{}, lastServed: map[string]int{}}
		q := anvilqueue.New(anvilqueue.WithShare(share), anvilqueue.WithBound(40))
		deadline := map[string]anvilclock.Millis{}
		var now anvilclock.Millis
		id := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "n") {
					id++
					task := drawTask(t, id)
					if err := q.Push(task, now); (err != nil) != (len(m.tasks) >= 40) {
						t.Fatalf("push at %d tasks: %v", len(m.tasks), err)
					} else if err == nil {
						m.push(task)
						if task.MaxWait() > 0 {
							deadline[task.ID()] = now + task.MaxWait()
						}
					}
				}
			},
			"remove": func(t *rapid.T) {
				if len(m.tasks) > 0 {
					task := rapid.SampledFrom(m.tasks).Draw(t, "task")
					if got, ok := q.Remove(task.ID()); !ok || got != task {
						t.Fatalf("remove %s: %v %v", task.ID(), got, ok)
					}
					m.remove(task.ID())
				}
			},
			"expire": func(t *rapid.T) {
				now += anvilclock.Millis(rapid.IntRange(0, 9).Draw(t, "ms"))
				for _, task := range q.RemoveExpired(now) {
					m.remove(task.ID())
				}
			},
			"pass": func(t *rapid.T) {
				now += anvilclock.Millis(rapid.IntRange(0, 9).Draw(t, "ms"))
				verdicts := rapid.SliceOfN(rapid.IntRange(0, 9), 8, 8).Draw(t, "verdicts")
				verdict := func(task *anviltask.Task) anvilqueue.Verdict {
					var n int
					_, _ = fmt.Sscan(task.ID(), &n)
					return [...]anvilqueue.Verdict{
						anvilqueue.Stop, anvilqueue.NoCapacity, anvilqueue.NoCapacity, anvilqueue.OverLimit, anvilqueue.Skip,
						anvilqueue.Placed, anvilqueue.Placed, anvilqueue.Placed, anvilqueue.Placed, anvilqueue.Placed,
					}[verdicts[n%8]]
				}
				var got, want []string
				m.pass(now, func(task *anviltask.Task) anvilclock.Millis { return deadline[task.ID()] },
					func(task *anviltask.Task) anvilqueue.Verdict {
						want = append(want, task.ID())
						return verdict(task)
					})
				q.Pass(now, func(task *anviltask.Task) anvilqueue.Verdict {
					got = append(got, task.ID())
					if verdict(task) == anvilqueue.Placed {
						share.charge(task)
					}
					return verdict(task)
				})
				if strings.Join(got, " ") != strings.Join(want, " ") {
					t.Fatalf("offered %v, want %v", got, want)
				}
			},
			"": func(t *rapid.T) { assertContents(t, q, m) },
		})
	})
}

func assertContents(t *rapid.T, q *anvilqueue.Queue, m *model) {
	pools, teams := map[string]int{}, map[string]int{}
	for _, task := range m.tasks {
		pools[task.Pool()]++
		teams[task.Team()]++
		if !q.Has(task.ID()) {
			t.Fatalf("task %s is missing from the queue", task.ID())
		}
	}
	if q.Len() != len(m.tasks) || q.LenPool("p") != pools["p"] || q.LenTeam("a") != teams["a"] {
		t.Fatalf("lengths %d %d %d, want %d %d %d", q.Len(), q.LenPool("p"), q.LenTeam("a"), len(m.tasks), pools["p"], teams["a"])
	}
}

func push(t *testing.T, q *anvilqueue.Queue, tasks ...*anviltask.Task) {
	t.Helper()
	for _, task := range tasks {
		if err := q.Push(task, 0); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a queue that exceeds its bound, and against a refusal without a retry delay.
func TestFullQueue(t *testing.T) {
	q := anvilqueue.New(anvilqueue.WithBound(1))
	push(t, q, anviltask.New("1", anviltask.Batch, "p"))
	for id, code := range map[string]anvilerror.Code{"1": anvilerror.Duplicate, "2": anvilerror.QueueFull} {
		t.Run(string(code), func(t *testing.T) {
			err := q.Push(anviltask.New(id, anviltask.Batch, "p"), 0)
			if err == nil || err.Code() != code || err.Outcome() != anvilerror.NotRun ||
				(code == anvilerror.QueueFull) != (err.Retry() > 0) {
				t.Errorf("push returned %v", err)
			}
		})
	}
}

// Guards against a pass whose work grows with the length of the queue.
func TestPassIsBounded(t *testing.T) {
	count := func(verdict anvilqueue.Verdict) int {
		q := anvilqueue.New(anvilqueue.WithMaxTries(5))
		for i := range 100 {
			push(t, q, anviltask.New(fmt.Sprint(i), anviltask.Batch, "p"))
		}
		tries := 0
		q.Pass(0, func(*anviltask.Task) anvilqueue.Verdict { tries++; return verdict })
		return tries
	}
	for verdict, want := range map[anvilqueue.Verdict]int{
		anvilqueue.Placed: 5, anvilqueue.Skip: 5, anvilqueue.NoCapacity: 1, anvilqueue.OverLimit: 1, anvilqueue.Stop: 1,
	} {
		t.Run(fmt.Sprint(verdict), func(t *testing.T) {
			if got := count(verdict); got != want {
				t.Errorf("%d tries, want %d", got, want)
			}
		})
	}
}

// Guards against a corrupted queue, or an endless pass, when the callback changes the queue.
func TestChangesWithinPass(t *testing.T) {
	q := anvilqueue.New()
	push(t, q, anviltask.New("1", anviltask.Batch, "p"), anviltask.New("2", anviltask.Batch, "p"),
		anviltask.New("3", anviltask.Batch, "q"))
	var offered []string
	q.Pass(0, func(task *anviltask.Task) anvilqueue.Verdict {
		offered = append(offered, task.ID())
		q.Remove("2")
		if task.ID() == "1" {
			push(t, q, anviltask.New("4", anviltask.Batch, "p"), anviltask.New("5", anviltask.Batch, "p"))
			q.Remove("5")
		}
		return anvilqueue.Skip
	})
	if got := fmt.Sprint(offered, q.Len(), q.Has("4"), q.Has("5")); got != "[1 3] 3 true false" {
		t.Errorf("tasks offered, length, whether 4 and 5 are queued: got %s", got)
	}
}
