package anvilcodec

import (
	"strings"
	"testing"

	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilwire"
)

// FuzzRows guards against a row of the table that ends the process while it is decoded.
func FuzzRows(f *testing.F) {
	for prefix := range values {
		for _, value := range []string{"", "7", "99999999999999999999", "\xff", "\x0a\x01\xff", strings.Repeat("\x0a\xff\xff\x03", 3000)} {
			f.Add(prefix+"x", []byte(value), int64(1))
		}
	}
	f.Add(anvilrow.VersionKey, []byte("9223372036854775807"), int64(-1))
	f.Fuzz(func(t *testing.T, key string, value []byte, version int64) {
		m := anvilwire.Row_builder{Key: key, Value: value, Version: version}.Build()
		r, err := ParseRow(m)
		if err == nil && r.Value() == nil {
			t.Error("no value and no error")
		}
	})
}
