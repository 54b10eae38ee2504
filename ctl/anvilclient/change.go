package anvilclient

import (
	"context"
	"errors"
	"net/http"
	"time"

	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

const (
	waitLimit = 10 * time.Second
	// waitPause is below the 500 ms at which entry instances read the configuration.
	waitPause = 200 * time.Millisecond
)

// Op is what a change does with its subject.
type Op string

// The operations.
const (
	Put    Op = "put"
	Delete Op = "delete"
)

// Changed tells where an accepted change is in force.
type Changed struct {
	id      string
	version int64
}

// ID returns the id of the change.
func (c Changed) ID() string { return c.id }

// Version returns the version at which the change is in force.
func (c Changed) Version() int64 { return c.version }

// Contract puts or deletes a contract. base is the version that the operator saw.
func (c *Client) Contract(ctx context.Context, op Op, v anvilconfig.Contract, base int64) (Changed, error) {
	return c.change(ctx, anvilwire.Change_builder{Op: string(op), Base: base, Contract: WireContract(v)}.Build())
}

// Key puts or deletes a key.
func (c *Client) Key(ctx context.Context, op Op, k anvilconfig.Key, base int64) (Changed, error) {
	return c.change(ctx, anvilwire.Change_builder{Op: string(op), Base: base, Key: anvilwire.Key_builder{
		Hash: k.Hash(), Team: k.Team(), Role: string(k.Role()), Label: k.Label(),
	}.Build()}.Build())
}

// Leave marks an instance as leaving or takes the mark away.
func (c *Client) Leave(ctx context.Context, op Op, instance string, base int64) (Changed, error) {
	return c.change(ctx, anvilwire.Change_builder{
		Op: string(op), Base: base, Leave: anvilwire.Leave_builder{Instance: instance}.Build(),
	}.Build())
}

func (c *Client) change(ctx context.Context, m *anvilwire.Change) (Changed, error) {
	m.SetChange(anviltask.NewID())
	var reply anvilwire.Changed
	h, err := c.call(ctx, http.MethodPost, "/v1/config", m, &reply)
	var refused *anvilerror.Error
	switch {
	case errors.As(err, &refused) && refused.Outcome() == anvilerror.NotRun && refused.Code() == anvilerror.Conflict:
		return Changed{}, &ConflictError{version: versionOf(h), cause: refused}
	case err != nil:
		return Changed{}, err
	case !reply.GetOk():
		return Changed{}, &ConflictError{version: reply.GetVersion(), cause: anvilerror.Refuse(anvilerror.Conflict, reply.GetReason())}
	}
	return Changed{id: m.GetChange(), version: reply.GetVersion()}, nil
}

// Wait returns when a version is in force on every live entry instance, or a PendingError after
// 10 s. A failed question counts as no answer yet.
func (c *Client) Wait(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	tick := time.NewTicker(waitPause)
	defer tick.Stop()
	var everywhere int64
	for {
		if cfg, err := c.Config(ctx); err == nil {
			everywhere = cfg.GetEverywhere()
		}
		if everywhere >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return &PendingError{version: version, everywhere: everywhere}
		case <-tick.C:
		}
	}
}

// WireContract returns the message of a contract.
func WireContract(v anvilconfig.Contract) *anvilwire.Contract {
	return anvilwire.Contract_builder{
		Team: v.Team(), Weight: v.Weight(), Rate: v.Rate(), Flight: v.MaxInFlight(), Pools: v.Pools(),
		Limit: anvilwire.Size_builder{Cpu: v.Limit().CPU(), Memory: v.Limit().Memory(), Accel: v.Limit().Accel()}.Build(),
	}.Build()
}

// Contract returns the contract in a message.
func Contract(m *anvilwire.Contract) anvilconfig.Contract {
	return anvilconfig.NewContract(m.GetTeam(), anvilconfig.WithLimit(Size(m.GetLimit())), anvilconfig.WithWeight(m.GetWeight()),
		anvilconfig.WithRate(m.GetRate()), anvilconfig.WithMaxInFlight(m.GetFlight()), anvilconfig.WithPools(m.GetPools()...))
}

// Size returns the size in a message.
func Size(m *anvilwire.Size) anvilsize.Size {
	return anvilsize.New(m.GetCpu(), m.GetMemory(), m.GetAccel())
}
