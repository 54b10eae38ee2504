package anvilhost

import (
	"anvilhold.org/lib/anvilclock"
)

// Limits of the list of ended tasks.
const (
	// retention is how long an ended task is reported and its id is remembered.
	retention anvilclock.Millis = 10 * 60 * 1000
	// maxTaskIDs bounds the ids of live and ended tasks together. At the bound, new starts are refused: if an id were
	// forgotten early instead, its task could run twice.
	maxTaskIDs = 200_000
	// reservedForStops is the number of ids that starts leave free. A stop that arrives before its start records an id,
	// and must succeed while starts are refused.
	reservedForStops = 1_000
	// maxAnswer is the size in bytes of the largest call answer that is kept for a later fence.
	maxAnswer = 64 << 10
	// maxAnswerTotal bounds the bytes of all kept answers together, and so the size of a reply to a fence.
	maxAnswerTotal = 64 << 20
)

// codeLarge is the reason code of an ended call whose answer is not kept, because it or the sum of answers is too large.
const codeLarge = "large"

// EndedTask describes a task that has ended on this worker, or an id whose start is refused because a stop came first.
type EndedTask struct {
	id, team, job string
	state, code   string
	once          bool
	answer        []byte
	at            anvilclock.Millis
	age           anvilclock.Millis
	position      int64
}

// ID returns the task's id.
func (e EndedTask) ID() string { return e.id }

// Team returns the team, empty for an id that was stopped before its start.
func (e EndedTask) Team() string { return e.team }

// Job returns the id of the job, empty for a task outside of a job.
func (e EndedTask) Job() string { return e.job }

// State returns the final state: done, failed, stopped, checkpointed or not-run.
func (e EndedTask) State() string { return e.state }

// Code returns the reason code, empty for a task that was done or checkpointed.
func (e EndedTask) Code() string { return e.code }

// Once reports whether the task is non-idempotent, so that it must not be started again after it may have run.
func (e EndedTask) Once() bool { return e.once }

// Answer returns the answer of a call, nil for other tasks. The caller must not change it.
func (e EndedTask) Answer() []byte { return e.answer }

// Age returns the time between the end of the task and the report.
func (e EndedTask) Age() anvilclock.Millis { return e.age }

// endedLog is the list of ended tasks in the order in which they ended. Each entry has a position, counted from 1; the
// positions of the list are consecutive.
type endedLog struct {
	list     []*EndedTask
	byID     map[string]*EndedTask
	position int64
	bytes    int
	stripped int // the answers of entries before this index of list were dropped
}

func newEndedLog() *endedLog { return &endedLog{byID: map[string]*EndedTask{}} }

func (l *endedLog) add(e *EndedTask) {
	if len(e.answer) > maxAnswer {
		e.answer, e.code = nil, codeLarge
	}
	l.position++
	e.position = l.position
	l.list = append(l.list, e)
	l.byID[e.id] = e
	l.bytes += len(e.answer)
	for l.bytes > maxAnswerTotal {
		old := l.list[l.stripped]
		if len(old.answer) > 0 {
			l.bytes -= len(old.answer)
			old.answer, old.code = nil, codeLarge
		}
		l.stripped++
	}
}

// expire removes the tasks that ended longer ago than the retention time.
func (l *endedLog) expire(now anvilclock.Millis) {
	n := 0
	for ; n < len(l.list) && now-l.list[n].at >= retention; n++ {
		l.bytes -= len(l.list[n].answer)
		delete(l.byID, l.list[n].id)
	}
	l.list = l.list[n:]
	l.stripped = max(0, l.stripped-n)
}

// after returns copies of the entries after a position. For a position above that of the newest entry it returns all
// entries, because such a position was read before the process restarted.
func (l *endedLog) after(position int64, now anvilclock.Millis) []EndedTask {
	if position > l.position {
		position = 0
	}
	if len(l.list) == 0 || position == l.position {
		return nil
	}
	// Positions are consecutive, so the index of the first entry follows from the position.
	first := max(0, position-l.list[0].position+1)
	found := make([]EndedTask, 0, int64(len(l.list))-first)
	for _, e := range l.list[first:] {
		c := *e
		c.age = now - c.at
		found = append(found, c)
	}
	return found
}
