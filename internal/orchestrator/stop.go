package orchestrator

import (
	"fmt"
	"slices"
	"time"
)

// stop begins to stop a run. The run is removed once its worker lists its end.
func (o *Orchestrator) stop(r *run, reason string) {
	if r.phase == phaseStopping {
		return
	}
	r.phase, r.ackedAt, r.deferred = phaseStopping, time.Time{}, false
	o.emit(Note{Event: EventStop, Job: r.task.job().ID, Task: r.task.name, Run: r.number, Worker: r.worker.ID, Reason: reason,
		Age: o.now.Sub(r.startedAt), Figures: fmt.Sprintf("Percent=%d", r.progressPercent)})
	o.sendStop(r)
}

func (o *Orchestrator) sendStop(r *run) {
	r.inFlight, r.sentAt = true, o.now
	o.emit(StopRun{Worker: r.worker.ID, Incarnation: r.worker.incarnation, Fence: r.worker.fence, Task: r.task.name, Run: r.number})
}

// stopRuns stops all runs of a task.
func (o *Orchestrator) stopRuns(t *task, reason string) {
	for _, r := range slices.Clone(t.runs) {
		o.stop(r, reason)
	}
}

func (o *Orchestrator) stopAnswered(e StopAnswered) {
	if e.Fenced && !o.fenceRaised(e.Worker, e.Fence) {
		o.stepDown("worker " + e.Worker + " has accepted a later leader")
		return
	}
	r := o.findRun(e.Worker, e.Task, e.Run)
	if r == nil {
		o.unwantedStopAnswered(e)
		return
	}
	if r.phase != phaseStopping {
		return
	}
	r.inFlight = false
	switch {
	case e.Fenced || e.Answered && e.Incarnation != r.worker.incarnation:
		return // not executed, or by a former process: resendCommands sends it again
	case e.Answered:
		r.ackedAt = o.now
		return
	}
	r.worker.unansweredAt, r.worker.fenceDue = o.now, true
	o.emit(Note{Event: EventStopUnanswered, Job: r.task.job().ID, Task: e.Task, Run: e.Run, Worker: e.Worker, Age: o.now.Sub(r.sentAt)})
}

// unwantedRun is a run that a worker lists and the leader does not keep, see adopt. Until the worker no longer lists it, its stop is
// sent with each answer to a poll that lists it, and in between if it got no answer: a worker may hold a poll for seconds.
type unwantedRun struct {
	key      runKey
	sentAt   time.Time // of the last stop
	inFlight bool      // the last stop is sent and not answered
	acked    bool      // the last stop was answered
}

func (w *worker) findUnwanted(k runKey) *unwantedRun {
	i := slices.IndexFunc(w.unwanted, func(s *unwantedRun) bool { return s.key == k })
	if i < 0 {
		return nil
	}
	return w.unwanted[i]
}

// stopUnwanted stops a run that the leader does not keep.
func (o *Orchestrator) stopUnwanted(w *worker, k runKey) {
	s := w.findUnwanted(k)
	if s == nil {
		s = &unwantedRun{key: k}
		w.unwanted = append(w.unwanted, s)
	}
	o.sendUnwantedStop(w, s)
}

func (o *Orchestrator) sendUnwantedStop(w *worker, s *unwantedRun) {
	s.inFlight, s.acked, s.sentAt = true, false, o.now
	o.emit(StopRun{Worker: w.ID, Incarnation: w.incarnation, Fence: w.fence, Task: s.key.task, Run: s.key.number})
}

func (o *Orchestrator) unwantedStopAnswered(e StopAnswered) {
	w := o.workers[e.Worker]
	if w == nil {
		return
	}
	s := w.findUnwanted(runKey{e.Task, e.Run})
	if s == nil {
		return
	}
	s.inFlight, s.acked = false, e.Answered && !e.Fenced && e.Incarnation == w.incarnation
	if !e.Answered && !e.Fenced {
		w.fenceDue = true
		o.emit(Note{Event: EventStopUnanswered, Task: e.Task, Run: e.Run, Worker: e.Worker, Age: o.now.Sub(s.sentAt)})
	}
}

// resendUnwantedStops sends the stops that got no answer again.
func (o *Orchestrator) resendUnwantedStops(w *worker) {
	if w.unreachable || !w.runsKnown {
		return
	}
	for _, s := range w.unwanted {
		if !s.inFlight && !s.acked && o.now.Sub(s.sentAt) >= resendInterval {
			o.emit(Note{Event: EventResend, Task: s.key.task, Run: s.key.number, Worker: w.ID, Outcome: "stop", Age: o.now.Sub(s.sentAt)})
			o.sendUnwantedStop(w, s)
		}
	}
}

// forgetUnwanted drops the runs that the worker no longer lists.
func (w *worker) forgetUnwanted(rows []RunningRun) {
	if len(w.unwanted) == 0 {
		return
	}
	listed := make(map[runKey]bool, len(rows))
	for _, row := range rows {
		listed[runKey{row.Task, row.Run}] = true
	}
	w.unwanted = slices.DeleteFunc(w.unwanted, func(s *unwantedRun) bool { return !listed[s.key] || w.runByKey[s.key] != nil })
}
