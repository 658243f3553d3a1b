//go:build review

package main

import "time"

// playRack sends jobs of one long task each whose data is on a rack. The trouble is that all want the same one.
func playRack(f *fleet, trouble bool) int {
	const (
		jobs     = 40 // of which one rack takes 32
		waitTime = 16 * time.Second
		idleTime = 4 * time.Second
	)
	racks := []string{"r0-0", "r1-0", "r2-0"}
	f.configure(1, "")
	if !f.start(24, resources{32_000, 128_000}) {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	for n := range jobs {
		rack := racks[n%len(racks)]
		if trouble {
			rack = racks[0]
		}
		go f.submit(newJob(usualTime, step{Count: 1, CPU: 8000, MemMb: 8000, EstimateMs: int(usualTime.Milliseconds()), Affinity: rack}))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(waitTime)
	idle, used := f.watchIdle(idleTime)
	_, capacity := f.used()
	f.record.line("RESULT %d of %d jobs without a run %s after the last one; at most %d of %d millicores in use", len(idle), jobs, waitTime, used, capacity)
	if len(idle) > 0 && 2*used < capacity {
		return exitBroken
	}
	return exitHeld
}
