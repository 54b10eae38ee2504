package anvilsoak

import (
	"testing"
	"time"
)

func TestLink(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("answers share its width", func(t *testing.T) {
		// Guards against a link that each connection has for itself.
		l := newLink(8)
		for i := range 4 {
			if got, want := l.reserve(250_000, now), time.Duration(i+1)*250*time.Millisecond; got != want {
				t.Fatalf("answer %d takes %s, want %s", i, got, want)
			}
		}
	})
	t.Run("an idle link has no queue", func(t *testing.T) {
		// Guards against an answer that waits for others that were sent long before.
		l := newLink(8)
		l.reserve(250_000, now)
		if got := l.reserve(1000, now.Add(time.Second)); got != time.Millisecond {
			t.Fatalf("takes %s", got)
		}
	})
}
