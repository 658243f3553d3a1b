package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotpitch/internal/connector"
	"peridotpitch/internal/converter"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

const (
	// maxPollWait is how long a worker may hold a poll until a run ends. Each poll renews
	// the leases of the worker's runs.
	maxPollWait = 1000 * time.Millisecond
	// maxShortPollWait replaces maxPollWait while the worker's measurements are needed soon.
	// It is half of the period that the measurements cover.
	maxShortPollWait = 500 * time.Millisecond
	// A leader that is behind polls less often: from minStretchLag on, the interval between polls grows with its lag, to
	// maxPollStretch times its length at maxStretchLag. Leases last for twice the longest interval.
	minStretchLag  = 15 * time.Millisecond
	maxStretchLag  = 80 * time.Millisecond
	maxPollStretch = 3.0
	// maxPollHold is the longest time for which the platform lets workers hold a poll. The rest of a longer interval is a
	// pause before the next poll.
	maxPollHold = 2000 * time.Millisecond
	// maxStretchedShortWait bounds maxShortPollWait while the leader is behind. A task that is over its target must
	// be found within its caller's bound.
	maxStretchedShortWait = time.Second
	// firstPollsPerCore is the rate at which a leader begins to poll workers, for each core that it may use. If the
	// first poll of a worker takes 0.3 ms with its connection, first polls leave 40% of the processor to the store, to
	// other hosts and to runs.
	firstPollsPerCore = 2000
	// firstPollsAtOnce is the number of first polls that are not paced.
	firstPollsAtOnce = 100
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 250 * time.Millisecond
	// minAckWait is how long the next poll waits at least for the ended runs of the last one to be stored, if they are not
	// stored earlier.
	minAckWait = 160 * time.Millisecond
	// maxAckWaitDoublings bounds the doublings of minAckWait.
	maxAckWaitDoublings = 4
	// commandSenders is the number of concurrent commands to one worker.
	commandSenders = 2
	// commandQueueSize bounds the commands that wait for one worker.
	commandQueueSize = 256
)

// poller polls one worker and sends it commands.
type poller struct {
	ld     *leadership
	target Target
	ctx    context.Context
	cancel context.CancelFunc

	// queued holds an element if a command has been queued since the last poll was sent.
	queued chan struct{}

	mu       sync.Mutex // guards the fields below; taken after leadership.mu
	commands []command
	senders  int // goroutines that send commands; idle ones would take memory for each worker
}

// command is a command that waits to be sent.
type command struct {
	action    orchestrator.Action
	decidedAt time.Time
}

// maxStartDelay is the age from which a start is not sent any more. What was known of its worker when it was decided, for
// example that it is not draining, no longer holds then.
const maxStartDelay = 500 * time.Millisecond

// startPoller starts the poller of a worker. It replaces a poller of the same worker at
// another address.
// ld.mu must be held.
func (ld *leadership) startPoller(w orchestrator.WorkerEntry, recorded bool) {
	if p := ld.pollers[w.ID]; p != nil {
		if p.target.Address == w.Address {
			return
		}
		ld.replacePoller(p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &poller{ld: ld, target: Target{ID: w.ID, Address: w.Address}, ctx: ctx, cancel: cancel, queued: make(chan struct{}, 1)}
	ld.pollers[w.ID] = p
	go p.run(recorded)
}

// replacePoller cancels a poller whose worker gets another one, and reports its queued commands as not sent: the worker's runs
// remain, and the scheduler sends a command again only after an answer. ld.mu must be held.
func (ld *leadership) replacePoller(p *poller) {
	p.cancel()
	commands := p.takeCommands()
	go func() {
		for _, c := range commands {
			ld.reportNotSent(c.action)
		}
	}()
}

// stopPoller stops the poller of a worker and closes its connections. The scheduler has dropped the worker and has no runs on
// it, so that it waits for no answer to a queued command. ld.mu must be held.
func (ld *leadership) stopPoller(id string) {
	p := ld.pollers[id]
	if p == nil {
		return
	}
	p.cancel()
	delete(ld.pollers, id)
	go ld.c.deps.Workers.CloseConnections(p.target.Address)
}

// enqueueCommand queues a command for a worker. If the worker has no poller or its queue is
// full, the command is reported as not sent. ld.mu must be held.
func (ld *leadership) enqueueCommand(id string, a orchestrator.Action) {
	if p := ld.pollers[id]; p != nil && p.enqueue(a) {
		return
	}
	go ld.reportNotSent(a)
}

// enqueue queues a command and reports whether there was room for it.
func (p *poller) enqueue(a orchestrator.Action) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.commands) >= commandQueueSize {
		return false
	}
	p.commands = append(p.commands, command{a, time.Now()})
	if p.senders < commandSenders {
		p.senders++
		go p.sendCommands()
	}
	select {
	case p.queued <- struct{}{}:
	default: // another command has been queued
	}
	return true
}

