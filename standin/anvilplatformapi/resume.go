package anvilplatformapi

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// tickInterval is the time between two ticks, by which a worker records that its process is running.
	tickInterval = 20 * time.Millisecond
	// pauseThreshold is the time without a tick above which the process counts as paused.
	pauseThreshold = 150 * time.Millisecond
	// resumeDelay is how long orders wait after a pause. Both orders and replies of the platform that arrived during the
	// pause are still in socket buffers, and the replies must be processed first: one may contain the start time of a
	// gang whose work has ended in the meantime.
	resumeDelay = 60 * time.Millisecond
)

// ResumeGate delays the orders to a worker whose process was paused, so that the worker first processes the replies of
// the platform that arrived during the pause.
type ResumeGate struct {
	startedAt time.Time
	// lastTick is the time of the last tick, in nanoseconds since startedAt.
	lastTick atomic.Int64
}

// NewResumeGate returns a gate that detects pauses of the process until ctx ends.
func NewResumeGate(ctx context.Context) *ResumeGate {
	g := &ResumeGate{startedAt: time.Now()}
	g.recordTick()
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				g.recordTick()
			}
		}
	}()
	return g
}

func (g *ResumeGate) recordTick() { g.lastTick.Store(int64(time.Since(g.startedAt))) }

// paused reports whether the process has just resumed after a pause.
func (g *ResumeGate) paused() bool {
	return time.Since(g.startedAt)-time.Duration(g.lastTick.Load()) > pauseThreshold
}

// wait blocks for resumeDelay if the process has just resumed.
func (g *ResumeGate) wait() {
	if g.paused() {
		time.Sleep(resumeDelay)
	}
}
