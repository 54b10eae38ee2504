package anvilcontrol

import (
	"slices"
	"strconv"
	"strings"

	"anvilhold.org/lib/anvilerror"
)

// formerEnd is the end of a run that an earlier owner started.
type formerEnd struct {
	run     string
	outcome outcome
	code    string
}

// startNumber orders the starts of a task: by the owner's epoch and the sequence number in it. The tasks of a gang that
// were started together share it.
type startNumber struct {
	epoch, seq int64
}

func (n startNumber) before(m startNumber) bool {
	return n.epoch < m.epoch || n.epoch == m.epoch && n.seq < m.seq
}

// startOf returns the start number in a run's id, which runID makes. It is zero for an id of another form.
func startOf(runID string) startNumber {
	member, start, _ := strings.Cut(runID, "/")
	_, text, _ := strings.Cut(member, ".")
	index, _ := strconv.ParseInt(text, 10, 64)
	epochText, seqText, _ := strings.Cut(start, ".")
	epoch, err := strconv.ParseInt(epochText, 10, 64)
	if err != nil {
		return startNumber{}
	}
	seq, err := strconv.ParseInt(seqText, 10, 64)
	if err != nil {
		return startNumber{}
	}
	return startNumber{epoch: epoch, seq: seq - index}
}

// addFormerEnd keeps the end of a run of an earlier owner until the shard is reconciled.
func (s *shard) addFormerEnd(e formerEnd) {
	if s.reconciled || s.formerEnds == nil {
		return
	}
	id := taskID(e.run)
	s.formerEnds[id] = append(s.formerEnds[id], e)
}

// endAdopted turns an adopted run that has ended before the shard is reconciled into a former end.
func (s *shard) endAdopted(r *run) {
	id := taskID(r.id)
	runs := slices.DeleteFunc(s.adoptedRuns[id], func(o *run) bool { return o == r })
	if len(runs) == 0 {
		delete(s.adoptedRuns, id)
	} else {
		s.adoptedRuns[id] = runs
	}
	s.addFormerEnd(formerEnd{run: r.id, outcome: r.outcome, code: r.code})
}

// lastEnd returns the end of the last start of a task. A run that ended as done counts before all others.
func (s *shard) lastEnd(id string) (formerEnd, bool) {
	var last formerEnd
	found := false
	for _, e := range s.formerEnds[id] {
		better := startOf(last.run).before(startOf(e.run))
		if last.outcome == outcomeDone || e.outcome == outcomeDone {
			better = last.outcome != outcomeDone
		}
		if !found || better {
			last, found = e, true
		}
	}
	return last, found
}

// doneMembers returns how many tasks of one start of a gang have ended as done.
func (s *shard) doneMembers(id string, start startNumber) int {
	members := map[string]bool{}
	for _, e := range s.formerEnds[id] {
		if e.outcome == outcomeDone && startOf(e.run) == start {
			members[e.run] = true
		}
	}
	return len(members)
}

// checkAdopted ends adopted jobs that count as running although none of their runs does. Fences end runs that a worker
// doesn't report, so no such job should exist.
func (l *Loop) checkAdopted() {
	for id, j := range l.adoptedJobs {
		if l.jobs[id] != j || j.machine.Final() || j.machine.State() == taskQueued {
			delete(l.adoptedJobs, id)
			continue
		}
		running := slices.ContainsFunc(j.runs, func(r *run) bool { return !r.machine.Final() })
		l.invariants.Check(running, "adopted", "task %s of an earlier owner is %s without a run", id, j.machine.State())
		if !running {
			j.code, j.reason = anvilerror.Lost, "no run of the task is known"
			l.fireTask(j, string(outcomeLost))
		}
	}
}
