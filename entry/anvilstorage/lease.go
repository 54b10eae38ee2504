package anvilstorage

import (
	"encoding/json"
	"fmt"

	"anvilhold.org/lib/anvilclock"
)

// LeaseBound bounds the leases of a worker that doesn't answer the leader. While the row exists, no leader extends them.
type LeaseBound struct {
	worker      string
	incarnation int64
	token       int64
	until       anvilclock.Millis
	unanswered  anvilclock.Millis
}

// NewLeaseBound returns the bound of an incarnation of a worker: all leases have expired at the time until of the store's
// clock. Runs whose start got no answer may last until the time unanswered, if the worker has restarted; 0 when there are none.
// The token is that of the leader that stores it.
func NewLeaseBound(worker string, incarnation, token int64, until, unanswered anvilclock.Millis) LeaseBound {
	return LeaseBound{worker: worker, incarnation: incarnation, token: token, until: until, unanswered: unanswered}
}

// Worker returns the worker's id, which is the key of the row.
func (b LeaseBound) Worker() string { return b.worker }

// Incarnation returns the incarnation of the worker.
func (b LeaseBound) Incarnation() int64 { return b.incarnation }

// Token returns the fencing token of the leader that stored the bound.
func (b LeaseBound) Token() int64 { return b.token }

// Until returns the time of the store's clock at which all leases have expired.
func (b LeaseBound) Until() anvilclock.Millis { return b.until }

// Unanswered returns the time of the store's clock until which runs whose start got no answer may last; 0 when there are none.
func (b LeaseBound) Unanswered() anvilclock.Millis { return b.unanswered }

type leaseRow struct {
	Life  int64 `json:"life"`
	Token int64 `json:"token"`
	Until int64 `json:"until"`
	Start int64 `json:"start,omitempty"`
}

// LeaseRow returns the row that stores a bound.
func LeaseRow(b LeaseBound) (Row, error) {
	value, err := json.Marshal(leaseRow{Life: b.incarnation, Token: b.token, Until: int64(b.until), Start: int64(b.unanswered)})
	if err != nil {
		return Row{}, fmt.Errorf("lease bound of worker %s: %w", b.worker, err)
	}
	return NewRow(Leases, b.worker, value), nil
}

// ParseLease decodes the row of a bound.
func ParseLease(r Row) (LeaseBound, error) {
	var in leaseRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return LeaseBound{}, fmt.Errorf("lease bound of worker %s: %w", r.key, err)
	}
	return NewLeaseBound(r.key, in.Life, in.Token, anvilclock.Millis(in.Until), anvilclock.Millis(in.Start)), nil
}

// WitnessKey is the key of the only row of the witnesses table.
const WitnessKey = "fleet"

// Witnesses are the instances that a leader asks during an outage of the store: it extends leases only as long as all of them
// confirm that they account for these leases in case they become leader.
type Witnesses struct {
	token int64
	addrs []string
}

// NewWitnesses returns the witnesses of the leader with a token, by their addresses. It keeps the slice.
func NewWitnesses(token int64, addrs []string) Witnesses {
	return Witnesses{token: token, addrs: addrs}
}

// Token returns the token of the leader.
func (w Witnesses) Token() int64 { return w.token }

// Addrs returns the addresses of the instances. The caller must not change the slice.
func (w Witnesses) Addrs() []string { return w.addrs }

type witnessRow struct {
	Token int64    `json:"token"`
	Addrs []string `json:"addrs"`
}

// WitnessRow returns the row that stores the witnesses.
func WitnessRow(w Witnesses) (Row, error) {
	value, err := json.Marshal(witnessRow{Token: w.token, Addrs: w.addrs})
	if err != nil {
		return Row{}, fmt.Errorf("witnesses: %w", err)
	}
	return NewRow(WitnessList, WitnessKey, value), nil
}

// ParseWitnesses decodes the row of the witnesses.
func ParseWitnesses(r Row) (Witnesses, error) {
	var in witnessRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return Witnesses{}, fmt.Errorf("witnesses: %w", err)
	}
	return NewWitnesses(in.Token, in.Addrs), nil
}
