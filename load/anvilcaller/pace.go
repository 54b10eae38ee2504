package anvilcaller

import (
	"context"
	"time"
)

// paceInterval is how often permits are offered.
const paceInterval = 10 * time.Millisecond

// Pace offers permits at a rate per second until ctx is done, and then closes the channel. A permit that no
// receiver is waiting for is dropped, so that permits don't accumulate.
func Pace(ctx context.Context, rate int, permits chan<- struct{}) {
	defer close(permits)
	tick := time.NewTicker(paceInterval)
	defer tick.Stop()
	start := time.Now()
	offered := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for due := int(now.Sub(start).Seconds() * float64(rate)); offered < due; offered++ {
				select {
				case permits <- struct{}{}:
				default:
				}
			}
		}
	}
}
