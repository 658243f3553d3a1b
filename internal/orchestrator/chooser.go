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

// chooser chooses workers for the waiting tasks of one step in one pass. If the tasks are alike, they share
// one scoring of the workers, since a start changes only the score of its worker.
type chooser struct {
	o       *Orchestrator
	alike   bool
	workers []*worker // candidates; nil: not scored yet
	offset  int       // index of the worker at which the scoring began
	scored  int       // number of workers that have been scored, from that one on
	fitting []rankedWorker
	chosen  int // index in fitting of the worker chosen last
}

// rankedWorker is a worker on which a task of the step may start.
type rankedWorker struct {
	worker *worker
	score  float64
}

func (o *Orchestrator) newChooser(s *step, waiting []*task) *chooser {
	return &chooser{o: o, alike: o.alike(s, waiting)}
}

// alike reports whether the waiting tasks of a step have the same scores on each worker. They do not
// if workers are unsuitable for some of them or have crashed under them, or if the length of their waits or the first
// start changes where they may run.
func (o *Orchestrator) alike(s *step, waiting []*task) bool {
	if s.LongRunning || s.SameRack || s.RackAffinity != "" || s.Fills && s.occurrence.job.load.light && o.starved(s.occurrence.job) {
		return false
	}
	return !slices.ContainsFunc(waiting, func(t *task) bool { return len(t.unsuitableWorkers) > 0 || t.suspected() })
}

// choose returns the worker with the highest score for the first of the waiting tasks, or nil if the task fits
// on none, and the score.
func (c *chooser) choose(waiting []*task, workers []*worker) (*worker, float64) {
	if !c.alike {
		return c.o.choose(waiting[0], workers)
	}
	if c.workers == nil {
		c.scoreFirst(waiting, workers)
	}
	for len(c.fitting) == 0 && c.scored < len(c.workers) {
		c.scoreNext(waiting[0])
	}
	if len(c.fitting) == 0 {
		return nil, 0
	}
	c.chosen = 0
	for i := range c.fitting {
		if c.fitting[i].score > c.fitting[c.chosen].score {
			c.chosen = i
		}
	}
	return c.fitting[c.chosen].worker, c.fitting[c.chosen].score
}

// scoreFirst scores some of the workers. Successive steps begin at different workers.
func (c *chooser) scoreFirst(waiting []*task, workers []*worker) {
	c.workers, c.offset, c.fitting = workers, c.o.scoreOffset%len(workers), c.o.rankingBuffer[:0]
	limit := min(len(workers), max(maxScoredWorkers, scoredWorkersPerTask*len(waiting)))
	for c.scored < limit {
		c.scoreNext(waiting[0])
	}
	if limit < len(workers) {
		c.o.scoreOffset = c.offset + limit
	}
	c.o.rankingBuffer = c.fitting
}

// scoreNext scores one more worker.
func (c *chooser) scoreNext(t *task) {
	w := c.workers[(c.offset+c.scored)%len(c.workers)]
	c.scored++
	if c.o.fits(t, w) {
		c.fitting = append(c.fitting, rankedWorker{w, c.o.scoreWorker(t, w)})
	}
}

// started updates the score of the worker chosen last after a start on it. waiting are the tasks that still wait.
func (c *chooser) started(waiting []*task) {
	if !c.alike || len(waiting) == 0 {
		return
	}
	w := c.fitting[c.chosen].worker
	if c.o.fits(waiting[0], w) {
		c.fitting[c.chosen].score = c.o.scoreWorker(waiting[0], w)
		return
	}
	last := len(c.fitting) - 1
	c.fitting[c.chosen] = c.fitting[last]
	c.fitting = c.fitting[:last]
}
