package orchestrator

import "slices"

const (
	// maxScoredWorkers bounds the workers that are scored for one task. Scoring all of 2,700
	// workers takes milliseconds for each start, and the best of 300 is nearly as good.
	maxScoredWorkers = 300
	// scoredWorkersPerTask is the number of workers that are scored for each waiting task of a
	// step, if these are more than maxScoredWorkers.
	scoredWorkersPerTask = 25
)

// ranking holds the scores of workers for the waiting tasks of one step in one pass. The tasks are
// alike, so that a start changes only the score of its worker.
type ranking struct {
	workers []*worker // candidates
	offset  int       // index of the worker at which the scoring began
	scored  int       // number of workers that have been scored, from that one on
	fitting []rankedWorker
}

// rankedWorker is a worker on which a task of the step may start.
type rankedWorker struct {
	worker *worker
	score  float64
}

// alike reports whether the waiting tasks of a step have the same scores on each worker. They do not
// if workers are unsuitable for some of them, or if the length of their waits or the first
// start changes where they may run.
func (o *Orchestrator) alike(s *step, waiting []*task) bool {
	if s.LongRunning || s.SameRack || s.RackAffinity != "" || s.Fills && o.lightlyLoaded && o.starved(s.occurrence.job) {
		return false
	}
	return !slices.ContainsFunc(waiting, func(t *task) bool { return len(t.unsuitableWorkers) > 0 })
}

// rank returns the scores of some of the workers for the waiting tasks of a step. Successive
// calls begin at different workers. The result is valid until the next call.
func (o *Orchestrator) rank(waiting []*task, workers []*worker) *ranking {
	k := &ranking{workers: workers, offset: o.scoreOffset % len(workers), fitting: o.rankingBuffer[:0]}
	limit := min(len(workers), max(maxScoredWorkers, scoredWorkersPerTask*len(waiting)))
	for k.scored < limit {
		o.scoreNext(k, waiting[0])
	}
	if limit < len(workers) {
		o.scoreOffset = k.offset + limit
	}
	o.rankingBuffer = k.fitting
	return k
}

// scoreNext scores one more worker.
func (o *Orchestrator) scoreNext(k *ranking, t *task) {
	w := k.workers[(k.offset+k.scored)%len(k.workers)]
	k.scored++
	if o.fits(t, w) {
		k.fitting = append(k.fitting, rankedWorker{w, o.scoreWorker(t, w)})
	}
}

// best returns the index of the worker with the highest score, or -1 if the task fits on none of
// all workers.
func (o *Orchestrator) best(k *ranking, t *task) int {
	for len(k.fitting) == 0 && k.scored < len(k.workers) {
		o.scoreNext(k, t)
	}
	best := -1
	for i := range k.fitting {
		if best < 0 || k.fitting[i].score > k.fitting[best].score {
			best = i
		}
	}
	return best
}

// started updates the score of a worker after a start. next is a task that still waits.
func (o *Orchestrator) started(k *ranking, i int, next *task) {
	w := k.fitting[i].worker
	if o.fits(next, w) {
		k.fitting[i].score = o.scoreWorker(next, w)
		return
	}
	k.fitting[i] = k.fitting[len(k.fitting)-1]
	k.fitting = k.fitting[:len(k.fitting)-1]
}
