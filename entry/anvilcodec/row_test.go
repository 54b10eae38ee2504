package anvilcodec

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

var (
	word   = rapid.StringMatching(`[a-z0-9.-]{1,12}`)
	amount = rapid.Int64Range(0, 1_000_000_000)
)

func drawSize(t *rapid.T) anvilsize.Size {
	return anvilsize.New(amount.Draw(t, "cpu"), amount.Draw(t, "memory"), amount.Draw(t, "accel"))
}

func drawMillis(t *rapid.T) anvilclock.Millis { return anvilclock.Millis(amount.Draw(t, "millis")) }

func drawTask(t *rapid.T) *anviltask.Task {
	kind := rapid.SampledFrom([]anviltask.Kind{anviltask.Service, anviltask.Batch, anviltask.Gang}).Draw(t, "kind")
	return anviltask.New(word.Draw(t, "id"), kind, word.Draw(t, "pool"),
		anviltask.WithTeam(word.Draw(t, "team"), word.Draw(t, "workspace")), anviltask.WithSize(drawSize(t)),
		anviltask.WithCount(rapid.IntRange(1, 4096).Draw(t, "count")), anviltask.WithRunTime(drawMillis(t)),
		anviltask.WithMaxWait(drawMillis(t)), anviltask.WithBody(rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "body")),
		anviltask.WithNonIdempotent(rapid.Bool().Draw(t, "once")), anviltask.WithUrgent(rapid.Bool().Draw(t, "urgent")),
		anviltask.WithShard(word.Draw(t, "shard")))
}

func drawContract(t *rapid.T) anvilconfig.Contract {
	return anvilconfig.NewContract(word.Draw(t, "team"), anvilconfig.WithLimit(drawSize(t)),
		anvilconfig.WithWeight(rapid.Int64Range(1, 100).Draw(t, "weight")), anvilconfig.WithRate(amount.Draw(t, "rate")),
		anvilconfig.WithMaxInFlight(amount.Draw(t, "flight")), anvilconfig.WithPools(rapid.SliceOfN(word, 1, 4).Draw(t, "pools")...))
}

// values has a generator of random values for each key prefix; version is that of the row.
var values = map[string]func(t *rapid.T, version int64) anvilrow.Value{
	anvilrow.VersionKey:     func(t *rapid.T, _ int64) anvilrow.Value { return anvilrow.NewVersion(amount.Draw(t, "number")) },
	anvilrow.ContractPrefix: func(t *rapid.T, _ int64) anvilrow.Value { return anvilrow.NewContract(drawContract(t)) },
	anvilrow.LeavePrefix:    func(t *rapid.T, _ int64) anvilrow.Value { return anvilrow.NewLeave(word.Draw(t, "instance")) },
	anvilrow.KeyPrefix: func(t *rapid.T, _ int64) anvilrow.Value {
		role := rapid.SampledFrom([]anvilconfig.Role{anvilconfig.TeamRole, anvilconfig.OperatorRole}).Draw(t, "role")
		return anvilrow.NewKey(anvilconfig.NewKey(word.Draw(t, "hash"), word.Draw(t, "team"), role, word.Draw(t, "label")))
	},
	anvilrow.SessionPrefix: func(t *rapid.T, _ int64) anvilrow.Value {
		return anvilrow.NewSession(anvilshard.NewSession(word.Draw(t, "instance"), word.Draw(t, "addr"), word.Draw(t, "domain"),
			word.Draw(t, "region"), amount.Draw(t, "beat"), amount.Draw(t, "number"), rapid.Bool().Draw(t, "leaving")))
	},
	anvilrow.ShardPrefix: func(t *rapid.T, version int64) anvilrow.Value {
		s := anvilshard.NewShard(word.Draw(t, "name"), word.Draw(t, "domain"), word.Draw(t, "region"), word.Draw(t, "pool"), drawMillis(t))
		return anvilrow.NewShard(s.WithOwner(word.Draw(t, "owner"), amount.Draw(t, "epoch"), version))
	},
	anvilrow.EscrowPrefix: func(t *rapid.T, _ int64) anvilrow.Value {
		allocations := map[string]anvilsize.Size{}
		for _, shard := range rapid.SliceOfN(word, 0, 4).Draw(t, "shards") {
			allocations[shard] = drawSize(t)
		}
		return anvilrow.NewEscrow(word.Draw(t, "team"), allocations)
	},
	anvilrow.TaskPrefix: func(t *rapid.T, _ int64) anvilrow.Value {
		state := rapid.SampledFrom([]anvilrow.TaskState{anvilrow.Accepted, anvilrow.Done, anvilrow.Failed, anvilrow.Stopped, anvilrow.Unknown}).Draw(t, "state")
		return anvilrow.NewTask(drawTask(t), state, word.Draw(t, "code"), drawMillis(t), word.Draw(t, "checkpoint"))
	},
}

// Guards against a field that is lost when a row is encoded or decoded: a missing limit, owner or epoch would violate an
// invariant without an error.
func TestRowRoundTrip(t *testing.T) {
	for prefix, draw := range values {
		t.Run(prefix, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				version := amount.Draw(t, "version")
				key := prefix
				if prefix != anvilrow.VersionKey {
					key += word.Draw(t, "key")
				}
				want := anvilrow.Read(key, draw(t, version), version, word.Draw(t, "change"), false)
				m, err := Row(want)
				if err != nil {
					t.Fatal(err)
				}
				got, err := ParseRow(m)
				if err != nil || !reflect.DeepEqual(got, want) {
					t.Fatalf("got %+v (%v), want %+v", got, err, want)
				}
			})
		})
	}
}

// Guards against a deleted row that is decoded as an existing one, and against an invalid value that is decoded as an
// empty one.
func TestRowSpecial(t *testing.T) {
	t.Run("deleted row", func(t *testing.T) {
		got, err := ParseRow(anvilwire.Row_builder{Key: "config/key/x", Version: 4, Dead: true}.Build())
		if err != nil || !got.Deleted() || got.Value() != nil || got.Version() != 4 {
			t.Fatalf("got %+v, %v", got, err)
		}
	})
	for name, row := range map[string]*anvilwire.Row{
		"invalid message": anvilwire.Row_builder{Key: "config/key/x", Value: []byte{0xff}}.Build(),
		"invalid number":  anvilwire.Row_builder{Key: "config/version", Value: []byte("x")}.Build(),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseRows([]*anvilwire.Row{row}); err == nil {
				t.Fatal("ParseRows returned no error")
			}
		})
	}
	t.Run("unknown prefix", func(t *testing.T) {
		rows, err := ParseRows([]*anvilwire.Row{anvilwire.Row_builder{Key: "later/x"}.Build()})
		if err != nil || len(rows) != 0 {
			t.Fatalf("got %v, %v", rows, err)
		}
	})
}
