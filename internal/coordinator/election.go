package coordinator

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peridotpitch/internal/converter"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// Store keys that the coordinator writes; see the package comment.
const (
	prefixLeader          = "peridot/lead/"
	keyTerm               = prefixLeader + "term"
	keyHead               = prefixLeader + "head"
	keyRoster             = "peridot/roster"
	keyWorkloadStatistics = "peridot/learnt"
	prefixInput           = "peridot/in/"
	prefixJob             = prefixInput + "job/"
	prefixCancel          = prefixInput + "cancel/"
	prefixRecord          = "peridot/record/"
)

const (
	// pingInterval is the interval of pings to the leader. If the leader's process ends,
	// its host refuses the connection of the next ping, so that other hosts detect the
	// failure within this interval.
	pingInterval = 250 * time.Millisecond
	// yieldingPingInterval replaces pingInterval on hosts that leave the next campaign to stronger ones. In a
	// large deployment most hosts are of this kind, and the leader answers all pings.
	yieldingPingInterval = 500 * time.Millisecond
	// maxPingInterval bounds the interval that a leader asks for. Hosts report the number of pending jobs of the
	// leader's last answer, which may be maxPendingAge old.
	maxPingInterval = time.Second
	// pingsPerCore is the rate of pings that a leader answers for each core that it may use. If a ping takes
	// 80 microseconds, pings use up to a tenth of the leader's processor.
	pingsPerCore = 1250
	// pingTimeout is several times the round trip between failure domains, so that an
	// overloaded leader still answers in time.
	pingTimeout = 500 * time.Millisecond
	// headPollInterval is the interval at which a host reads head after a failed ping.
	headPollInterval = 150 * time.Millisecond
	// yieldingHeadPollInterval replaces headPollInterval on hosts that leave the next campaign to
	// stronger ones. All hosts read head at the same time, and the platform allows 2,000 reads a
	// second for all of them: at headPollInterval, 300 hosts would take all of these.
	yieldingHeadPollInterval = 500 * time.Millisecond
	// headReadsPerSecond is the rate at which all hosts together read head. 300 hosts of equal processors, each at
	// headPollInterval, took all reads of the store, also those of the leader that had been late, and of the next one.
	headReadsPerSecond = 400
	// If the leader's host refuses connections, a host campaigns after head has stayed
	// unchanged for refusedElectionTimeout. It is longer than headWriteInterval, to allow for
	// a slow answer of the store.
	refusedElectionTimeout = 500 * time.Millisecond
	// silentElectionTimeout replaces refusedElectionTimeout if the leader does not answer,
	// or reports that it cannot reach the store.
	silentElectionTimeout = 900 * time.Millisecond
	// maxLeaderStoreAnswerAge bounds the age of the leader's last answer from the store. If the
	// leader reports a higher age, the other hosts poll head.
	maxLeaderStoreAnswerAge = 1500 * time.Millisecond
	// yieldingElectionDelay is added to the silence after which hosts campaign that leave campaigns to stronger ones. A strong host that
	// still gets answers of a leader without the store begins to read head that much later.
	yieldingElectionDelay = maxLeaderStoreAnswerAge + pingInterval
	// maxCampaignJitter spreads the campaigns of hosts that detect a failed leader at the
	// same time.
	maxCampaignJitter = 120 * time.Millisecond
	// campaignYieldDelay is how long a host delays its campaign so that a better suited host
	// can win the election: the preferred host of the term, or any host if this host's
	// processor share is much smaller than the last leader's. The processor share is the
	// number of processor cores that the process may use (Settings.ProcessorShare).
	campaignYieldDelay = 500 * time.Millisecond
	// minProcessorShareRatio is the ratio of processor shares below which a host gives way
	// to another. A host whose ratio to the last leader's share is smaller delays its campaign
	// by campaignYieldDelay. A leader whose ratio to the share of a ready host is smaller hands
	// over to that host.
	minProcessorShareRatio = 0.6
	// termRetryDelay is the pause after a failed read of the term or after a campaign.
	termRetryDelay = 150 * time.Millisecond
)

// term is the value of keyTerm.
type term struct {
	Host      string
	Process   string  // the leader's process; a restarted process is not the leader
	Address   string  // message address of the leader; empty: no host leads
	HandedOff bool    // the last leader stopped sending commands and wrote all records
	Preferred string  // after a hand-over: the host that should campaign first; empty: any
	Share     float64 // processor share of the leader's host; of a term without one, the largest share that the last leader knew of
	// BoundsSince is the earliest epoch from which on all leaders have kept to the lease bounds of their predecessors, see
	// orchestrator.LeaseBounds. Programs that don't keep to them write terms without it.
	BoundsSince uint64
	Revision    uint64 `msgpack:"-"`
}

