package anvilcaller

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
)

const (
	callID = "0190a000-0000-7000-8000-000000000001"
	sent   = "work=5\nabc"
)

// assertAnswer checks whether checkAnswer accepts an answer to the request.
func assertAnswer(t *testing.T, got string, wantMatch bool) {
	t.Helper()
	if mismatch := checkAnswer(callID, []byte(sent), []byte(got)); (mismatch == "") != wantMatch {
		t.Errorf("got mismatch %q, want match %t", mismatch, wantMatch)
	}
}

// Guards against an audit that accepts the answer to another request.
func TestCheckAnswer(t *testing.T) {
	sum := xxhash.Sum64String(sent)
	t.Run("own answer", func(t *testing.T) {
		assertAnswer(t, fmt.Sprintf("answer %s %016x\n%s", callID, sum, sent), true)
	})
	t.Run("id with its home shard", func(t *testing.T) {
		assertAnswer(t, fmt.Sprintf("answer d1.layout.0~%s %x\n%s", callID, sum, sent), true)
	})
	t.Run("another id", func(t *testing.T) {
		assertAnswer(t, fmt.Sprintf("answer 0%s %x\n%s", callID[1:len(callID)-1], sum, sent), false)
	})
	t.Run("another hash", func(t *testing.T) {
		assertAnswer(t, fmt.Sprintf("answer %s %x\n%s", callID, sum+1, sent), false)
	})
	t.Run("another body", func(t *testing.T) {
		assertAnswer(t, fmt.Sprintf("answer %s %x\n%s", callID, sum, sent[1:]), false)
	})
	t.Run("no answer line", func(t *testing.T) { assertAnswer(t, sent, false) })
}
