package placer

import (
	"slices"
	"time"
)

// Settings of worker failure tracking.
const (
	// quarantineAfter is the number of consecutive failures of different jobs.
	quarantineAfter = 3
	// firstQuarantine doubles with each failed probe up to maxQuarantine.
	firstQuarantine = 30 * time.Second
	maxQuarantine   = 10 * time.Minute
	// probeTimeout ends a probe whose task never reported an end.
	probeTimeout = 10 * time.Minute
	// forgetQuarantine is how long after its end a quarantine without a probe still counts
	// as one of the shard's.
	forgetQuarantine = time.Hour
	// failureWindow is the time in which the weight of a past failure falls to nothing.
	failureWindow = 10 * time.Minute
	// rateInertia is the number of successes that a worker without history counts as
	// having, so that one failure does not outweigh everything else.
	rateInertia = 2
	// maxHealth and maxSuspects bound the tables of workers and of failed jobs.
	maxHealth   = 4096
	maxSuspects = 1024
)

type health struct {
	jobs          []string // different jobs that failed since the last success
	failed, ended float64  // recent ends, fading over failureWindow
	at            time.Time
	until         time.Time // quarantined until then, then a probe is due; zero: in service
	pause         time.Duration
	probe         string // task of the running probe
	probeAt       time.Time
}

type failureTracker struct {
	workers  map[string]*health
	suspects map[string]string // job: first worker on which it failed
	order    []string          // suspects, oldest first
	fleet    int               // workers of the shard, 0 if not known
}

func newFailureTracker() failureTracker {
	return failureTracker{workers: map[string]*health{}, suspects: map[string]string{}}
}

func (f *failureTracker) ended(worker, task string, failed bool, now time.Time) {
	h := f.workers[worker]
	if h == nil {
		if !failed {
			return
		}
		f.prune()
		h = &health{at: now}
		f.workers[worker] = h
	}
	h.fade(now)
	h.ended++
	if h.probe == task && task != "" {
		f.probeEnded(h, failed, now)
	}
	if !failed {
		h.jobs = h.jobs[:0]
		return
	}
	h.failed++
	if f.suspect(task, worker) || slices.Contains(h.jobs, task) {
		return
	}
	h.jobs = append(h.jobs, task)
	if len(h.jobs) < quarantineAfter || !h.until.IsZero() {
		return
	}
	// If half of the shard fails its tasks, the tasks or a common service are the
	// likelier cause, and a quarantine would stop all work.
	if f.fleet > 0 && f.held(now) >= max(1, f.fleet/2) {
		return
	}
	h.pause = firstQuarantine
	h.until = now.Add(h.pause)
	h.jobs = h.jobs[:0]
}

// held returns the number of workers in quarantine. One whose probe has been due for long
// no longer belongs to the shard.
func (f *failureTracker) held(now time.Time) int {
	n := 0
	for _, h := range f.workers {
		if !h.until.IsZero() && now.Sub(h.until) < forgetQuarantine {
			n++
		}
	}
	return n
}

func (f *failureTracker) probeEnded(h *health, failed bool, now time.Time) {
	h.probe = ""
	if failed {
		h.pause = min(2*h.pause, maxQuarantine)
		h.until = now.Add(h.pause)
		return
	}
	h.until = time.Time{}
	h.pause = 0
}

// suspect reports whether a failure says more about the job than about the worker: the
// job has failed on another worker before.
func (f *failureTracker) suspect(job, worker string) bool {
	first, ok := f.suspects[job]
	if ok {
		return first != worker
	}
	if len(f.order) >= maxSuspects {
		delete(f.suspects, f.order[0])
		f.order = f.order[1:]
	}
	f.suspects[job] = worker
	f.order = append(f.order, job)
	return false
}

func (h *health) fade(now time.Time) {
	keep := max(0, 1-float64(now.Sub(h.at))/float64(failureWindow))
	h.failed *= keep
	h.ended *= keep
	h.at = now
}

// rate returns the recent share of failed tasks, below 1.
func (f *failureTracker) rate(worker string, now time.Time) float64 {
	if len(f.workers) == 0 {
		return 0
	}
	h := f.workers[worker]
	if h == nil {
		return 0
	}
	keep := max(0, 1-float64(now.Sub(h.at))/float64(failureWindow))
	return h.failed * keep / (h.ended*keep + rateInertia)
}

func (f *failureTracker) quarantined(worker string) bool {
	h := f.workers[worker]
	return h != nil && !h.until.IsZero()
}

// excludes reports whether a worker is closed to a task by quarantine. A worker that is
// due for a probe takes one batch task on its first attempt that is not urgent.
func (f *failureTracker) excludes(w *Worker, t *Task, now time.Time) bool {
	h := f.workers[w.Name]
	if h == nil || h.until.IsZero() {
		return w.Quarantined
	}
	probe := t.Kind == KindBatch && !t.Urgent && t.Attempt <= 1
	return !probe || !h.probeDue(now)
}

func (f *failureTracker) probeDue(worker string, now time.Time) bool {
	h := f.workers[worker]
	return h != nil && h.probeDue(now)
}

func (h *health) probeDue(now time.Time) bool {
	if h.until.IsZero() || now.Before(h.until) {
		return false
	}
	return h.probe == "" || now.Sub(h.probeAt) > probeTimeout
}

func (f *failureTracker) probing(worker, task string, now time.Time) {
	h := f.workers[worker]
	h.probe = task
	h.probeAt = now
}

// prune drops the worker in service whose last end is the oldest.
func (f *failureTracker) prune() {
	if len(f.workers) < maxHealth {
		return
	}
	oldest, at := "", time.Time{}
	for name, h := range f.workers {
		if h.until.IsZero() && (oldest == "" || h.at.Before(at) || h.at.Equal(at) && name < oldest) {
			oldest, at = name, h.at
		}
	}
	delete(f.workers, oldest)
}
