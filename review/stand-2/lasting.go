//go:build review

package main

import (
	"net/http"
	"time"
)

// playLasting sends one job whose tasks last and may not share a minion, to a queue with advice. The trouble is the job's size.
func playLasting(f *fleet, trouble bool) int {
	const (
		usual, large = 24, 40 // the mean width of the users' large site, and one below its maximum of 48
		settle       = 40 * time.Second
		lostAfter    = 9 * time.Second // 6 s, and 3 s without a run
	)
	f.policy = newPolicy(f.record, 28*time.Millisecond, 3*time.Millisecond, 3*time.Second)
	f.policy.all = true
	f.configure(1, f.policy.advice())
	if !f.start(48, resources{32_000, 128_000}) {
		return exitNotRun
	}
	time.Sleep(2 * time.Second)
	width := usual
	if trouble {
		width = large
	}
	j := newJob(0, step{Count: width, CPU: 6400, MemMb: 13_000, EstimateMs: 500, LongRunning: true, MaxPerServer: 1})
	if !f.submit(j) {
		return exitNotRun
	}
	for begin := time.Now(); time.Since(begin) < settle; time.Sleep(2 * time.Second) {
		f.note()
	}
	fewest := width // tasks without a run during lostAfter
	ran := make(map[string]bool)
	for end := time.Now().Add(lostAfter); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, m := range f.minions {
			m.mu.Lock()
			for task := range m.runs {
				ran[task] = true
			}
			m.mu.Unlock()
		}
	}
	fewest -= len(ran)
	used, capacity := f.used()
	asked := f.policy.askedMinions()
	f.record.line("RESULT %d lasting tasks, %d of them without a run for %s, %s after the job was accepted; %d of %d minions have none; the advice service was asked about %d minions in %d calls; %d of %d millicores in use",
		width, fewest, lostAfter, time.Since(j.accepted).Round(time.Second), len(f.minions)-len(ran), len(f.minions), asked, f.policy.answered.Load(), used, capacity)
	f.record.line("the job is shown as %s", f.state(j))
	f.call(f.hosts[0], http.MethodDelete, j.id, nil)
	if fewest > 0 && capacity-used >= 2*fewest*6400 {
		return exitBroken
	}
	return exitHeld
}
