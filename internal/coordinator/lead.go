package coordinator

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"peridotpitch/internal/admitter"
	"peridotpitch/internal/converter"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

const (
	// runLeaseDuration is the lease of a run, which each poll renews. The lease covers the time
	// from the failure of a leader until its successor has reached the workers. A longer
	// lease delays the restart of runs on a lost worker.
	runLeaseDuration = 6500 * time.Millisecond
	// leaderLeaseDuration bounds the leases that a leader without the store grants: none
	// ends later than this after the last confirmed write. A new leader waits as long before
	// it gives up runs on workers that it can't reach.
	leaderLeaseDuration = 8 * time.Second
	// headWriteInterval is the longest time between two writes of a leader, which serve as
	// its heartbeat in the store.
	headWriteInterval = 300 * time.Millisecond
	// writeBatchDelay is the pause after a write if unwritten changes remain that no caller
	// waits for. Changes that are made during the pause share the next write.
	writeBatchDelay = 90 * time.Millisecond
	// maxUrgentWrites is the number of writes that callers wait for and that the leader makes
	// without a pause, after a time with fewer writes.
	maxUrgentWrites = 4
	// maxBatchKeys limits the keys of records and jobs in one write. A transaction takes at most
	// 32 entries, of which two conditions, head, roster and statistics leave this many.
	maxBatchKeys = 27
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 60 * time.Millisecond
	// tickInterval is the interval of the Tick events that the orchestrator receives.
	tickInterval = 50 * time.Millisecond
	// minLoggedLag is the lag from which a leader counts as behind. Other hosts elect another one
	// when it has neither answered nor written for silentElectionTimeout.
	minLoggedLag   = 500 * time.Millisecond
	lagLogInterval = 2 * time.Second
	// inputPollInterval is the interval at which the leader reads new jobs and cancel
	// requests from the store, in case a notice was lost.
	inputPollInterval = time.Second
	// workerWatchTimeout is how long one watch of the list of workers lasts.
	workerWatchTimeout = 2 * time.Second
	// workerWatchPause is the shortest time between two watches of the list. Each worker rewrites its entry every second or two:
	// a watch for each of these changes would cost a leader of 1,100 workers 200 calls a second.
	workerWatchPause = 50 * time.Millisecond
	// workerWatchRetryDelay is the pause after a failed watch or read of the list.
	workerWatchRetryDelay = 200 * time.Millisecond
	// workerRelistInterval is the interval at which the whole list is read again.
	workerRelistInterval = 6 * time.Second
	// The interval grows by relistPausePerWorker for each worker beyond relistedWorkers. The list of 3,000 workers
	// is large for a weak host to read, and changes come by the watch.
	relistedWorkers      = 1000
	relistPausePerWorker = 6 * time.Millisecond
	// loadRetryDelay is the pause after a failed read of the state that earlier leaders stored.
	loadRetryDelay = 100 * time.Millisecond
	// pendingCacheTime is how long a count of pending jobs is kept. Each ping asks for it, and a count goes through
	// all jobs. Together with maxPendingAge it is below the 2 s that the platform allows.
	pendingCacheTime = 100 * time.Millisecond
	// campaignPauseAfterPanic is how long a host does not campaign after its leadership has ended
	// with a panic, so that another host leads, whose program may have another version.
	campaignPauseAfterPanic = 5 * time.Second
)

// leadership is the state of this host as leader during one term.
type leadership struct {
	c           *Coordinator
	term        term
	cancel      context.CancelFunc
	done        chan struct{} // closed when run has returned
	writeWakeup chan struct{} // makes runWriter write at once
	electedAt   time.Time     // when this host learned that it had won the election
	lagLoggedAt time.Time     // of the last LeaderBehind; used by runTicker only
	processors  processorMeter
	runtime     runtimeMeter // used by runTicker only
	waits       waitMeter    // used by runTicker only
	hosts       hostTable
	firstPolls  *rate.Limiter // of workers that records don't name

	mu                 sync.Mutex // guards the fields below
	orch               *orchestrator.Orchestrator
	loaded             bool // the state of earlier leaders has been read
	handingOver        bool // handOver has begun: no more commands are sent
	failed             bool // the orchestrator has panicked: its state must not be used
	yielding           bool // yieldTo has begun a hand-over
	startsSent         bool // a start of a task has been emitted
	inheritedHandedOff bool // the earlier leader handed over cleanly
	pollers            map[string]*poller
	ackWatches         map[string]chan struct{} // see watchAck
	pendingJobs        map[string]int           // result of orch.Pending at pendingAt; replaced, never changed
	pendingAt          time.Time
	work               workMeter
	eventWaits         eventWaitMeter
	lastOutlook        admitter.Outlook // as of outlookMeasuredAt
	outlookKnown       bool             // lastOutlook is set
	outlookMeasuredAt  time.Time
	expiredCancels     []orchestrator.RemoveCancel // not removed from the store yet

	decodedWorkers map[string]decodedWorker // of the last list, by key; used by watchWorkers only

	evacuations evacuationList           // used by load, and then by watchEvacuations only
	evacuated   atomic.Pointer[[]string] // evacuated failure domains, sorted; nil: not read
	// evacuationsCheckedAt is the last timekeeper time at which evacuated is known to have been complete, Unix ns.
	evacuationsCheckedAt atomic.Int64

	deposed           atomic.Bool  // another host has been elected: nothing is sent any more
	lag               atomic.Int64 // how late this leader was at the last Tick, ns; see measureLag
	meanLag           atomic.Int64 // moving average of lag, ns
	lastConfirmedSent atomic.Int64 // timekeeper time at which the last confirmed write was sent, in Unix ns

	commands     commandMeter
	writes       writeMeter
	writeMu      sync.Mutex    // held during writes of the leader; guards the fields below
	headRevision uint64        // revision of keyHead
	writeTime    time.Duration // of the last confirmed write of head, until the store's answer
}

