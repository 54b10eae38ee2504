package anvilplatformapi

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// tickInterval is the time between two ticks, by which a worker records that its process is running.
	tickInterval = 20 * time.Millisecond
	// pauseThreshold is the longest time without a tick for which the process doesn't count as paused.
	pauseThreshold = 150 * time.Millisecond
	// resumeDelay is how long orders wait after a pause. Answers of the platform that arrived during the pause are still
	// in the sockets, as the orders are, and must be processed first. One may be the start of a gang whose work has
	// ended in the meantime.
	resumeDelay = 60 * time.Millisecond
)

// ResumeGate delays the orders to a worker whose process was paused, so that the worker first processes the answers of
// the platform that arrived during the pause.
type ResumeGate struct {
	start time.Time
	// lastTick is the time of the last tick, in nanoseconds since start.
	lastTick atomic.Int64
}

// NewResumeGate returns a gate that detects pauses of the process until ctx ends.
func NewResumeGate(ctx context.Context) *ResumeGate {
	g := &ResumeGate{start: time.Now()}
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

func (g *ResumeGate) recordTick() { g.lastTick.Store(int64(time.Since(g.start))) }

// paused reports whether the process has just resumed after a pause.
func (g *ResumeGate) paused() bool {
	return time.Since(g.start)-time.Duration(g.lastTick.Load()) > pauseThreshold
}

// wait blocks for resumeDelay if the process has just resumed.
func (g *ResumeGate) wait() {
	if g.paused() {
		time.Sleep(resumeDelay)
	}
}