// address returns the leader's message address, which is invalid if no host leads.
func (t term) address() netip.AddrPort {
	a, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// boundsSince returns BoundsSince of the next term.
func (t term) boundsSince() uint64 { return cmp.Or(t.BoundsSince, t.Revision+1) }

// headObservation is the last revision of head that a host read after the leader failed a
// check, and the time of the first read of that revision. The revision is 0 if head does
// not exist. The zero value means that head was not read.
type headObservation struct {
	revision uint64
	since    time.Time
}

// minPingInterval returns the interval at which a leader that may use so many cores asks each of the other hosts to
// ping it. The hosts' pings are spread over the interval, so that the first host that finds a leader gone finds it as
// early as with fewer hosts. A leader whose share is unknown asks for no pause.
func minPingInterval(hosts int, processorShare float64) time.Duration {
	if processorShare <= 0 {
		return 0
	}
	d := converter.Seconds(float64(hosts) / (pingsPerCore * processorShare))
	if d <= pingInterval {
		return 0
	}
	return min(d, maxPingInterval)
}

// monitorLeader checks the leader while this host does not lead, and campaigns if the leader
// has failed. It also probes a store that has been silent, and logs a late configuration.
func (c *Coordinator) monitorLeader(ctx context.Context) {
	var o headObservation
	var lateLoggedAt time.Time
	for ctx.Err() == nil {
		c.probeStore(ctx)
		lateLoggedAt = c.logLateConfiguration(lateLoggedAt)
		pause := pingInterval
		if c.currentLeadership() == nil && !c.leaving.Load() {
			pause = c.checkLeader(ctx, &o)
		}
		for pause > pingInterval && ctx.Err() == nil {
			sleep(ctx, pingInterval)
			pause -= pingInterval
			c.probeStore(ctx)
		}
		sleep(ctx, pause)
	}
}

// checkLeader pings the leader, and campaigns if no host leads. It returns the pause before
// the next check.
func (c *Coordinator) checkLeader(ctx context.Context, o *headObservation) time.Duration {
	t, known := c.currentTerm()
	if !known {
		if _, err := c.readTerm(ctx); err != nil {
			return termRetryDelay
		}
		return 0
	}
	if !t.address().IsValid() {
		if t.Preferred != "" && t.Preferred != c.settings.Name {
			sleep(ctx, campaignYieldDelay)
		}
		c.campaign(ctx, t, "no host leads")
		return termRetryDelay
	}
	if t.Host == c.settings.Name && t.Address == c.settings.MessageAddress.String() {
		c.campaign(ctx, t, "the term names this host, which does not lead: it was restarted or the answer to its election was lost")
		return termRetryDelay
	}
	p, err := c.pingLeader(ctx, t)
	electionTimeout := silenceTimeout(time.Duration(c.leaderPingInterval.Load()), c.knownLeaderLag(t))
	yields := c.yieldsCampaign(t)
	if yields {
		electionTimeout += yieldingElectionDelay
	}
	var notSent *messenger.NotSentError
	var timeout net.Error
	switch {
	case err == nil && p.Process != t.Process, err == nil && !p.Leading:
		next, readErr := c.readTerm(ctx)
		if readErr == nil && next.Revision == t.Revision {
			c.campaign(ctx, t, "the leader's process has ended")
		}
		return termRetryDelay
	case err == nil && p.StoreSilence < maxLeaderStoreAnswerAge:
		*o = headObservation{}
		base := pingInterval
		if yields {
			base = yieldingPingInterval
		}
		return max(base, time.Duration(c.leaderPingInterval.Load()))
	case yields && errors.As(err, &timeout) && timeout.Timeout(): // a host that is cut off refuses nothing
	case errors.As(err, &notSent): // usually because the leader's host refused the connection
		electionTimeout = refusedElectionTimeout
	}
	return c.checkHead(ctx, t, o, electionTimeout)
}

// checkHead reads head, and campaigns if head has not changed for electionTimeout. It returns
// the pause before the next check.
func (c *Coordinator) checkHead(ctx context.Context, t term, o *headObservation, electionTimeout time.Duration) time.Duration {
	pause := headPollPause(int(c.knownHosts.Load()), c.yieldsCampaign(t))
	entries, _, err := c.store.List(ctx, prefixLeader)
	if err != nil {
		*o = headObservation{} // head may have changed while the store did not answer
		return pause
	}
	now := timekeeper.Now()
	for _, e := range entries {
		switch e.Key {
		case keyTerm:
			if e.Revision != t.Revision {
				c.updateTerm(e)
				*o = headObservation{}
				return 0
			}
		case keyHead:
			if o.since.IsZero() || e.Revision != o.revision {
				*o = headObservation{revision: e.Revision, since: now}
			}
		}
	}
	if o.since.IsZero() {
		o.since = now
	}
	if unchangedFor := now.Sub(o.since); unchangedFor >= electionTimeout {
		// A leader that writes during the pauses before the election is late, but alive: it keeps the term.
		c.campaign(ctx, t, "the leader neither answers nor writes", storer.Condition{Key: keyHead, Revision: o.revision})
		*o = headObservation{}
	}
	return pause
}

// silenceTimeout returns how long a leader may be silent that asks to be pinged at the given interval and was so late when it
// last answered. A leader that asks for a longer interval is weak for its fleet: a collection of garbage keeps it from writing
// for up to 2 s, and its successor would have to reach all workers with as little processor. A write of a late leader takes
// three waits: until it is sent, and on both ends of the store's answer.
func silenceTimeout(interval, lag time.Duration) time.Duration {
	return silentElectionTimeout + max(3*max(0, interval-pingInterval), 3*min(lag, maxSilenceLag))
}

// maxSilenceLag bounds the lag that counts in silenceTimeout. A successor must reach the workers before their leases end.
const maxSilenceLag = 500 * time.Millisecond

// knownLeaderLag returns how late the leader of a term was when it last answered a ping, 0 if that is not known.
func (c *Coordinator) knownLeaderLag(t term) time.Duration {
	p := c.lastLeaderPing.Load()
	if p == nil || p.term.Revision != t.Revision {
		return 0
	}
	return p.answer.Lag
}

// headPollPause returns the pause between two reads of head in a fleet of so many hosts; 0: unknown. It is at most
// silentElectionTimeout: each host needs only two reads to find that head has not changed for as long.
func headPollPause(hosts int, yields bool) time.Duration {
	pause := headPollInterval
	if yields {
		pause = yieldingHeadPollInterval
	}
	return max(pause, min(silentElectionTimeout, time.Duration(hosts)*time.Second/headReadsPerSecond))
}

func (c *Coordinator) currentTerm() (term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term, c.termKnown
}

func (c *Coordinator) readTerm(ctx context.Context) (term, error) {
	e, err := c.store.Get(ctx, keyTerm)
	if err != nil {
		return term{}, err
	}
	return c.updateTerm(e), nil
}

// updateTerm stores a term that was read if it is newer than the known one, and returns the
// newer of the two. If this host leads by an older term, its leadership ends.
func (c *Coordinator) updateTerm(e storer.Entry) term {
	var t term
	if e.Revision > 0 {
		if err := msgpack.Unmarshal(e.Value, &t); err != nil {
			c.log.Error("TermUnreadable", "Revision", e.Revision, "Cause", err.Error())
			t = term{} // treated as a term without a leader; the next election replaces it
		}
	}
	t.Revision = e.Revision
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.termKnown && t.Revision <= c.term.Revision {
		return c.term
	}
	c.term, c.termKnown = t, true
	if ld := c.leadership; ld != nil && ld.term.Revision < t.Revision {
		ld.depose(errOtherHostElected.Error(), t.Revision)
	}
	c.log.Info("TermRead", "Leader", t.Host, "Epoch", t.Revision, "HandedOff", t.HandedOff)
	return t
}

// yieldsCampaign reports whether this host is much weaker than the leader of a term, so that it leaves the next
// campaign to others.
func (c *Coordinator) yieldsCampaign(t term) bool {
	return c.settings.ProcessorShare < minProcessorShareRatio*t.Share
}

// campaign tries to make this host the leader. The election succeeds only if the stored term
// is still previous and the further conditions hold.
func (c *Coordinator) campaign(ctx context.Context, previous term, reason string, conditions ...storer.Condition) {
	if c.leaving.Load() || timekeeper.Now().UnixNano() < c.campaignPausedUntil.Load() {
		return
	}
	pause := c.jitter(maxCampaignJitter)
	if c.yieldsCampaign(previous) {
		pause += campaignYieldDelay
	}
	sleep(ctx, pause)
	next := term{Host: c.settings.Name, Process: c.processID, Address: c.settings.MessageAddress.String(), Share: c.settings.ProcessorShare,
		BoundsSince: previous.boundsSince()}
	value, err := msgpack.Marshal(&next)
	if err != nil {
		c.log.Error("ElectionFailed", "Cause", err.Error())
		return
	}
	sent := timekeeper.Now()
	revision, err := c.store.Commit(ctx, storer.Transaction{
		Conditions: append(conditions, storer.Condition{Key: keyTerm, Revision: previous.Revision}),
		Puts:       []storer.Entry{{Key: keyTerm, Value: value}, {Key: keyHead, Value: []byte(c.processID)}},
	})
	if err != nil {
		c.log.Info("ElectionLost", "Epoch", previous.Revision, "Reason", reason, "Cause", err.Error())
		if _, err := c.readTerm(ctx); err != nil {
			c.log.Warn("TermNotRead", "Cause", err.Error())
		}
		return
	}
	next.Revision = revision
	c.log.Info("ElectionWon", "Epoch", revision, "After", previous.Revision, "LastLeader", previous.Host, "HandedOff", previous.HandedOff, "Reason", reason)
	c.metrics.electionsWon.Inc()
	c.startLeadership(ctx, next, previous.HandedOff, sent)
}
