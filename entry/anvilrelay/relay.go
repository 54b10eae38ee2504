package anvilrelay

import (
	"context"
	"errors"
	"sync"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvildelta"
)

const (
	// maxAge is the time since the configuration was last confirmed up to which an instance gives it to others, and above which it
	// reads from the store itself.
	maxAge = anvilclock.Millis(1200)
	// maxWait is how long a query may wait for something newer.
	maxWait = anvilclock.Millis(700)
)

// Query asks an instance for what it knows of the operator's configuration.
type Query struct {
	rowVersion int64
	mark       int64
	wait       anvilclock.Millis
}

// NewQuery returns the query of an instance that has the configuration of a row's version, or 0. mark is that of the last update
// from the same instance, or 0. The answer may wait for the time wait until there is something newer.
func NewQuery(rowVersion, mark int64, wait anvilclock.Millis) Query {
	return Query{rowVersion: rowVersion, mark: mark, wait: wait}
}

// RowVersion returns the version of the row whose configuration the caller has; 0 for none.
func (q Query) RowVersion() int64 { return q.rowVersion }

// Mark returns the mark of the last update from the same instance; 0 for none.
func (q Query) Mark() int64 { return q.mark }

// Wait returns how long the answer may wait for something newer.
func (q Query) Wait() anvilclock.Millis { return q.wait }

// Update is what an instance knows of the operator's configuration, for another instance.
type Update struct {
	rowVersion int64
	base       int64
	difference []byte
	version    int64
	mark       int64
	lead       anvilclock.Millis
	evacuated  []string
}

// NewUpdate returns an update. version is the store's version up to which it is complete, and evacuated are the evacuated failure
// domains. lead is when the configuration was last confirmed, counted from when the request arrived: it is negative before that. mark
// identifies that confirmation.
func NewUpdate(version, mark int64, lead anvilclock.Millis, evacuated []string) Update {
	return Update{version: version, mark: mark, lead: lead, evacuated: evacuated}
}

// WithDocument returns a copy of the update with a configuration whose row has a version, as the difference from that of the version
// base, or compressed with a base of 0.
func (u Update) WithDocument(rowVersion, base int64, difference []byte) Update {
	u.rowVersion, u.base, u.difference = rowVersion, base, difference
	return u
}

// RowVersion returns the version of the configuration's row; 0 when the receiver has the newest one.
func (u Update) RowVersion() int64 { return u.rowVersion }

// Base returns the version of the row that the difference is from; 0 for none.
func (u Update) Base() int64 { return u.base }

// Difference returns the encoded configuration; nil when the receiver has the newest one. The caller must not change it.
func (u Update) Difference() []byte { return u.difference }

// Version returns the store's version up to which the update is complete.
func (u Update) Version() int64 { return u.version }

// Mark identifies the confirmation, for the next query to the same instance.
func (u Update) Mark() int64 { return u.mark }

// Lead returns when the configuration was last confirmed, counted from when the request arrived.
func (u Update) Lead() anvilclock.Millis { return u.lead }

// Evacuated returns the evacuated failure domains.
func (u Update) Evacuated() []string { return u.evacuated }

// Relay holds what an instance gives others of the configuration. It is safe for concurrent use.
type Relay struct {
	clock     anvilclock.Clock
	mu        sync.Mutex
	history   anvildelta.History
	version   int64
	confirmed anvilclock.Millis
	evacuated []string
	// changed is closed, and replaced, when there is a newer configuration or confirmation.
	changed chan struct{}
}

// NewRelay returns a relay without a configuration.
func NewRelay(clock anvilclock.Clock) *Relay {
	return &Relay{clock: clock, changed: make(chan struct{})}
}

// Add adds the text of a configuration whose row has a version; nil is ignored. It keeps the slice.
func (r *Relay) Add(rowVersion int64, document []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if document == nil || rowVersion <= r.history.Newest() {
		return
	}
	r.history.Add(rowVersion, document)
	r.wake()
}

// Confirm records that the configuration and the evacuated domains were the newest at a time, and complete up to a version of the
// store. It keeps the slice.
func (r *Relay) Confirm(at anvilclock.Millis, version int64, evacuated []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed, r.version, r.evacuated = max(r.confirmed, at), max(r.version, version), evacuated
	r.wake()
}

// wake wakes all that wait for a change. The caller holds mu.
func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// update returns the update that answers a query, which arrived at a time, and a channel that is closed when there is something newer.
func (r *Relay) update(q Query, received anvilclock.Millis) (Update, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.history.Newest()
	if newest == 0 || r.version == 0 || r.clock.Now()-r.confirmed > maxAge {
		return Update{}, r.changed, errStale
	}
	u := NewUpdate(r.version, int64(r.confirmed), r.confirmed-received, r.evacuated)
	if newest <= q.rowVersion {
		return u, r.changed, nil
	}
	base, difference, err := r.history.Encode(q.rowVersion)
	if err != nil {
		return Update{}, r.changed, err
	}
	return u.WithDocument(newest, base, difference), r.changed, nil
}

var errStale = errors.New("the configuration has not been confirmed recently")

// Answer returns what this instance knows of the configuration. It waits until there is something newer than the query names, at most for
// the query's wait, and fails when the configuration was not confirmed recently.
func (r *Relay) Answer(ctx context.Context, q Query) (Update, error) {
	received := r.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, min(q.wait, maxWait).Duration())
	defer cancel()
	for {
		u, changed, err := r.update(q, received)
		if err != nil || u.difference != nil || u.mark > q.mark || ctx.Err() != nil {
			return u, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
