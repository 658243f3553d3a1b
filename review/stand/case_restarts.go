//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	configurations["restarts"] = configuration(1, true, route{name: "r-1", prefix: "/lohu930/", priority: 0, attempt: 4, stretch: 1.5, target: 250})
	cases["restarts"] = playRestarts
}

const (
	restartsWorkers  = 8
	restartsTask     = 50 * time.Millisecond
	restartsSize     = 16000 // millicores: two tasks fill a minion
	restartsJobs     = 10    // before each outage
	restartsJobTasks = 40
	restartsOutages  = 4
	restartsOutage   = 4500 * time.Millisecond
	restartsBetween  = 8 * time.Second
	restartsDown     = 100 * time.Millisecond
	restartsPause    = 500 * time.Millisecond
)

// playRestarts has minions crash when they are told to start a task, one at a time, and start again under their ids, while
// the store is down. It judges TWICE.
func playRestarts(f *fleet, trouble bool) ([]string, error) {
	for i := range restartsWorkers {
		w, err := newWorker(f.store, f.ledger, fmt.Sprintf("i-%08x", i+1), serviceName, zones[i%len(zones)], "a", "r1-1", 32, "127.0.0.1:0", func(string) int { return restartsSize })
		if err != nil {
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	if err := f.startHosts(7); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var ids []string
	restarts, crashes := 0, 0
	for range restartsOutages {
		for range restartsJobs {
			id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+len(ids))
			status, _ := f.call(f.hosts[len(ids)%len(f.hosts)], "POST", "/lohu930/", id, map[string]any{"spec": restartsTask.String(),
				"steps": []any{map[string]any{"count": restartsJobTasks, "cpu": restartsSize, "memMb": 100, "estimateMs": restartsTask.Milliseconds()}}})
			if status/100 != 2 {
				return nil, fmt.Errorf("job %s was not accepted: %d", id, status)
			}
			ids = append(ids, id)
		}
		time.Sleep(500 * time.Millisecond)
		if trouble {
			f.ledger.note("the store is down for %s", restartsOutage)
			f.store.setDown(true)
			for begin := time.Now(); time.Since(begin) < restartsOutage-restartsPause; {
				crashed, err := f.workers[restarts%len(f.workers)].crashAtStart(restartsPause, restartsDown)
				if err != nil {
					return nil, err
				}
				if restarts++; crashed {
					crashes++
				}
			}
			time.Sleep(restartsPause)
			f.store.setDown(false)
			f.ledger.note("the store serves again")
		}
		time.Sleep(restartsBetween)
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && len(ids) > 0; {
		if _, body := f.call(f.hosts[1], "GET", "/lohu930/", ids[0], nil); strings.Contains(body, "succeeded") || strings.Contains(body, "failed") {
			ids = ids[1:]
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	f.ledger.note("%d crashes of minions", crashes)
	return f.ledger.twice(), nil
}
