package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"peridotpitch/internal/timekeeper"
)

const (
	// pauseCheckInterval is the interval at which a process checks that it has not been paused.
	pauseCheckInterval = 250 * time.Millisecond
	// maxPause is the gap between two checks from which the process counts as paused. The shortest
	// bound for the effect of a configuration on the platform is 2 s.
	maxPause = 1500 * time.Millisecond
)

// pauseDetector finds out that this process has been paused: frozen, suspended with its host, or
// without a processor. What it knew before the pause may have changed meanwhile.
type pauseDetector struct {
	checkedAt atomic.Int64 // timekeeper time of the last check, Unix ns; 0: none yet
	resumedAt atomic.Int64 // timekeeper time at which the end of the last pause was found, Unix ns; 0: no pause
}

// run checks until ctx is done. onResume is called after each pause with its length.
func (p *pauseDetector) run(ctx context.Context, onResume func(time.Duration)) {
	p.check(timekeeper.Now())
	t := time.NewTicker(pauseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if gap := p.check(timekeeper.Now()); gap >= maxPause {
				onResume(gap)
			}
		case <-ctx.Done():
			return
		}
	}
}

// check records that the process runs now, and returns the time since the last check.
func (p *pauseDetector) check(now time.Time) time.Duration {
	last := p.checkedAt.Swap(now.UnixNano())
	if last == 0 {
		return 0
	}
	gap := now.Sub(time.Unix(0, last))
	if gap >= maxPause {
		p.resumedAt.Store(now.UnixNano())
	}
	return gap
}

// pausedSince reports whether the process has been paused after at, or is just resuming: the next
// check may be late too.
func (p *pauseDetector) pausedSince(at, now time.Time) bool {
	last := p.checkedAt.Load()
	if last == 0 {
		return false
	}
	return at.UnixNano() < p.resumedAt.Load() || now.Sub(time.Unix(0, last)) >= maxPause
}
