package coordinator

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

// startWait is how long a task with a free worker waits at most: the answers to lost commands, a poll and a few passes.
const startWait = 5 * time.Second

// movedWorkers are the ways in which a worker is listed at another address.
var movedWorkers = map[string]func(m *memoryWorkers){
	"the same process":         func(*memoryWorkers) {},
	"it has started once more": func(m *memoryWorkers) { m.restart("w000", 800*time.Millisecond) },
}

// blockedWorker returns a leader of one worker that runs a task of the job j1, and whose senders of commands wait for answers to two
// starts of j2 until the returned channel is read.
func blockedWorker(t *testing.T) (lateLeader, func(), <-chan struct{}) {
	t.Helper()
	is := is.New(t)
	processor := make(chan struct{}, 1)
	l, closeLeader := newLateLeader(t, 1, newDelayedStore(8*time.Millisecond), &memoryWorkers{runTime: time.Minute, processor: processor})
	l.submit("j1", 1)
	time.Sleep(time.Second)
	is.Equal(l.workers.running("j1"), 1)
	processor <- struct{}{}
	l.submit("j2", commandSenders)
	time.Sleep(200 * time.Millisecond)
	return l, closeLeader, processor
}

// move lists the worker at another address.
func (l lateLeader) move() {
	e := workerEntry("w000")
	e.Address = netip.MustParseAddrPort("10.0.1.1:80")
	l.apply(orchestrator.WorkersListed{Workers: []orchestrator.WorkerEntry{e}, SentAt: timekeeper.Now()})
}

// The start of a task waits behind other commands when its worker is listed at another address. Guards against a task that
// never starts: its start vanished with the commands for the former address, and counted as sent for ever.
func TestQueuedStartSurvivesMoveOfWorker(t *testing.T) {
	for name, change := range movedWorkers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l, closeLeader, answers := blockedWorker(t)
				defer closeLeader()
				l.submit("j3", 1)
				time.Sleep(200 * time.Millisecond)
				change(l.workers)
				l.move()
				<-answers
				time.Sleep(startWait)
				is.Equal(l.workers.running("j3"), 1)
			})
		})
	}
}

// The stop of a cancelled job's task waits behind other commands when its worker is listed at another address. Guards against a
// task that goes on although its cancel was acknowledged: its stop vanished, and counted as sent for ever.
func TestQueuedStopSurvivesMoveOfWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, closeLeader, answers := blockedWorker(t)
		defer closeLeader()
		l.apply(orchestrator.CancelRequested{ID: "j1"})
		l.move()
		<-answers
		time.Sleep(visibleTime)
		is.Equal(l.workers.running("j1"), 0)
	})
}
