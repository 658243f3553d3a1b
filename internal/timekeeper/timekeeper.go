// Package timekeeper provides the clock for leases. It counts the time during which the host
// is suspended. Go's monotonic clock does not, so a lease would appear valid after its end.
package timekeeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// startWallTime is the time of day at the start of the process, and startSinceBoot the time
// since boot, including suspended time, at the same moment.
var (
	startWallTime  = time.Now().Round(0)
	startSinceBoot = sinceBoot()
)

// sinceBoot returns the time since boot, including suspended time.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(startWallTime) // without this clock suspended time is not counted
	}
	return time.Duration(t.Nano())
}

// replacement is the clock that Replace has set, nil without one.
var replacement atomic.Pointer[func() time.Time]

// Replace makes Now return the time of another clock until the returned function is called, so that tests can run in
// virtual time.
func Replace(now func() time.Time) func() {
	replacement.Store(&now)
	return func() { replacement.Store(nil) }
}

// Now returns the time of a clock that never steps back and advances while the host is
// suspended. At the start of the process it equals the time of day.
func Now() time.Time {
	if now := replacement.Load(); now != nil {
		return (*now)()
	}
	return startWallTime.Add(sinceBoot() - startSinceBoot)
}

// WallOffset returns how far the time of day is ahead of Now.
func WallOffset() time.Duration { return time.Now().Round(0).Sub(Now()) }
