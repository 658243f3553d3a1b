package placer

import (
	"slices"
	"time"
)

// Settings of worker failure tracking.
const (
	// quarantineFailures is the number of consecutive failures of different jobs that put a
	// worker into quarantine.
	quarantineFailures = 3
	// initialQuarantine is the length of the first quarantine. The length doubles with each failed
	// probe, up to maxQuarantine.
	initialQuarantine = 30 * time.Second
	maxQuarantine     = 10 * time.Minute
	// probeTimeout is the time after which a worker whose probe has not ended may get another probe.
	probeTimeout = 10 * time.Minute
	// staleQuarantineAge is the time after the end of a quarantine from which a worker without a
	// successful probe no longer counts as one of the shard's workers.
	staleQuarantineAge = time.Hour
	// failureWindow is the time over which the weight of an ended task decays to 0.
	failureWindow = 10 * time.Minute
	// priorSuccesses is the number of successes added to every worker's history, so that a single
	// failure on a worker without history does not dominate its failure rate.
	priorSuccesses = 2
	// maxFailureHistories bounds the number of workers with a failure history.
	maxFailureHistories = 4096
	// maxFailedJobs bounds the number of failed jobs for which firstFailedOn keeps a worker.
	maxFailedJobs = 1024
)

// failureHistory is the recent history of the tasks that ended on one worker.
type failureHistory struct {
	consecutiveFailedJobs []string // different jobs that failed since the last success
	failed, ended         float64  // weighted numbers of failed and of all ended tasks; weights decay to 0 over failureWindow
	updatedAt             time.Time
	quarantinedUntil      time.Time // a probe may be placed from then on; zero if not quarantined
	quarantineDuration    time.Duration
	probeTask             string // task of the running probe
	probeStarted          time.Time
}

// failureTracker keeps the failure histories of workers and decides which workers are in
// quarantine. A worker in quarantine gets no tasks except single batch tasks as probes.
type failureTracker struct {
	workers       map[string]*failureHistory
	firstFailedOn map[string]string // job: first worker on which it failed
	jobOrder      []string          // keys of firstFailedOn, oldest first
	shardWorkers  int               // workers of the shard, 0 if unknown
}

func newFailureTracker() failureTracker {
	return failureTracker{workers: map[string]*failureHistory{}, firstFailedOn: map[string]string{}}
}

func (f *failureTracker) taskEnded(worker, job string, failed bool, now time.Time) {
	h := f.workers[worker]
	if h == nil {
		if !failed {
			return
		}
		f.prune()
		h = &failureHistory{updatedAt: now}
		f.workers[worker] = h
	}
	h.decay(now)
	h.ended++
	if h.probeTask == job && job != "" {
		f.probeEnded(h, failed, now)
	}
	if !failed {
		h.consecutiveFailedJobs = h.consecutiveFailedJobs[:0]
		return
	}
	h.failed++
	if f.recordFailure(job, worker) || slices.Contains(h.consecutiveFailedJobs, job) {
		return
	}
	h.consecutiveFailedJobs = append(h.consecutiveFailedJobs, job)
	if len(h.consecutiveFailedJobs) < quarantineFailures || !h.quarantinedUntil.IsZero() {
		return
	}
	// If half of the shard's workers fail their tasks, the cause is more likely in the tasks
	// or in a service that they share, and further quarantines would stop all work.
	if f.shardWorkers > 0 && f.quarantinedCount(now) >= max(1, f.shardWorkers/2) {
		return
	}
	h.quarantineDuration = initialQuarantine
	h.quarantinedUntil = now.Add(h.quarantineDuration)
	h.consecutiveFailedJobs = h.consecutiveFailedJobs[:0]
}

// quarantinedCount returns the number of workers in quarantine. A worker whose probe has been
// due for staleQuarantineAge has probably left the shard and does not count.
func (f *failureTracker) quarantinedCount(now time.Time) int {
	n := 0
	for _, h := range f.workers {
		if !h.quarantinedUntil.IsZero() && now.Sub(h.quarantinedUntil) < staleQuarantineAge {
			n++
		}
	}
	return n
}

func (f *failureTracker) probeEnded(h *failureHistory, failed bool, now time.Time) {
	h.probeTask = ""
	if failed {
		h.quarantineDuration = min(2*h.quarantineDuration, maxQuarantine)
		h.quarantinedUntil = now.Add(h.quarantineDuration)
		return
	}
	h.quarantinedUntil = time.Time{}
	h.quarantineDuration = 0
}

// recordFailure records the first worker on which a job fails. It reports whether the job's first
// known failure was on another worker. If so, the cause is more likely in the job than in the
// given worker.
func (f *failureTracker) recordFailure(job, worker string) bool {
	first, ok := f.firstFailedOn[job]
	if ok {
		return first != worker
	}
	if len(f.jobOrder) >= maxFailedJobs {
		delete(f.firstFailedOn, f.jobOrder[0])
		f.jobOrder = f.jobOrder[1:]
	}
	f.firstFailedOn[job] = worker
	f.jobOrder = append(f.jobOrder, job)
	return false
}

func (h *failureHistory) decay(now time.Time) {
	factor := max(0, 1-float64(now.Sub(h.updatedAt))/float64(failureWindow))
	h.failed *= factor
	h.ended *= factor
	h.updatedAt = now
}

// rate returns the estimated share of failed tasks on a worker, below 1. It counts
// priorSuccesses in addition to the tasks that ended.
func (f *failureTracker) rate(worker string, now time.Time) float64 {
	if len(f.workers) == 0 {
		return 0
	}
	h := f.workers[worker]
	if h == nil {
		return 0
	}
	factor := max(0, 1-float64(now.Sub(h.updatedAt))/float64(failureWindow))
	return h.failed * factor / (h.ended*factor + priorSuccesses)
}

func (f *failureTracker) quarantined(worker string) bool {
	h := f.workers[worker]
	return h != nil && !h.quarantinedUntil.IsZero()
}

// excludes reports whether a task must not be placed on a worker because the worker is in
// quarantine, by this tracker or by the caller (Worker.Quarantined). A worker that is due for a
// probe may take one batch task that is not urgent and is on its first attempt.
func (f *failureTracker) excludes(w *Worker, t *Task, now time.Time) bool {
	h := f.workers[w.Name]
	if h == nil || h.quarantinedUntil.IsZero() {
		return w.Quarantined
	}
	mayProbe := t.Kind == KindBatch && !t.Urgent && t.Attempt <= 1
	return !mayProbe || !h.probeDue(now)
}

func (f *failureTracker) probeDue(worker string, now time.Time) bool {
	h := f.workers[worker]
	return h != nil && h.probeDue(now)
}

func (h *failureHistory) probeDue(now time.Time) bool {
	if h.quarantinedUntil.IsZero() || now.Before(h.quarantinedUntil) {
		return false
	}
	return h.probeTask == "" || now.Sub(h.probeStarted) > probeTimeout
}

func (f *failureTracker) recordProbe(worker, task string, now time.Time) {
	h := f.workers[worker]
	h.probeTask = task
	h.probeStarted = now
}

// prune removes the history that was updated the longest ago, among workers not in quarantine.
func (f *failureTracker) prune() {
	if len(f.workers) < maxFailureHistories {
		return
	}
	oldest, at := "", time.Time{}
	for name, h := range f.workers {
		if h.quarantinedUntil.IsZero() && (oldest == "" || h.updatedAt.Before(at) || h.updatedAt.Equal(at) && name < oldest) {
			oldest, at = name, h.updatedAt
		}
	}
	delete(f.workers, oldest)
}
