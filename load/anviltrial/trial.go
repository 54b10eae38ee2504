// Package anviltrial runs a cell under load: it writes the configuration, sends traffic, applies
// faults, and hands what it has seen to the audit.
package anviltrial

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcaller"
	"anvilhold.org/load/anvilcell"
)

const (
	// setupLimit bounds the first configuration. A new instance accepts changes only after it has
	// reached every session that is listed.
	setupLimit = 15 * time.Second
	// changePause is the pause between two tries of a change.
	changePause = 200 * time.Millisecond
)

// Trial is a cell with its configuration and everything that was seen of it.
type Trial struct {
	cell     *anvilcell.Cell
	balancer *anvilcaller.Balancer
	client   *anvilcaller.Client
	operator *anvilcaller.Operator
	recorder *Recorder
	teams    []Team
	clock    anvilclock.Clock
	turns    map[string]*sync.Mutex // one withdrawal of a team's key at a time
}

// Open starts a cell and writes the contracts and keys of the teams. The caller must call Close.
func Open(ctx context.Context, bin, dir string, plan anvilcell.Plan, teams []Team) (*Trial, error) {
	cell, err := anvilcell.Start(ctx, bin, dir, plan)
	if err != nil {
		return nil, err
	}
	t := &Trial{cell: cell, recorder: NewRecorder(), teams: teams, clock: anvilclock.NewSystem(), turns: map[string]*sync.Mutex{}}
	for _, team := range teams {
		t.turns[team.Name()] = &sync.Mutex{}
	}
	t.balancer = anvilcaller.NewBalancer(ctx, cell)
	t.client = anvilcaller.New(t.balancer)
	t.operator = anvilcaller.NewOperator(t.client, OperatorKey)
	if err := t.configure(ctx); err != nil {
		return nil, errors.Join(err, t.Close())
	}
	return t, nil
}

// Cell returns the cell.
func (t *Trial) Cell() *anvilcell.Cell { return t.cell }

// Client returns the caller's side.
func (t *Trial) Client() *anvilcaller.Client { return t.client }

// Operator returns the operator's side.
func (t *Trial) Operator() *anvilcaller.Operator { return t.operator }

// Recorder returns the record of the run.
func (t *Trial) Recorder() *Recorder { return t.recorder }

// Teams returns the teams.
func (t *Trial) Teams() []Team { return t.teams }

// Close ends every process of the cell.
func (t *Trial) Close() error {
	t.balancer.Close()
	t.client.Close()
	t.recorder.Close()
	return t.cell.Close()
}

func (t *Trial) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupLimit)
	defer cancel()
	first := anvilcaller.NewOperator(t.client, anvilcell.Bootstrap)
	if err := t.until(ctx, func() anvilcaller.Change {
		return first.Secret(ctx, anvilcaller.Put, OperatorKey, "", anvilconfig.OperatorRole)
	}); err != nil {
		return fmt.Errorf("first operator key: %w", err)
	}
	spare := anvilconfig.NewContract(spareTeam, anvilconfig.WithLimit(anvilsize.New(1000, 1024, 0)))
	if err := t.until(ctx, func() anvilcaller.Change { return t.operator.Contract(ctx, anvilcaller.Put, spare, 0) }); err != nil {
		return fmt.Errorf("contract of %s: %w", spareTeam, err)
	}
	for _, team := range t.teams {
		if err := t.PutLimit(ctx, team.contract); err != nil {
			return fmt.Errorf("contract of %s: %w", team.Name(), err)
		}
		for _, k := range team.keys {
			if err := t.until(ctx, func() anvilcaller.Change {
				return t.operator.Secret(ctx, anvilcaller.Put, k, team.Name(), anvilconfig.TeamRole)
			}); err != nil {
				return fmt.Errorf("key of %s: %w", team.Name(), err)
			}
		}
	}
	return t.warm(ctx)
}

// warm calls each pool until it answers, because the entry instances are ready before they have taken
// over the shards and seen the workers. The calls are not part of the record.
func (t *Trial) warm(ctx context.Context) error {
	team := t.teams[0]
	pools := make(map[string]bool)
	for _, w := range t.cell.Plan().Workers() {
		pools[w.Pool()] = true
	}
	for pool := range pools {
		for {
			call := anviltask.New(anviltask.NewID(), anviltask.Call, pool, anviltask.WithTeam(team.Name(), ""),
				anviltask.WithSize(anvilsize.New(100, 64, 0)), anviltask.WithBody([]byte("work=1\n")))
			r, last := t.client.CallAnswer(ctx, team.keys[0], call)
			if r.Outcome() == anvilerror.Done {
				break
			}
			if !sleep(ctx, changePause) {
				return fmt.Errorf("pool %s answers no call: %s %s: %.200s", pool, last.Outcome(), last.Code(), last.Body())
			}
		}
	}
	return nil
}

