package orchestrator

import (
	"fmt"
	"time"
)

// loadNoteInterval is the shortest time between two notes on the load of all workers.
const loadNoteInterval = time.Second

// Load is the capacity and the use of the usable workers, and what waits. Figures of cores are
// rounded down.
type Load struct {
	Workers      int // usable ones
	Cores        int
	Counted      int // cores of tasks that are neither latency-critical nor best-effort
	Serving      int // cores of latency-critical tasks
	Filling      int // cores of best-effort tasks at full speed
	Unused       int
	Jobs         int // unfinished ones
	WaitingTasks int
	WaitingCores int
	// Scheduling passes, starts, checks whether a task may start on a worker, and ready steps that
	// a pass left to the next one, in the last interval of at least loadNoteInterval.
	Passes, Starts, Scored, PutOffSteps int
	PassTime                            time.Duration // of these passes
	RepeatedEnds                        int           // ends that workers listed again in that interval, because they were not acknowledged yet
	UnwrittenJobs                       int           // jobs with changes that are not in the store
	UnwrittenFor                        time.Duration // age of the oldest of these changes
	StartLimit                          int           // starts per second that can wait for urgent jobs; 0: no limit
	Samples                             int           // tail latencies that updated the interference model, in that interval
	PacedSteps                          int           // times that a pass left out a step because of that limit, in that interval
	AdviceWaiting                       int           // steps that wait for an answer of the outside policy, or for their turn to ask it
}

func (l Load) String() string {
	return fmt.Sprintf("Workers=%d Cores=%d Counted=%d Serving=%d Filling=%d Unused=%d Jobs=%d WaitingTasks=%d WaitingCores=%d Passes=%d Starts=%d Scored=%d PutOffSteps=%d PassTime=%s RepeatedEnds=%d UnwrittenJobs=%d UnwrittenFor=%s StartLimit=%d PacedSteps=%d Samples=%d AdviceWaiting=%d",
		l.Workers, l.Cores, l.Counted, l.Serving, l.Filling, l.Unused, l.Jobs, l.WaitingTasks, l.WaitingCores, l.Passes, l.Starts, l.Scored, l.PutOffSteps,
		l.PassTime.Round(time.Millisecond), l.RepeatedEnds, l.UnwrittenJobs, l.UnwrittenFor.Round(time.Millisecond), l.StartLimit, l.PacedSteps, l.Samples, l.AdviceWaiting)
}

// noteLoad notes the capacity and the use of the usable workers and the size of the queue.
func (o *Orchestrator) noteLoad() {
	o.lastWork, o.work = o.work, passWork{}
	o.emit(Note{Event: EventLoad, Figures: o.load().String()})
}

// load returns the present load, with the work of the passes before the last note.
func (o *Orchestrator) load() Load {
	l := Load{Jobs: len(o.jobs), AdviceWaiting: len(o.adviser.waiting), Passes: o.lastWork.passes, Starts: o.lastWork.starts, Scored: o.lastWork.scored, PutOffSteps: o.lastWork.putOffSteps,
		PassTime: o.lastWork.took, RepeatedEnds: o.lastWork.repeatedEnds, UnwrittenJobs: len(o.dirty),
		StartLimit: int(o.pacer.Limit()), PacedSteps: o.lastWork.pacedSteps, Samples: o.lastWork.samples}
	if o.adviser.request != nil {
		l.AdviceWaiting++
	}
	for _, j := range o.dirty {
		l.UnwrittenFor = max(l.UnwrittenFor, o.now.Sub(j.changedAt))
	}
	for _, w := range o.workers {
		if ok, _ := o.usable(w); !ok {
			continue
		}
		l.Workers++
		l.Cores += w.Capacity.CPU
		l.Counted += w.used.CPU - w.load.latencyCritical
		l.Serving += w.load.latencyCritical
		l.Filling += w.load.bestEffort
		l.Unused += max(0, w.unusedCPU())
	}
	for s := range o.ready {
		for _, t := range s.tasks {
			if !t.done && len(t.runs) == 0 {
				l.WaitingTasks++
				l.WaitingCores += s.Size.CPU
			}
		}
	}
	for _, millicores := range []*int{&l.Cores, &l.Counted, &l.Serving, &l.Filling, &l.Unused, &l.WaitingCores} {
		*millicores /= 1000
	}
	return l
}

// passWork is the work of the scheduling passes, and of answers that had to be read again, since the last note on the load.
type passWork struct {
	passes      int
	starts      int
	scored      int // checks whether a task may start on a worker
	pacedSteps  int // see Load.PacedSteps
	samples     int // see Load.Samples
	putOffSteps int // ready steps that a pass left to the next one, because it had reached maxStartsPerPass
	took        time.Duration
	// repeatedEnds is the number of ends that workers listed although they had been applied.
	repeatedEnds int
}
