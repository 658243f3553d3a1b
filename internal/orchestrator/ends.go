package orchestrator

import (
	"fmt"
	"time"
)

// markListed marks the runs that the answer to a poll lists as running.
func (w *worker) markListed(rows []RunningRun) {
	w.pollNumber++
	if w.firstPoll == 0 {
		w.firstPoll = w.pollNumber
	}
	for _, row := range rows {
		if r := w.runByKey[runKey{row.Task, row.Run}]; r != nil {
			r.listedIn, r.unlistedSince = w.pollNumber, 0
		}
	}
}

// noteListedEnd concludes from a newly listed end which ends have been listed. A worker lists a bounded number of ends, in the
// order of their numbers, and the others only once these are acknowledged, so that an end which is absent may still
// come. If the run was listed as running in an answer, or was sent after that answer, its end comes after all ends before
// that answer, and so all of them have been listed.
func (w *worker) noteListedEnd(row EndedRun) {
	if r := w.runByKey[runKey{row.Task, row.Run}]; r != nil {
		w.endsThrough = max(w.endsThrough, r.listedIn, r.sentAfter)
	}
}

// removeUnlisted removes the runs that a worker lists neither as running nor as ended, once all ends before the first such answer
// have been listed.
func (o *Orchestrator) removeUnlisted(w *worker, e PollAnswered) {
	waiting := 0
	for _, r := range w.unlisted(e) {
		if r.unlistedSince == 0 {
			r.unlistedSince = w.pollNumber
		}
		switch {
		case w.endsThrough < r.unlistedSince:
			waiting++
		case r.outlivedWorker:
			r.lostAt = o.now // see expireLostRuns
		default:
			o.emit(Note{Event: EventRunLost, Job: r.task.job().ID, Task: r.task.name, Run: r.number, Worker: w.ID,
				Outcome: string(lossUnlisted), Age: o.now.Sub(r.startedAt), Figures: fmt.Sprintf("Polls=%d", w.pollNumber-r.unlistedSince)})
			o.removeRun(r)
		}
	}
	if waiting > 0 && w.unaccounted == 0 {
		o.emit(Note{Event: EventEndsPending, Worker: w.ID, Outcome: "the runs are kept until all ends are listed",
			Figures: fmt.Sprintf("Unlisted=%d Running=%d Ended=%d Unacknowledged=%d", waiting, len(e.Running), len(e.Ended), len(w.unackedEnds))})
	}
	w.unaccounted = waiting
}

// unlisted returns the runs that the last poll's answer e does not list as running, although it would if they still ran.
func (w *worker) unlisted(e PollAnswered) []*run {
	var rs []*run
	for _, r := range w.runs {
		if r.listedIn != w.pollNumber && r.ackedBefore(e.SentAt) && r.lostAt.IsZero() {
			rs = append(rs, r)
		}
	}
	return rs
}

// ackedBefore reports whether the worker answered the run's last start or stop before t. If so,
// the answer to a poll that was sent at t lists the run if it still runs.
func (r *run) ackedBefore(t time.Time) bool {
	return !r.ackedAt.IsZero() && r.ackedAt.Before(t)
}
