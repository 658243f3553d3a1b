// Package timekeeper tells the time for leases. Go's monotonic clock stands still while
// a host is suspended, so that a lease would seem to last longer than it does.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// base is the time of day when the process started, and start the reading of the clock
// that counts suspended time.
var (
	base  = time.Now().Round(0)
	start = sinceBoot()
)

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(base) // the platform has no such clock: suspension is not seen
	}
	return time.Duration(t.Nano())
}

// Now returns a time that never steps back and goes on while the host is suspended. It
// starts as the time of day.
func Now() time.Time { return base.Add(sinceBoot() - start) }

// WallOffset returns how far the time of day is ahead of Now.
func WallOffset() time.Duration { return time.Now().Round(0).Sub(Now()) }
