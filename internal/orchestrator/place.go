package orchestrator

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// nearWait is how long a task waits for the rack of its data before it runs
	// elsewhere, as a share of its expected run time.
	nearWait = 0.5
	// servingShare is the part of its processors that a task with a latency target
	// uses on average; the rest is left to tasks that fill.
	servingShare = 0.45
	// fillShare is the part of its declared processors that must be unused on a worker
	// before a task that fills starts there.
	fillShare = 0.7
	// starveAfter is how long a job that fills may have nothing running. The platform
	// takes a job as lost after 3 s.
	starveAfter = 2 * time.Second
	// lastingWait is how long a long-running task may be away before it goes before
	// others and takes the last room. While workers are missing, short jobs that would be
	// late are worth more than seconds of its work; the platform takes a task as lost
	// after 7 s.
	lastingWait = 4500 * time.Millisecond
	// reserve is the share of the processors that is kept for short jobs meanwhile.
	reserve = 0.08
	// noteEvery bounds how often a step's reason for waiting is noted.
	noteEvery = 2 * time.Second
	// passEvery is the pause between two passes. Answers of workers come in faster.
	passEvery = 15 * time.Millisecond
	// passPerStep lengthens the pause with the queue: passes are to take at most a few
	// hundredths of a core.
	passPerStep = 100 * time.Microsecond
	// maxRated bounds the workers that are rated for one task. With 2,700 workers a rating of
	// all took milliseconds for each start; the best of 300 is nearly as good.
	maxRated = 300
	// passLimit bounds the starts of one pass, so that a burst does not delay looks.
	passLimit = 160
)

// Weights of a worker's score. Free room counts from 0 to 1.
const (
	weightNear     = 2.0 // rack of the data, or of the step's other tasks
	weightFailedOn = 5.0 // an earlier run of the task failed there
	weightSlow     = 0.7 // for each multiple of the expected run time
	weightWarmup   = 0.3
	weightReserve  = 0.2 // fillers that disturb nobody on workers without latency targets
	weightImage    = 1.5 // other images with a latency target on the worker
	weightBeside   = 4.0 // utilization that fillers add for tasks with a latency target
)

// lateMargin is the utilization that must be left for tasks with a latency target beside
// fillers whose jobs are late: they are worth less than the harm that they may do.
const lateMargin = 0.03

// Prospects, the best first.
const (
	prospectTimely   prospect = "1 timely"   // it can meet its objective
	prospectLate     prospect = "2 late"     // it can end within lateFactor times its objective
	prospectHopeless prospect = "3 hopeless" // it must end all the same
)

// scheduleStep starts what it can of a step and returns the number of starts.
func (o *Orchestrator) scheduleStep(p *pass, s *step) int {
	if s.Gang {
		return o.scheduleGang(p, s)
	}
	plain := o.plain(s)
	if plain && p.hopeless(s) {
		o.noteWait(s, "no worker has room")
		return 0
	}
	starts := 0
	var workers []*worker
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 {
			continue
		}
		if reason := o.held(p, t); reason != "" {
			o.noteWait(s, reason)
			continue
		}
		if workers == nil {
			var reason string
			if workers, reason = o.candidatesOf(p, s); len(workers) == 0 {
				o.noteWait(s, reason)
				return starts
			}
		}
		w, score := o.choose(t, workers)
		if w == nil {
			if plain {
				p.refused[s.occurrence.job.Policy.Service+"/"+s.Image] = s.Size
			}
			if !o.preempt(t, workers) {
				o.noteWait(s, o.hold(t, workers))
			}
			return starts
		}
		o.launch(t, w, t.nextRun, score)
		starts++
	}
	return starts
}

func (o *Orchestrator) launch(t *task, w *worker, number int, score float64) {
	s := t.step
	if s.rack == "" {
		s.rack = w.Rack
	}
	o.do(Note{Event: EventStart, Job: t.job().ID, Task: t.name, Run: number, Worker: w.ID, Age: o.silence(w),
		Figures: fmt.Sprintf("Score=%.2f FreeCores=%.1f Waited=%s", score, float64(w.free().CPU)/1000, o.now.Sub(t.since).Round(time.Millisecond))})
	pace := o.startPace(s, w)
	o.try(s, w)
	r := o.start(t, w, number, s.advice.tickets[w.ID])
	r.wish, r.slowed = pace, pace < 100
	if w.probing {
		w.probe = r
	}
}

// held returns why a task can not start anywhere yet, empty if it can. An earlier
// leader may have started an inherited task on a worker that was not reached yet.
func (o *Orchestrator) held(p *pass, t *task) string {
	j := t.job()
	if !j.inherited || t.owned {
		return ""
	}
	for _, w := range p.unreached {
		if w.Service != j.Policy.Service && w.Service != "" {
			continue
		}
		if o.handedOff && !slices.Contains(t.inheritedWorkers, w.ID) {
			continue
		}
		return "worker " + w.ID + " was not reached yet and may run it"
	}
	return ""
}

