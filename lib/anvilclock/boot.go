package anvilclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the clock of the machine including the time that it was suspended. Leases are measured with
// it, because other machines see them lapse while this one is suspended.
type Boot struct {
	start Millis
}

// NewBoot returns a clock that counts from its creation.
func NewBoot() *Boot { return &Boot{start: sinceBoot()} }

// Now returns milliseconds since the clock was created.
func (b *Boot) Now() Millis { return sinceBoot() - b.start }

// Unix returns milliseconds since 1970 in UTC.
func (b *Boot) Unix() Millis { return Millis(time.Now().UnixMilli()) }

func sinceBoot() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, so nothing but a wrong build gets here.
		panic("anvilclock: no boot clock: " + err.Error())
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}
