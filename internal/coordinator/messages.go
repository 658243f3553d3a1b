package coordinator

import (
	"context"
	"errors"
	"time"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/orchestrator"
	"peridotpitch/internal/timekeeper"
)

// Names of the methods that other entry hosts call.
const (
	methodPing   = "Ping"
	methodNotice = "Notice"
	methodState  = "State"
	methodStatus = "Status"
	methodSubmit = "Submit"
	methodRoute  = "Route"
)

// leaderCallTimeout bounds calls to the leader other than pings. It is short because a
// caller's request may wait for the call.
const leaderCallTimeout = 400 * time.Millisecond

// pingRequest checks whether the leader is alive and describes the sending host to it.
type pingRequest struct {
	Host          string
	FailureDomain string
	Program       string // version of the host's program
	Epoch         uint64
	Version       uint64  // of the configuration in effect on the host
	Share         float64 // processor share of the host
	Ready         bool
	Uptime        time.Duration // of the host's process
	// See HostStatus. They are left out while 0, so that the message is the same as before while the settings don't
	// switch forwarding and readmission on.
	Forwarded       int `msgpack:",omitempty"`
	RefusedCallers  int `msgpack:",omitempty"`
	UnknownSettings int `msgpack:",omitempty"`
}

// pingAnswer describes the host that was pinged.
type pingAnswer struct {
	Process string
	Leading bool
	Loaded  bool // the leader has loaded all jobs
	Epoch   uint64
	// StoreSilence is the time since the store last served a call of the host. For a
	// leader it is at least the time since its last confirmed write was sent.
	StoreSilence time.Duration
	Version      uint64
	// ConfigurationAge is the time since Version is known to have been the newest one; 0: not told.
	ConfigurationAge time.Duration `msgpack:",omitempty"`
	Pending          map[string]int
	// Hosts is the number of hosts that the leader hears of, with itself; 0: unknown.
	Hosts int `msgpack:",omitempty"`
	// PingInterval is the shortest interval at which a host should ping this leader; 0: any.
	PingInterval time.Duration `msgpack:",omitempty"`
	Outlook      []byte        `msgpack:",omitempty"` // see admitter.Outlook.Encode; empty: none
	// Lag is how late the leader is on average.
	Lag time.Duration `msgpack:",omitempty"`
}

// notice informs the leader of a job or cancel request that a host has stored.
type notice struct {
	Epoch    uint64 // term in which the job was accepted
	Job      *orchestrator.Job
	Revision uint64
	Cancel   string // ID of the job to be cancelled; empty: none
}

// noticeAnswer answers a notice. A host of the build before answers with an empty message, which means taken, and skips NotTaken.
type noticeAnswer struct {
	// NotTaken means that the request was not applied by a leader that goes on, so that the present leader must be told.
	NotTaken bool `msgpack:",omitempty"`
}

// noticeOutcome is the outcome of a try to send a notice.
type noticeOutcome string

const (
	noticeDelivered noticeOutcome = "delivered" // it need not be repeated
	noticeLost      noticeOutcome = "lost"      // no answer
	noticeNotTaken  noticeOutcome = "not taken" // the leader of the known term does not lead or its leadership ends, or there is none
)

const (
	// noticeTimeout bounds one try to send a notice. No caller waits for it, so that it allows for a leader that is late.
	noticeTimeout = 2 * time.Second
	// cancelNoticeTries is the number of tries to send the notice of a cancel request. It is acknowledged to its caller,
	// and nothing of the job may start afterwards; a late leader may be as late with its own read of the requests.
	cancelNoticeTries = 6
	// noticeRetryDelay is the pause after the first try. It doubles with each further one.
	noticeRetryDelay = 100 * time.Millisecond
)

type stateRequest struct{ ID string }

type stateAnswer struct {
	Leading bool
	Known   bool
	State   orchestrator.State
}

