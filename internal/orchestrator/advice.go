package orchestrator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxAdviceWorkers is the number of workers that one request to the outside policy may name.
	maxAdviceWorkers = 100
	// untargetedAdviceWorkers is the number of workers that a request names without MechanismAdviceByNeed.
	untargetedAdviceWorkers = 30
	// ticketValidityMargin is subtracted from the validity of tickets, because the answer needs time to arrive here and the start to reach
	// the worker. It is at most half of the validity.
	ticketValidityMargin = 300 * time.Millisecond
	// adviceRetryInterval is the pause after a request without an answer, and the shortest one for its step.
	adviceRetryInterval = 300 * time.Millisecond
	// maxAdviceRetryInterval bounds the pause of a step whose requests fail one after the other. The requests of the others wait while one
	// of it is not answered.
	maxAdviceRetryInterval = 20 * time.Second
	// minAdviceTimeout and adviceTimeoutFactor determine how long a request may take. The policy may be slower than its configuration says,
	// and may still be busy with an earlier request of this host that was given up.
	minAdviceTimeout    = 2 * time.Second
	adviceTimeoutFactor = 10
	// adviceSearchInterval is the pause of a step after a search for workers to ask about has found none. Each goes through all workers.
	adviceSearchInterval = maxSearchAge
	// maxAllowedSamples bounds the answers that count for queueStats.allowedShare.
	maxAllowedSamples = 200
)

// adviser decides which step asks the outside policy next. The policy handles one request of a host at a time, so that only one is sent:
// a request that waits elsewhere would use up its time limit, and the policy would work on requests that are given up. The most urgent step
// goes first, and its request names the workers that can run a task by then.
type adviser struct {
	request     *adviceRequest // not answered; nil: none
	waiting     []*step        // steps that need tickets, the most urgent first, as of the last scheduling pass
	pausedUntil time.Time      // no request is sent until then, because the last one was not answered
}

// adviceRequest is a request that the outside policy has not answered.
type adviceRequest struct {
	step         *step
	sentAt       time.Time
	incarnations map[string]int64 // of the named workers, by ID
}

// advice holds the outside policy's answers on a step.
type advice struct {
	answers    map[string]policyAnswer // by ID of the worker
	failures   int                     // requests in a row without an answer
	retryAt    time.Time
	searchedAt time.Time // when no worker was found to ask about; zero: one was
}

// policyAnswer is the outside policy's answer on a worker. It does not change while the worker's process lasts.
type policyAnswer struct {
	incarnation int64 // the worker's process
	allowed     bool
	ticket      string
	ticketEnd   time.Time
}

// on returns the answer on a worker's present process.
func (a *advice) on(w *worker) (policyAnswer, bool) {
	p, ok := a.answers[w.ID]
	return p, ok && p.incarnation == w.incarnation
}

// denies reports whether the outside policy has answered that the step may not run on a worker.
func (a *advice) denies(w *worker) bool {
	if len(a.answers) == 0 {
		return false
	}
	p, ok := a.on(w)
	return ok && !p.allowed
}

// ticket returns a valid ticket for starts of the step on a worker, empty if there is none.
func (a *advice) ticket(w *worker, now time.Time) string {
	if p, ok := a.on(w); ok && p.allowed && now.Before(p.ticketEnd) {
		return p.ticket
	}
	return ""
}

// dropTickets forgets the step's tickets, but not where it may run.
func (a *advice) dropTickets() {
	for id, p := range a.answers {
		p.ticket, p.ticketEnd = "", time.Time{}
		a.answers[id] = p
	}
}

// adviceName returns the step's name in requests to the outside policy.
func (s *step) adviceName() string {
	return fmt.Sprintf("%s.%d.%d", s.occurrence.job.ID, s.occurrence.number, s.index)
}

// advisedWorkers returns the workers with a valid ticket, by ID. If not all of the step's waiting tasks can start on these, the step waits
// for its turn to ask the outside policy. The second result is the reason why it waits meanwhile.
func (o *Orchestrator) advisedWorkers(s *step) ([]*worker, string) {
	var usable []*worker
	for id := range s.advice.answers {
		if w := o.workers[id]; w != nil && w.Service == s.occurrence.job.Policy.Service && s.advice.ticket(w, o.now) != "" {
			if ok, _ := o.usable(w); ok {
				usable = append(usable, w)
			}
		}
	}
	slices.SortFunc(usable, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	reason := o.adviceReason(s)
	if o.missingPlaces(s, usable) > 0 {
		o.adviser.waiting = append(o.adviser.waiting, s)
	}
	return usable, reason
}

// adviceReason returns why a step without tickets waits.
func (o *Orchestrator) adviceReason(s *step) string {
	d := &o.adviser
	switch {
	case d.request != nil && d.request.step == s:
		return fmt.Sprintf("the outside policy has been asked for %s", o.now.Sub(d.request.sentAt).Round(time.Millisecond))
	case o.now.Before(s.advice.retryAt) || o.now.Before(d.pausedUntil):
		return "the outside policy did not answer and is asked again"
	case !s.advice.searchedAt.IsZero():
		return "no worker that the outside policy may allow can run a task now"
	}
	return fmt.Sprintf("%d steps ask the outside policy first", len(d.waiting))
}

// waitingTask returns the task for which the step asks next, and how many tasks wait for a place. A step without waiting tasks asks for one
// that moves.
func (o *Orchestrator) waitingTask(s *step) (*task, int) {
	var first *task
	n := 0
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 {
			n++
			first = cmp.Or(first, t)
		}
	}
	if first == nil {
		return s.tasks[0], 1
	}
	return first, n
}

