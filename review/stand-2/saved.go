//go:build review

package main

import (
	"time"
)

// playSaved sends small jobs. The trouble is a large job among them, whose tasks save their progress and run until after the end of
// the case, but for a few that are short.
func playSaved(f *fleet, trouble bool) int {
	const (
		traffic = 35 * time.Second
		finish  = 14 * time.Second
		idle    = 4 * time.Second
	)
	f.configure(1, "")
	if !f.start(24, resources{32_000, 128_000}) {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	var large *job
	var small []*job
	for begin := time.Now(); time.Since(begin) < traffic; time.Sleep(250 * time.Millisecond) {
		if trouble && large == nil && time.Since(begin) > 5*time.Second {
			var steps []step
			for range 5 {
				steps = append(steps, step{Count: 160, CPU: 300, MemMb: 600, EstimateMs: 70_000, Checkpoints: true})
			}
			large = newJob(70*time.Second, steps...)
			large.short, large.saves = 8*time.Second, 2000
			go f.submit(large)
		}
		j := newJob(300*time.Millisecond, step{Count: 2, CPU: 500, MemMb: 200, EstimateMs: 300}, step{Count: 1, CPU: 500, MemMb: 200, EstimateMs: 300, After: []int{0}})
		small = append(small, j)
		go f.submit(j)
		if len(small)%4 == 0 {
			f.noteEnds()
		}
	}
	end := time.Now()
	f.record.line("the traffic ends")
	for time.Since(end) < finish {
		time.Sleep(time.Second)
		f.noteEnds()
	}
	idles, used := f.watchIdle(idle)
	_, capacity := f.used()
	for _, j := range idles {
		f.record.line("LOST %s was accepted %.1f s ago, %d of its tasks are left, none was at work for %s", j.id, time.Since(j.accepted).Seconds(), j.left, idle)
	}
	accepted, shown := 0, 0
	for _, j := range small {
		if j.accepted.IsZero() {
			continue
		}
		accepted++
		if s := f.state(j); s != "succeeded" {
			shown++
			f.record.line("NOT %s was accepted %.1f s ago, %d of its tasks are left; it is shown as %s", j.id, time.Since(j.accepted).Seconds(), j.left, s)
		}
	}
	f.store.mu.Lock()
	for k, n := range f.store.refused {
		f.record.line("the store has refused %d writes with a value of %s over %d bytes", n, k, valueBytes)
	}
	f.store.mu.Unlock()
	f.record.line("RESULT small jobs accepted=%d not shown as succeeded=%d without a run=%d; at most %d of %d millicores in use; ends listed=%d taken note of=%d", accepted, shown, len(idles), used, capacity, f.lists, f.acks)
	if len(idles) > 0 && 2*used < capacity {
		return exitBroken
	}
	return exitHeld
}
func (f *fleet) noteEnds() {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := 0
	for _, j := range f.jobs {
		running += j.running
	}
	f.record.line("NOTE running=%d ended done=%d listed=%d taken note of=%d", running, f.finished, f.lists, f.acks)
}
