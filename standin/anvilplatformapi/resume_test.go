package anvilplatformapi

import (
	"context"
	"testing"
	"time"
)

func assertPaused(t *testing.T, th *ResumeGate, want bool) {
	t.Helper()
	if got := th.paused(); got != want {
		t.Fatalf("paused: %v, want %v", got, want)
	}
}

// Guards against orders that a worker carries out after a pause before it has heard that the work of a gang began.
func TestThaw(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	th := &ResumeGate{begin: time.Now()}
	t.Run("a process that runs is not paused", func(t *testing.T) {
		th.note()
		assertPaused(t, th, false)
	})
	t.Run("one without a note for long is", func(t *testing.T) {
		th.noted.Store(int64(time.Since(th.begin) - 2*pauseGap))
		assertPaused(t, th, true)
		begin := time.Now()
		th.wait()
		if d := time.Since(begin); d < resumeDelay {
			t.Fatalf("the order waited %v", d)
		}
	})
	t.Run("it notes that it runs when it begins", func(t *testing.T) {
		assertPaused(t, NewResumeGate(ctx), false)
	})
}