// nextCommand takes the next command from the queue. Without one, or after the poller was cancelled, it returns false
// and the calling sender must end.
func (p *poller) nextCommand() (c command, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.commands) == 0 || p.ctx.Err() != nil {
		p.senders--
		return command{}, false
	}
	c = p.commands[0]
	p.commands[0] = command{}
	if p.commands = p.commands[1:]; len(p.commands) == 0 {
		p.commands = nil
	}
	return c, true
}

// takeCommands empties the queue of a cancelled poller. No sender takes a command from it any more.
func (p *poller) takeCommands() []command {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.commands
	p.commands = nil
	return cs
}

// reportNotSent reports to the orchestrator that a command was not sent.
func (ld *leadership) reportNotSent(a orchestrator.Action) {
	switch a := a.(type) {
	case orchestrator.StartRun:
		ld.apply(orchestrator.StartAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Run: a.Run, Outcome: orchestrator.StartNotSent})
	case orchestrator.StopRun:
		ld.apply(orchestrator.StopAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Run: a.Run})
	case orchestrator.ThrottleRun:
		ld.apply(orchestrator.ThrottleAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Run: a.Run, Percent: a.Percent})
	}
}

// run polls the worker until the poller is cancelled or the orchestrator drops the worker. Unless a record names a run on
// the worker, whose lease must be renewed, the first poll waits for its turn.
func (p *poller) run(recorded bool) {
	ld := p.ld
	if !recorded && ld.firstPolls.Wait(p.ctx) != nil {
		return
	}
	unacked := 0 // polls in a row whose ended runs were not stored in time
	for p.ctx.Err() == nil {
		r, ok := ld.nextPoll(p.target.ID)
		if !ok {
			return
		}
		select {
		case <-p.queued: // the end of its run is listed in the answer to this poll or a later one
		default:
		}
		sent := timekeeper.Now()
		a, err := ld.c.deps.Workers.Poll(p.ctx, p.process(r.Incarnation), ld.workerPoll(r))
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			p.handlePollFailure(err, r.Fence)
			continue
		}
		a.Worker, a.SentAt, a.ReceivedAt = p.target.ID, sent, timekeeper.Now()
		ld.c.metrics.polls.Inc()
		ld.apply(a)
		switch {
		case len(a.Ended) == 0:
			unacked = 0
			p.pause(r, sent)
		case p.waitForAck(ackWait(unacked, time.Duration(ld.meanLag.Load()))):
			unacked = 0
		default:
			unacked++
		}
	}
}

// workerPoll returns the poll with the parameters r. The answer of an unreachable worker is waited for as long as that of one that may
// hold the poll: a worker behind a slow link would otherwise stay unreachable once a poll has failed.
func (ld *leadership) workerPoll(r orchestrator.PollRequest) PollRequest {
	lag := time.Duration(ld.meanLag.Load())
	q := PollRequest{Fence: r.Fence, LeaseEnd: r.LeaseEnd, AckedThrough: r.AckedThrough, Wait: requestedWait(r, lag), Lag: time.Duration(ld.lag.Load())}
	if r.Unreachable {
		q.Patience = pollInterval(r.ShortWait, lag)
	}
	return q
}

