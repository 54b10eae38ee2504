package anviltable

import (
	"strings"
	"testing"
)

const goodInstance = `{"id":"w1","kind":"worker","addr":"10.0.0.1:80","domain":"d","region":"r","pool":"p","state":"live","size":{"cpu":"5"}}`

// oddInstances returns entries that can't be decoded, by what is odd about them.
func oddInstances() map[string]string {
	with := func(old, replacement string) string { return strings.Replace(goodInstance, old, replacement, 1) }
	return map[string]string{
		"number too large":     with(`"5"`, `"9223372036854775808"`),
		"number far too large": with(`"5"`, "1e400"),
		"not whole":            with(`"5"`, "1.5"),
		"not a number":         with(`"5"`, `"NaN"`),
		"id of a type":         with(`"w1"`, "7"),
		"size of a type":       with(`{"cpu":"5"}`, "[]"),
		"duplicate field":      with(`"id":"w1"`, `"id":"w1","id":"w2"`),
		"a list":               "[]",
		"a number":             "1e400",
		"invalid UTF-8":        with("w1", "w\xff"),
	}
}

func assertInstances(t *testing.T, data string, want, wantUnreadable int) {
	t.Helper()
	list, unreadable, err := parseInstances([]byte(data))
	if err != nil || len(list) != want || unreadable != wantUnreadable {
		t.Fatalf("%d entries, %d unreadable (%v), want %d and %d", len(list), unreadable, err, want, wantUnreadable)
	}
}

// Guards against an odd entry that makes the whole registry unreadable.
func TestOddInstances(t *testing.T) {
	for name, odd := range oddInstances() {
		t.Run(name, func(t *testing.T) { assertInstances(t, `{"list":[`+odd+`,`+goodInstance+`]}`, 1, 1) })
	}
	t.Run("nested deeply in an unknown field", func(t *testing.T) {
		nested := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
		assertInstances(t, `{"list":[{"x":`+nested+`},`+goodInstance+`],"y":[]}`, 2, 0)
	})
	t.Run("nested too deeply", func(t *testing.T) {
		// Guards against the end of the process; what is no JSON for the decoder can't be split into entries.
		if _, _, err := parseInstances([]byte(`{"list":[` + strings.Repeat("[", 100_000))); err == nil {
			t.Fatal("no error")
		}
	})
}

// FuzzInstances guards against a registry that ends the process.
func FuzzInstances(f *testing.F) {
	f.Add([]byte(`{"list":[` + goodInstance + `]}`))
	for _, odd := range oddInstances() {
		f.Add([]byte(`{"list":[` + odd + `,` + goodInstance + `]}`))
	}
	for _, text := range []string{"", "null", `{"list":null}`, `{"list":{}}`, strings.Repeat(`{"list":[`, 6000), strings.Repeat("[", 100_000)} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		list, unreadable, err := parseInstances(data)
		if err != nil && len(list)+unreadable > 0 {
			t.Error("entries and an error")
		}
	})
}
