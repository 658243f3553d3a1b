//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	configurations["ends"] = configuration(1, true, route{name: "r-1", prefix: "/lohu930/", priority: 0, attempt: 4, stretch: 1.5, target: 250})
	cases["ends"] = playEnds
}

const (
	endsTaskTime    = 250 * time.Millisecond
	endsTaskSize    = 500 // millicores
	endsOutage      = 4500 * time.Millisecond
	endsJobs        = 16
	endsTasks       = 500 // of a job
	endsWorkers     = 4
	endsWorkerCores = 32
)

// playEnds has minions run short tasks while the store is down, so that more ends than a minion lists at once are not
// taken note of. It judges TWICE.
func playEnds(f *fleet, trouble bool) ([]string, error) {
	for i := range endsWorkers {
		w, err := newWorker(f.store, f.ledger, fmt.Sprintf("i-%08x", i+1), serviceName, zones[i%len(zones)], "a", "r1-1", endsWorkerCores, "127.0.0.1:0", func(string) int { return endsTaskSize })
		if err != nil {
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	if err := f.startHosts(7); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	job := map[string]any{"spec": endsTaskTime.String(), "steps": []any{map[string]any{"count": endsTasks, "cpu": endsTaskSize, "memMb": 100, "estimateMs": endsTaskTime.Milliseconds()}}}
	var ids []string
	for i := range endsJobs {
		id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+i)
		if status, _ := f.call(f.hosts[i%len(f.hosts)], "POST", "/lohu930/", id, job); status/100 != 2 {
			return nil, fmt.Errorf("job %s was not accepted: %d", id, status)
		}
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.ledger.note("the store is down for %s", endsOutage)
		f.store.setDown(true)
		time.Sleep(endsOutage)
		f.store.setDown(false)
		f.ledger.note("the store serves again")
	}
	deadline := time.Now().Add(45 * time.Second)
	for _, id := range ids {
		for time.Now().Before(deadline) {
			if _, body := f.call(f.hosts[1], "GET", "/lohu930/", id, nil); strings.Contains(body, "succeeded") {
				break
			}
			time.Sleep(250 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	starts := 0
	f.ledger.mu.Lock()
	for _, rs := range f.ledger.runs {
		starts += len(rs)
	}
	f.ledger.mu.Unlock()
	for _, w := range f.workers {
		w.mu.Lock()
		f.ledger.note("%s: %d ends, at most %d not taken note of at a time", w.id, w.ends, w.mostEnds)
		w.mu.Unlock()
	}
	f.ledger.note("%d tasks, %d starts", endsJobs*endsTasks, starts)
	return f.ledger.twice(), nil
}
