//go:build review

package main

import "time"

// playLooping has poisonous jobs that last and whose tasks fail soon after each start.
func playLooping(f *fleet, trouble bool) int {
	return f.playPoison(trouble, func() *job {
		j := newJob(300*time.Millisecond, step{Count: 6, CPU: 6400, MemMb: 13_000, EstimateMs: 500, LongRunning: true})
		j.fails = true
		return j
	})
}
