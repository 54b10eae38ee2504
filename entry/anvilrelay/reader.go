package anvilrelay

import (
	"context"
	_ "embed" // for the chart
	"errors"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvildelta"
	"anvilhold.org/lib/anvilevacuation"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
)

// Store reads the configuration from the store, whole when after is 0, else what has changed after that version. It waits for a change for
// up to wait. Errors are of type *anvilstorage.Error.
type Store interface {
	Policy(ctx context.Context, after int64, wait anvilclock.Millis) (anvilstorage.PolicyPage, error)
}

// Peers asks other instances. It must be safe for concurrent use.
type Peers interface {
	// Policy returns what the instance at an address knows, once there is something newer than the query names or its wait is over.
	Policy(ctx context.Context, addr string, q Query) (Update, error)
}

// Parser decodes the configuration's text.
type Parser interface {
	ParsePolicy(document []byte) (*anvilpolicy.Policy, error)
}

// Fleet is what a reader asks about its own instance and the others.
type Fleet interface {
	// Parents returns the addresses of the instances to ask, the preferred one first; nil to read from the store.
	Parents() []string
	// Known returns the version of the row whose configuration this instance has, and its text; 0 and nil for none.
	Known() (rowVersion int64, document []byte)
	// ReadLimits returns how long the store may wait for a change after a version, and the timeout of the read, while the
	// configuration was last confirmed age ago.
	ReadLimits(after int64, age anvilclock.Millis) (wait, timeout anvilclock.Millis)
}

// Meter counts events as metrics. It must be safe for concurrent use.
type Meter interface {
	Count(name string)
}

const (
	// answerTimeout is by how much longer than the wait the answer to a query may take.
	answerTimeout = anvilclock.Millis(400)
	// storeWait bounds the wait of a read of the store by an instance that others may ask: a confirmation is as old as the read took
	// when they hear of it, and is replaced after another one.
	storeWait = anvilclock.Millis(350)
	// backoff is how long an instance is not asked after a failure.
	backoff = anvilclock.Millis(3000)
)

//go:embed charts/reader.toml
var readerChart string

// Reader reads the configuration from other instances while that keeps it confirmed, and else from the store. One goroutine owns it.
type Reader struct {
	store   Store
	fleet   Fleet
	clock   anvilclock.Clock
	log     *anvilevent.Log
	meter   Meter
	peers   Peers
	parser  Parser
	machine anvilchart.Machine
	binding *anvilchart.Binding[*Reader]
	// confirmed is when the newest configuration that was read was the newest.
	confirmed    anvilclock.Millis
	backoffUntil map[string]anvilclock.Millis
	// marks are those of the last updates, by the addresses of the instances that sent them.
	marks map[string]int64
}

// Option sets an optional part of a Reader.
type Option func(*Reader)

// WithPeers sets how other instances are asked. Without it, the reader reads from the store.
func WithPeers(peers Peers, parser Parser) Option {
	return func(r *Reader) { r.peers, r.parser = peers, parser }
}

// NewReader returns a reader. It fails when its state chart is invalid.
func NewReader(store Store, fleet Fleet, clock anvilclock.Clock, log *anvilevent.Log, meter Meter, opts ...Option) (*Reader, error) {
	r := &Reader{
		store: store, fleet: fleet, clock: clock, log: log, meter: meter, confirmed: clock.Now(),
		binding: anvilchart.NewBinding[*Reader](nil, nil), backoffUntil: map[string]anvilclock.Millis{}, marks: map[string]int64{},
	}
	for _, opt := range opts {
		opt(r)
	}
	chart, err := anvilchart.Load("charts/reader.toml", readerChart, r.binding)
	if err != nil {
		return nil, err
	}
	r.machine = chart.NewMachine()
	return r, nil
}

// fire passes an event to the chart, which handles or ignores each one in all states.
func (r *Reader) fire(event string) {
	if err := anvilchart.Fire(&r.machine, r.binding, event, r); err != nil {
		r.log.Fault(anvilevent.ChartRefused, err)
	}
}