// places returns how many of n tasks alike can start on a worker now.
func (o *Orchestrator) places(t *task, w *worker, n int) int {
	if !o.fits(t, w) {
		return 0
	}
	size, free := t.step.countedSize(), w.free()
	for _, r := range [][2]int{{free.CPU, size.CPU}, {free.Memory, size.Memory}, {free.GPU, size.GPU}} {
		if r[1] > 0 {
			n = min(n, r[0]/r[1])
		}
	}
	if t.step.MaxPerWorker > 0 {
		n = min(n, t.step.MaxPerWorker-w.countStep(t.step))
	}
	return n
}

// missingPlaces returns how many of the step's tasks can't start on the workers with tickets.
func (o *Orchestrator) missingPlaces(s *step, ticketed []*worker) int {
	t, missing := o.waitingTask(s)
	for _, w := range ticketed {
		if missing <= 0 {
			break
		}
		missing -= o.places(t, w, missing)
	}
	return max(0, missing)
}

// askNext sends the request of the most urgent step that can use an answer, unless one is not answered.
func (o *Orchestrator) askNext() {
	d := &o.adviser
	for len(d.waiting) > 0 && d.request == nil && !o.now.Before(d.pausedUntil) && !o.leaving && !o.steppedDown {
		s := d.waiting[0]
		d.waiting = d.waiting[1:]
		o.ask(s)
	}
}

// ask requests tickets for workers on which waiting tasks of a step can start now, if there are any.
func (o *Orchestrator) ask(s *step) {
	a := &s.advice
	if !o.ready[s] || o.now.Before(a.retryAt) || o.stillWithoutRoom(s) {
		return
	}
	ws := o.workersToAskAbout(s)
	if len(ws) == 0 {
		a.searchedAt = o.now
		return
	}
	a.searchedAt = time.Time{}
	r := &adviceRequest{step: s, sentAt: o.now, incarnations: make(map[string]int64, len(ws))}
	names := make([]string, len(ws))
	for i, w := range ws {
		names[i], r.incarnations[w.ID] = w.ID, w.incarnation
	}
	o.adviser.request = r
	p := s.occurrence.job.Policy
	expected := p.AdviceTime + time.Duration(len(ws))*p.AdviceTimePerWorker
	o.emit(RequestAdvice{Step: s.adviceName(), Workers: names, Timeout: minAdviceTimeout + adviceTimeoutFactor*expected})
}

// stillWithoutRoom reports whether a step has found no worker to ask about within adviceSearchInterval, and none of its tasks fits on the workers
// that have changed lately. A less urgent step that searches next would take their room otherwise.
func (o *Orchestrator) stillWithoutRoom(s *step) bool {
	if at := s.advice.searchedAt; at.IsZero() || o.now.Sub(at) >= adviceSearchInterval {
		return false
	}
	t, n := o.waitingTask(s)
	changed := func(w *worker) bool { return w.Service == s.occurrence.job.Policy.Service && o.places(t, w, n) > 0 }
	return !slices.ContainsFunc(o.lastChanged, changed) && !slices.ContainsFunc(o.changed, changed)
}

// adviceCandidate is a worker about which a step may ask the outside policy.
type adviceCandidate struct {
	worker  *worker
	allowed bool // it was allowed before
	places  int  // tasks that can start there
	score   float64
}

// workersToAskAbout returns the workers that a request of a step names. If a task fits on none, these are workers where room can be made for
// it: that is done only where it may start.
func (o *Orchestrator) workersToAskAbout(s *step) []*worker {
	t, missing := o.waitingTask(s)
	suitable, _ := o.suitableWorkers(o.currentSurvey(), s)
	var candidates []adviceCandidate
	reachable := 0    // places if the policy allows all candidates
	ticketed := false // a task has a ticket for a worker where it fits
	for _, w := range suitable {
		n := o.places(t, w, missing)
		if n <= 0 {
			continue
		}
		if s.advice.ticket(w, o.now) != "" {
			missing -= n
			ticketed = true
			continue
		}
		reachable += n
		answer, _ := s.advice.on(w)
		candidates = append(candidates, adviceCandidate{w, answer.allowed, n, o.scoreWorker(t, w)})
	}
	switch {
	case missing <= 0 || s.Gang && reachable < missing:
		return nil
	case len(candidates) == 0 && !ticketed:
		candidates, missing = o.withRoomToMake(t, suitable), 1
	}
	return o.likelyToSuffice(s, candidates, missing)
}

