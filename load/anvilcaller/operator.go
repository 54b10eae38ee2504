package anvilcaller

import (
	"context"
	"fmt"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
	"anvilhold.org/load/anvilaudit"
)

// Operator changes the configuration with an operator's key.
type Operator struct {
	client *Client
	key    string
}

// NewOperator returns an operator.
func NewOperator(c *Client, key string) *Operator { return &Operator{client: c, key: key} }

// Key returns the operator's key.
func (o *Operator) Key() string { return o.key }

// Change is the result of a change.
type Change struct {
	answer  Answer
	version int64
}

// Accepted reports whether the change is known to be in effect.
func (c Change) Accepted() bool { return c.answer.outcome == anvilerror.Done }

// OutcomeUnknown reports whether the change may be in effect.
func (c Change) OutcomeUnknown() bool {
	return c.answer.outcome != anvilerror.Done && c.answer.outcome != anvilerror.NotRun
}

// Version returns the version of the configuration with an accepted change, or the one that stood in
// the way of a change that was not.
func (c Change) Version() int64 { return c.version }

// Outcome returns the outcome.
func (c Change) Outcome() anvilerror.Outcome { return c.answer.outcome }

// Code returns the reason code.
func (c Change) Code() anvilerror.Code { return c.answer.code }

// Sent returns when the change was sent.
func (c Change) Sent() anvilclock.Millis { return c.answer.sent }

// Settled returns when it was known to be accepted, 0 when it is not.
func (c Change) Settled() anvilclock.Millis {
	if !c.Accepted() {
		return 0
	}
	return c.answer.answered
}

// String tells the result on one line.
func (c Change) String() string {
	return fmt.Sprintf("%s %s status %d version %d: %.200s", c.answer.outcome, c.answer.code, c.answer.status, c.version, c.answer.body)
}

// The operations of a change.
const (
	Put    = "put"
	Delete = "delete"
)

// Contract puts or deletes a contract. A base other than 0 is the version that the operator saw.
func (o *Operator) Contract(ctx context.Context, op string, t anvilconfig.Contract, base int64) Change {
	return o.change(ctx, anvilwire.Change_builder{Op: op, Base: base, Contract: anvilwire.Contract_builder{
		Team: t.Team(), Limit: wireSize(t.Limit()), Weight: t.Weight(), Rate: t.Rate(), Flight: t.MaxInFlight(), Pools: t.Pools(),
	}.Build()}.Build())
}

// Secret puts or deletes the key with a secret.
func (o *Operator) Secret(ctx context.Context, op, secret, team string, role anvilconfig.Role) Change {
	return o.change(ctx, anvilwire.Change_builder{Op: op, Key: anvilwire.Key_builder{
		Hash: anvilconfig.HashKey(secret), Team: team, Role: string(role), Label: "anvilload",
	}.Build()}.Build())
}

// Leave marks an instance as leaving, or takes the mark away.
func (o *Operator) Leave(ctx context.Context, op, instance string) Change {
	return o.change(ctx, anvilwire.Change_builder{Op: op, Leave: anvilwire.Leave_builder{Instance: instance}.Build()}.Build())
}

func (o *Operator) change(ctx context.Context, c *anvilwire.Change) Change {
	c.SetChange(anviltask.NewID())
	body, err := protojson.Marshal(c)
	if err != nil {
		return Change{answer: Answer{outcome: anvilerror.NotRun, code: anvilaudit.Unsent}}
	}
	a := o.client.send(ctx, o.client.balancer.Pick(""), http.MethodPost, "/v1/config", o.key, map[string]string{"Content-Type": "application/json"}, body)
	result := Change{answer: a, version: a.version}
	if a.outcome != anvilerror.Done {
		return result
	}
	var got anvilwire.Changed
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(a.body, &got); err != nil {
		result.answer.outcome, result.answer.code = anvilerror.Unknown, anvilerror.Internal
		return result
	}
	result.version = got.GetVersion()
	if !got.GetOk() {
		result.answer.outcome, result.answer.code = anvilerror.NotRun, anvilerror.Conflict
	}
	return result
}

// Version asks one instance for its version of the configuration.
func (o *Operator) Version(ctx context.Context, addr string) (int64, bool) {
	a := o.client.send(ctx, addr, http.MethodGet, "/v1/config", o.key, nil, nil)
	if a.status != http.StatusOK {
		return 0, false
	}
	var got anvilwire.Config
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(a.body, &got); err != nil {
		return 0, false
	}
	return got.GetVersion(), true
}

// Cell asks one instance for the state of the cell as it sees it.
func (o *Operator) Cell(ctx context.Context, addr string) (*anvilwire.Cell, bool) {
	a := o.client.send(ctx, addr, http.MethodGet, "/v1/status", o.key, nil, nil)
	if a.status != http.StatusOK {
		return nil, false
	}
	var got anvilwire.Cell
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(a.body, &got); err != nil {
		return nil, false
	}
	return &got, true
}
