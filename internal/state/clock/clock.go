package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, in nanoseconds since the instance booted, including the time that it was suspended.
type Instant int64

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it, time limits could not be trusted after a suspension.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns the instant that is later by a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration since an earlier instant.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether the instant is earlier than another one.
func (i Instant) Before(other Instant) bool { return i < other }
