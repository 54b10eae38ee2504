package anvilfront

import (
	"context"
	"encoding/hex"
	"net/http"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

// Change is an operator's change of the configuration. It writes or deletes exactly one row.
type Change struct {
	id      string
	puts    []anvilrow.Row
	deletes []string
	base    int64
}

// ID returns the UUIDv7 of the change, by which its commit is recognised when the table's response is lost.
func (c Change) ID() string { return c.id }

// Puts returns the row to write; none if the change deletes a row. The caller must not modify the slice.
func (c Change) Puts() []anvilrow.Row { return c.puts }

// Deletes returns the key of the row to delete; none if the change writes a row. The caller must not modify the slice.
func (c Change) Deletes() []string { return c.deletes }

// Base returns the configuration version that the change is based on. The change is refused when the current version
// differs; 0 skips this check.
func (c Change) Base() int64 { return c.base }

const (
	maxWeight = 1_000_000
	maxRate   = 1_000_000
	maxPools  = 64
	maxLabel  = 128
)

func (f *Front) change(r *http.Request) reply {
	if err := f.requireOperator(r); err != nil {
		return errorReply(err)
	}
	body, err := f.readBody(r)
	if err != nil {
		return errorReply(err)
	}
	var m anvilwire.Change
	if err := protojson.Unmarshal(body, &m); err != nil {
		return errorReply(badInput(err.Error()))
	}
	c, err := parseChange(&m)
	if err != nil {
		return errorReply(err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), f.queryTimeout)
	defer cancel()
	result := make(chan anvilcontrol.ChangeResult, 1)
	if !f.dispatcher.Change(c, result) {
		return errorReply(f.inboxFull()).withChange(c.id)
	}
	out, ok := await(ctx, result)
	if !ok {
		return errorReply(noReply()).withChange(c.id)
	}
	changed := messageReply(http.StatusOK, anvilwire.Changed_builder{Ok: true, Version: out.Version()}.Build())
	if out.Err() != nil {
		changed = errorReply(out.Err())
	}
	changed.version = out.Version()
	return changed.withChange(c.id)
}

// parseChange returns the change in a message, or what is wrong with it. A missing id is generated.
func parseChange(m *anvilwire.Change) (Change, *anvilerror.Error) {
	c := Change{id: m.GetChange(), base: m.GetBase()}
	if c.id == "" {
		c.id = anviltask.NewID()
	}
	if err := anviltask.CheckID(c.id); err != nil {
		return Change{}, badInput(err.Error())
	}
	if c.base < 0 {
		return Change{}, badInput("base is negative")
	}
	row, err := parseSubject(m)
	if err != nil {
		return Change{}, err
	}
	switch m.GetOp() {
	case "put":
		if err := checkSubject(m); err != nil {
			return Change{}, err
		}
		c.puts = []anvilrow.Row{row}
	case "delete":
		c.deletes = []string{row.Key()}
	default:
		return Change{}, badInput("op must be put or delete")
	}
	return c, nil
}

// parseSubject returns the row that a change writes or deletes.
func parseSubject(m *anvilwire.Change) (anvilrow.Row, *anvilerror.Error) {
	set := 0
	for _, has := range []bool{m.HasContract(), m.HasKey(), m.HasLeave()} {
		if has {
			set++
		}
	}
	if set != 1 {
		return anvilrow.Row{}, badInput("a change needs exactly one of contract, key and leave")
	}
	switch {
	case m.HasContract():
		if !isName(m.GetContract().GetTeam()) {
			return anvilrow.Row{}, badInput("the team is not a valid name")
		}
		v := anvilcodec.ParseContract(m.GetContract())
		return anvilrow.New(anvilrow.ContractPrefix+v.Team(), anvilrow.NewContract(v)), nil
	case m.HasKey():
		if !isHash(m.GetKey().GetHash()) {
			return anvilrow.Row{}, badInput("the hash is not a SHA-256 in lower-case hex")
		}
		v := anvilcodec.ParseKey(m.GetKey())
		return anvilrow.New(anvilrow.KeyPrefix+v.Hash(), anvilrow.NewKey(v)), nil
	default:
		name := m.GetLeave().GetInstance()
		if !isName(name) {
			return anvilrow.Row{}, badInput("the instance is not a valid name")
		}
		return anvilrow.New(anvilrow.LeavePrefix+name, anvilrow.NewLeave(name)), nil
	}
}

// checkSubject checks the values that a put writes; parseSubject has checked the row's key.
func checkSubject(m *anvilwire.Change) *anvilerror.Error {
	switch {
	case m.HasContract():
		return checkContract(m.GetContract())
	case m.HasKey():
		return checkKey(m.GetKey())
	default:
		return nil
	}
}

func checkContract(c *anvilwire.Contract) *anvilerror.Error {
	if err := checkSize(anvilcodec.ParseSize(c.GetLimit())); err != nil {
		return err
	}
	switch {
	case c.GetWeight() < 0 || c.GetWeight() > maxWeight:
		return badInput("the weight must be between 0 and 1000000")
	case c.GetRate() < 0 || c.GetRate() > maxRate, c.GetFlight() < 0 || c.GetFlight() > maxRate:
		return badInput("rate and flight must be between 0 and 1000000")
	case len(c.GetPools()) > maxPools:
		return tooLarge("a contract has at most 64 pools")
	case slices.ContainsFunc(c.GetPools(), func(p string) bool { return !isName(p) }):
		return badInput("a pool is not a valid name")
	}
	return nil
}

func checkKey(k *anvilwire.Key) *anvilerror.Error {
	if len(k.GetLabel()) > maxLabel {
		return tooLarge("a label has at most 128 bytes")
	}
	switch anvilconfig.Role(k.GetRole()) {
	case anvilconfig.TeamRole:
		if !isName(k.GetTeam()) {
			return badInput("a team's key needs a team")
		}
	case anvilconfig.OperatorRole:
		if k.GetTeam() != "" {
			return badInput("an operator's key has no team")
		}
	default:
		return badInput("role must be team or operator")
	}
	return nil
}

func isHash(text string) bool {
	b, err := hex.DecodeString(text)
	return err == nil && len(b) == 32 && hex.EncodeToString(b) == text
}
