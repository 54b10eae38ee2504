package anvillog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingOutput blocks each write until release is closed, and records the data and the size of each write.
type blockingOutput struct {
	mu      sync.Mutex
	release chan struct{}
	got     bytes.Buffer
	writes  []int
}

func (s *blockingOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, len(p))
	return s.got.Write(p)
}

func TestWriter(t *testing.T) {
	t.Run("doesn't block and counts dropped lines", func(t *testing.T) {
		// Guards against a process that blocks because nobody reads its log.
		out := &blockingOutput{release: make(chan struct{})}
		w := NewWriter(out)
		line := []byte(strings.Repeat("x", 999) + "\n")
		begin := time.Now()
		for range 3 * maxQueueBytes / len(line) {
			if _, err := w.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if time.Since(begin) > 10*time.Second {
			t.Fatal("Write blocked")
		}
		if w.Dropped() == 0 {
			t.Fatal("no line was dropped")
		}
		close(out.release)
		w.Close()
		if !strings.Contains(out.got.String(), `"event":6506`) {
			t.Fatal("the dropped lines were not reported")
		}
	})
	t.Run("writes complete lines atomically", func(t *testing.T) {
		// Guards against mixed lines when several processes write to the same pipe.
		out := &blockingOutput{release: make(chan struct{})}
		close(out.release)
		w := NewWriter(out)
		line := []byte(strings.Repeat("y", 1500) + "\n")
		for range 20 {
			_, _ = w.Write(line)
		}
		w.Close()
		for _, n := range out.writes {
			if n > maxWriteBytes || n%len(line) != 0 {
				t.Fatalf("got a write of %d bytes", n)
			}
		}
		if out.got.Len() != 20*len(line) {
			t.Fatalf("got %d bytes in all", out.got.Len())
		}
	})
}
