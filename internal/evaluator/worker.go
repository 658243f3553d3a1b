package evaluator

import (
	"fmt"
	"slices"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/placer"
)

// task is a task that is pending or runs on a simulated worker.
type task struct {
	placer.Task
	job             *job                   // nil for an instance
	instance        *instance              // nil for a job
	usage           configurator.Resources // actual, not declared, usage without bursts and throttling
	speedLimit      float64                // share of the full speed that throttling allows
	startedAt       time.Time
	lastCommandAt   time.Time // time of the last throttle or stop
	stopping        bool
	burstMultiplier float64 // multiplies the cores that a noisy task uses
	slowdown        float64 // at the last tick; 0: none yet
	doneSeconds     float64 // part of the job's workSeconds done in this run
	savedSeconds    float64 // doneSeconds at the last checkpoint
	checkpointedAt  time.Time
}

// coresPerRequest is the number of cores that an instance uses for each request in flight.
const coresPerRequest = 0.4

func (t *task) coresInUse() float64 {
	if t.instance != nil {
		return coresPerRequest * float64(t.instance.inFlight)
	}
	return t.usage.Cores * t.burstMultiplier * t.speedLimit
}

func (t *task) memoryInUse() int64 { return t.usage.Memory }

// worker is a simulated worker.
type worker struct {
	name         string
	rack         string
	domain       int
	capacity     configurator.Resources
	alive        bool
	leavingSince time.Time // zero if it is not leaving
	failsTasks   bool      // every task fails after taskFailureDelay
	tasks        []*task
}

func (w *worker) remove(t *task) {
	w.tasks = slices.DeleteFunc(w.tasks, func(o *task) bool { return o == t })
}

// advanceWorkers advances the tasks of all workers by tickInterval.
func (sm *simulation) advanceWorkers() {
	for _, w := range sm.workers {
		if !w.alive {
			continue
		}
		for _, t := range w.tasks {
			t.slowdown = sm.interference.slowdown(w, t)
		}
		for _, t := range slices.Clone(w.tasks) {
			if t.job != nil && !t.stopping {
				sm.advanceJob(w, t)
			}
		}
		sm.killOutOfMemory(w)
	}
}

func (sm *simulation) advanceJob(w *worker, t *task) {
	if w.failsTasks {
		if sm.now.Sub(t.startedAt) >= taskFailureDelay {
			sm.endTask(w, t, endFailed)
		}
		return
	}
	step := tickInterval.Seconds() / t.slowdown * t.speedLimit
	t.doneSeconds += step
	if sm.measuring() {
		sm.result.Throughput += step * t.Declared.Cores / 3600
	}
	if sm.now.Sub(t.checkpointedAt) >= checkpointInterval {
		t.savedSeconds, t.checkpointedAt = t.doneSeconds, sm.now
	}
	if t.job.savedSeconds+t.doneSeconds >= t.job.workSeconds {
		sm.endTask(w, t, endFinished)
	}
}

// killOutOfMemory kills the largest batch task until a worker's memory suffices.
func (sm *simulation) killOutOfMemory(w *worker) {
	for {
		var used int64
		var largest *task
		for _, t := range w.tasks {
			used += t.memoryInUse()
			if t.job != nil && (largest == nil || t.memoryInUse() > largest.memoryInUse()) {
				largest = t
			}
		}
		if used <= w.capacity.Memory || largest == nil {
			return
		}
		sm.endTask(w, largest, endOutOfMemory)
	}
}

// updateBursts starts and ends the bursts of noisy tasks.
func (sm *simulation) updateBursts() {
	for _, w := range sm.workers {
		for _, t := range w.tasks {
			if t.Class != noisyClass {
				continue
			}
			// The phase depends only on the task's name, so that the bursts are the same
			// under all policies.
			phase := time.Duration(hash(t.Name)%uint64(burstPeriod/time.Second)) * time.Second
			at := (sm.now.Sub(sm.start) + phase) % burstPeriod
			t.burstMultiplier = 1
			if sm.bursting && at < burstLength {
				t.burstMultiplier = burstUsageFactor
			}
		}
	}
}

// Bursts of noisy tasks.
const (
	burstPeriod      = 90 * time.Second
	burstLength      = 45 * time.Second
	burstUsageFactor = 3
)

