package orchestrator_test

import (
	"maps"
	"slices"
	"time"

	"peridotpitch/internal/orchestrator"
)

// poll sends one poll of the leader to a worker, which answers at once, and passes the result to the leader.
func (l *simulatedLeader) poll(k *simulatedWorker) {
	if _, ok := l.sendPoll(k); ok {
		l.answerPoll(k, l.w.now)
	}
}

// sendPoll sends a poll of the leader to a worker, and reports whether the worker will answer it.
func (l *simulatedLeader) sendPoll(k *simulatedWorker) (orchestrator.PollRequest, bool) {
	w := l.w
	r, ok := l.o.NextPoll(k.entry.ID, w.now)
	if !ok || l.deposed || l.frozen || k.waitsFor == l {
		return r, false
	}
	if k.dead || k.unreachableFrom[l] {
		l.step(orchestrator.PollFailed{Worker: k.entry.ID})
		return r, false
	}
	if k.replaced {
		l.step(orchestrator.PollFailed{Worker: k.entry.ID, Replaced: true})
		return r, false
	}
	if l.epoch < k.fence {
		l.step(orchestrator.PollFailed{Worker: k.entry.ID, Fenced: true})
		return r, false
	}
	k.fence = l.epoch
	if r.LeaseEnd > 0 {
		k.leaseEnd = max(k.leaseEnd, min(r.LeaseEnd, k.clock(w.now)+10*time.Second))
	}
	k.acknowledge(w, r.AckedThrough)
	return r, true
}

// answerPoll passes the worker's answer to a poll that was sent at a time to the leader.
func (l *simulatedLeader) answerPoll(k *simulatedWorker, sentAt time.Time) {
	w := l.w
	a := orchestrator.PollAnswered{Worker: k.entry.ID, Incarnation: k.incarnation, Clock: k.clock(w.now), SentAt: sentAt, ReceivedAt: w.now}
	for _, name := range slices.Sorted(maps.Keys(k.runs)) {
		run := k.runs[name]
		percent := 100
		if !run.persists {
			percent = min(99, int(100*w.now.Sub(run.startedAt)/max(1, run.endsAt.Sub(run.startedAt))))
		}
		if k.hangsTasks {
			percent = 1
		}
		a.Running = append(a.Running, orchestrator.RunningRun{Task: name, Run: run.number, Percent: percent, Figure: k.tailLatencyMs[name]})
	}
	k.reportedThrough = k.endCount
	for _, e := range k.ended {
		if e.Number <= k.ackedThrough {
			continue
		}
		if w.endsPerPoll > 0 && len(a.Ended) == w.endsPerPoll {
			k.reportedThrough = e.Number - 1
			break
		}
		a.Ended = append(a.Ended, e)
	}
	l.step(a)
}

// acknowledge records the ends that the leader acknowledges. Ends before the expiry of the
// lease do not count, because the leader may have expired their runs.
func (k *simulatedWorker) acknowledge(w *simulation, upto int) {
	for _, e := range k.ended {
		if e.Number > max(k.ackedThrough, k.endsBeforeExpiry) && e.Number <= upto {
			switch e.How {
			case orchestrator.EndDone:
				w.done[e.Task] = true
				if at := w.startedAt[e.Task]; at.After(k.endedAt[e.Number]) {
					w.t.Fatalf("%s: run %d of %s has ended as done on %s, acknowledged now, and another began %s later%s", w.elapsed(), e.Run, e.Task,
						k.entry.ID, at.Sub(k.endedAt[e.Number]), w.history(e.Task))
				}
			case orchestrator.EndFailed:
				w.failed[e.Task]++
			default:
			}
		}
	}
	k.ackedThrough = max(k.ackedThrough, upto)
}

// heldPoll is a poll that a worker answers when a run ends, and otherwise when the time that it may hold the poll is over.
type heldPoll struct {
	sentAt      time.Time
	until       time.Time
	incarnation int64 // of the worker that holds it
}

const (
	maxHeldPoll      = 3 * time.Second        // of a late leader, as in the product
	maxShortHeldPoll = time.Second            // if the answer is needed soon, as there
	pollRetryDelay   = 250 * time.Millisecond // after a failed poll, as there
	pollAckDelay     = 160 * time.Millisecond // after an answer with ends, which are to be stored first
)

// pollHeld answers the poll that a worker holds if it is time to, and sends the next one.
func (l *simulatedLeader) pollHeld(k *simulatedWorker) {
	w, id := l.w, k.entry.ID
	if h, ok := l.held[id]; ok {
		if k.dead || k.replaced || k.unreachableFrom[l] || k.incarnation != h.incarnation {
			delete(l.held, id)
			l.step(orchestrator.PollFailed{Worker: id, Replaced: k.replaced})
			l.nextPollAt[id] = w.now.Add(pollRetryDelay)
			return
		}
		ended := slices.ContainsFunc(k.ended, func(e orchestrator.EndedRun) bool { return e.Number > k.ackedThrough })
		if !ended && w.now.Before(h.until) {
			return
		}
		delete(l.held, id)
		l.answerPoll(k, h.sentAt)
		if ended {
			l.nextPollAt[id] = w.now.Add(pollAckDelay)
		}
	}
	if w.now.Before(l.nextPollAt[id]) {
		return
	}
	r, ok := l.sendPoll(k)
	if !ok {
		l.nextPollAt[id] = w.now.Add(pollRetryDelay)
		return
	}
	wait := w.holdPolls
	switch {
	case r.NoWait:
		wait = 0
	case r.ShortWait:
		wait = min(maxShortHeldPoll, wait/2)
	}
	l.held[id] = heldPoll{w.now, w.now.Add(wait), k.incarnation}
}
