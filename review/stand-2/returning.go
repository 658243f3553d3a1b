//go:build review

package main

import (
	"net/http"
	"time"
)

// playReturning sends a job that lasts to the minions of a rare kind, and later jobs that last and may run on any minion. The trouble
// is the loss of the minions of that kind.
func playReturning(f *fleet, trouble bool) int {
	const (
		rare     = 3 // minions of the rare kind, of 24
		width    = 6
		quiet    = 10 * time.Second // from the loss until further jobs come
		observed = 12 * time.Second // from their acceptance; the last idleTime of it counts
		idleTime = 5 * time.Second
	)
	f.special = rare
	f.configure(1, "")
	if !f.start(24, resources{32_000, 128_000}) {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	lasting := step{Count: rare, CPU: 6400, MemMb: 13_000, EstimateMs: 500, LongRunning: true, MaxPerServer: 1, RequiredLabel: "b"}
	first := newJob(0, lasting)
	if !f.submit(first) {
		return exitNotRun
	}
	time.Sleep(6 * time.Second)
	f.note()
	if trouble {
		for _, m := range f.minions[:rare] {
			m.crash()
		}
	}
	time.Sleep(quiet)
	var later []*job
	for range 4 {
		j := newJob(0, step{Count: width, CPU: 6400, MemMb: 13_000, EstimateMs: 500, LongRunning: true})
		if !f.submit(j) {
			return exitNotRun
		}
		later = append(later, j)
	}
	for end := time.Now().Add(observed - idleTime); time.Now().Before(end); time.Sleep(time.Second) {
		f.note()
	}
	idle, used := f.watchIdle(idleTime)
	f.note()
	_, capacity := f.used()
	lost := 0
	for _, j := range idle {
		if j == first {
			continue // no minion can run it
		}
		lost++
		f.record.line("LOST %s was accepted %.1f s ago, it lasts, and none of its %d tasks was at work for %s; it is shown as %s", j.id, time.Since(j.accepted).Seconds(), j.left, idleTime, f.state(j))
	}
	f.record.line("RESULT of %d lasting jobs that may run on any minion, %d have no run; %d of %d millicores in use", len(later), lost, used, capacity)
	for begin := time.Now(); trouble && time.Since(begin) < 25*time.Second; time.Sleep(time.Second) {
		f.note()
	}
	for _, j := range append(later, first) {
		f.call(f.hosts[0], http.MethodDelete, j.id, nil)
	}
	if lost > 0 && 2*used < capacity {
		return exitBroken
	}
	return exitHeld
}
