package anvilclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock of the machine that also counts the time during which the machine is suspended. Leases are
// measured with it, because they expire for other machines while this one is suspended. It is safe for
// concurrent use.
type Boot struct {
	start Millis
}

// NewBoot returns a clock whose Now starts at 0.
func NewBoot() *Boot { return &Boot{start: sinceBoot()} }

// Now returns the milliseconds since the clock was created, including time in suspension.
func (b *Boot) Now() Millis { return sinceBoot() - b.start }

// Unix returns the milliseconds since 1970 in UTC.
func (b *Boot) Unix() Millis { return Millis(time.Now().UnixMilli()) }

func sinceBoot() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, so only a wrong build fails here.
		panic("anvilclock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}
