package anvillog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// slow is an output that waits until it is let go, and keeps what it gets.
type slow struct {
	mu     sync.Mutex
	gate   chan struct{}
	got    bytes.Buffer
	pieces []int
}

func (s *slow) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces = append(s.pieces, len(p))
	return s.got.Write(p)
}

func TestWriter(t *testing.T) {
	t.Run("never waits, and counts what it drops", func(t *testing.T) {
		// Guards against a process that stands still because nobody reads its log.
		out := &slow{gate: make(chan struct{})}
		w := NewWriter(out)
		line := []byte(strings.Repeat("x", 999) + "\n")
		begin := time.Now()
		for range 3 * queueBytes / len(line) {
			if _, err := w.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if time.Since(begin) > 10*time.Second {
			t.Fatal("the writer waited")
		}
		if w.Dropped() == 0 {
			t.Fatal("nothing was dropped")
		}
		close(out.gate)
		w.Close()
		if !strings.Contains(out.got.String(), `"event":6506`) {
			t.Fatal("the drops were not told")
		}
	})
	t.Run("writes whole lines that a pipe takes at once", func(t *testing.T) {
		// Guards against lines of several processes that mix in one pipe.
		out := &slow{gate: make(chan struct{})}
		close(out.gate)
		w := NewWriter(out)
		line := []byte(strings.Repeat("y", 1500) + "\n")
		for range 20 {
			_, _ = w.Write(line)
		}
		w.Close()
		for _, n := range out.pieces {
			if n > pipeBytes || n%len(line) != 0 {
				t.Fatalf("a piece of %d bytes", n)
			}
		}
		if out.got.Len() != 20*len(line) {
			t.Fatalf("%d bytes arrived", out.got.Len())
		}
	})
}
