package evaluator

import (
	"fmt"
	"slices"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/placer"
)

// task is a task on a fake worker.
type task struct {
	placer.Task
	job      *job      // nil for an instance
	instance *instance // nil for a job
	demand   configurator.Resources
	limit    float64 // throttle
	started  time.Time
	action   time.Time // last command
	stopping bool
	burst    float64 // factor on a noisy task's demand
	slowdown float64 // as of the last tick
	done     float64 // seconds of uncontended work in this run
	saved    float64 // the same at the last checkpoint
	savedAt  time.Time
}

// coresPerSlot is what one running request uses.
const coresPerSlot = 0.4

// cores returns the cores in use.
func (t *task) cores() float64 {
	if t.instance != nil {
		return coresPerSlot * float64(t.instance.busy)
	}
	return t.demand.Cores * t.burst * t.limit
}

func (t *task) memory() int64 { return t.demand.Memory }

// host is a fake worker.
type host struct {
	name     string
	rack     string
	domain   int
	capacity configurator.Resources
	alive    bool
	leaving  time.Time // zero: stays
	failing  bool
	tasks    []*task
}

func (h *host) remove(t *task) {
	h.tasks = slices.DeleteFunc(h.tasks, func(o *task) bool { return o == t })
}

// tick advances every worker's tasks by tickInterval.
func (w *world) tick() {
	for _, h := range w.hosts {
		if !h.alive {
			continue
		}
		for _, t := range h.tasks {
			t.slowdown = w.truth.slowdown(h, t)
		}
		for _, t := range slices.Clone(h.tasks) {
			if t.job != nil && !t.stopping {
				w.progress(h, t)
			}
		}
		w.outOfMemory(h)
	}
}

func (w *world) progress(h *host, t *task) {
	if h.failing {
		if w.now.Sub(t.started) >= failingTaskDelay {
			w.endTask(h, t, endFailed)
		}
		return
	}
	step := tickInterval.Seconds() / t.slowdown * t.limit
	t.done += step
	if w.measuring() {
		w.result.Throughput += step * t.Declared.Cores / 3600
	}
	if w.now.Sub(t.savedAt) >= checkpointEvery {
		t.saved, t.savedAt = t.done, w.now
	}
	if t.job.saved+t.done >= t.job.work {
		w.endTask(h, t, endFinished)
	}
}

// outOfMemory kills the largest batch task while a host's memory is exceeded.
func (w *world) outOfMemory(h *host) {
	for {
		var used int64
		var largest *task
		for _, t := range h.tasks {
			used += t.memory()
			if t.job != nil && (largest == nil || t.memory() > largest.memory()) {
				largest = t
			}
		}
		if used <= h.capacity.Memory || largest == nil {
			return
		}
		w.endTask(h, largest, endKilled)
	}
}

// toggleBursts lets noisy tasks start and end their bursts.
func (w *world) toggleBursts() {
	for _, h := range w.hosts {
		for _, t := range h.tasks {
			if t.Class != noisyClass {
				continue
			}
			// Drawn for each task from its name, so that policies meet equal bursts.
			phase := time.Duration(hash(t.Name)%uint64(burstPeriod/time.Second)) * time.Second
			at := (w.now.Sub(w.start) + phase) % burstPeriod
			t.burst = 1
			if w.bursting && at < burstLength {
				t.burst = burstFactor
			}
		}
	}
}

// Bursts of noisy tasks.
const (
	burstPeriod = 90 * time.Second
	burstLength = 45 * time.Second
	burstFactor = 3
)

