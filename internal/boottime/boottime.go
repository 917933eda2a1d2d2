// Package boottime reads a clock that also counts the time during which the
// machine was suspended, which Go's monotonic clock leaves out.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on the clock of this machine since it started. Instants
// of different machines must not be compared.
type Instant time.Duration

// Now returns the current moment. Where the kernel lacks the clock it panics,
// since ages taken from any other clock would be wrong after a suspension.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Since returns the time that has passed since an earlier moment.
func (i Instant) Since(earlier Instant) time.Duration { return time.Duration(i - earlier) }
