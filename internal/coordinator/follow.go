package coordinator

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// Keys of the store that the coordinator writes.
const (
	prefixLead   = "peridot/lead/"
	keyTerm      = prefixLead + "term"
	keyHead      = prefixLead + "head"
	keyRoster    = "peridot/roster"
	keyLearnt    = "peridot/learnt"
	prefixInput  = "peridot/in/"
	prefixJob    = prefixInput + "job/"
	prefixCancel = prefixInput + "cancel/"
	prefixRecord = "peridot/record/"
)

const (
	// pingEvery is the interval of pings to the leader; a dead process is noticed at the
	// next one, because its host refuses the connection.
	pingEvery = 250 * time.Millisecond
	// pingTimeout is several times the round trip between failure domains; an
	// overloaded leader still answers within it.
	pingTimeout = 500 * time.Millisecond
	// suspectEvery is the interval at which head is read while the leader is suspected.
	suspectEvery = 150 * time.Millisecond
	// refusedWindow is how long head must not have changed if the leader's host refuses
	// connections, and silentWindow if it does not answer. The leader writes head every
	// headEvery; both leave time for a slow answer of the store.
	refusedWindow = 500 * time.Millisecond
	silentWindow  = 900 * time.Millisecond
	// leaderStoreLost is the silence between the leader and the store from which a host
	// that reaches the store takes over.
	leaderStoreLost = 1500 * time.Millisecond
	// campaignJitter spreads the elections of hosts that notice a dead leader at once.
	campaignJitter = 120 * time.Millisecond
	// giveWay is how long a host waits for a better suited one to campaign, and
	// similarShare the part of another host's processor share from which a host is about
	// as well suited to lead as that one.
	giveWay      = 500 * time.Millisecond
	similarShare = 0.6
	// termRetry is the pause after the term could not be read.
	termRetry = 150 * time.Millisecond
)

// term is the value of keyTerm.
type term struct {
	Host      string
	Process   string  // the process that leads; a restarted one does not
	Address   string  // of the leader's messages
	HandedOff bool    // nobody leads; the last leader stopped sending and wrote its records
	Preferred string  // nobody leads; host that should campaign first, if it is there
	Share     float64 // processor share of the leader's host, or of the last one's
	Revision  uint64  `msgpack:"-"`
}

func (t term) address() netip.AddrPort {
	a, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		return netip.AddrPort{} // no host leads
	}
	return a
}

// suspicion is what a host that doubts the leader has seen of head.
type suspicion struct {
	head  uint64
	since time.Time
}

// follow keeps an eye on the leader and takes over when it has gone.
func (c *Coordinator) follow(ctx context.Context) {
	var s suspicion
	for ctx.Err() == nil {
		pause := pingEvery
		if c.leading() == nil && !c.leaving.Load() {
			pause = c.checkLeader(ctx, &s)
		}
		sleep(ctx, pause)
	}
}

// checkLeader pings the leader, and campaigns if there is none. It returns the pause
// before the next check.
func (c *Coordinator) checkLeader(ctx context.Context, s *suspicion) time.Duration {
	t, known := c.currentTerm()
	if !known {
		if _, err := c.readTerm(ctx); err != nil {
			return termRetry
		}
		return 0
	}
	if !t.address().IsValid() {
		if t.Preferred != "" && t.Preferred != c.settings.Name {
			sleep(ctx, giveWay)
		}
		c.campaign(ctx, t, "no host leads")
		return termRetry
	}
	if t.Host == c.settings.Name && t.Address == c.settings.MessageAddress.String() {
		c.campaign(ctx, t, "this host's leadership ended with its last process or a lost answer")
		return termRetry
	}
	p, err := c.ping(ctx, t)
	window := silentWindow
	var unsent *messenger.NotSentError
	switch {
	case err == nil && p.Process != t.Process, err == nil && !p.Leading:
		next, readErr := c.readTerm(ctx)
		if readErr == nil && next.Revision == t.Revision {
			c.campaign(ctx, t, "the leader's process has ended")
		}
		return termRetry
	case err == nil && p.StoreSilence < leaderStoreLost:
		*s = suspicion{}
		return pingEvery
	case errors.As(err, &unsent):
		window = refusedWindow
	}
	return c.suspect(ctx, t, s, window)
}

// suspect reads head and campaigns if it has not changed for the window.
func (c *Coordinator) suspect(ctx context.Context, t term, s *suspicion, window time.Duration) time.Duration {
	entries, _, err := c.store.List(ctx, prefixLead)
	if err != nil {
		*s = suspicion{} // what was seen before the gap proves nothing
		return suspectEvery
	}
	now := timekeeper.Now()
	for _, e := range entries {
		switch e.Key {
		case keyTerm:
			if e.Revision != t.Revision {
				c.adoptTerm(e)
				*s = suspicion{}
				return 0
			}
		case keyHead:
			if s.since.IsZero() || e.Revision != s.head {
				*s = suspicion{head: e.Revision, since: now}
			}
		}
	}
	if s.since.IsZero() {
		s.since = now
	}
	if silent := now.Sub(s.since); silent >= window {
		c.campaign(ctx, t, "the leader neither answers nor writes")
		*s = suspicion{}
	}
	return suspectEvery
}

func (c *Coordinator) currentTerm() (term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term, c.known
}

func (c *Coordinator) readTerm(ctx context.Context) (term, error) {
	e, err := c.store.Get(ctx, keyTerm)
	if err != nil {
		return term{}, err
	}
	return c.adoptTerm(e), nil
}

// adoptTerm takes up a term if it is newer than the known one, and returns the newest.
func (c *Coordinator) adoptTerm(e storer.Entry) term {
	var t term
	if e.Revision > 0 {
		if err := msgpack.Unmarshal(e.Value, &t); err != nil {
			c.log.Error("TermUnreadable", "Revision", e.Revision, "Cause", err.Error())
			t = term{} // nobody leads: the next election writes a readable one
		}
	}
	t.Revision = e.Revision
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && t.Revision <= c.term.Revision {
		return c.term
	}
	c.term, c.known = t, true
	c.log.Info("TermRead", "Leader", t.Host, "Epoch", t.Revision, "HandedOff", t.HandedOff)
	return t
}

// campaign tries to become the leader after the given term.
func (c *Coordinator) campaign(ctx context.Context, after term, reason string) {
	if c.leaving.Load() {
		return
	}
	pause := c.jitter(campaignJitter)
	if c.settings.ProcessorShare < similarShare*after.Share {
		pause += giveWay
	}
	sleep(ctx, pause)
	next := term{Host: c.settings.Name, Process: c.process, Address: c.settings.MessageAddress.String(), Share: c.settings.ProcessorShare}
	value, err := msgpack.Marshal(&next)
	if err != nil {
		c.log.Error("ElectionFailed", "Cause", err.Error())
		return
	}
	sent := timekeeper.Now()
	revision, err := c.store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: keyTerm, Revision: after.Revision}},
		Puts:       []storer.Entry{{Key: keyTerm, Value: value}, {Key: keyHead, Value: []byte(c.process)}},
	})
	if err != nil {
		c.log.Info("ElectionLost", "Epoch", after.Revision, "Reason", reason, "Cause", err.Error())
		if _, err := c.readTerm(ctx); err != nil {
			c.log.Warn("TermNotRead", "Cause", err.Error())
		}
		return
	}
	next.Revision = revision
	c.log.Info("ElectionWon", "Epoch", revision, "After", after.Revision, "LastLeader", after.Host, "HandedOff", after.HandedOff, "Reason", reason)
	c.metrics.elections.Inc()
	c.lead(ctx, next, after.HandedOff, sent)
}
