package anvilsoak

import (
	"context"
	"fmt"
	"os"
	"time"

	"anvilhold.org/standin/anvilplatformapi"
)

const (
	// unusedCount is the number of queues that make the configuration large: about 100 kB.
	unusedCount = 600
	// A series of changes lasts for seriesSpan and begins every seriesInterval, with changeInterval between two changes.
	seriesSpan     = 4 * time.Second
	seriesInterval = 6 * time.Second
	changeInterval = 150 * time.Millisecond
)

// unusedQueues returns queues that no job uses. One of them differs in each version.
func unusedQueues(version int64) []anvilplatformapi.Queue {
	out := make([]anvilplatformapi.Queue, 0, unusedCount)
	for i := range unusedCount {
		attempts := 3
		if int64(i) == version%unusedCount {
			attempts++
		}
		name := fmt.Sprintf("unused-%x-%d", i*104_729, i)
		out = append(out, anvilplatformapi.NewQueue(name, host, prefixOf(name), pool, 1, attempts, false))
	}
	return out
}

// changeInSeries changes the configuration in series until the run's length is over. begin is when it began.
func (s *Soak) changeInSeries(ctx context.Context, begin time.Time) {
	for at := firstFaultDelay; at+seriesSpan < s.length && ctx.Err() == nil; at += seriesInterval {
		sleep(ctx, at-time.Since(begin))
		for time.Since(begin) < at+seriesSpan && ctx.Err() == nil {
			// The store may be away: the next change has the same content.
			if err := s.reconfigure(ctx, func(*configuration) {}); err != nil {
				fmt.Fprintf(os.Stderr, "change: %v\n", err)
			}
			sleep(ctx, changeInterval)
		}
	}
}