// requestedWait returns how long a worker may hold a poll with the parameters r if the leader's average lag is lag.
func requestedWait(r orchestrator.PollRequest, lag time.Duration) time.Duration {
	if r.NoWait {
		return 0
	}
	return min(maxPollHold, pollInterval(r.ShortWait, lag))
}

// pollInterval returns the time from a poll of a worker without news to the next one if the leader's average lag is lag.
func pollInterval(short bool, lag time.Duration) time.Duration {
	behind := min(1, max(0, float64(lag-minStretchLag)/float64(maxStretchLag-minStretchLag)))
	stretch := 1 + (maxPollStretch-1)*behind
	if short {
		return min(maxStretchedShortWait, converter.Scale(maxShortPollWait, stretch))
	}
	return converter.Scale(maxPollWait, stretch)
}

// pause waits for the part of the interval between polls for which a worker must not hold a poll. The last poll had the
// parameters r and was sent at a time. A command for the worker ends the pause: the end of its run must not wait for a poll. There
// is no pause if the next answer is needed soon.
func (p *poller) pause(r orchestrator.PollRequest, sent time.Time) {
	interval := pollInterval(r.ShortWait, time.Duration(p.ld.meanLag.Load()))
	d := min(interval-maxPollHold, sent.Add(interval).Sub(timekeeper.Now()))
	if r.NoWait || d <= 0 || p.ld.pollNeededSoon(p.target.ID) {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.queued:
	case <-p.ctx.Done():
	}
}

// pollNeededSoon reports whether the next poll of a worker must not be put off.
func (ld *leadership) pollNeededSoon(id string) bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return !ld.failed && ld.orch.PollNeededSoon(id)
}

// nextPoll returns the parameters of the next poll of a worker, and false if it must not be polled any
// more.
func (ld *leadership) nextPoll(id string) (orchestrator.PollRequest, bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.failed || ld.deposed.Load() {
		return orchestrator.PollRequest{}, false
	}
	return ld.orch.NextPoll(id, timekeeper.Now())
}

// ackWait returns how long the next poll waits for ended runs to be stored if they were not after unacked polls before it:
// minAckWait, doubled with each of them, but no longer than a worker without news would hold a poll. A poll that does not
// acknowledge them returns at once with the same ended runs. If such polls came ever so often, a leader that is late to
// store them would be kept late by their answers.
func ackWait(unacked int, lag time.Duration) time.Duration {
	return min(pollInterval(true, lag), minAckWait<<min(unacked, maxAckWaitDoublings))
}

// waitForAck waits until the ended runs of the last poll are stored, and reports whether they are.
func (p *poller) waitForAck(limit time.Duration) bool {
	acked, stop := p.ld.watchAck(p.target.ID)
	defer stop()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-acked:
		return true
	case <-t.C:
	case <-p.ctx.Done():
	}
	return false
}

// watchAck returns a channel that is closed once all ended runs that a worker has listed are stored, and a function that ends
// the watch. A worker has one watch at a time.
func (ld *leadership) watchAck(id string) (<-chan struct{}, func()) {
	acked := make(chan struct{})
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.orch.Acknowledged(id) {
		close(acked)
		return acked, func() {}
	}
	if ld.ackWatches == nil {
		ld.ackWatches = make(map[string]chan struct{})
	}
	ld.ackWatches[id] = acked
	return acked, func() {
		ld.mu.Lock()
		defer ld.mu.Unlock()
		if ld.ackWatches[id] == acked {
			delete(ld.ackWatches, id)
		}
	}
}

// notifyAcks closes the channels of watchAck whose workers' ended runs are stored.
func (ld *leadership) notifyAcks() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.failed {
		return
	}
	for id, acked := range ld.ackWatches {
		if ld.orch.Acknowledged(id) {
			close(acked)
			delete(ld.ackWatches, id)
		}
	}
}

// process returns the target of a call that is meant for one process of the worker.
func (p *poller) process(incarnation int64) Target {
	t := p.target
	t.Incarnation = incarnation
	return t
}

