package anvilplatformapi

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// resumeTick is how often a worker notes that its process runs.
	resumeTick = 20 * time.Millisecond
	// pauseGap is the time without such a note from which on the process was paused.
	pauseGap = 150 * time.Millisecond
	// resumeDelay is how long orders wait after a pause. What the site said meanwhile lies in the same sockets as the
	// orders, and must be heard first: that all members of a gang were present, whose work is over by now.
	resumeDelay = 60 * time.Millisecond
)

// ResumeGate lets a worker that was paused and continued hear the news before it takes orders.
type ResumeGate struct {
	begin time.Time
	noted atomic.Int64
}

// NewResumeGate returns a watch over pauses of the process, which ends with ctx.
func NewResumeGate(ctx context.Context) *ResumeGate {
	t := &ResumeGate{begin: time.Now()}
	t.note()
	go func() {
		ticker := time.NewTicker(resumeTick)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				t.note()
			}
		}
	}()
	return t
}

func (t *ResumeGate) note() { t.noted.Store(int64(time.Since(t.begin))) }

// paused reports whether the process has just been continued after a pause.
func (t *ResumeGate) paused() bool {
	return time.Since(t.begin)-time.Duration(t.noted.Load()) > pauseGap
}

// wait holds an order up after a pause.
func (t *ResumeGate) wait() {
	if t.paused() {
		time.Sleep(resumeDelay)
	}
}
