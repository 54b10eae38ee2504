package anvilscheduler

import (
	"cmp"
	"iter"
	"slices"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// What a leader holds of work that waits is bounded by what can run, not by what callers have handed in. A task exists from its
// first use on. An occurrence that is due is made only while few of its job wait to begin, and is dropped, with its rows in the
// store, once all its tasks have succeeded; its number stays in the job's set of ended ones.

// maxUnbegun is the number of occurrences of a job that may wait for their first run. More would wait for the same capacity.
const maxUnbegun = 8

// occurrence is one repetition of a job.
type occurrence struct {
	job    *job
	number int
	stages []*stage
	// segments are the parts of the job's record by their blocks; nil for those of which no task exists.
	segments []*segment
	// lateness is how long after its due time the occurrence was made.
	lateness anvilclock.Millis
	// begun means that a task of the occurrence has had a run.
	begun bool
}

// addOccurrence adds the stages of an occurrence of a job that has neither been made nor ended.
func (l *Loop) addOccurrence(j *job, number int) *occurrence {
	spec := j.sub.Spec()
	o := &occurrence{job: j, number: number, lateness: l.latenessOf(j, number)}
	paths, depths, offset := spec.CriticalPaths(0), spec.Depths(), 0
	for i := range spec.Steps() {
		s := &stage{
			job: j, step: spec.Step(i), occurrence: o, index: i, offset: offset, waiting: spec.Step(i).Count(), criticalPath: paths[i],
			depth: depths[i], perWorker: map[*worker]int{},
		}
		o.stages = append(o.stages, s)
		offset += s.size()
	}
	o.segments = make([]*segment, (offset+anvilstorage.SegmentTasks-1)/anvilstorage.SegmentTasks)
	at, _ := j.search(number)
	j.live = slices.Insert(j.live, at, o)
	j.unbegun++
	l.hold(j, o.cost())
	j.advance()
	return o
}

// cost estimates what the occurrence holds beside its tasks, in bytes.
func (o *occurrence) cost() int64 { return liveStageBytes * int64(len(o.stages)) }

// latenessOf returns how long ago an occurrence was due, or the job was accepted if that was later.
func (l *Loop) latenessOf(j *job, number int) anvilclock.Millis {
	repeat := j.sub.Spec().Repeat()
	if !repeat.Timed() {
		return 0
	}
	now := l.clock.Now()
	return max(0, min(l.wall.now(l.clock)-repeat.Due(number), now-j.arrived))
}

// advance moves next past the occurrences that exist or have ended.
func (j *job) advance() {
	for {
		n := j.ended.Missing(j.next)
		if j.occurrence(n) != nil {
			n++
		}
		if n == j.next {
			return
		}
		j.next = n
	}
}

func (j *job) search(number int) (int, bool) {
	return slices.BinarySearchFunc(j.live, number, func(o *occurrence, n int) int { return cmp.Compare(o.number, n) })
}

// occurrence returns a live occurrence; nil for any other.
func (j *job) occurrence(number int) *occurrence {
	if at, ok := j.search(number); ok {
		return j.live[at]
	}
	return nil
}

// stages iterates over the stages of the live occurrences.
func (j *job) stages() iter.Seq[*stage] {
	return func(yield func(*stage) bool) {
		for _, o := range j.live {
			for _, s := range o.stages {
				if !yield(s) {
					return
				}
			}
		}
	}
}

// tasks returns the tasks of a job that exist.
func (j *job) tasks() []*task {
	var out []*task
	for s := range j.stages() {
		out = slices.AppendSeq(out, s.existing())
	}
	return out
}

// size returns the number of tasks of a stage.
func (s *stage) size() int { return s.step.Count() }

// peek returns a task of a stage; nil while it doesn't exist, so that it waits for its first run.
func (s *stage) peek(i int) *task {
	if s.tasks == nil {
		return nil
	}
	return s.tasks[i]
}

// waits reports whether a task of a stage has no run.
func (s *stage) waits(i int) bool {
	t := s.peek(i)
	return t == nil || t.machine.State() == taskWaiting
}

// task returns a task of a stage, and makes it first if it doesn't exist.
func (s *stage) task(i int) *task {
	if t := s.peek(i); t != nil {
		return t
	}
	if s.tasks == nil {
		s.tasks = make([]*task, s.size())
	}
	l := s.job.loop
	t := &task{
		stage: s, id: anviljob.NewTaskID(s.job.id(), s.occurrence.number, s.index, i), machine: l.charts.task.NewMachine(), pace: 100,
	}
	s.occurrence.segment((s.offset + i) / anvilstorage.SegmentTasks).add(t)
	s.tasks[i] = t
	if s.job.final() {
		l.fireTask(t, "cancel")
	}
	return t
}

// existing iterates over the tasks of a stage that exist.
func (s *stage) existing() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range s.tasks {
			if t != nil && !yield(t) {
				return
			}
		}
	}
}

