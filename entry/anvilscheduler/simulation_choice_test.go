package anvilscheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// Kinds of disruptions that change what a worker was chosen by, between the choice and a start that is sent again. They have random
// numbers of their own, so that a seed without them plays as it did before they were added.
const (
	changeKind    = "change kind"
	changeMaximum = "change maximum"
	largeLabel    = "large"
)

// choices are the disruptions of a scenario that change what workers are chosen by.
type choices struct {
	rng   *rand.Rand
	kinds []string
}

func newChoices(seed uint64, without []string) *choices {
	c := &choices{rng: rand.New(rand.NewPCG(seed, 2))}
	for _, kind := range []string{changeKind, changeMaximum} {
		if !slices.Contains(without, kind) && c.rng.IntN(2) == 0 {
			c.kinds = append(c.kinds, kind)
		}
	}
	return c
}

func (c *choices) has(kind string) bool { return c != nil && slices.Contains(c.kinds, kind) }

// labels returns the labels of a worker's next process, label the label that a job's next step requires.
func (c *choices) labels() []string {
	if !c.has(changeKind) || c.rng.IntN(3) == 0 {
		return nil
	}
	return []string{largeLabel}
}

func (c *choices) label() string {
	if !c.has(changeKind) || c.rng.IntN(2) == 0 {
		return ""
	}
	return largeLabel
}

func (c *choices) team() string {
	if !c.has(changeMaximum) {
		return ""
	}
	return teamName
}

// disruptChoices restarts a worker as one of another kind, or changes the team's maximum.
func (sc *scenario) disruptChoices() {
	c := sc.choices
	if c.has(changeKind) && c.rng.IntN(100) < 4 {
		w := sc.workers[c.rng.IntN(len(sc.workers))]
		down := anvilclock.Millis(20 + c.rng.IntN([]int{300, 4000}[c.rng.IntN(2)]))
		if w.process != nil && !w.gone {
			w.kill(changeKind)
			sc.after(down, w.id, func() {
				if w.process == nil && !w.gone {
					w.boot(w.addr)
				}
			})
		}
	}
	if c.has(changeMaximum) && c.rng.IntN(100) < 4 {
		maximum := core([]int64{3, 6, 12, 100}[c.rng.IntN(4)])
		sc.record("maximum %s", maximum)
		sc.cluster.policy = policyWithMaximum(sc.cluster.policy.Version()+1, maximum)
	}
}

// checkChoice checks a start that reaches the process that it was meant for at once: the process has the label of the step, and the
// team is within the maximum that the sender knew. What was carried out late, or by another process, can't be prevented.
func (s *simulation) checkChoice(p *simProcess, o StartOrder, known *anvilpolicy.Policy, fresh bool) {
	run := p.runs[simRunKey{o.Task(), o.Run()}]
	if run == nil || run.checked {
		return
	}
	run.checked, run.counted = true, fresh
	if !fresh {
		return
	}
	if label := run.step.Label(); label != "" && !slices.Contains(p.labels, label) {
		s.violate("route: run %d of %s starts at %s, which has no label %s", o.Run(), o.Task(), p, label)
	}
	team, ok := known.Team(s.choices.team())
	if !ok {
		return
	}
	used, tasks := anvilsize.Size{}, []string{}
	for _, w := range s.workers {
		if w.process == nil {
			continue
		}
		for key, r := range w.process.runs {
			if r.counted {
				used, tasks = used.Add(r.step.Size()), append(tasks, fmt.Sprint(key.id))
			}
		}
	}
	if !team.WithinLimit(used) {
		s.violate("maximum: run %d of %s at %s brings the team to %s: %s", o.Run(), o.Task(), p, used, strings.Join(tasks, " "))
	}
}

// Guards against a simulation that finds nothing because its checks don't see a start where the task may not run.
func TestSimulationChecksChoices(t *testing.T) {
	for name, c := range map[string]struct {
		labels  []string
		maximum int64
		late    bool
		want    int
	}{
		"allowed":                    {labels: []string{largeLabel}, maximum: 2},
		"without the label":          {maximum: 2, want: 1},
		"above the maximum":          {labels: []string{largeLabel}, maximum: 1, want: 1},
		"carried out late, for both": {maximum: 1, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1)
			s.choices = &choices{rng: s.rng, kinds: []string{changeMaximum}}
			p := s.addWorker("w1", "d1").process
			p.labels = c.labels
			step := anviljob.NewStep(1, core(2), anviljob.WithLabel(largeLabel))
			s.steps["j1.0"] = &step
			o := StartOrder{task: anviljob.NewTaskID("j1", 0, 0, 0), run: 1, token: 1, until: p.clock() + 5000}
			if err := p.start(o, "in time"); err != nil {
				t.Fatal(err)
			}
			s.checkChoice(p, o, policyWithMaximum(2, core(c.maximum)), !c.late)
			assertEqual(t, "violations", len(s.violations), c.want)
		})
	}
}

// policyWithMaximum returns a version of the test's configuration with another maximum of the team.
func policyWithMaximum(version int64, maximum anvilsize.Size) *anvilpolicy.Policy {
	plain, _ := testPolicy().Queue(plainQueue)
	return anvilpolicy.New(version, []anvilpolicy.Queue{*plain},
		anvilpolicy.WithTeams(anvilpolicy.NewTeam(teamName, 100, maximum, []string{"key"})))
}