// until repeats a change until it is accepted or the context ends.
func (t *Trial) until(ctx context.Context, change func() anvilcaller.Change) error {
	for {
		c := change()
		if c.Accepted() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not accepted: %s", c)
		case <-time.After(changePause):
		}
	}
}

// PutLimit writes a contract until it is accepted, and records each try that may be in effect.
func (t *Trial) PutLimit(ctx context.Context, c anvilconfig.Contract) error {
	return t.until(ctx, func() anvilcaller.Change {
		change := t.operator.Contract(ctx, anvilcaller.Put, c, 0)
		if change.Accepted() || change.OutcomeUnknown() {
			t.recorder.Limit(anvilaudit.NewLimit(c.Team(), c.Limit(), change.Sent(), change.Settled()))
		}
		return change
	})
}

// settleInterval is the pause between two rounds of questions about accepted tasks.
const settleInterval = 300 * time.Millisecond

// Settle waits until every accepted task has ended, or the context ends, and returns how many have not.
func (t *Trial) Settle(ctx context.Context) int {
	for {
		open := t.recorder.pending()
		if len(open) == 0 {
			return 0
		}
		t.ask(ctx, open)
		if len(t.recorder.pending()) == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return len(t.recorder.pending())
		case <-time.After(settleInterval):
		}
	}
}

// askers bounds the questions that are under way at once.
const askers = 16

// ask asks for the state of each ticket once.
func (t *Trial) ask(ctx context.Context, open map[int]string) {
	slots := make(chan struct{}, askers)
	for i, ticket := range open {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-slots }()
			if state := t.client.State(ctx, OperatorKey, ticket); state != "" {
				t.recorder.ended(i, state)
			}
		}()
	}
	for range askers {
		slots <- struct{}{}
	}
}

// Counts is the number of requests by outcome.
type Counts struct {
	accepted int
	answered int
	refused  int
	unknown  int
	silent   int
	codes    map[anvilerror.Code]int
}

// Accepted returns the number of requests that got into the system.
func (c Counts) Accepted() int { return c.accepted }

// Answered returns the number of requests that were done.
func (c Counts) Answered() int { return c.answered }

// Refused returns the number of requests that did not run.
func (c Counts) Refused() int { return c.refused }

// String tells the counts that the last line of a run leaves out.
func (c Counts) String() string {
	return fmt.Sprintf("unknown=%d silent=%d open=%d codes=%v", c.unknown, c.silent, c.accepted-c.answered-c.unknown-c.silent, c.codes)
}

// Count counts the requests of a run. An accepted task counts as answered when it has ended.
func (t *Trial) Count() Counts {
	c := Counts{codes: make(map[anvilerror.Code]int)}
	for _, r := range t.recorder.Requests() {
		for _, a := range r.Attempts() {
			if a.Outcome() != anvilerror.Done {
				c.codes[a.Code()]++
			}
		}
		if !r.Accepted() {
			c.refused++
			continue
		}
		c.accepted++
		switch o := r.Outcome(); {
		case o == anvilaudit.None:
			c.silent++
		case o == anvilerror.Unknown, r.State() == string(anvilerror.Unknown):
			c.unknown++
		case r.State() == "" && r.Kind() == anviltask.Call, anvilaudit.Final(r.State()):
			c.answered++
		}
	}
	return c
}

// Audit audits what was seen. The cell must not be closed yet.
func (t *Trial) Audit() (*anvilaudit.Report, error) {
	e, err := t.cell.Evidence()
	if err != nil {
		return nil, err
	}
	traces, err := e.Traces()
	if err != nil {
		return nil, err
	}
	opts := append(t.recorder.evidence(), anvilaudit.WithTraces(traces...), anvilaudit.WithExits(e.Exits()...),
		anvilaudit.WithLease(t.cell.Plan().Lease()))
	return anvilaudit.Audit(opts...), nil
}