// peerMethods returns the methods that other entry hosts may call.
func (c *Coordinator) peerMethods() map[string]messenger.Method {
	return map[string]messenger.Method{
		methodPing:   messenger.NewMethod(c.servePing),
		methodNotice: messenger.NewMethod(c.serveNotice),
		methodState: messenger.NewMethod(func(_ context.Context, r stateRequest) (stateAnswer, error) {
			return c.localState(r.ID), nil
		}),
		methodStatus: messenger.NewMethod(c.serveStatus),
		methodSubmit: messenger.NewMethod(c.serveSubmit),
		methodRoute:  messenger.NewMethod(c.serveRoute),
	}
}

func (c *Coordinator) servePing(_ context.Context, p pingRequest) (pingAnswer, error) {
	c.noteOtherHostsVersion(p.Version)
	age := c.configurationAge() // before the version: that of a newer one says nothing about this one
	a := pingAnswer{Process: c.processID, StoreSilence: c.timeSinceStoreSuccess(), Version: c.configVersion(), ConfigurationAge: age}
	if ld := c.currentLeadership(); ld != nil && !ld.deposed.Load() {
		if p.Epoch > ld.term.Revision {
			c.checkTerm()
		}
		ld.hosts.record(HostStatus{Name: p.Host, FailureDomain: p.FailureDomain, Program: p.Program, ConfigurationVersion: p.Version,
			ProcessorShare: p.Share, Ready: p.Ready, Uptime: p.Uptime, Forwarded: p.Forwarded, RefusedCallers: p.RefusedCallers,
			UnknownSettings: p.UnknownSettings}, timekeeper.Now())
		a.Leading, a.Epoch, a.Pending = true, ld.term.Revision, ld.pending()
		a.Loaded = a.Pending != nil
		a.Hosts = ld.hosts.count(timekeeper.Now()) + 1
		a.PingInterval = minPingInterval(a.Hosts-1, c.settings.ProcessorShare)
		a.Outlook, a.Lag = ld.encodedOutlook(), time.Duration(ld.meanLag.Load())
		a.StoreSilence = max(a.StoreSilence, ld.timeSinceConfirmedWrite())
		if p.Ready && c.settings.ProcessorShare < minProcessorShareRatio*p.Share {
			ld.yieldTo(p.Host)
		}
	}
	return a, nil
}

// checkTerm reads the term in the background, because another host knows a later one. At most one such
// read is made at a time.
func (c *Coordinator) checkTerm() {
	if !c.checkingTerm.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.checkingTerm.Store(false)
		c.refreshTerm(context.Background())
	}()
}

// refreshTerm reads the term. If that fails, the known one stays.
func (c *Coordinator) refreshTerm(ctx context.Context) {
	if _, err := c.readTerm(ctx); err != nil {
		c.log.Debug("TermNotRead", "Cause", err.Error())
	}
}

// pingLeader pings the leader of term t. It returns an error if there was no answer.
func (c *Coordinator) pingLeader(ctx context.Context, t term) (pingAnswer, error) {
	var a pingAnswer
	sent := timekeeper.Now()
	err := c.client(t.address()).Invoke(ctx, pingTimeout, methodPing,
		&pingRequest{Host: c.settings.Name, FailureDomain: c.settings.FailureDomain, Program: c.deps.Program, Epoch: t.Revision,
			Version: c.configVersion(), Share: c.settings.ProcessorShare, Ready: c.Ready(),
			Uptime: sent.Sub(c.startedAt), Forwarded: c.recentForwards.count(sent), RefusedCallers: c.returns.waiting(sent), UnknownSettings: c.deps.UnknownSettings}, &a)
	if err != nil {
		return pingAnswer{}, err
	}
	c.noteOtherHostsVersion(a.Version)
	c.noteLeadersConfiguration(a, sent)
	c.lastLeaderPing.Store(&leaderPing{answer: a, term: t, sent: sent})
	c.leaderPingInterval.Store(int64(min(a.PingInterval, maxPingInterval)))
	if a.Hosts > 0 {
		c.knownHosts.Store(int64(a.Hosts))
	}
	c.receiveOutlook(a, sent)
	if a.Leading && a.Loaded {
		c.leaderPending.Store(&pendingCounts{byQueue: a.Pending, at: sent})
	}
	return a, nil
}

