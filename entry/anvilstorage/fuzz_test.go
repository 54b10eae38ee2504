package anvilstorage

import (
	"strings"
	"testing"
)

// FuzzRows guards against a row of another writer that ends the process.
func FuzzRows(f *testing.F) {
	for _, text := range []string{
		`{}`, `null`, `[]`, ``, `{"runs":[[0,0,0,1]]}`, `{"runs":[{}]}`, strings.Repeat("[", 20000), `{"token":1e99}`, `{"cpu":99999999999999999999}`,
		`{"steps":[{"count":-1}]}`, "{\"name\":\"\xff\"}",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := ReadRow(Intake, "5c0e7a21d94b36f8", data, 1, false)
		_, _ = ParseSubmission(r)
		_, _ = ParseState(r)
		_, _ = ParseProgress(r)
		_, _, _ = ParseProgressKey(string(data))
		_, _ = ParseLeadership(r)
		_, _ = ParseInstance(r)
	})
}
