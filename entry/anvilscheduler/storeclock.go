package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// storeClock estimates the store's clock from its replies. Both clocks are steady and run at the same rate.
type storeClock struct {
	// The store's clock less the local one is between lowest and highest, by a reply that arrived at takenAt; 0 stands for
	// no reply.
	lowest, highest anvilclock.Millis
	takenAt         anvilclock.Millis
}

// storeSampleAge is the age from which a sample is replaced by a less exact one, because the clocks drift.
const storeSampleAge = anvilclock.Millis(30_000)

// known reports whether there was a reply.
func (c *storeClock) known() bool { return c.takenAt != 0 }

// observe records that the store's clock showed a time between the local times sent and received. Without a time in the
// reply it does nothing.
func (c *storeClock) observe(sent, received, shown anvilclock.Millis) {
	if shown == 0 || sent == 0 {
		return
	}
	lowest, highest := shown-received, shown-sent
	if c.known() && highest-lowest > c.highest-c.lowest && received-c.takenAt < storeSampleAge {
		return
	}
	c.lowest, c.highest, c.takenAt = lowest, highest, received
}

// latestAt returns the latest time that the store's clock can show at a local time.
func (c *storeClock) latestAt(local anvilclock.Millis) anvilclock.Millis { return local + c.highest }

// passedBy returns the local time by which the store's clock has certainly passed a time that it shows.
func (c *storeClock) passedBy(shown anvilclock.Millis) anvilclock.Millis { return shown - c.lowest }
