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

// Operator reads and changes the configuration with the key of an operator.
type Operator struct {
	client *Client
	key    string
}

// NewOperator returns an operator that sends its requests through c.
func NewOperator(c *Client, key string) *Operator { return &Operator{client: c, key: key} }

// Key returns the secret of the operator's key.
func (o *Operator) Key() string { return o.key }

// Change is the result of a change of the configuration.
type Change struct {
	answer  Answer
	version int64
}

// Accepted reports whether the change is known to have been accepted.
func (c Change) Accepted() bool { return c.answer.outcome == anvilerror.Done }

// OutcomeUnknown reports whether the change may or may not have been accepted, because there was no answer or
// one with an unknown outcome.
func (c Change) OutcomeUnknown() bool {
	return c.answer.outcome != anvilerror.Done && c.answer.outcome != anvilerror.NotRun
}

// Version returns the version of the configuration that contains an accepted change, or the version that a
// refused change conflicted with.
func (c Change) Version() int64 { return c.version }

// Outcome returns the outcome of the change, or anvilaudit.NoAnswer.
func (c Change) Outcome() anvilerror.Outcome { return c.answer.outcome }

// Code returns the reason code; it is empty if there is none.
func (c Change) Code() anvilerror.Code { return c.answer.code }

// Sent returns when the change was sent.
func (c Change) Sent() anvilclock.Millis { return c.answer.sent }

// AcceptedAt returns when the answer to an accepted change arrived, 0 if the change is not known to have been accepted.
func (c Change) AcceptedAt() anvilclock.Millis {
	if !c.Accepted() {
		return 0
	}
	return c.answer.answered
}

// String returns the result on one line.
func (c Change) String() string {
	return fmt.Sprintf("%s %s status %d version %d: %.200s", c.answer.outcome, c.answer.code, c.answer.status, c.version, c.answer.body)
}

// The operations of a change, as they are on the wire.
const (
	Put    = "put"
	Delete = "delete"
)

// ChangeContract creates, replaces or deletes the contract of a team; op is Put or Delete. A base other than 0 is the
// version that the change is based on.
func (o *Operator) ChangeContract(ctx context.Context, op string, t anvilconfig.Contract, base int64) Change {
	return o.change(ctx, anvilwire.Change_builder{Op: op, Base: base, Contract: anvilwire.Contract_builder{
		Team: t.Team(), Limit: wireSize(t.Limit()), Weight: t.Weight(), Rate: t.Rate(), Flight: t.MaxInFlight(), Pools: t.Pools(),
	}.Build()}.Build())
}

// ChangeKey adds or deletes the key with a secret; op is Put or Delete.
func (o *Operator) ChangeKey(ctx context.Context, op, secret, team string, role anvilconfig.Role) Change {
	return o.change(ctx, anvilwire.Change_builder{Op: op, Key: anvilwire.Key_builder{
		Hash: anvilconfig.HashKey(secret), Team: team, Role: string(role), Label: "anvilload",
	}.Build()}.Build())
}

// ChangeLeaveMark marks a worker or an entry instance as leaving, or removes the mark; op is Put or Delete.
func (o *Operator) ChangeLeaveMark(ctx context.Context, op, instance string) Change {
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

// Version asks the instance at an address for the version of its configuration, and reports whether it
// answered.
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

// Cell asks the instance at an address for its view of the cell, and reports whether it answered.
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
