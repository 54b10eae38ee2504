package anvilscheduler

import (
	"context"
	"errors"
	"sync"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvildelta"
)

// maxRelayAge is the time since the configuration was last confirmed up to which an instance gives it to others, and above which it
// reads from the store itself.
const maxRelayAge = anvilclock.Millis(1200)

// PolicyQuery asks an instance for what it knows of the operator's configuration.
type PolicyQuery struct {
	rowVersion int64
	mark       int64
	wait       anvilclock.Millis
}

// NewPolicyQuery returns the query of an instance that has the configuration of a row's version, or 0. mark is that of the last share
// from the same instance, or 0. The answer may wait for the time wait until there is something newer.
func NewPolicyQuery(rowVersion, mark int64, wait anvilclock.Millis) PolicyQuery {
	return PolicyQuery{rowVersion: rowVersion, mark: mark, wait: wait}
}

// RowVersion returns the version of the row whose configuration the caller has; 0 for none.
func (q PolicyQuery) RowVersion() int64 { return q.rowVersion }

// Mark returns the mark of the last share from the same instance; 0 for none.
func (q PolicyQuery) Mark() int64 { return q.mark }

// Wait returns how long the answer may wait for something newer.
func (q PolicyQuery) Wait() anvilclock.Millis { return q.wait }

// PolicyShare is what an instance knows of the operator's configuration, for another instance.
type PolicyShare struct {
	rowVersion int64
	base       int64
	difference []byte
	version    int64
	mark       int64
	lead       anvilclock.Millis
	evacuated  []string
}

// NewPolicyShare returns a share. version is the store's version up to which it is complete, and evacuated are the evacuated failure
// domains. lead is when the configuration was last confirmed, counted from when the request arrived: it is negative before that. mark
// identifies that confirmation.
func NewPolicyShare(version, mark int64, lead anvilclock.Millis, evacuated []string) PolicyShare {
	return PolicyShare{version: version, mark: mark, lead: lead, evacuated: evacuated}
}

// WithDocument returns a copy of the share with a configuration whose row has a version, as the difference from that of the version
// base, or compressed with a base of 0.
func (s PolicyShare) WithDocument(rowVersion, base int64, difference []byte) PolicyShare {
	s.rowVersion, s.base, s.difference = rowVersion, base, difference
	return s
}

// RowVersion returns the version of the configuration's row; 0 when the receiver has the newest one.
func (s PolicyShare) RowVersion() int64 { return s.rowVersion }

// Base returns the version of the row that the difference is from; 0 for none.
func (s PolicyShare) Base() int64 { return s.base }

// Difference returns the encoded configuration; nil when the receiver has the newest one. The caller must not change it.
func (s PolicyShare) Difference() []byte { return s.difference }

// Version returns the store's version up to which the share is complete.
func (s PolicyShare) Version() int64 { return s.version }

// Mark identifies the confirmation, for the next query to the same instance.
func (s PolicyShare) Mark() int64 { return s.mark }

// Lead returns when the configuration was last confirmed, counted from when the request arrived.
func (s PolicyShare) Lead() anvilclock.Millis { return s.lead }

// Evacuated returns the evacuated failure domains.
func (s PolicyShare) Evacuated() []string { return s.evacuated }

// policyRelay holds what this instance gives others of the configuration. The loop updates it and traffic goroutines read it, so it is
// safe for concurrent use.
type policyRelay struct {
	mu        sync.Mutex
	history   anvildelta.History
	version   int64
	confirmed anvilclock.Millis
	evacuated []string
	// changed is closed, and replaced, when there is a newer configuration or confirmation.
	changed chan struct{}
}

func newPolicyRelay() *policyRelay { return &policyRelay{changed: make(chan struct{})} }

// add adds a configuration. It keeps the slice.
func (r *policyRelay) add(rowVersion int64, document []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if document == nil || rowVersion <= r.history.Newest() {
		return
	}
	r.history.Add(rowVersion, document)
	r.wake()
}

// wake wakes all that wait for a change. The caller holds mu.
func (r *policyRelay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// confirm records that the configuration and the evacuated domains were the newest at a time, and complete up to a version of the
// store.
func (r *policyRelay) confirm(at anvilclock.Millis, version int64, evacuated []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed, r.version, r.evacuated = max(r.confirmed, at), max(r.version, version), evacuated
	r.wake()
}

// share returns the share that answers a query, which arrived at a time, and a channel that is closed when there is something newer.
func (r *policyRelay) share(q PolicyQuery, received, now anvilclock.Millis) (PolicyShare, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.history.Newest()
	if newest == 0 || r.version == 0 || now-r.confirmed > maxRelayAge {
		return PolicyShare{}, r.changed, errPolicyStale
	}
	s := NewPolicyShare(r.version, int64(r.confirmed), r.confirmed-received, r.evacuated)
	if newest <= q.rowVersion {
		return s, r.changed, nil
	}
	base, difference, err := r.history.Encode(q.rowVersion)
	if err != nil {
		return PolicyShare{}, r.changed, err
	}
	return s.WithDocument(newest, base, difference), r.changed, nil
}

var errPolicyStale = errors.New("the configuration has not been confirmed recently")

// Policy returns what this instance knows of the configuration, for another one. It waits until there is something newer than the
// caller has, and fails when the configuration was not confirmed recently. It is safe for concurrent use.
func (l *Loop) Policy(ctx context.Context, q PolicyQuery) (PolicyShare, error) {
	received := l.clock.Now()
	ctx, cancel := withTimeout(ctx, min(q.wait, relayWait))
	defer cancel()
	for {
		s, changed, err := l.relay.share(q, received, l.clock.Now())
		if err != nil || s.difference != nil || s.mark > q.mark || ctx.Err() != nil {
			return s, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
