//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// playAdvice sends jobs to a queue with advice at a rate that the advice service bears. The trouble is a burst.
func playAdvice(f *fleet, trouble bool) int {
	const (
		rate      = 8.5 // jobs per second, of 10 that the advice service bears
		burst     = 2.6
		before    = 8 * time.Second
		burstTime = 4 * time.Second
		after     = 32 * time.Second
		finish    = 14 * time.Second // from the end of the traffic until jobs are asked for
		idleTime  = 4 * time.Second
	)
	f.policy = newPolicy(f.record, 28*time.Millisecond, 3*time.Millisecond, 3*time.Second) // 100 ms for all minions
	f.configure(1, f.policy.advice())
	if !f.start(24, resources{32_000, 128_000}) {
		return exitNotRun
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	for n, next := 0, begin; ; n++ {
		at := time.Since(begin)
		if at > before+burstTime+after {
			break
		}
		r := rate
		if trouble && at >= before && at < before+burstTime {
			r *= burst
		}
		go f.submit(newJob(640*time.Millisecond, step{Count: 6, CPU: 2300, MemMb: 4600, EstimateMs: 640}))
		next = next.Add(time.Duration((0.5 + rand.Float64()) / r * float64(time.Second)))
		time.Sleep(time.Until(next))
		if n%20 == 0 {
			f.note()
		}
	}
	end := time.Now()
	f.record.line("the traffic ends")
	for time.Since(end) < finish {
		time.Sleep(time.Second)
		f.note()
	}
	idle, used := f.watchIdle(idleTime)
	_, capacity := f.used()
	f.record.line("RESULT jobs=%d idle=%d at most %d of %d millicores in use; advise: %d answered, %d abandoned", len(f.jobs), len(idle), used, capacity, f.policy.answered.Load(), f.policy.abandoned.Load())
	for _, j := range idle {
		f.record.line("LOST %s was accepted %.1f s ago, %d of its tasks are left, none was at work for %s; it is shown as %s", j.id, time.Since(j.accepted).Seconds(), j.left, idleTime, f.state(j))
	}
	if len(idle) > 0 && 2*used < capacity {
		return exitBroken
	}
	return exitHeld
}

// note records how many jobs wait.
func (f *fleet) note() {
	f.mu.Lock()
	accepted, waiting := 0, 0
	for _, j := range f.jobs {
		if !j.accepted.IsZero() {
			accepted++
			if j.left > 0 && j.running == 0 {
				waiting++
			}
		}
	}
	f.mu.Unlock()
	used, capacity := f.used()
	advised := ""
	if f.policy != nil {
		advised = fmt.Sprintf(" advised=%d abandoned=%d", f.policy.answered.Load(), f.policy.abandoned.Load())
	}
	f.record.line("NOTE accepted=%d without a run=%d used=%d/%d%s", accepted, waiting, used, capacity, advised)
}

// watchIdle returns the accepted jobs with tasks left of which none was at work for a time, and the most millicores that were in use.
func (f *fleet) watchIdle(d time.Duration) (idle []*job, most int) {
	busy := make(map[string]bool)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		for id, j := range f.jobs {
			if j.running > 0 || time.Since(j.lastRun) < d && !j.lastRun.IsZero() {
				busy[id] = true
			}
		}
		f.mu.Unlock()
		used, _ := f.used()
		most = max(most, used)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, j := range f.jobs {
		if !j.accepted.IsZero() && j.left > 0 && !busy[id] {
			idle = append(idle, j)
		}
	}
	return idle, most
}
