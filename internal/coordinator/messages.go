package coordinator

import (
	"context"
	"errors"
	"time"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

// Methods that other entry hosts call.
const (
	methodPing   = "Ping"
	methodNotice = "Notice"
	methodState  = "State"
)

// messageTimeout bounds a message to the leader that a caller may wait for.
const messageTimeout = 400 * time.Millisecond

// ping asks the leader for a sign of life.
type ping struct {
	Host    string
	Epoch   uint64
	Version uint64  // of the configuration in force
	Share   float64 // processor share of the host
	Ready   bool
}

// pong is the answer to a ping.
type pong struct {
	Process string
	Leading bool
	Loaded  bool // the leader knows all jobs
	Epoch   uint64
	// StoreSilence is the time since the store last served the leader, or took a write
	// of it if that is longer ago.
	StoreSilence time.Duration
	Version      uint64
	Pending      map[string]int
}

// notice tells the leader what a host has written to the store.
type notice struct {
	Epoch    uint64 // term under which the job was accepted
	Job      *orchestrator.Job
	Revision uint64
	Cancel   string
}

type stateRequest struct{ ID string }

type stateAnswer struct {
	Leading bool
	Known   bool
	State   orchestrator.State
}

type nothing struct{}

// methods are what this host serves to others.
func (c *Coordinator) methods() map[string]messenger.Method {
	return map[string]messenger.Method{
		methodPing: messenger.NewMethod(c.servePing),
		methodNotice: messenger.NewMethod(func(_ context.Context, n notice) (nothing, error) {
			if ld := c.leading(); ld != nil {
				ld.notice(n)
			}
			return nothing{}, nil
		}),
		methodState: messenger.NewMethod(func(_ context.Context, r stateRequest) (stateAnswer, error) {
			return c.localState(r.ID), nil
		}),
	}
}

func (c *Coordinator) servePing(_ context.Context, p ping) (pong, error) {
	c.newerConfiguration(p.Version)
	a := pong{Process: c.process, StoreSilence: c.storeSilence(), Version: c.configVersion()}
	if ld := c.leading(); ld != nil {
		a.Leading, a.Epoch, a.Pending = true, ld.term.Revision, ld.pending()
		a.Loaded = a.Pending != nil
		a.StoreSilence = max(a.StoreSilence, ld.unconfirmed())
		if p.Ready && c.settings.ProcessorShare < similarShare*p.Share {
			ld.stepAside(p.Host)
		}
	}
	return a, nil
}

// ping returns an error if the leader gave no answer.
func (c *Coordinator) ping(ctx context.Context, t term) (pong, error) {
	var a pong
	sent := timekeeper.Now()
	err := c.client(t.address()).Invoke(ctx, pingTimeout, methodPing,
		&ping{Host: c.settings.Name, Epoch: t.Revision, Version: c.configVersion(), Share: c.settings.ProcessorShare, Ready: c.Ready()}, &a)
	if err != nil {
		return pong{}, err
	}
	c.newerConfiguration(a.Version)
	if a.Leading && a.Loaded {
		c.lastPending.Store(&pendingCount{byQueue: a.Pending, at: sent})
	}
	return a, nil
}

// localState answers from this host's own leadership.
func (c *Coordinator) localState(id string) stateAnswer {
	ld := c.leading()
	if ld == nil {
		return stateAnswer{}
	}
	s, known, ready := ld.state(id)
	return stateAnswer{Leading: ready, Known: known, State: s}
}

var errNoLeader = errors.New("no leader is known")

// askState asks the leader for a job's state.
func (c *Coordinator) askState(ctx context.Context, id string) (stateAnswer, error) {
	if c.leading() != nil {
		return c.localState(id), nil
	}
	t, known := c.currentTerm()
	if !known || !t.address().IsValid() {
		return stateAnswer{}, errNoLeader
	}
	var a stateAnswer
	err := c.client(t.address()).Invoke(ctx, messageTimeout, methodState, &stateRequest{ID: id}, &a)
	return a, err
}

// tell hands a notice to the leader. If it gets lost, the leader finds the change in
// the store within catchUpEvery.
func (c *Coordinator) tell(n notice) {
	if ld := c.leading(); ld != nil {
		ld.notice(n)
		return
	}
	t, known := c.currentTerm()
	if !known || !t.address().IsValid() || n.Job != nil && n.Epoch != t.Revision {
		return
	}
	go func() {
		if err := c.client(t.address()).Invoke(context.Background(), messageTimeout, methodNotice, &n, &nothing{}); err != nil {
			c.log.Debug("NoticeLost", "Leader", t.Host, "Cause", err.Error())
		}
	}()
}
