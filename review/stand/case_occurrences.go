//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

func init() {
	configurations["occurrences"] = configuration(1, true, route{name: "r-1", prefix: "/lohu930/", priority: 0, attempt: 4, stretch: 1.5, target: 250})
	cases["occurrences"] = playOccurrences
}

const (
	occurrenceTasks    = 1000
	occurrenceTimes    = 14
	occurrenceInterval = 1100 * time.Millisecond
	occurrenceTask     = 500 * time.Millisecond
	occurrenceSize     = 100 // millicores
	occurrencePerNode  = 12
	occurrenceWorkers  = 4
	// occurrenceKilled is the occurrence at whose first start the leader is killed.
	occurrenceKilled = 10
	restartDelay     = 500 * time.Millisecond
)

// playOccurrences hands in a job with overlapping occurrences, and kills the leader when a later one begins. It judges
// MIXED: the job is shown as succeeded while a task has not ended so.
func playOccurrences(f *fleet, trouble bool) ([]string, error) {
	for i := range occurrenceWorkers {
		w, err := newWorker(f.store, f.ledger, fmt.Sprintf("i-%08x", i+1), serviceName, zones[i%len(zones)], "a", "r1-1", 32, "127.0.0.1:0", func(string) int { return occurrenceSize })
		if err != nil {
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	if err := f.startHosts(7); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	leader := f.leader()
	if leader == nil {
		return nil, fmt.Errorf("no host leads")
	}
	const id = "5c0e7a21d94b36f8"
	begun := make(chan struct{}, 1)
	f.ledger.mu.Lock()
	f.ledger.onStart = func(r *taskRun) {
		if k, _ := strconv.Atoi(strings.Split(r.task, ".")[1]); k >= occurrenceKilled {
			select {
			case begun <- struct{}{}:
			default:
			}
		}
	}
	f.ledger.mu.Unlock()
	status, _ := f.call(f.hosts[1], "POST", "/lohu930/", id, map[string]any{"spec": occurrenceTask.String(), "times": occurrenceTimes, "firstMs": time.Now().Add(time.Second).UnixMilli(),
		"intervalMs": occurrenceInterval.Milliseconds(),
		"steps":      []any{map[string]any{"count": occurrenceTasks, "cpu": occurrenceSize, "memMb": 10, "estimateMs": occurrenceTask.Milliseconds(), "maxPerServer": occurrencePerNode}}})
	if status/100 != 2 {
		return nil, fmt.Errorf("the job was not accepted: %d", status)
	}
	select {
	case <-begun:
	case <-time.After(60 * time.Second):
		return nil, fmt.Errorf("occurrence %d has not begun", occurrenceKilled)
	}
	if trouble {
		leader.kill()
		f.ledger.note("%s, which led, is killed", leader.name)
		time.Sleep(restartDelay)
		if err := leader.start(); err != nil {
			return nil, err
		}
		f.ledger.note("%s starts again", leader.name)
	}
	var tasks []string
	for k := range occurrenceTimes {
		for i := range occurrenceTasks {
			tasks = append(tasks, fmt.Sprintf("%s.%d.0.%d", id, k, i))
		}
	}
	for deadline := time.Now().Add(70 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if _, body := f.call(f.hosts[2], "GET", "/lohu930/", id, nil); !strings.Contains(body, "succeeded") {
			continue
		}
		left := f.ledger.notDone(tasks)
		byOccurrence := make(map[string]int)
		for _, t := range left {
			byOccurrence[strings.Split(t, ".")[1]]++
		}
		f.ledger.note("shown as succeeded; %d of %d tasks have not ended done; by occurrence: %v", len(left), len(tasks), byOccurrence)
		if len(left) == 0 {
			return nil, nil
		}
		time.Sleep(5 * time.Second)
		var breaks []string
		for _, t := range f.ledger.notDone(tasks) {
			breaks = append(breaks, t+" has not ended done 5 s after its job was shown as succeeded")
		}
		return breaks, nil
	}
	left := f.ledger.notDone(tasks)
	return nil, fmt.Errorf("not shown as succeeded in time; %d tasks have not ended done", len(left))
}
