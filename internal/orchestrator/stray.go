package orchestrator

import (
	"slices"
	"time"
)

// strayRun is a run that a worker lists and the leader does not keep, see adopt. Until the worker no longer lists it, its stop is
// sent with each answer to a poll that lists it, and in between if it got no answer: a worker may hold a poll for seconds.
type strayRun struct {
	key      runKey
	sentAt   time.Time // of the last stop
	inFlight bool      // the last stop is sent and not answered
	acked    bool      // the last stop was answered
}

func (w *worker) findStray(k runKey) *strayRun {
	i := slices.IndexFunc(w.strays, func(s *strayRun) bool { return s.key == k })
	if i < 0 {
		return nil
	}
	return w.strays[i]
}

// stopStray stops a run that the leader does not keep.
func (o *Orchestrator) stopStray(w *worker, k runKey) {
	s := w.findStray(k)
	if s == nil {
		s = &strayRun{key: k}
		w.strays = append(w.strays, s)
	}
	o.sendStrayStop(w, s)
}

func (o *Orchestrator) sendStrayStop(w *worker, s *strayRun) {
	s.inFlight, s.acked, s.sentAt = true, false, o.now
	o.emit(StopRun{Worker: w.ID, Task: s.key.task, Run: s.key.number})
}

func (o *Orchestrator) strayStopAnswered(e StopAnswered) {
	w := o.workers[e.Worker]
	if w == nil {
		return
	}
	s := w.findStray(runKey{e.Task, e.Run})
	if s == nil {
		return
	}
	s.inFlight, s.acked = false, e.Answered
	if !e.Answered {
		o.emit(Note{Event: EventStopUnanswered, Task: e.Task, Run: e.Run, Worker: e.Worker, Age: o.now.Sub(s.sentAt)})
	}
}

// resendStrayStops sends the stops that got no answer again.
func (o *Orchestrator) resendStrayStops(w *worker) {
	if w.unreachable || !w.runsKnown {
		return
	}
	for _, s := range w.strays {
		if !s.inFlight && !s.acked && o.now.Sub(s.sentAt) >= resendInterval {
			o.emit(Note{Event: EventResend, Task: s.key.task, Run: s.key.number, Worker: w.ID, Outcome: "stop", Age: o.now.Sub(s.sentAt)})
			o.sendStrayStop(w, s)
		}
	}
}

// forgetStrays drops the runs that the worker no longer lists.
func (w *worker) forgetStrays(rows []RunningRun) {
	if len(w.strays) == 0 {
		return
	}
	listed := make(map[runKey]bool, len(rows))
	for _, row := range rows {
		listed[runKey{row.Task, row.Run}] = true
	}
	w.strays = slices.DeleteFunc(w.strays, func(s *strayRun) bool { return !listed[s.key] || w.runByKey[s.key] != nil })
}
