// Package hickoryclock reads the monotonic clock for the decisions in core.
package hickoryclock

import (
	"time"

	"golang.org/x/sys/unix"

	"hickoryworks/core/hickorymodel"
)

// processBegan is when the packages of the process were initialized: some milliseconds of
// loading the program are not counted.
var processBegan = time.Now()

// SinceStart returns the time since the process began.
func SinceStart() time.Duration {
	return time.Since(processBegan)
}

// Clock measures the time since it was created.
type Clock struct {
	origin time.Time
}

// New returns a clock that starts now.
func New() *Clock {
	return &Clock{origin: time.Now()}
}

// Now returns the time since the creation of the clock. It is never 0, since the zero
// Instant stands for "never".
func (c *Clock) Now() hickorymodel.Instant {
	return hickorymodel.Instant(time.Since(c.origin) + time.Nanosecond)
}

// SinceBoot returns the time since the machine started. It includes the time during
// which the machine was suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0 // does not happen: every supported Linux kernel has this clock
	}
	return time.Duration(now.Nano())
}

// Uptime returns the time since the creation of the clock.
func (c *Clock) Uptime() time.Duration {
	return time.Since(c.origin)
}