// report sends a worker's inventory to its shard, late.
func (w *world) report(h *host) {
	if !h.alive {
		return
	}
	r := placer.Worker{
		Name: h.name, Rack: h.rack, FailureDomain: w.firm.Domains[h.domain], Capacity: h.capacity,
		ReportedAt: w.now, Fenced: true, Residents: make([]placer.Resident, 0, len(h.tasks)),
	}
	for _, t := range h.tasks {
		r.Residents = append(r.Residents, placer.Resident{
			Task:     t.Task,
			Measured: configurator.Resources{Cores: t.cores(), Memory: t.memory(), Accelerators: t.demand.Accelerators},
			Slowdown: w.measuredSlowdown(t),
			Started:  t.started, Throttled: t.limit, LastAction: t.action, Stopping: t.stopping,
		})
	}
	lag := minReportLag + time.Duration(w.reportRnd.Int64N(int64(maxReportLag-minReportLag)))
	w.after(lag, func() { w.shards[h.domain].reported(r) })
}

func (w *world) measuredSlowdown(t *task) float64 {
	if t.slowdown == 0 {
		return 0
	}
	s := t.slowdown
	if t.instance != nil {
		s *= t.instance.slow
	}
	return max(1, s*(1+0.05*w.reportRnd.NormFloat64()))
}

// ending says why a task left its worker.
type ending string

const (
	endFinished ending = "finished"
	endFailed   ending = "failed"
	endKilled   ending = "out of memory"
	endEvicted  ending = "evicted"
	endLost     ending = "host lost"
	endDrained  ending = "host leaving"
	endCanceled ending = "cancelled"
)

// endTask removes a task from its worker and tells the shard.
func (w *world) endTask(h *host, t *task, why ending) {
	h.remove(t)
	if t.instance != nil {
		w.instanceEnded(t.instance, why)
		return
	}
	j := t.job
	j.runs--
	switch why {
	case endFinished:
		j.over = true
		w.count(&w.result.Finished)
	case endEvicted, endDrained:
		j.saved += t.done
	case endKilled, endLost, endFailed:
		j.saved += t.saved
		if w.measuring() {
			w.result.Throughput -= (t.done - t.saved) * t.Declared.Cores / 3600
		}
	case endCanceled:
		j.over = true
	}
	switch why {
	case endEvicted, endKilled:
		w.count(&w.result.Evictions)
		if why == endKilled {
			w.count(&w.result.Killed)
		}
	case endDrained, endLost:
		w.count(&w.result.Lost)
	}
	if why != endFinished && why != endCanceled {
		j.evicted++
	}
	w.shards[h.domain].ended(h, t, why)
}

// apply carries out a start command. It checks the guarantees that a worker can see.
func (w *world) apply(h *host, t *task) {
	if !h.alive {
		return
	}
	sum := t.Declared
	for _, o := range h.tasks {
		sum = sum.Add(o.Declared)
	}
	if !sum.Fits(h.capacity) {
		w.broken(1, fmt.Sprintf("%s on %s: declared %+v of %+v", t.Name, h.name, sum, h.capacity))
	}
	if !h.leaving.IsZero() && w.now.Sub(h.leaving) > drainNotice {
		w.broken(7, fmt.Sprintf("%s started on leaving %s", t.Name, h.name))
	}
	t.started, t.savedAt, t.limit, t.burst, t.slowdown = w.now, w.now, 1, 1, 1
	h.tasks = append(h.tasks, t)
	if t.job == nil {
		w.after(unreadyInstance, func() { w.instanceReady(t.instance, h) })
		return
	}
	if t.job.runs++; t.job.runs > 1 {
		w.broken(2, t.Name+" runs twice")
	}
	if t.job.resumed++; t.job.resumed != t.job.evicted+1 {
		w.broken(3, fmt.Sprintf("%s resumed %d times after %d evictions", t.Name, t.job.resumed-1, t.job.evicted))
	}
}

// stop carries out a checkpoint or stop command.
func (w *world) stop(h *host, t *task, why ending) {
	if t.stopping {
		return
	}
	t.stopping, t.action = true, w.now
	if t.instance != nil {
		w.drain(h, t)
		return
	}
	w.after(checkpointTime, func() {
		if slices.Contains(h.tasks, t) {
			w.endTask(h, t, why)
		}
	})
}
