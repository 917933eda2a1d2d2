// Package boottime reads a monotonic clock that includes the time during which the
// machine was suspended, unlike Go's monotonic clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time as the duration since this machine booted. Instants of
// different machines, or of different boots, must not be compared.
type Instant time.Duration

// Now returns the current instant. It panics if the kernel does not provide the
// clock, since ages measured with another clock would be wrong after a suspension.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Since returns the time from an earlier instant to i.
func (i Instant) Since(earlier Instant) time.Duration { return time.Duration(i - earlier) }
