package anvilplatformapi

import (
	"context"
	"testing"
	"time"
)

func assertPaused(t *testing.T, g *ResumeGate, want bool) {
	t.Helper()
	if got := g.paused(); got != want {
		t.Fatalf("paused is %v, want %v", got, want)
	}
}

// Guards against a worker that resumes after a pause and executes orders before it processes the platform's reply with
// the start time of a gang.
func TestResumeGate(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g := &ResumeGate{startedAt: time.Now()}
	t.Run("a process with a recent tick is not paused", func(t *testing.T) {
		g.recordTick()
		assertPaused(t, g, false)
	})
	t.Run("a process without a tick for long is paused", func(t *testing.T) {
		g.lastTick.Store(int64(time.Since(g.startedAt) - 2*pauseThreshold))
		assertPaused(t, g, true)
		begin := time.Now()
		g.wait()
		if d := time.Since(begin); d < resumeDelay {
			t.Fatalf("the order waited %v", d)
		}
	})
	t.Run("a new gate has a tick", func(t *testing.T) {
		assertPaused(t, NewResumeGate(ctx), false)
	})
}