func (p *poller) handlePollFailure(err error, fence uint64) {
	var exhausted *connector.ExhaustedError
	if errors.As(err, &exhausted) { // says nothing about the worker
		sleep(p.ctx, pollRetryDelay)
		return
	}
	f := orchestrator.PollFailed{Worker: p.target.ID, Fence: fence}
	var refused *RefusedError
	if errors.As(err, &refused) {
		f.Replaced, f.Fenced = refused.Replaced, refused.Fenced
	}
	p.ld.c.log.Debug("LookFailed", "Worker", p.target.ID, "Cause", err.Error())
	p.ld.apply(f)
	sleep(p.ctx, pollRetryDelay)
}

// sendCommands sends queued commands one after the other until none is left or the poller is cancelled.
func (p *poller) sendCommands() {
	for c, ok := p.nextCommand(); ok; c, ok = p.nextCommand() {
		p.send(c)
	}
}

// send sends a command, unless another host has been elected since the command was decided, or the command is a
// start in a failure domain whose evacuation has become known since. A start that has waited for maxStartDelay is
// deferred. A deposed leader needs no outcome: it applies no events.
func (p *poller) send(c command) {
	ld, begin := p.ld, time.Now()
	if ld.deposed.Load() {
		return
	}
	ld.c.metrics.commandWait.Observe(begin.Sub(c.decidedAt).Seconds())
	switch a := c.action.(type) {
	case orchestrator.StartRun:
		if begin.Sub(c.decidedAt) > maxStartDelay || ld.evacuationsOutOfTime() {
			ld.commands.add("start", startWork(orchestrator.StartDeferred))
			ld.apply(orchestrator.StartAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Run: a.Run, Outcome: orchestrator.StartDeferred})
			return
		}
		if ld.evacuates(a.FailureDomain) {
			ld.reportNotSent(a)
			return
		}
		sent := timekeeper.Now()
		answer := ld.c.deps.Workers.Start(p.ctx, p.process(a.Incarnation), a.Fence, a)
		ld.c.metrics.observeCommand("start", begin)
		ld.commands.add("start", startWork(answer.Outcome))
		ld.apply(orchestrator.StartAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Run: a.Run, Outcome: answer.Outcome,
			Fence: a.Fence, Clock: answer.Clock, SentAt: sent, ReceivedAt: timekeeper.Now()})
	case orchestrator.StopRun:
		answered, fenced := commandResult(ld.c.deps.Workers.Stop(p.ctx, p.process(a.Incarnation), a.Fence, a))
		ld.c.metrics.observeCommand("stop", begin)
		ld.commands.add("stop", answeredCommand(answered))
		ld.apply(orchestrator.StopAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Run: a.Run, Answered: answered, Fenced: fenced, Fence: a.Fence})
	case orchestrator.ThrottleRun:
		answered := executed(ld.c.deps.Workers.Throttle(p.ctx, p.process(a.Incarnation), a.Fence, a))
		ld.c.metrics.observeCommand("pace", begin)
		ld.commands.add("pace", answeredCommand(answered))
		ld.apply(orchestrator.ThrottleAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Task: a.Task, Run: a.Run, Percent: a.Percent, Answered: answered})
	}
}

// commandResult reports whether a command is settled, so that it need not be repeated, and
// whether the worker refused it because of a later epoch.
func commandResult(err error) (answered, fenced bool) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return !refused.Replaced && !refused.NotExecuted, refused.Fenced
	}
	return err == nil, false
}

// executed reports whether a worker has executed a command. It has not if it knows a higher fence, which may be this leader's own.
func executed(err error) bool {
	answered, fenced := commandResult(err)
	return answered && !fenced
}

func (ld *leadership) requestAdvice(a orchestrator.RequestAdvice) {
	begin := time.Now()
	answer, err := ld.c.deps.Workers.Advise(context.Background(), a)
	ld.c.metrics.observeCommand("advise", begin)
	if err != nil {
		ld.c.log.Warn("AdviceFailed", "Step", a.Step, "Workers", len(a.Workers), "Took", time.Since(begin).Round(time.Millisecond).String(), "Cause", err.Error())
	}
	answer.AnsweredAt = timekeeper.Now()
	ld.apply(answer)
}
