package coordinator

import (
	"context"
	"errors"
	"time"

	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

const (
	// lookWait is how long a look waits for an end. Leases are extended at each look.
	lookWait = 1000 * time.Millisecond
	// briefWait is lookWait where the worker's figures are needed soon: half of the
	// period that they cover.
	briefWait = 500 * time.Millisecond
	// lookRetry is the pause after a look without an answer.
	lookRetry = 250 * time.Millisecond
	// ackWait is how long the next look waits at most for the acknowledgement of ends,
	// because a look returns at once while there are ends that are not acknowledged. It
	// is checked ackChecks times.
	ackWait   = 160 * time.Millisecond
	ackChecks = 4
	// orderSenders is the number of orders to one worker at the same time.
	orderSenders = 2
	// orderQueue bounds the orders that wait for one worker.
	orderQueue = 256
)

// looker looks at one worker and sends it orders.
type looker struct {
	ld     *leader
	target Target
	ctx    context.Context
	cancel context.CancelFunc
	orders chan orchestrator.Action
}

// watch starts a looker, or moves it to another address. ld.mu is held.
func (ld *leader) watch(w orchestrator.WorkerEntry) {
	if k := ld.lookers[w.ID]; k != nil {
		if k.target.Address == w.Address {
			return
		}
		k.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &looker{ld: ld, target: Target{ID: w.ID, Address: w.Address}, ctx: ctx, cancel: cancel, orders: make(chan orchestrator.Action, orderQueue)}
	ld.lookers[w.ID] = k
	go k.look()
	for range orderSenders {
		go k.sendOrders()
	}
}

// forget ends the looks at a worker. ld.mu is held.
func (ld *leader) forget(id string) {
	k := ld.lookers[id]
	if k == nil {
		return
	}
	k.cancel()
	delete(ld.lookers, id)
	go ld.c.peers.Workers.Forget(k.target.Address)
}

// order queues an order. ld.mu is held.
func (ld *leader) order(id string, a orchestrator.Action) {
	if k := ld.lookers[id]; k != nil {
		select {
		case k.orders <- a:
			return
		default:
		}
	}
	go ld.notSent(a)
}

// notSent answers an order that did not leave this host.
func (ld *leader) notSent(a orchestrator.Action) {
	switch a := a.(type) {
	case orchestrator.StartRun:
		ld.step(orchestrator.StartAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Outcome: orchestrator.StartNotSent})
	case orchestrator.StopRun:
		ld.step(orchestrator.StopAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run})
	case orchestrator.PaceRun:
		ld.step(orchestrator.PaceAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Percent: a.Percent})
	}
}

// look looks at the worker until the looker is cancelled.
func (k *looker) look() {
	ld := k.ld
	for k.ctx.Err() == nil {
		ld.mu.Lock()
		r, ok := ld.o.NextLook(k.target.ID, timekeeper.Now())
		ld.mu.Unlock()
		if !ok {
			return
		}
		wait := lookWait
		if r.Brief {
			wait = briefWait
		}
		sent := timekeeper.Now()
		a, err := ld.c.peers.Workers.Look(k.ctx, k.target, Look{Fence: ld.term.Revision, Deadline: r.Deadline, AckedUpto: r.AckedUpto, Wait: wait})
		if k.ctx.Err() != nil {
			return
		}
		if err != nil {
			k.lookFailed(err)
			continue
		}
		a.Worker, a.SentAt, a.ReceivedAt = k.target.ID, sent, timekeeper.Now()
		ld.c.metrics.looks.Inc()
		ld.step(a)
		if len(a.Ended) > 0 {
			k.awaitAck()
		}
	}
}

// awaitAck waits until the ends that were listed stand in the store.
func (k *looker) awaitAck() {
	for range ackChecks {
		sleep(k.ctx, ackWait/ackChecks)
		k.ld.mu.Lock()
		done := k.ld.o.Acknowledged(k.target.ID)
		k.ld.mu.Unlock()
		if done {
			return
		}
	}
}

func (k *looker) lookFailed(err error) {
	f := orchestrator.LookFailed{Worker: k.target.ID}
	var refused *RefusedError
	if errors.As(err, &refused) {
		f.Replaced, f.Fenced = refused.Replaced, refused.Fenced
	}
	k.ld.c.log.Debug("LookFailed", "Worker", k.target.ID, "Cause", err.Error())
	k.ld.step(f)
	sleep(k.ctx, lookRetry)
}

// sendOrders sends orders one after the other until the looker is cancelled.
func (k *looker) sendOrders() {
	for {
		select {
		case <-k.ctx.Done():
			return
		case a := <-k.orders:
			k.send(a)
		}
	}
}

func (k *looker) send(a orchestrator.Action) {
	ld, begin := k.ld, time.Now()
	fence := ld.term.Revision
	switch a := a.(type) {
	case orchestrator.StartRun:
		o := ld.c.peers.Workers.Start(k.ctx, k.target, fence, a)
		ld.c.metrics.order("start", begin)
		ld.step(orchestrator.StartAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Outcome: o})
	case orchestrator.StopRun:
		answered, fenced := ordered(ld.c.peers.Workers.Stop(k.ctx, k.target, fence, a))
		ld.c.metrics.order("stop", begin)
		ld.step(orchestrator.StopAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Answered: answered, Fenced: fenced})
	case orchestrator.PaceRun:
		answered, _ := ordered(ld.c.peers.Workers.Pace(k.ctx, k.target, fence, a))
		ld.c.metrics.order("pace", begin)
		ld.step(orchestrator.PaceAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Percent: a.Percent, Answered: answered})
	}
}

// ordered says whether an order needs no repetition, and whether the fence refused it.
func ordered(err error) (answered, fenced bool) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return !refused.Replaced && !refused.Undone, refused.Fenced
	}
	return err == nil, false
}

func (ld *leader) advise(a orchestrator.AskAdvice) {
	answer, err := ld.c.peers.Workers.Advise(context.Background(), a)
	if err != nil {
		ld.c.log.Warn("AdviceFailed", "Step", a.Step, "Cause", err.Error())
	}
	ld.step(answer)
}
