package anvilhost

import (
	"anvilhold.org/lib/anvilclock"
)

// Bounds of the list of ended tasks.
const (
	retention anvilclock.Millis = 10 * 60 * 1000
	// maxKnown bounds the ids that the worker remembers. At the bound new starts are refused; an id
	// that is forgotten early could run twice.
	maxKnown = 200_000
	// stopReserve is kept free for ids that a stop records, which must work when starts are refused.
	stopReserve = 1_000
	// maxAnswer is the largest answer that is kept for a later fence.
	maxAnswer = 64 << 10
	// maxAnswers bounds all kept answers together, so that a reply to a fence stays bounded.
	maxAnswers = 64 << 20
)

// codeLarge marks an ended task whose answer was not kept.
const codeLarge = "large"

// Ended is a task that has ended on this worker.
type Ended struct {
	id, team, job string
	state, code   string
	once          bool
	answer        []byte
	at            anvilclock.Millis
	age           anvilclock.Millis
	position      int64
}

// ID returns the id of the task.
func (e Ended) ID() string { return e.id }

// Team returns the team.
func (e Ended) Team() string { return e.team }

// Job returns the job, empty for a single task.
func (e Ended) Job() string { return e.job }

// State returns the state in which the task ended.
func (e Ended) State() string { return e.state }

// Code returns the reason code.
func (e Ended) Code() string { return e.code }

// Once reports whether the task is non-idempotent.
func (e Ended) Once() bool { return e.once }

// Answer returns the answer of a call; the caller must not change it.
func (e Ended) Answer() []byte { return e.answer }

// Age returns the time since the task ended.
func (e Ended) Age() anvilclock.Millis { return e.age }

// ledger is the list of ended tasks in the order in which they ended.
type ledger struct {
	list     []*Ended
	byID     map[string]*Ended
	position int64
	bytes    int
	stripped int // entries before this index of list have no answer left
}

func newLedger() *ledger { return &ledger{byID: map[string]*Ended{}} }

func (l *ledger) add(e *Ended) {
	if len(e.answer) > maxAnswer {
		e.answer, e.code = nil, codeLarge
	}
	l.position++
	e.position = l.position
	l.list = append(l.list, e)
	l.byID[e.id] = e
	l.bytes += len(e.answer)
	for l.bytes > maxAnswers {
		old := l.list[l.stripped]
		if len(old.answer) > 0 {
			l.bytes -= len(old.answer)
			old.answer, old.code = nil, codeLarge
		}
		l.stripped++
	}
}

// expire forgets the tasks that ended longer ago than the retention time.
func (l *ledger) expire(now anvilclock.Millis) {
	n := 0
	for ; n < len(l.list) && now-l.list[n].at >= retention; n++ {
		l.bytes -= len(l.list[n].answer)
		delete(l.byID, l.list[n].id)
	}
	l.list = l.list[n:]
	l.stripped = max(0, l.stripped-n)
}

// after returns copies of the tasks that ended after a position. A position that the list has not
// reached comes from an earlier start of the process; everything is new to its sender.
func (l *ledger) after(position int64, now anvilclock.Millis) []Ended {
	if position > l.position {
		position = 0
	}
	if len(l.list) == 0 || position == l.position {
		return nil
	}
	// Positions are consecutive, so the first entry to report follows from the cursor.
	first := max(0, position-l.list[0].position+1)
	found := make([]Ended, 0, int64(len(l.list))-first)
	for _, e := range l.list[first:] {
		c := *e
		c.age = now - c.at
		found = append(found, c)
	}
	return found
}