// startLeadership makes this host the leader of term t. The leadership ends when another
// host is elected. sent is when the election was sent to the store.
func (c *Coordinator) startLeadership(ctx context.Context, t term, handedOff bool, sent time.Time) {
	inner, cancel := context.WithCancel(ctx)
	ld := &leadership{
		c: c, term: t, cancel: cancel, done: make(chan struct{}), writeWakeup: make(chan struct{}, 1),
		orch:    orchestrator.New(c.orchestratorSettings(t, sent, timekeeper.Now())),
		pollers: make(map[string]*poller), headRevision: t.Revision, electedAt: timekeeper.Now(), inheritedHandedOff: handedOff,
		firstPolls: rate.NewLimiter(firstPollRate(c.settings.ProcessorShare), firstPollsAtOnce),
	}
	ld.lastConfirmedSent.Store(sent.UnixNano())
	ld.evacuations.revision = t.Revision // reads from before the election are out of date
	c.mu.Lock()
	c.term, c.termKnown, c.leadership = t, true, ld
	c.mu.Unlock()
	c.metrics.leading.Set(1)
	go func() {
		defer close(ld.done)
		ld.run(inner, handedOff)
		cancel()
		c.mu.Lock()
		c.leadership = nil
		c.mu.Unlock()
		c.metrics.leading.Set(0)
		c.metrics.evacuated.Set(0)
	}()
}

// firstPollRate returns the rate at which a leader with a processor share begins to poll workers. A leader whose share is
// unknown is not paced.
func firstPollRate(processorShare float64) rate.Limit {
	if processorShare <= 0 {
		return rate.Inf
	}
	return rate.Limit(firstPollsPerCore * processorShare)
}

func (ld *leadership) run(ctx context.Context, handedOff bool) {
	inputRevision, err := ld.load(ctx, handedOff)
	if err != nil {
		ld.c.log.Warn("LeadershipEnded", "Epoch", ld.term.Revision, "Cause", err.Error())
		return
	}
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { ld.runWriter(inner); return nil })
	group.Go(func() error { ld.pollInputs(inner, inputRevision); return nil })
	group.Go(func() error { ld.watchWorkers(inner); return nil })
	group.Go(func() error { ld.watchEvacuations(inner); return nil })
	group.Go(func() error { ld.removeCancels(inner); return nil })
	group.Go(func() error { ld.runTicker(inner); return nil })
	if err := group.Wait(); err != nil {
		ld.c.log.Error("LeadershipEnded", "Epoch", ld.term.Revision, "Cause", err.Error())
	}
	ld.mu.Lock()
	for _, p := range ld.pollers {
		p.cancel()
	}
	ld.mu.Unlock()
}

// apply passes an event to the orchestrator and executes the resulting actions.
func (ld *leadership) apply(e orchestrator.Event) {
	arrived := time.Now()
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.failed || ld.deposed.Load() {
		return
	}
	begin := time.Now()
	ld.eventWaits.add(begin.Sub(arrived))
	defer func() { ld.work.record(orchestrator.EventKind(e), begin.Sub(arrived), time.Since(begin)) }()
	defer ld.recoverPanic(e)
	for _, a := range ld.orch.Apply(e, timekeeper.Now()) {
		ld.execute(a)
	}
}

// depose ends the leadership because another host has been elected. found is the revision of the newer
// term, 0 if it is unknown.
func (ld *leadership) depose(reason string, found uint64) {
	if ld.deposed.Swap(true) {
		return
	}
	ld.c.log.Warn("StepDown", "Epoch", ld.term.Revision, "Reason", reason, "Found", found)
	ld.cancel()
}

// recoverPanic ends the leadership after a panic of the orchestrator, whose state may be
// inconsistent then. The host goes on serving callers, and another one leads. ld.mu must be held.
func (ld *leadership) recoverPanic(e orchestrator.Event) {
	p := recover()
	if p == nil {
		return
	}
	ld.failed = true
	ld.c.metrics.panics.Inc()
	ld.c.campaignPausedUntil.Store(timekeeper.Now().Add(campaignPauseAfterPanic).UnixNano())
	ld.c.log.Error("LeaderPanicked", "Epoch", ld.term.Revision, "Event", fmt.Sprintf("%T", e), "Panic", fmt.Sprint(p),
		"Stack", string(debug.Stack()), "Outcome", "the leadership ends")
	ld.cancel()
}

