// Package anviltrial runs a cell under load: it writes the configuration, sends traffic, injects faults, and passes
// its records to the audit.
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
	// setupTimeout limits the first configuration. A new instance accepts changes only after it has reached every
	// instance that has a session.
	setupTimeout = 15 * time.Second
	// changeRetryInterval is the time between two attempts of a change.
	changeRetryInterval = 200 * time.Millisecond
)

// Trial is a cell with its clients, its teams and the records of its run.
type Trial struct {
	cell            *anvilcell.Cell
	balancer        *anvilcaller.Balancer
	client          *anvilcaller.Client
	operator        *anvilcaller.Operator
	recorder        *Recorder
	teams           []Team
	clock           anvilclock.Clock
	withdrawalLocks map[string]*sync.Mutex // by team; locked while its last key is withdrawn
	leaveLocks      map[string]*sync.Mutex // by worker; locked while it is marked as leaving
}

// Open starts a cell, writes the contracts and keys of the teams, and waits until every pool answers calls. The
// caller must call Close; if Open fails, it has ended the cell.
func Open(ctx context.Context, bin, dir string, plan anvilcell.Plan, teams []Team) (*Trial, error) {
	cell, err := anvilcell.Start(ctx, bin, dir, plan)
	if err != nil {
		return nil, err
	}
	t := &Trial{cell: cell, recorder: NewRecorder(), teams: teams, clock: anvilclock.NewSystem(), withdrawalLocks: map[string]*sync.Mutex{}, leaveLocks: map[string]*sync.Mutex{}}
	for _, team := range teams {
		t.withdrawalLocks[team.Name()] = &sync.Mutex{}
	}
	for _, w := range plan.Workers() {
		t.leaveLocks[w.ID()] = &sync.Mutex{}
	}
	t.balancer = anvilcaller.NewBalancer(ctx, cell)
	t.client = anvilcaller.New(t.balancer)
	t.operator = anvilcaller.NewOperator(t.client, OperatorKey)
	if err := t.configure(ctx); err != nil {
		return nil, errors.Join(err, t.Close())
	}
	return t, nil
}

// Cell returns the cell that Open started. Callers must not close it.
func (t *Trial) Cell() *anvilcell.Cell { return t.cell }

// Client returns the client that sends the traffic.
func (t *Trial) Client() *anvilcaller.Client { return t.client }

// Operator returns the operator that changes the configuration.
func (t *Trial) Operator() *anvilcaller.Operator { return t.operator }

// Recorder returns the recorder of the run. Callers may record requests and changes that they send themselves.
func (t *Trial) Recorder() *Recorder { return t.recorder }

// Teams returns the teams that Open was given.
func (t *Trial) Teams() []Team { return t.teams }

// Close closes the clients and the recorder and kills all processes of the cell.
func (t *Trial) Close() error {
	t.balancer.Close()
	t.client.Close()
	t.recorder.Close()
	return t.cell.Close()
}

func (t *Trial) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	bootstrap := anvilcaller.NewOperator(t.client, anvilcell.Bootstrap)
	if err := t.retryChange(ctx, func() anvilcaller.Change {
		return bootstrap.ChangeKey(ctx, anvilcaller.Put, OperatorKey, "", anvilconfig.OperatorRole)
	}); err != nil {
		return fmt.Errorf("first operator key: %w", err)
	}
	spare := anvilconfig.NewContract(spareTeam, anvilconfig.WithLimit(anvilsize.New(1000, 1024, 0)))
	if err := t.retryChange(ctx, func() anvilcaller.Change { return t.operator.ChangeContract(ctx, anvilcaller.Put, spare, 0) }); err != nil {
		return fmt.Errorf("contract of %s: %w", spareTeam, err)
	}
	for _, team := range t.teams {
		if err := t.PutContract(ctx, team.contract); err != nil {
			return fmt.Errorf("contract of %s: %w", team.Name(), err)
		}
		for _, k := range team.keys {
			if err := t.retryChange(ctx, func() anvilcaller.Change {
				return t.operator.ChangeKey(ctx, anvilcaller.Put, k, team.Name(), anvilconfig.TeamRole)
			}); err != nil {
				return fmt.Errorf("key of %s: %w", team.Name(), err)
			}
		}
	}
	return t.waitServing(ctx)
}