// candidatesOf returns the candidates of a pass, which are the same for all steps of a
// service with the same label.
func (o *Orchestrator) candidatesOf(p *pass, s *step) ([]*worker, string) {
	if s.occurrence.job.Policy.Advised {
		return o.candidates(s)
	}
	key := s.occurrence.job.Policy.Service + "/" + s.RequiredLabel
	ws, ok := p.candidates[key]
	if !ok {
		ws, p.reasons[key] = o.candidates(s)
		p.candidates[key] = ws
	}
	return ws, p.reasons[key]
}

// candidates returns the workers that may run a step's tasks, or why there are none.
func (o *Orchestrator) candidates(s *step) ([]*worker, string) {
	j := s.occurrence.job
	var ws []*worker
	reason := "no worker of service " + j.Policy.Service + " is listed"
	for _, w := range o.ordered() {
		if w.Service != j.Policy.Service {
			continue
		}
		if s.RequiredLabel != "" && !slices.Contains(w.Labels, s.RequiredLabel) {
			reason = "no worker with label " + s.RequiredLabel + " can be used"
			continue
		}
		if ok, why := o.usable(w); !ok {
			reason = why
			continue
		}
		ws = append(ws, w)
	}
	if j.Policy.Advised && len(ws) > 0 {
		return o.advisedWorkers(s, ws)
	}
	return ws, reason
}

// sizeOn returns what a task must find free. The processors of tasks that fill do not
// count.
func (s *step) sizeOn() Resources {
	size := s.Size
	if s.Fills {
		size.CPU = 0
	}
	return size
}

// choose returns the best of the workers for a task, or nil. Of many workers only some are
// rated, unless the task has a rack to be near to; successive calls begin at different
// workers.
func (o *Orchestrator) choose(t *task, workers []*worker) (*worker, float64) {
	limit := len(workers)
	if t.step.RackAffinity == "" && !t.step.SameRack {
		limit = maxRated
	}
	var best *worker
	var most float64
	for i := range workers {
		if i >= limit && best != nil {
			break
		}
		w := workers[(o.firstRated+i)%len(workers)]
		if !o.fits(t, w) {
			continue
		}
		if score := o.score(t, w); best == nil || score > most {
			best, most = w, score
		}
	}
	if len(workers) > limit {
		o.firstRated += limit
	}
	return best, most
}

// fits reports whether a worker has room for a task.
func (o *Orchestrator) fits(t *task, w *worker) bool {
	s := t.step
	if o.now.Before(w.fullUntil) || w.probe != nil || w.heldFor != nil && w.heldFor != t && o.now.Before(w.heldUntil) {
		return false
	}
	if !w.free().covers(s.sizeOn()) || w.atLimit(s) {
		return false
	}
	if s.LongRunning && o.scarce && o.now.Sub(t.since) < lastingWait {
		return false
	}
	if s.RackAffinity != "" && w.Rack != s.RackAffinity {
		wait := time.Duration(nearWait * float64(s.expected(o.shape(s.occurrence.job.Policy.Queue).ratio)))
		if o.now.Sub(t.since) < wait && o.rackExists(s) {
			return false
		}
	}
	return !s.Fills || o.fillsInto(t, w)
}

// fillsInto reports whether a task that fills may start on a worker: where enough of the
// processors is unused, and where no tail is predicted to come near its target.
func (o *Orchestrator) fillsInto(t *task, w *worker) bool {
	if o.spare && o.starves(t.job()) {
		return true
	}
	if w.unused() < int(fillShare*float64(t.step.Size.CPU)) {
		return false // shared processors would make all their tasks late
	}
	if w.load.serving == 0 || o.harmless(t.step, w) {
		return true
	}
	// Slowed fillers are to run at full pace again: others would only join them.
	if w.pace < 100 {
		return false
	}
	switch left := o.besides(t.step, w); {
	case left < 0:
		return false
	case left >= lateMargin:
		return true
	}
	prospect, _ := o.outlast(t.step.occurrence)
	return prospect == prospectTimely
}

// starves reports whether a job has had nothing running for so long that one of its tasks
// must start even where it is slowed by others, if there is room at all.
func (o *Orchestrator) starves(j *job) bool {
	return j.runs == 0 && o.now.Sub(j.idleSince) > starveAfter
}

func (o *Orchestrator) rackExists(s *step) bool {
	for _, w := range o.ordered() {
		if w.Rack == s.RackAffinity && w.Service == s.occurrence.job.Policy.Service && w.listed && !w.failing {
			return true
		}
	}
	return false
}

// unused returns the millicores that other tasks probably leave to one that fills.
func (w *worker) unused() int {
	counted := w.used.CPU - w.load.serving
	return w.Room.CPU - counted - int(servingShare*float64(w.load.serving)) - w.load.filling
}