// execute starts an action. ld.mu must be held.
func (ld *leadership) execute(a orchestrator.Action) {
	switch a := a.(type) {
	case orchestrator.StartRun:
		ld.c.metrics.taskStarts.Inc()
		ld.startsSent = true
		ld.enqueueCommand(a.Worker, a)
	case orchestrator.StopRun:
		ld.enqueueCommand(a.Worker, a)
	case orchestrator.ThrottleRun:
		ld.enqueueCommand(a.Worker, a)
	case orchestrator.StartPolling:
		ld.startPoller(a.Worker, a.Recorded)
	case orchestrator.StopPolling:
		ld.stopPoller(a.ID)
	case orchestrator.RequestAdvice:
		go ld.requestAdvice(a)
	case orchestrator.WriteSoon:
		ld.wakeWriter()
	case orchestrator.RemoveCancel:
		ld.expiredCancels = append(ld.expiredCancels, a)
	case orchestrator.StepDown:
		ld.depose(a.Reason, 0)
	case orchestrator.Note:
		ld.c.logDecision(a)
	}
}

func (ld *leadership) runTicker(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var lag time.Duration
	for {
		select {
		case due := <-t.C:
			ld.apply(orchestrator.Tick{WallOffset: timekeeper.WallOffset(), Lag: lag})
			lag = ld.measureLag(time.Since(due))
			ld.recordLag(lag)
			ld.outlook() // the averages need regular measurements
			ld.processors.sample(timekeeper.Now())
			ld.reportWork(timekeeper.Now())
		case <-ctx.Done():
			return
		}
	}
}

// measureLag returns how late this leader is at a Tick that was handled after delay: the longest of that delay, the wait of
// goroutines for a processor and the mean wait of events for the state machine since the last Tick. On a host whose processor is
// used up, hundreds of answers wait for the state machine at once, while the Tick waits for its turn only.
func (ld *leadership) measureLag(delay time.Duration) time.Duration {
	ld.mu.Lock()
	waited := ld.eventWaits.take()
	ld.mu.Unlock()
	return max(delay, ld.waits.lag(), waited)
}

// lagWeight is the weight of one measurement in the average of the leader's lag: about the last second counts.
const lagWeight = 0.05

// averageLag returns the moving average of the leader's lag after a measurement.
func averageLag(average, lag time.Duration) time.Duration {
	return average + converter.Scale(lag-average, lagWeight)
}

// recordLag records how late this leader is, and logs it if it is behind.
func (ld *leadership) recordLag(lag time.Duration) {
	ld.lag.Store(int64(lag))
	ld.meanLag.Store(int64(averageLag(time.Duration(ld.meanLag.Load()), lag)))
	ld.c.metrics.leaderLag.Set(lag.Seconds())
	if lag < minLoggedLag || time.Since(ld.lagLoggedAt) < lagLogInterval {
		return
	}
	ld.lagLoggedAt = time.Now()
	ld.c.log.Warn("LeaderBehind", "Epoch", ld.term.Revision, "Lag", lag.Round(time.Millisecond).String(),
		"Outcome", "scheduling passes wait for as long")
}

// handleNotice applies a job or cancel request that another host has stored, and reports whether this leader will act on it. A
// job of another term is ignored here; load or pollInputs finds it.
func (ld *leadership) handleNotice(n notice) bool {
	applied := false
	if n.Job != nil && n.Epoch == ld.term.Revision {
		if err := n.Job.Validate(); err != nil {
			ld.c.log.Error("JobUnreadable", "Key", prefixJob+n.Job.ID, "Cause", err.Error())
			return false
		}
		ld.apply(orchestrator.JobAccepted{Job: *n.Job, Revision: n.Revision})
		applied = true
	}
	if n.Cancel != "" {
		ld.apply(orchestrator.CancelRequested{ID: n.Cancel, Source: orchestrator.CancelNotice})
		applied = true
	}
	return applied && ld.acts()
}

// acts reports whether this leader still acts on what it is told. None of the states that it checks ever ends, so that an event
// applied before took effect.
func (ld *leadership) acts() bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return !ld.failed && !ld.handingOver && !ld.deposed.Load()
}

// state returns a job's state, whether the job is known, and whether this leader has
// loaded all jobs and is not handing over.
func (ld *leadership) state(id string) (orchestrator.State, bool, bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	s, known := ld.orch.State(id)
	return s, known, ld.loaded && !ld.handingOver && !ld.failed && !ld.deposed.Load()
}

// pending returns the number of pending jobs by queue. It returns nil before all jobs are
// loaded, during a hand-over, and if the leadership has not been confirmed for maxPendingAge: after
// a pause of the process, another host may lead and count.
func (ld *leadership) pending() map[string]int {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded || ld.handingOver || ld.failed || ld.deposed.Load() || ld.timeSinceConfirmedWrite() > maxPendingAge {
		return nil
	}
	if now := timekeeper.Now(); ld.pendingJobs == nil || now.Sub(ld.pendingAt) >= pendingCacheTime {
		ld.pendingJobs, ld.pendingAt = ld.orch.Pending(), now
	}
	return ld.pendingJobs
}
