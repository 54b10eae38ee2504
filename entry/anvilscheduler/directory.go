package anvilscheduler

import (
	"sync"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

// Directory holds the states of jobs as this instance knows them. The control loop updates it from the store, and
// traffic goroutines read it. It is safe for concurrent use.
type Directory struct {
	mu   sync.RWMutex
	jobs map[string]directoryEntry
	// waiting counts the jobs in state queued by the queues that accepted them.
	waiting map[acceptance]int
	// version is the store's version up to which all changes are known, readAt the local time of the read.
	version int64
	readAt  anvilclock.Millis
}

// acceptance is the address and the name of the queue that accepted a job.
type acceptance struct{ address, queue string }

type directoryEntry struct {
	state   anvilstorage.JobState
	version int64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{jobs: map[string]directoryEntry{}, waiting: map[acceptance]int{}}
}

// Put stores a state with the version of its row, unless the same or a newer version is known.
func (d *Directory) Put(s anvilstorage.JobState, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.jobs[s.ID()]
	if ok && old.version >= version {
		return
	}
	d.count(old.state, -1)
	d.jobs[s.ID()] = directoryEntry{state: s, version: version}
	d.count(s, 1)
}

// Remove removes a job, whose row was deleted. It does nothing for an unknown job.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.jobs[id]; ok {
		d.count(old.state, -1)
		delete(d.jobs, id)
	}
}

// RetainOnly applies a read of all states at a version of the store: it removes the jobs that are not in ids, except
// those whose row is newer.
func (d *Directory) RetainOnly(ids map[string]bool, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.jobs {
		if !ids[id] && e.version <= version {
			d.count(e.state, -1)
			delete(d.jobs, id)
		}
	}
}

func (d *Directory) count(s anvilstorage.JobState, n int) {
	if s.State() == anviljob.Queued {
		a := acceptance{s.Address(), s.Queue()}
		if d.waiting[a] += n; d.waiting[a] == 0 {
			delete(d.waiting, a)
		}
	}
}

// Find returns the state of a job, and false when the job is not known.
func (d *Directory) Find(id string) (anvilstorage.JobState, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.jobs[id]
	return e.state, ok
}

// Waiting returns how many jobs of a queue of a configuration are in state queued.
func (d *Directory) Waiting(p *anvilpolicy.Policy, queue *anvilpolicy.Queue) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for a, waiting := range d.waiting {
		if q, ok := p.QueueOfJob(a.address, a.queue); ok && q == queue {
			n += waiting
		}
	}
	return n
}

// Sync records that all changes up to a version of the store were read at a local time.
func (d *Directory) Sync(version int64, at anvilclock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.readAt = max(d.version, version), max(d.readAt, at)
}

// ReadAt returns the local time of the last read that showed up to which version all changes are known; 0 when nothing was read yet.
func (d *Directory) ReadAt() anvilclock.Millis {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.readAt
}

// Since returns the states that are newer than a version as new rows, the version up to which they are complete, and
// the local time of the read that showed this. The returned version is 0 when nothing was read yet.
func (d *Directory) Since(after int64) ([]anvilstorage.Row, int64, anvilclock.Millis) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []anvilstorage.Row
	for id, e := range d.jobs {
		if e.version <= after {
			continue
		}
		row, err := anvilstorage.StateRow(e.state)
		if err != nil {
			// StateRow can't fail for a state that was read from a row.
			continue
		}
		out = append(out, anvilstorage.ReadRow(anvilstorage.States, id, row.Value(), e.version, false))
	}
	return out, d.version, d.readAt
}

// Ended returns the states of all ended jobs, in no particular order.
func (d *Directory) Ended() []anvilstorage.JobState {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []anvilstorage.JobState
	for _, e := range d.jobs {
		if e.state.State().Ended() {
			out = append(out, e.state)
		}
	}
	return out
}