// withRoomToMake returns the workers on which runs of lower priority can be stopped for a task, or which can be reserved for it. It returns
// none if the task has a ticket for one of them.
func (o *Orchestrator) withRoomToMake(t *task, suitable []*worker) []adviceCandidate {
	s := t.step
	waited := o.now.Sub(t.waitingSince)
	reserves := s.LongRunning && waited >= longRunningMaxWait && o.enabled(MechanismReservations)
	preempts := o.mayPreempt(t)
	if s.Fills || s.Gang || len(t.runs) > 0 || !preempts && !reserves {
		return nil
	}
	var candidates []adviceCandidate
	for _, w := range suitable {
		if ok, _ := o.usable(w); !ok || o.reservedForOther(w, t) || o.restriction(t, w) != obstacleNone ||
			!(reserves && w.freeAfterShortTasks().covers(s.countedSize()) || preempts && o.victimsOn(w, t) != nil) {
			continue
		}
		if s.advice.ticket(w, o.now) != "" {
			return nil
		}
		answer, _ := s.advice.on(w)
		candidates = append(candidates, adviceCandidate{w, answer.allowed, 1, o.scoreWorker(t, w)})
	}
	return candidates
}

// likelyToSuffice returns as many of the candidates as a step's tasks without a place probably need, because the policy takes longer for
// each. Workers that were allowed before go first, then those with the highest scores.
func (o *Orchestrator) likelyToSuffice(s *step, candidates []adviceCandidate, missing int) []*worker {
	slices.SortStableFunc(candidates, func(a, b adviceCandidate) int {
		if a.allowed != b.allowed {
			if a.allowed {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	share := o.stats(s.occurrence.job.Policy.Queue).allowedShare()
	limit := maxAdviceWorkers
	if !o.enabled(MechanismAdviceByNeed) {
		limit = untargetedAdviceWorkers
	}
	var ws []*worker
	expected, variance := 0.0, 0.0 // of the places on the named workers
	for _, c := range candidates {
		if len(ws) == limit || o.enabled(MechanismAdviceByNeed) && expected-math.Sqrt(variance) >= float64(missing) {
			break
		}
		p := share
		if c.allowed {
			p = 1
		}
		n := float64(min(c.places, missing))
		expected, variance = expected+p*n, variance+p*(1-p)*n*n
		ws = append(ws, c.worker)
	}
	return ws
}

// allowedShare returns the expected share of the workers that the outside policy allows for a step of the queue.
func (q *queueStats) allowedShare() float64 { return (q.allowed + 1) / (q.asked + 2) }

// countAllowed counts the answers on workers about which the outside policy was asked for the first time.
func (q *queueStats) countAllowed(asked, allowed int) {
	q.asked, q.allowed = q.asked+float64(asked), q.allowed+float64(allowed)
	if q.asked > maxAllowedSamples {
		q.asked, q.allowed = q.asked/2, q.allowed/2
	}
}

// adviceAnswered applies an answer of the outside policy, or notes that there is none, and sends the next request.
func (o *Orchestrator) adviceAnswered(e AdviceAnswered) {
	d := &o.adviser
	r := d.request
	if r == nil || r.step.adviceName() != e.Step {
		return
	}
	d.request = nil
	o.passDue = true
	took := o.now.Sub(r.sentAt)
	a := &r.step.advice
	job := r.step.occurrence.job
	if e.Failed {
		a.failures++
		pause := min(adviceRetryInterval<<min(a.failures-1, 10), maxAdviceRetryInterval)
		a.retryAt, d.pausedUntil = o.now.Add(pause), o.now.Add(adviceRetryInterval)
		o.emit(Note{Event: EventAdvice, Job: job.ID, Task: e.Step, Outcome: "no answer", Age: took,
			Figures: fmt.Sprintf("Workers=%d Failures=%d RetryAfter=%s Waiting=%d", len(e.Asked), a.failures, pause, len(d.waiting))})
		return
	}
	a.failures = 0
	if a.answers == nil {
		a.answers = make(map[string]policyAnswer, len(e.Asked))
	}
	end := o.now
	if !e.AnsweredAt.IsZero() {
		end = e.AnsweredAt
	}
	end = end.Add(e.Valid - min(ticketValidityMargin, e.Valid/2))
	asked, allowed := 0, 0
	for _, id := range e.Asked {
		ticket, ok := e.Tickets[id]
		if former, known := a.answers[id]; !known || former.incarnation != r.incarnations[id] {
			asked++
			if ok {
				allowed++
			}
		}
		a.answers[id] = policyAnswer{incarnation: r.incarnations[id], allowed: ok, ticket: ticket, ticketEnd: end}
	}
	o.stats(job.Policy.Queue).countAllowed(asked, allowed)
	o.emit(Note{Event: EventAdvice, Job: job.ID, Task: e.Step, Outcome: fmt.Sprintf("%d of %d workers allowed", len(e.Tickets), len(e.Asked)), Age: took,
		Figures: fmt.Sprintf("Valid=%s Waiting=%d", end.Sub(o.now).Round(time.Millisecond), len(d.waiting))})
	o.askNext()
}
