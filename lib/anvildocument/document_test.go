package anvildocument

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/internal/anvilassert"
)

func TestMain(m *testing.M) { anvilassert.Main(m) }

func assertLimit(t *testing.T, text string, l Limits, want error) {
	t.Helper()
	if _, err := Measure([]byte(text), l); !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
}

func TestLimits(t *testing.T) {
	l := NewLimits(12, 5, 4)
	for name, c := range map[string]struct {
		text string
		want error
	}{
		// Guards against texts whose decoded form is many times as large.
		"many members":  {"[" + strings.Repeat("1,", 20) + "1]", ErrMembers},
		"many objects":  {"[" + strings.Repeat("{}", 6), ErrObjects},
		"deep":          {strings.Repeat("[", 5), ErrDepth},
		"at the limits": {`[[[1,{}],{}],{"a":{}},{}]`, nil},
		// Guards against refusing a text for what its strings contain.
		"inside strings": {`["` + strings.Repeat(`,{[\"`, 20) + `"]`, nil},
	} {
		t.Run(name, func(t *testing.T) { assertLimit(t, c.text, l, c.want) })
	}
}

// count returns the members and the depth of a decoded value.
func count(v any) (members, depth int) {
	var below []any
	switch v := v.(type) {
	case []any:
		below = v
	case map[string]any:
		for _, e := range v {
			below = append(below, e)
		}
	default:
		return 0, 0
	}
	for _, e := range below {
		n, d := count(e)
		members, depth = members+n+1, max(depth, d)
	}
	return members, depth + 1
}

// Guards against a measure below what the decoder makes of a text.
func TestMeasureIsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune(`{}[],:"\a1 `)), 0, 60, -1).Draw(t, "text")
		var v any
		if json.Unmarshal([]byte(text), &v) != nil {
			return
		}
		s, err := Measure([]byte(text), Limits{})
		members, depth := count(v)
		if err != nil || s.Members() < members || s.Depth() < depth {
			t.Fatalf("%q has %d members and depth %d, measured %d and %d (%v)", text, members, depth, s.Members(), s.Depth(), err)
		}
	})
}
