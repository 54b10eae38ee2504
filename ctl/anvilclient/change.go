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
	waitTimeout = 10 * time.Second
	// waitInterval is below the 500 ms between two reads of the configuration by an entry instance.
	waitInterval = 200 * time.Millisecond
)

// Op is the operation of a change. Its values are those of the field op on the wire.
type Op string

// The operations that entry instances accept.
const (
	Put    Op = "put"    // creates or replaces
	Delete Op = "delete" // deletes; contents other than the name or hash are ignored
)

// AcceptedChange identifies a change that was accepted. The zero value accompanies an error.
type AcceptedChange struct {
	id      string
	version int64
}

// ID returns the id that the client generated for the change.
func (c AcceptedChange) ID() string { return c.id }

// Version returns the first configuration version that contains the change.
func (c AcceptedChange) Version() int64 { return c.version }

// ChangeContract puts or deletes the contract of v.Team(). base is the configuration version that the change is based
// on; 0 skips the check for conflicts. The error is a ConflictError if another change came first.
func (c *Client) ChangeContract(ctx context.Context, op Op, v anvilconfig.Contract, base int64) (AcceptedChange, error) {
	return c.change(ctx, anvilwire.Change_builder{Op: string(op), Base: base, Contract: ContractToWire(v)}.Build())
}

// ChangeKey puts or deletes the key with hash k.Hash(). For base and errors see ChangeContract.
func (c *Client) ChangeKey(ctx context.Context, op Op, k anvilconfig.Key, base int64) (AcceptedChange, error) {
	return c.change(ctx, anvilwire.Change_builder{Op: string(op), Base: base, Key: anvilwire.Key_builder{
		Hash: k.Hash(), Team: k.Team(), Role: string(k.Role()), Label: k.Label(),
	}.Build()}.Build())
}

// ChangeLeaveMark sets or deletes the leave mark of a worker. For base and errors see ChangeContract.
func (c *Client) ChangeLeaveMark(ctx context.Context, op Op, worker string, base int64) (AcceptedChange, error) {
	return c.change(ctx, anvilwire.Change_builder{
		Op: string(op), Base: base, Leave: anvilwire.Leave_builder{Instance: worker}.Build(),
	}.Build())
}

func (c *Client) change(ctx context.Context, m *anvilwire.Change) (AcceptedChange, error) {
	m.SetChange(anviltask.NewID())
	var reply anvilwire.Changed
	h, err := c.call(ctx, http.MethodPost, "/v1/config", m, &reply)
	var refusal *anvilerror.Error
	switch {
	case errors.As(err, &refusal) && refusal.Outcome() == anvilerror.NotRun && refusal.Code() == anvilerror.Conflict:
		return AcceptedChange{}, &ConflictError{version: configVersion(h), cause: refusal}
	case err != nil:
		return AcceptedChange{}, err
	case !reply.GetOk():
		return AcceptedChange{}, &ConflictError{version: reply.GetVersion(), cause: anvilerror.Refuse(anvilerror.Conflict, reply.GetReason())}
	}
	return AcceptedChange{id: m.GetChange(), version: reply.GetVersion()}, nil
}

// Wait blocks until a configuration version is in force on every live entry instance. It returns a PendingError after
// 10 s or when ctx ends. Failed reads of the configuration are retried until then.
func (c *Client) Wait(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	tick := time.NewTicker(waitInterval)
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

// ContractToWire converts a contract to its protobuf message.
func ContractToWire(v anvilconfig.Contract) *anvilwire.Contract {
	return anvilwire.Contract_builder{
		Team: v.Team(), Weight: v.Weight(), Rate: v.Rate(), Flight: v.MaxInFlight(), Pools: v.Pools(),
		Limit: anvilwire.Size_builder{Cpu: v.Limit().CPU(), Memory: v.Limit().Memory(), Accel: v.Limit().Accel()}.Build(),
	}.Build()
}

// ContractFromWire converts a protobuf message to a contract. A nil message gives an empty contract.
func ContractFromWire(m *anvilwire.Contract) anvilconfig.Contract {
	return anvilconfig.NewContract(m.GetTeam(), anvilconfig.WithLimit(SizeFromWire(m.GetLimit())), anvilconfig.WithWeight(m.GetWeight()),
		anvilconfig.WithRate(m.GetRate()), anvilconfig.WithMaxInFlight(m.GetFlight()), anvilconfig.WithPools(m.GetPools()...))
}

// SizeFromWire converts a protobuf message to a size. A nil message gives the zero size.
func SizeFromWire(m *anvilwire.Size) anvilsize.Size {
	return anvilsize.New(m.GetCpu(), m.GetMemory(), m.GetAccel())
}
