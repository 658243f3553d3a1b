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
	restartsTask     = 40 * time.Millisecond
	restartsJobTasks = 6
	restartsJobPause = 100 * time.Millisecond
	restartsDown     = 20 * time.Millisecond
	restartsPause    = 150 * time.Millisecond
	restartsTime     = 60 * time.Second
)

// playRestarts has minions crash and start again under their ids at once, one at a time and in turn. It judges TWICE.
func playRestarts(f *fleet, trouble bool) ([]string, error) {
	for i := range restartsWorkers {
		w, err := newWorker(f.store, f.ledger, fmt.Sprintf("i-%08x", i+1), serviceName, zones[i%len(zones)], "a", "r1-1", 32, "127.0.0.1:0", func(string) int { return 1000 })
		if err != nil {
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	if err := f.startHosts(7); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	stop, ended := make(chan struct{}), make(chan []string)
	go func() {
		var ids []string
		for i := 0; ; i++ {
			select {
			case <-stop:
				ended <- ids
				return
			case <-time.After(restartsJobPause):
			}
			id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+i)
			status, _ := f.call(f.hosts[i%len(f.hosts)], "POST", "/lohu930/", id, map[string]any{"spec": restartsTask.String(),
				"steps": []any{map[string]any{"count": restartsJobTasks, "cpu": 1000, "memMb": 100, "estimateMs": restartsTask.Milliseconds()}}})
			if status/100 == 2 {
				ids = append(ids, id)
			}
		}
	}()
	time.Sleep(2 * time.Second)
	restarts := 0
	for begin := time.Now(); time.Since(begin) < restartsTime; time.Sleep(restartsPause) {
		if !trouble {
			continue
		}
		if err := f.workers[restarts%len(f.workers)].restart(restartsDown); err != nil {
			return nil, err
		}
		restarts++
	}
	close(stop)
	ids := <-ended
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && len(ids) > 0; {
		if _, body := f.call(f.hosts[1], "GET", "/lohu930/", ids[0], nil); strings.Contains(body, "succeeded") || strings.Contains(body, "failed") {
			ids = ids[1:]
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	f.ledger.note("%d crashes of minions", restarts)
	return f.ledger.twice(), nil
}
