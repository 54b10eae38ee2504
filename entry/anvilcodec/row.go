package anvilcodec

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilwire"
)

// RowError reports a row that can't be encoded or decoded.
type RowError struct {
	key   string
	cause error
}

// Key returns the table key of the row.
func (e *RowError) Key() string { return e.key }

func (e *RowError) Unwrap() error { return e.cause }

// Error returns the key and the cause on one line.
func (e *RowError) Error() string { return fmt.Sprintf("row %s: %v", e.key, e.cause) }

// States of an instance, as its session row and the platform's registry name them.
const (
	Live    = "live"
	Leaving = "leaving"
)

// State returns Leaving or Live.
func State(leaving bool) string {
	if leaving {
		return Leaving
	}
	return Live
}

// Row converts a row to its message with the encoded value. The error is a *RowError.
func Row(r anvilrow.Row) (*anvilwire.Row, error) {
	value, err := encode(r.Value())
	if err != nil {
		return nil, &RowError{key: r.Key(), cause: err}
	}
	return anvilwire.Row_builder{
		Key: r.Key(), Value: value, Version: r.Version(), Change: r.Change(), Dead: r.Deleted(),
	}.Build(), nil
}

// Rows converts rows to their messages. It returns the first error, a *RowError.
func Rows(rows []anvilrow.Row) ([]*anvilwire.Row, error) {
	out := make([]*anvilwire.Row, 0, len(rows))
	for _, r := range rows {
		m, err := Row(r)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

func encode(v anvilrow.Value) ([]byte, error) {
	switch v := v.(type) {
	case nil:
		return nil, nil
	case anvilrow.Version:
		return strconv.AppendInt(nil, v.Number(), 10), nil
	case anvilrow.Contract:
		return proto.Marshal(Contract(v.Contract()))
	case anvilrow.Key:
		return proto.Marshal(Key(v.Key()))
	case anvilrow.Leave:
		return proto.Marshal(anvilwire.Leave_builder{Instance: v.Instance()}.Build())
	case anvilrow.Session:
		return proto.Marshal(Session(v.Session()))
	case anvilrow.Join:
		return proto.Marshal(anvilwire.Leave_builder{Instance: v.Instance()}.Build())
	case anvilrow.Shard:
		return proto.Marshal(Shard(v.Shard()))
	case anvilrow.Escrow:
		return proto.Marshal(escrow(v))
	case anvilrow.Claim:
		return proto.Marshal(anvilwire.Ticket_builder{Id: v.Shard()}.Build())
	case anvilrow.Task:
		return proto.Marshal(taskRow(v))
	default:
		return nil, fmt.Errorf("no encoding for a value of type %T", v)
	}
}

// ParseRows converts messages to rows. It leaves out rows whose keys have an unknown prefix, and returns the first error
// of another row, a *RowError.
func ParseRows(list []*anvilwire.Row) ([]anvilrow.Row, error) {
	out := make([]anvilrow.Row, 0, len(list))
	for _, m := range list {
		if parserOf(m.GetKey()) == nil {
			continue
		}
		r, err := ParseRow(m)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// ParseRow converts a message to a row; a deleted row has a nil value. The error is a *RowError if the prefix of the key
// is unknown or the value can't be decoded.
func ParseRow(m *anvilwire.Row) (anvilrow.Row, error) {
	if m.GetDead() {
		return anvilrow.Read(m.GetKey(), nil, m.GetVersion(), m.GetChange(), true), nil
	}
	parse := parserOf(m.GetKey())
	if parse == nil {
		return anvilrow.Row{}, &RowError{key: m.GetKey(), cause: fmt.Errorf("unknown prefix of the key")}
	}
	v, err := parse(m)
	if err != nil {
		return anvilrow.Row{}, &RowError{key: m.GetKey(), cause: err}
	}
	return anvilrow.Read(m.GetKey(), v, m.GetVersion(), m.GetChange(), false), nil
}

type parser func(*anvilwire.Row) (anvilrow.Value, error)

func parserOf(key string) parser {
	for _, p := range []struct {
		prefix string
		parse  parser
	}{
		{anvilrow.VersionKey, parseVersion},
		{anvilrow.ContractPrefix, parseContract},
		{anvilrow.KeyPrefix, parseKey},
		{anvilrow.LeavePrefix, parseLeave},
		{anvilrow.SessionPrefix, parseSession},
		{anvilrow.JoinPrefix, parseJoin},
		{anvilrow.ShardPrefix, parseShard},
		{anvilrow.EscrowPrefix, parseEscrow},
		{anvilrow.TaskPrefix, parseTask},
		{anvilrow.ClaimPrefix, parseClaim},
	} {
		if strings.HasPrefix(key, p.prefix) {
			return p.parse
		}
	}
	return nil
}

func parseVersion(m *anvilwire.Row) (anvilrow.Value, error) {
	n, err := strconv.ParseInt(string(m.GetValue()), 10, 64)
	if err != nil {
		return nil, err
	}
	return anvilrow.NewVersion(n), nil
}

func parseContract(m *anvilwire.Row) (anvilrow.Value, error) {
	var c anvilwire.Contract
	if err := proto.Unmarshal(m.GetValue(), &c); err != nil {
		return nil, err
	}
	return anvilrow.NewContract(ParseContract(&c)), nil
}

func parseKey(m *anvilwire.Row) (anvilrow.Value, error) {
	var k anvilwire.Key
	if err := proto.Unmarshal(m.GetValue(), &k); err != nil {
		return nil, err
	}
	return anvilrow.NewKey(ParseKey(&k)), nil
}

func parseLeave(m *anvilwire.Row) (anvilrow.Value, error) {
	var l anvilwire.Leave
	if err := proto.Unmarshal(m.GetValue(), &l); err != nil {
		return nil, err
	}
	return anvilrow.NewLeave(l.GetInstance()), nil
}

func parseSession(m *anvilwire.Row) (anvilrow.Value, error) {
	var s anvilwire.Session
	if err := proto.Unmarshal(m.GetValue(), &s); err != nil {
		return nil, err
	}
	return anvilrow.NewSession(anvilshard.NewSession(s.GetInstance(), s.GetAddr(), s.GetDomain(), s.GetRegion(),
		s.GetBeat(), s.GetVersion(), s.GetState() == Leaving)), nil
}

func parseJoin(m *anvilwire.Row) (anvilrow.Value, error) {
	var l anvilwire.Leave
	if err := proto.Unmarshal(m.GetValue(), &l); err != nil {
		return nil, err
	}
	return anvilrow.NewJoin(l.GetInstance()), nil
}

func parseShard(m *anvilwire.Row) (anvilrow.Value, error) {
	var s anvilwire.Shard
	if err := proto.Unmarshal(m.GetValue(), &s); err != nil {
		return nil, err
	}
	shard := anvilshard.NewShard(s.GetShard(), s.GetDomain(), s.GetRegion(), s.GetPool(), anvilclock.Millis(s.GetSince()))
	var members []anvilshard.Member
	for _, w := range s.GetMembers() {
		members = append(members, anvilshard.NewMember(w.GetWorker(), w.GetAddr(), w.GetBoot(), ParseSize(w.GetSize())))
	}
	shard = shard.WithMembers(members, anvilclock.Millis(s.GetGap()))
	return anvilrow.NewShard(shard.WithOwner(s.GetOwner(), s.GetEpoch(), m.GetVersion())), nil
}

func parseEscrow(m *anvilwire.Row) (anvilrow.Value, error) {
	var e anvilwire.Escrow
	if err := proto.Unmarshal(m.GetValue(), &e); err != nil {
		return nil, err
	}
	allocations := make(map[string]anvilsize.Size, len(e.GetParts()))
	for _, p := range e.GetParts() {
		allocations[p.GetShard()] = ParseSize(p.GetSize())
	}
	return anvilrow.NewEscrow(e.GetTeam(), allocations), nil
}

func parseTask(m *anvilwire.Row) (anvilrow.Value, error) {
	var t anvilwire.TaskRow
	if err := proto.Unmarshal(m.GetValue(), &t); err != nil {
		return nil, err
	}
	return anvilrow.NewTask(ParseSpec(t.GetSpec(), t.GetTeam(), t.GetShard()), anvilrow.TaskState(t.GetState()),
		t.GetCode(), anvilclock.Millis(t.GetAt()), t.GetCheckpoint()), nil
}

func parseClaim(m *anvilwire.Row) (anvilrow.Value, error) {
	var t anvilwire.Ticket
	if err := proto.Unmarshal(m.GetValue(), &t); err != nil {
		return nil, err
	}
	return anvilrow.NewClaim(t.GetId()), nil
}

func escrow(v anvilrow.Escrow) *anvilwire.Escrow {
	parts := make([]*anvilwire.Part, 0, len(v.Allocations()))
	for shard, size := range v.Allocations() {
		parts = append(parts, anvilwire.Part_builder{Shard: shard, Size: Size(size)}.Build())
	}
	return anvilwire.Escrow_builder{Team: v.Team(), Parts: parts}.Build()
}

func taskRow(v anvilrow.Task) *anvilwire.TaskRow {
	return anvilwire.TaskRow_builder{
		Spec: Spec(v.Task()), Team: v.Task().Team(), Shard: v.Task().Shard(), State: string(v.State()),
		Code: v.Code(), At: int64(v.At()), Checkpoint: v.Checkpoint(),
	}.Build()
}

// Contract converts a contract to its message.
func Contract(c anvilconfig.Contract) *anvilwire.Contract {
	return anvilwire.Contract_builder{
		Team: c.Team(), Limit: Size(c.Limit()), Weight: c.Weight(), Rate: c.Rate(), Flight: c.MaxInFlight(), Pools: c.Pools(),
	}.Build()
}

// ParseContract converts a message to a contract. It checks nothing.
func ParseContract(m *anvilwire.Contract) anvilconfig.Contract {
	return anvilconfig.NewContract(m.GetTeam(), anvilconfig.WithLimit(ParseSize(m.GetLimit())),
		anvilconfig.WithWeight(m.GetWeight()), anvilconfig.WithRate(m.GetRate()),
		anvilconfig.WithMaxInFlight(m.GetFlight()), anvilconfig.WithPools(m.GetPools()...))
}

// Key converts a stored key, of which only the hash is known, to its message.
func Key(k anvilconfig.Key) *anvilwire.Key {
	return anvilwire.Key_builder{Hash: k.Hash(), Team: k.Team(), Role: string(k.Role()), Label: k.Label()}.Build()
}

// ParseKey converts a message to a stored key. It checks neither the hash nor the role.
func ParseKey(m *anvilwire.Key) anvilconfig.Key {
	return anvilconfig.NewKey(m.GetHash(), m.GetTeam(), anvilconfig.Role(m.GetRole()), m.GetLabel())
}

// Session converts the session of an entry instance to its message.
func Session(s anvilshard.Session) *anvilwire.Session {
	return anvilwire.Session_builder{
		Instance: s.Instance(), Beat: s.Heartbeat(), Addr: s.Addr(), Domain: s.Domain(), Region: s.Region(),
		State: State(s.Leaving()), Version: s.ConfigVersion(),
	}.Build()
}

// Shard converts a shard to its message, which does not contain the version of the shard's row.
func Shard(s anvilshard.Shard) *anvilwire.Shard {
	members := make([]*anvilwire.Member, 0, len(s.Members()))
	for _, w := range s.Members() {
		members = append(members, anvilwire.Member_builder{
			Worker: w.Worker(), Addr: w.Addr(), Boot: w.Boot(), Size: Size(w.Size()),
		}.Build())
	}
	return anvilwire.Shard_builder{
		Shard: s.Name(), Owner: s.Owner(), Epoch: s.Epoch(), Domain: s.Domain(), Region: s.Region(),
		Pool: s.Pool(), Since: int64(s.Since()), Members: members, Gap: int64(s.GapUntil()),
	}.Build()
}