// all iterates over the tasks of a stage, and makes those that don't exist.
func (s *stage) all() iter.Seq2[int, *task] {
	return func(yield func(int, *task) bool) {
		for i := range s.size() {
			if !yield(i, s.task(i)) {
				return
			}
		}
	}
}

// segment returns the part of the record that holds a block of tasks of the occurrence.
func (o *occurrence) segment(block int) *segment {
	if o.segments[block] == nil {
		o.segments[block] = &segment{name: anvilstorage.NewSegment(o.number, block)}
	}
	return o.segments[block]
}

// begin records that a task of the occurrence has a run.
func (o *occurrence) begin() {
	if !o.begun {
		o.begun = true
		o.job.unbegun--
	}
}

// done reports whether all tasks of the occurrence have succeeded.
func (o *occurrence) done() bool {
	return !slices.ContainsFunc(o.stages, func(s *stage) bool { return s.done < s.size() })
}

// markReady makes the stages of an occurrence ready whose predecessors are done.
func (l *Loop) markReady(o *occurrence) {
	if o.job.final() {
		return
	}
	for _, s := range o.stages {
		if s.ready || s.done == s.size() {
			continue
		}
		waitsFor := func(i int) bool { return o.stages[i].done < o.stages[i].size() }
		if !slices.ContainsFunc(s.step.After(), waitsFor) {
			s.ready, s.readyAt = true, l.clock.Now()
			l.workload.ready[s] = true
			l.requestPass()
		}
	}
}

// markLiveReady makes the stages of all live occurrences of a job ready whose predecessors are done.
func (l *Loop) markLiveReady(j *job) {
	for _, o := range j.live {
		l.markReady(o)
	}
}

// endOccurrence drops an occurrence of a timed job in which all tasks have succeeded. The next commit replaces its rows by its
// number.
func (l *Loop) endOccurrence(o *occurrence) {
	j := o.job
	if !j.sub.Spec().Repeat().Timed() || j.final() {
		return
	}
	o.begin()
	at, _ := j.search(o.number)
	j.live = slices.Delete(j.live, at, at+1)
	j.ended.Add(o.number)
	l.hold(j, -o.cost())
	j.record.dropOccurrence(o)
	l.markChanged(j)
}

// checkFinished completes a job whose tasks have all succeeded, in all occurrences.
func (l *Loop) checkFinished(j *job) {
	if j.final() || j.parked() || j.next < j.sub.Spec().Repeat().Count() {
		return
	}
	if !slices.ContainsFunc(j.live, func(o *occurrence) bool { return !o.done() }) {
		l.fireJob(j, "finish")
	}
}

// mayAddOccurrence reports whether there is space for another occurrence of a live job. There always is for one.
func (l *Loop) mayAddOccurrence(j *job) bool {
	return len(j.live) == 0 || l.admitsLive(j.owner(), liveStageBytes*int64(j.sub.Spec().Steps()))
}

// addDueOccurrences adds one occurrence that is due to each job in which few others wait to begin.
func (l *Loop) addDueOccurrences() {
	if len(l.workload.timed) == 0 {
		return
	}
	wall := l.wall.now(l.clock)
	for j := range l.workload.timed {
		repeat := j.sub.Spec().Repeat()
		switch {
		case j.final() || j.next >= repeat.Count():
			delete(l.workload.timed, j)
		case wall >= repeat.Due(j.next) && j.unbegun < maxUnbegun && l.mayAddOccurrence(j):
			l.markReady(l.addOccurrence(j, j.next))
		}
	}
}
