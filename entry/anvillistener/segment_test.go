package anvillistener

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// Guards against bodies that are changed when they arrive in parts, and against parts that take far more memory than they
// have bytes.
func TestSegments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 1, 3*maxSegment).Draw(t, "body")
		var s segments
		for rest := want; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			got := s.join(bytes.Clone(rest[:n]), len(rest)-n)
			rest = rest[n:]
			if len(rest) == 0 && !bytes.Equal(got, want) {
				t.Fatalf("got %d bytes, want %d", len(got), len(want))
			}
			held := 0
			for _, b := range s.list {
				held += cap(b)
			}
			if held > max(bodyCopies*s.size, s.size+minSegment) || (len(rest) == 0) != (got != nil) {
				t.Fatalf("%d bytes are held for %d", held, s.size)
			}
		}
	})
}
