//go:build review

package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	usualTime = 50 * time.Second // that a usual task takes
	wide      = 36               // tasks of a poisonous job, the largest number on the users' small sites
)

// playLong has poisonous jobs that take four times as long as the others and as they say.
func playLong(f *fleet, trouble bool) int {
	return f.playPoison(trouble, func() *job {
		return newJob(4*usualTime, step{Count: wide, CPU: 1000, MemMb: 1000, EstimateMs: int(usualTime.Milliseconds())})
	})
}

// playHopeless has poisonous jobs that can never be done: each run of their tasks fails.
func playHopeless(f *fleet, trouble bool) int {
	return f.playPoison(trouble, func() *job {
		j := newJob(200*time.Millisecond, step{Count: wide, CPU: 500, MemMb: 500, EstimateMs: 640})
		j.fails = true
		return j
	})
}

// playPoison sends jobs of one long task each.
func (f *fleet) playPoison(trouble bool, poisonous func() *job) int {
	return f.playMix(trouble, func() *job {
		return newJob(usualTime, step{Count: 1, CPU: 1000, MemMb: 1000, EstimateMs: int(usualTime.Milliseconds())})
	}, poisonous)
}

// playMix sends usual jobs. The trouble is that for poisonTime a twentieth of the jobs are poisonous.
func (f *fleet) playMix(trouble bool, usual, poisonous func() *job) int {
	const (
		rate       = 16.0 // jobs per second
		before     = 8 * time.Second
		poisonTime = 3 * time.Second
		traffic    = 26 * time.Second
		finish     = 14 * time.Second
		idleTime   = 4 * time.Second
	)
	turns := []int{10, 25} // of the jobs in poisonTime, about 48
	f.configure(1, "")
	if !f.start(24, resources{32_000, 128_000}) {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	begin, poison, inTime := time.Now(), 0, 0
	for n, next := 0, begin; ; n++ {
		at := time.Since(begin)
		if at > traffic {
			break
		}
		j := usual()
		if at >= before && at < before+poisonTime {
			inTime++
			if trouble && slices.Contains(turns, inTime) {
				poison++
				j = poisonous()
				f.record.line("job %s is poisonous", j.id)
			}
		}
		go f.submit(j)
		next = next.Add(time.Duration((0.5 + rand.Float64()) / rate * float64(time.Second)))
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
	lost := 0
	for _, j := range idle {
		if s := f.state(j); s != "failed" && !j.fails {
			lost++
			f.record.line("LOST %s was accepted %.1f s ago, %d of its tasks are left, none was at work for %s; it is shown as %s", j.id, time.Since(j.accepted).Seconds(), j.left, idleTime, s)
		}
	}
	f.record.line("RESULT jobs=%d, of %d in %s %d were poisonous; without a run=%d; at most %d of %d millicores in use", len(f.jobs), inTime, poisonTime, poison, lost, used, capacity)
	if lost > 0 && 2*used < capacity {
		return exitBroken
	}
	return exitHeld
}