// free returns what no task holds of a worker.
func (w *worker) free() Resources { return w.Room.subtract(w.used) }

// atLimit reports whether no more of the step's tasks may run on the worker.
func (w *worker) atLimit(s *step) bool {
	return s.MaxPerWorker > 0 && w.countStep(s) >= s.MaxPerWorker
}

// countStep returns how many tasks of a step run on the worker.
func (w *worker) countStep(s *step) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// score rates a worker for a task; the highest wins.
func (o *Orchestrator) score(t *task, w *worker) float64 {
	s := t.step
	room := float64(max(1, w.Room.CPU))
	score := float64(w.unused()) / room
	switch {
	case s.Fills && w.load.serving > 0:
		score += weightBeside * o.besides(s, w)
	case s.Fills:
		score += weightBeside*pressureBudget - weightReserve*(1-o.disturbs(s))
	case s.LatencyTarget > 0:
		// Packed on few workers, so that others are left to fillers that disturb.
		score = float64(w.used.CPU)/room - weightBeside*o.endures(s, w) - weightImage*float64(o.strangers(s, w))
	}
	if s.RackAffinity != "" && s.RackAffinity == w.Rack || s.SameRack && s.rack == w.Rack {
		score += weightNear
	}
	if t.avoid[w.ID] {
		score -= weightFailedOn
	}
	if w.slow > 1 {
		score -= weightSlow * (w.slow - 1)
	}
	if w.Warmup > 0 {
		score -= weightWarmup
	}
	return score
}

// strangers returns the number of other images with a latency target on a worker. A
// filler must spare all images of a worker: the fewer each has, the more workers are left
// for each filler.
func (o *Orchestrator) strangers(s *step, w *worker) int {
	n := 0
	for _, k := range o.outlooks(w) {
		if k.image != s.Image {
			n++
		}
	}
	return n
}

// scheduleGang starts all tasks of a gang or none.
func (o *Orchestrator) scheduleGang(p *pass, s *step) int {
	number := 0
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 {
			return 0
		}
		if reason := o.held(p, t); reason != "" {
			o.noteWait(s, reason)
			return 0
		}
		number = max(number, t.nextRun)
	}
	workers, reason := o.candidatesOf(p, s)
	if len(workers) == 0 {
		o.noteWait(s, reason)
		return 0
	}
	plan := o.planGang(s, workers)
	if plan == nil {
		o.noteWait(s, "no set of workers has room for the whole gang")
		return 0
	}
	saved := ""
	for _, t := range s.tasks {
		saved = cmp.Or(saved, t.saved)
	}
	s.rack = plan[0].Rack
	for i, t := range s.tasks {
		t.saved = saved // one member's saved state is valid for all
		o.launch(t, plan[i], number, 0)
	}
	return len(s.tasks)
}

// planGang assigns workers to the members of a gang, on one rack where that is needed
// and possible. It returns nil if there is no room.
func (o *Orchestrator) planGang(s *step, workers []*worker) []*worker {
	if s.SameRack {
		racks := make(map[string][]*worker)
		for _, w := range workers {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
		var best []*worker
		for _, ws := range racks {
			plan := o.planMembers(s, ws)
			if plan != nil && (best == nil || plan[0].Rack == s.RackAffinity || plan[0].Rack < best[0].Rack && best[0].Rack != s.RackAffinity) {
				best = plan
			}
		}
		if best != nil || o.now.Sub(s.readyAt) < o.rackWait(s, racks) {
			return best
		}
	}
	return o.planMembers(s, workers)
}

// rackWait returns how long a gang waits for room on one rack: as long as running on
// several would take longer. It does not wait if no rack is large enough.
func (o *Orchestrator) rackWait(s *step, racks map[string][]*worker) time.Duration {
	for _, ws := range racks {
		fit := 0
		for _, w := range ws {
			n := s.Count
			if s.Size.CPU > 0 {
				n = w.Room.CPU / s.Size.CPU
			}
			if s.MaxPerWorker > 0 {
				n = min(n, s.MaxPerWorker)
			}
			fit += n
		}
		if fit >= s.Count {
			return time.Duration((o.settings.FarFactor - 1) * float64(s.expected(o.shape(s.occurrence.job.Policy.Queue).ratio)))
		}
	}
	return 0
}

func (o *Orchestrator) planMembers(s *step, workers []*worker) []*worker {
	taken := make(map[*worker]int, len(s.tasks))
	defer func() {
		for w, n := range taken {
			for range n {
				w.account(s.Step, -1)
			}
		}
	}()
	var plan []*worker
	for _, t := range s.tasks {
		free := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
			return s.MaxPerWorker > 0 && taken[w] >= s.MaxPerWorker
		})
		w, _ := o.choose(t, free)
		if w == nil {
			return nil
		}
		w.account(s.Step, 1)
		taken[w]++
		plan = append(plan, w)
	}
	return plan
}