// sendReport sends the measurements of a worker's tasks to its shard. They arrive after a
// random lag.
func (sm *simulation) sendReport(w *worker) {
	if !w.alive {
		return
	}
	r := placer.Worker{
		Name: w.name, Rack: w.rack, FailureDomain: sm.firm.Domains[w.domain], Capacity: w.capacity,
		MeasuredAt: sm.now, EpochAccepted: true, AssignedTasks: make([]placer.AssignedTask, 0, len(w.tasks)),
	}
	for _, t := range w.tasks {
		r.AssignedTasks = append(r.AssignedTasks, placer.AssignedTask{
			Task:     t.Task,
			Measured: configurator.Resources{Cores: t.coresInUse(), Memory: t.memoryInUse(), Accelerators: t.usage.Accelerators},
			Slowdown: sm.measuredSlowdown(t),
			Started:  t.startedAt, Throttled: t.speedLimit, LastAction: t.lastCommandAt, Stopping: t.stopping,
		})
	}
	lag := minReportLag + time.Duration(sm.reportRnd.Int64N(int64(maxReportLag-minReportLag)))
	sm.after(lag, func() { sm.shards[w.domain].applyReport(r) })
}

// measuredSlowdown returns a task's slowdown with a measurement error.
func (sm *simulation) measuredSlowdown(t *task) float64 {
	if t.slowdown == 0 {
		return 0
	}
	s := t.slowdown
	if t.instance != nil {
		s *= t.instance.slowFactor
	}
	return max(1, s*(1+0.05*sm.reportRnd.NormFloat64()))
}

// endReason is the reason for which a task ended on its worker.
type endReason string

const (
	endFinished      endReason = "finished"
	endFailed        endReason = "failed"
	endOutOfMemory   endReason = "out of memory"
	endEvicted       endReason = "evicted"
	endWorkerLost    endReason = "host lost"
	endWorkerLeaving endReason = "host leaving"
	endCanceled      endReason = "cancelled"
)

// endTask removes a task from its worker, counts the result and notifies the shard. If a job's
// run ends without a final checkpoint, the work since the last checkpoint is lost.
func (sm *simulation) endTask(w *worker, t *task, reason endReason) {
	w.remove(t)
	if t.instance != nil {
		sm.instanceEnded(t.instance, reason)
		return
	}
	j := t.job
	j.runs--
	switch reason {
	case endFinished:
		j.ended = true
		sm.countMeasured(&sm.result.Finished)
	case endEvicted, endWorkerLeaving:
		j.savedSeconds += t.doneSeconds
	case endOutOfMemory, endWorkerLost, endFailed:
		j.savedSeconds += t.savedSeconds
		if sm.measuring() {
			sm.result.Throughput -= (t.doneSeconds - t.savedSeconds) * t.Declared.Cores / 3600
		}
	case endCanceled:
		j.ended = true
	}
	switch reason {
	case endEvicted, endOutOfMemory:
		sm.countMeasured(&sm.result.Evictions)
		if reason == endOutOfMemory {
			sm.countMeasured(&sm.result.OutOfMemoryKills)
		}
	case endWorkerLeaving, endWorkerLost:
		sm.countMeasured(&sm.result.Lost)
	}
	if reason != endFinished && reason != endCanceled {
		j.unfinishedRuns++
	}
	sm.shards[w.domain].removeTask(w, t, reason)
}

// startTask carries out a start command and checks the guarantees about workers' tasks.
func (sm *simulation) startTask(w *worker, t *task) {
	if !w.alive {
		return
	}
	sum := t.Declared
	for _, o := range w.tasks {
		sum = sum.Add(o.Declared)
	}
	if !sum.Fits(w.capacity) {
		sm.recordViolation(1, fmt.Sprintf("start of %s on %s: declared sizes %+v exceed capacity %+v", t.Name, w.name, sum, w.capacity))
	}
	if !w.leavingSince.IsZero() && sm.now.Sub(w.leavingSince) > leavingNoticeDelay {
		sm.recordViolation(7, fmt.Sprintf("%s started on leaving worker %s", t.Name, w.name))
	}
	t.startedAt, t.checkpointedAt, t.speedLimit, t.burstMultiplier, t.slowdown = sm.now, sm.now, 1, 1, 1
	w.tasks = append(w.tasks, t)
	if t.job == nil {
		sm.after(instanceStartTime, func() { sm.instanceReady(t.instance, w) })
		return
	}
	if t.job.runs++; t.job.runs > 1 {
		sm.recordViolation(2, t.Name+" has two concurrent runs")
	}
	if t.job.starts++; t.job.starts != t.job.unfinishedRuns+1 {
		sm.recordViolation(3, fmt.Sprintf("%s resumed %d times after %d unfinished runs", t.Name, t.job.starts-1, t.job.unfinishedRuns))
	}
}

// stopTask ends a job's task after a checkpoint, or an instance after it has drained.
func (sm *simulation) stopTask(w *worker, t *task, reason endReason) {
	if t.stopping {
		return
	}
	t.stopping, t.lastCommandAt = true, sm.now
	if t.instance != nil {
		sm.drainInstance(w, t)
		return
	}
	sm.after(checkpointDuration, func() {
		if slices.Contains(w.tasks, t) {
			sm.endTask(w, t, reason)
		}
	})
}