// waitServing sends a call to each pool until it is answered, because entry instances report that they are
// ready before they own the shards and know the workers. These calls are not recorded.
func (t *Trial) waitServing(ctx context.Context) error {
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
			if !sleep(ctx, changeRetryInterval) {
				return fmt.Errorf("pool %s does not answer calls: %s %s: %.200s", pool, last.Outcome(), last.Code(), last.Body())
			}
		}
	}
	return nil
}

// retryChange repeats a change until it is accepted or ctx is done.
func (t *Trial) retryChange(ctx context.Context, change func() anvilcaller.Change) error {
	for {
		c := change()
		if c.Accepted() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the change was not accepted: %s", c)
		case <-time.After(changeRetryInterval):
		}
	}
}

// PutContract writes a contract until it is accepted or ctx is done, and records each attempt that may have taken
// effect.
func (t *Trial) PutContract(ctx context.Context, c anvilconfig.Contract) error {
	return t.retryChange(ctx, func() anvilcaller.Change {
		change := t.operator.ChangeContract(ctx, anvilcaller.Put, c, 0)
		if change.Accepted() || change.OutcomeUnknown() {
			t.recorder.LimitChange(anvilaudit.NewLimitChange(c.Team(), c.Limit(), change.Sent(), change.AcceptedAt()))
		}
		return change
	})
}

// pollInterval is the time between two polls of the accepted tasks.
const pollInterval = 300 * time.Millisecond

// AwaitTasks waits until every accepted task has ended or ctx is done, and returns the number of tasks that are
// not known to have ended.
func (t *Trial) AwaitTasks(ctx context.Context) int {
	for {
		pending := t.recorder.pending()
		if len(pending) == 0 {
			return 0
		}
		t.pollStates(ctx, pending)
		if len(t.recorder.pending()) == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return len(t.recorder.pending())
		case <-time.After(pollInterval):
		}
	}
}

// maxStateRequests limits the requests for states in flight.
const maxStateRequests = 16

// pollStates asks for the state of each ticket once and records the answers.
func (t *Trial) pollStates(ctx context.Context, pending map[int]string) {
	slots := make(chan struct{}, maxStateRequests)
	for i, ticket := range pending {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-slots }()
			if state := t.client.State(ctx, OperatorKey, ticket); state != "" {
				t.recorder.setState(i, state)
			}
		}()
	}
	for range maxStateRequests {
		slots <- struct{}{}
	}
}

// Counts holds the number of requests by outcome.
type Counts struct {
	accepted int
	answered int
	refused  int
	unknown  int
	noAnswer int
	codes    map[anvilerror.Code]int
}

// Accepted returns the number of requests that may have been accepted.
func (c Counts) Accepted() int { return c.accepted }

// Answered returns the number of accepted requests that are known to have ended.
func (c Counts) Answered() int { return c.answered }

// Refused returns the number of requests whose attempts all have the outcome "not run".
func (c Counts) Refused() int { return c.refused }

// String returns the numbers of unknown, unanswered and open requests, and the reason codes of the attempts that were not
// done, on one line.
func (c Counts) String() string {
	return fmt.Sprintf("unknown=%d silent=%d open=%d codes=%v", c.unknown, c.noAnswer, c.accepted-c.answered-c.unknown-c.noAnswer, c.codes)
}

// Count counts the recorded requests by outcome. An accepted task counts as answered if it has ended, and as unknown if
// its outcome or its state is unknown.
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
		case o == anvilaudit.NoAnswer:
			c.noAnswer++
		case o == anvilerror.Unknown, r.State() == string(anvilerror.Unknown):
			c.unknown++
		case r.State() == "" && r.Kind() == anviltask.Call, anvilaudit.Final(r.State()):
			c.answered++
		}
	}
	return c
}

// Audit audits the records and the traces of the workers. It must be called before Close.
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