// Read returns the configuration, with the changes after a version of the store when there is one, and a time from which on it was the
// newest. It blocks until there is a change or the read is over.
func (r *Reader) Read(ctx context.Context, after int64) (anvilstorage.PolicyPage, anvilclock.Millis, error) {
	for {
		sent := r.clock.Now()
		addr := r.parent(sent)
		if after == 0 || addr == "" {
			page, err := r.readStore(ctx, after, sent)
			return page, sent, err
		}
		page, since, err := r.readPeer(ctx, addr, after, sent)
		if err == nil {
			r.fire("relayed")
			r.confirmed = max(r.confirmed, since)
			return page, since, nil
		}
		now := r.clock.Now()
		r.log.Record(anvilevent.RelayFailed, "instance", addr, "took", int64(now-sent), "age", int64(now-r.confirmed), "error", err.Error())
		r.meter.Count("policy.relay.failed")
		r.backoffUntil[addr] = now + backoff
		delete(r.marks, addr)
		r.fire("fell")
	}
}

// parent returns the preferred instance that is not in backoff; empty when this instance reads from the store.
func (r *Reader) parent(now anvilclock.Millis) string {
	if r.peers == nil || now-r.confirmed > maxAge {
		return ""
	}
	for _, addr := range r.fleet.Parents() {
		if now >= r.backoffUntil[addr] {
			return addr
		}
	}
	return ""
}

func (r *Reader) readStore(ctx context.Context, after int64, sent anvilclock.Millis) (anvilstorage.PolicyPage, error) {
	if r.machine.State() == "whole" {
		after = 0
	}
	wait, timeout := r.fleet.ReadLimits(after, sent-r.confirmed)
	if r.peers != nil {
		wait = min(wait, storeWait)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	page, err := r.store.Policy(ctx, after, wait)
	if err != nil {
		r.fire("fell")
		return page, err
	}
	r.confirmed = max(r.confirmed, sent)
	if page.Changes() > 1 {
		r.fire("fell")
	} else {
		r.fire("listed")
	}
	return page, nil
}

// Reasons why an update is dropped.
var (
	errNoBase = errors.New("the configuration is the difference from a version that this instance doesn't have")
	errAhead  = errors.New("the confirmation is later than the answer")
)

// readPeer returns the configuration as the instance at addr knows it, and a time from which on it was the newest. sent is the time of the
// call.
func (r *Reader) readPeer(ctx context.Context, addr string, after int64, sent anvilclock.Millis) (anvilstorage.PolicyPage, anvilclock.Millis, error) {
	rowVersion, document := r.fleet.Known()
	ctx, cancel := context.WithTimeout(ctx, (maxWait + answerTimeout).Duration())
	defer cancel()
	update, err := r.peers.Policy(ctx, addr, NewQuery(rowVersion, r.marks[addr], maxWait))
	if err != nil {
		return anvilstorage.PolicyPage{}, 0, err
	}
	if update.Lead() > r.clock.Now()-sent {
		return anvilstorage.PolicyPage{}, 0, errAhead
	}
	page := anvilstorage.NewPolicyPage(nil, 0, update.Version())
	if update.Difference() != nil {
		if page, err = r.decode(update, rowVersion, document); err != nil {
			return anvilstorage.PolicyPage{}, 0, err
		}
	}
	r.marks[addr] = update.Mark()
	since := sent + update.Lead()
	if update.Version() < after {
		// This instance knows newer requests for evacuations.
		return page, since, nil
	}
	requests := make([]anvilevacuation.Change, 0, len(update.Evacuated()))
	for _, domain := range update.Evacuated() {
		requests = append(requests, anvilevacuation.Request(domain))
	}
	return page.WithEvacuations(anvilevacuation.NewFullPage(requests)), since, nil
}

// decode decodes the configuration of an update for an instance that has the one of a row's version.
func (r *Reader) decode(update Update, rowVersion int64, document []byte) (anvilstorage.PolicyPage, error) {
	var base []byte
	if update.Base() != 0 {
		if base = document; update.Base() != rowVersion || base == nil {
			return anvilstorage.PolicyPage{}, errNoBase
		}
	}
	text, err := anvildelta.Decode(base, update.Difference())
	if err != nil {
		return anvilstorage.PolicyPage{}, err
	}
	policy, err := r.parser.ParsePolicy(text)
	if err != nil {
		return anvilstorage.PolicyPage{}, err
	}
	return anvilstorage.NewPolicyPage(policy, update.RowVersion(), update.Version()).WithDocument(text), nil
}
