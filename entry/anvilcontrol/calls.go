package anvilcontrol

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilrow"
)

// calls holds the loop's calls of Backends, Table and Peers that haven't been answered.
type calls struct {
	next             Ref
	fences           map[Ref]fenceCall
	starts           map[Ref]*run
	controls         map[Ref]controlCall
	commits          map[Ref]commitCall
	reads            map[Ref]readCall
	instanceReads    map[Ref]bool
	forwards         map[Ref]*forwardCall
	inspects         map[Ref]chan<- Status
	exchanges        map[Ref]exchangeCall
	pushes           map[Ref]*changeCall
	unknownTransfers map[string]anvilclock.Millis // by team, when the last transfer failed without an answer
}

// commitCall handles the table's answer to a commit.
type commitCall interface {
	committed(l *Loop, m Committed)
}

// readCall handles the table's answer to a read.
type readCall interface {
	read(l *Loop, m RowsRead)
}

type fenceCall struct {
	worker *worker
	sent   anvilclock.Millis
}

type controlCall struct {
	run *run
	op  Op
}

type exchangeCall struct {
	instance string
	sent     anvilclock.Millis
}

func newCalls() calls {
	return calls{
		fences: map[Ref]fenceCall{}, starts: map[Ref]*run{}, controls: map[Ref]controlCall{},
		commits: map[Ref]commitCall{}, reads: map[Ref]readCall{}, instanceReads: map[Ref]bool{},
		forwards: map[Ref]*forwardCall{}, inspects: map[Ref]chan<- Status{},
		exchanges: map[Ref]exchangeCall{}, pushes: map[Ref]*changeCall{}, unknownTransfers: map[string]anvilclock.Millis{},
	}
}

func (c *calls) ref() Ref {
	c.next++
	return c.next
}

// popCall removes and returns a pending call; ok is false if it was answered before.
func popCall[T any](m map[Ref]T, ref Ref) (call T, ok bool) {
	call, ok = m[ref]
	delete(m, ref)
	return call, ok
}

func (l *Loop) commit(c Commit, call commitCall) {
	ref := l.calls.ref()
	l.calls.commits[ref] = call
	l.table.Commit(ref, c)
}

func (l *Loop) read(prefix string, after int64, call readCall) {
	ref := l.calls.ref()
	l.calls.reads[ref] = call
	l.table.Read(ref, prefix, after)
}

func (l *Loop) committed(m Committed) {
	call, ok := popCall(l.calls.commits, m.ref)
	if !ok {
		return
	}
	call.committed(l, m)
}

func (l *Loop) rowsRead(m RowsRead) {
	call, ok := popCall(l.calls.reads, m.ref)
	if !ok {
		return
	}
	call.read(l, m)
}

func checkRow(key string, version int64) Check { return Check{key: key, version: version} }

func newCommit(change string, checks []Check, puts []anvilrow.Row, deletes []string) Commit {
	return Commit{change: change, checks: checks, puts: puts, deletes: deletes}
}
