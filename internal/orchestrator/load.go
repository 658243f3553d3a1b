package orchestrator

import (
	"fmt"
	"time"
)

// loadNoteInterval is the shortest time between two notes on the load of all workers.
const loadNoteInterval = time.Second

// noteLoad notes the capacity and the use of the usable workers and the size of the queue.
func (o *Orchestrator) noteLoad() {
	var cores, counted, latencyCritical, bestEffort, unused, usable int
	for _, w := range o.workersByID() {
		if ok, _ := o.usable(w); !ok {
			continue
		}
		usable++
		cores += w.Capacity.CPU
		counted += w.used.CPU - w.load.latencyCritical
		latencyCritical += w.load.latencyCritical
		bestEffort += w.load.bestEffort
		unused += max(0, w.unusedCPU())
	}
	waiting, cpu := 0, 0
	for s := range o.ready {
		for _, t := range s.tasks {
			if !t.done && len(t.runs) == 0 {
				waiting++
				cpu += s.Size.CPU
			}
		}
	}
	o.emit(Note{Event: EventLoad, Figures: fmt.Sprintf("Workers=%d Cores=%d Counted=%d Serving=%d Filling=%d Unused=%d Jobs=%d WaitingTasks=%d WaitingCores=%d Passes=%d Starts=%d Scored=%d PutOffSteps=%d",
		usable, cores/1000, counted/1000, latencyCritical/1000, bestEffort/1000, unused/1000, len(o.jobs), waiting, cpu/1000,
		o.work.passes, o.work.starts, o.work.scored, o.work.putOffSteps)})
	o.work = passWork{}
}

// passWork is the work of the scheduling passes since the last note on the load.
type passWork struct {
	passes      int
	starts      int
	scored      int // checks whether a task may start on a worker
	putOffSteps int // ready steps that a pass left to the next one, because it had reached maxStartsPerPass
}
