package orchestrator_test

import (
	"maps"
	"slices"
	"time"

	"peridotpitch/internal/orchestrator"
)

// poll sends one poll of the leader to a worker and passes the result to the leader.
func (l *simulatedLeader) poll(k *simulatedWorker) {
	w := l.w
	r, ok := l.o.NextPoll(k.entry.ID, w.now)
	if !ok || l.deposed || l.frozen || k.waitsFor == l {
		return
	}
	if k.dead || k.unreachableFrom[l] {
		l.step(orchestrator.PollFailed{Worker: k.entry.ID})
		return
	}
	if k.replaced {
		l.step(orchestrator.PollFailed{Worker: k.entry.ID, Replaced: true})
		return
	}
	if l.epoch < k.fence {
		l.step(orchestrator.PollFailed{Worker: k.entry.ID, Fenced: true})
		return
	}
	k.fence = l.epoch
	if r.LeaseEnd > 0 {
		k.leaseEnd = max(k.leaseEnd, min(r.LeaseEnd, k.clock(w.now)+10*time.Second))
	}
	k.acknowledge(w, r.AckedThrough)
	a := orchestrator.PollAnswered{Worker: k.entry.ID, Incarnation: k.incarnation, Clock: k.clock(w.now), SentAt: w.now, ReceivedAt: w.now}
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