// localState answers for a job's state if this host is the leader.
func (c *Coordinator) localState(id string) stateAnswer {
	ld := c.currentLeadership()
	if ld == nil {
		return stateAnswer{}
	}
	s, known, ready := ld.state(id)
	return stateAnswer{Leading: ready, Known: known, State: s}
}

var errLeaderUnknown = errors.New("no leader is known")

// requestState requests a job's state from the leader, which may be this host.
func (c *Coordinator) requestState(ctx context.Context, id string) (stateAnswer, error) {
	if c.currentLeadership() != nil {
		return c.localState(id), nil
	}
	t, known := c.currentTerm()
	if !known || !t.address().IsValid() {
		return stateAnswer{}, errLeaderUnknown
	}
	var a stateAnswer
	err := c.client(t.address()).Invoke(ctx, leaderCallTimeout, methodState, &stateRequest{ID: id}, &a)
	return a, err
}

// serveNotice takes a notice of another host.
func (c *Coordinator) serveNotice(_ context.Context, n notice) (noticeAnswer, error) {
	reason := "this host does not lead"
	if ld := c.currentLeadership(); ld != nil {
		if ld.handleNotice(n) {
			return noticeAnswer{}, nil
		}
		reason = "the leadership of this host ends"
	}
	if n.Cancel != "" {
		c.log.Info("CancelIgnored", "Job", n.Cancel, "Reason", reason)
	}
	return noticeAnswer{NotTaken: true}, nil
}

// notifyLeader sends a notice to the leader without waiting for the answer. If the notice
// is lost, the leader finds the change in the store within inputPollInterval, or later if it is short of processor time: the
// notice of a cancel request is repeated.
func (c *Coordinator) notifyLeader(n notice) {
	if ld := c.currentLeadership(); ld != nil && ld.handleNotice(n) {
		return
	}
	tries := 1
	if n.Cancel != "" {
		tries = cancelNoticeTries
	}
	go func() {
		for i := range tries {
			o := c.sendNotice(n)
			c.recordNotice(n, i+1, o)
			if o == noticeDelivered || i+1 == tries {
				return
			}
			sleep(context.Background(), noticeRetryDelay<<i)
			if o == noticeNotTaken {
				c.refreshTerm(context.Background()) // by now another host may lead
			}
		}
	}()
}

// recordNotice counts a try to send the notice of a request to cancel, and logs the try if it was not the first or was not delivered.
func (c *Coordinator) recordNotice(n notice, try int, o noticeOutcome) {
	if n.Cancel == "" {
		return
	}
	c.metrics.cancelNotices.WithLabelValues(string(o)).Inc()
	if o == noticeDelivered && try == 1 {
		return
	}
	t, _ := c.currentTerm()
	c.log.Info("CancelNotice", "Job", n.Cancel, "Outcome", string(o), "Try", try, "Tries", cancelNoticeTries, "Leader", t.Host, "Epoch", t.Revision)
}

// sendNotice sends a notice to the leader of the known term, which may be this host by now.
func (c *Coordinator) sendNotice(n notice) noticeOutcome {
	if ld := c.currentLeadership(); ld != nil && ld.handleNotice(n) {
		return noticeDelivered
	}
	t, known := c.currentTerm()
	switch {
	case !known, !t.address().IsValid():
		return noticeNotTaken
	case n.Job != nil && n.Epoch != t.Revision:
		return noticeDelivered // this leader finds the job when it reads the state of earlier ones
	case t.Process == c.processID:
		return noticeNotTaken
	}
	var a noticeAnswer
	if err := c.client(t.address()).Invoke(context.Background(), noticeTimeout, methodNotice, &n, &a); err != nil {
		c.log.Debug("NoticeLost", "Leader", t.Host, "Cause", err.Error())
		return noticeLost
	}
	if a.NotTaken {
		return noticeNotTaken
	}
	return noticeDelivered
}
