package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

const (
	// configurationWatchTimeout is how long one watch of the configuration lasts. A watch without
	// an answer after it has a dead connection.
	configurationWatchTimeout = 1000 * time.Millisecond
	configurationRetryDelay   = 150 * time.Millisecond
	// minConfigurationReadInterval is the shortest time between two reads that nothing but time
	// has caused. They find a change that watches have missed for longer than the overlap.
	minConfigurationReadInterval = 5 * time.Second
	// configurationReadRate bounds the cost of these reads, in bytes per second. Control may cost
	// a host 23 kB/s in all.
	configurationReadRate = 8_000
	// configurationFailureLogInterval is the shortest time between two log lines about failed
	// reads of the configuration.
	configurationFailureLogInterval = 2 * time.Second
	// confirmationAge is the age of a configuration that has just arrived from which the next watch does not wait for a
	// change. After a long transfer, or a long wait for the change, the age would soon be over the deadline.
	confirmationAge = 250 * time.Millisecond
	// confirmationWait is the wait of a watch that only asks whether the configuration has changed.
	confirmationWait = time.Millisecond
	// lateConfigurationAge is the age of the configuration from which this host logs that it is late. It is the
	// shortest bound for the effect of a configuration on the platform.
	lateConfigurationAge = 2 * time.Second
	// lateConfigurationLogInterval is the shortest time between two log lines about a late configuration.
	lateConfigurationLogInterval = 2 * time.Second
)

// configurationCall is a call to the store that brings the configuration.
type configurationCall string

const (
	callRead  configurationCall = "read"
	callWatch configurationCall = "watch"
)

// configurationCallInFlight is a call to the store that may bring the configuration and has not ended.
type configurationCallInFlight struct {
	call configurationCall
	sent time.Time // timekeeper time
}

// failedReads counts failed reads of the configuration since the last log line about them.
type failedReads struct {
	count    int
	loggedAt time.Time
}

// configurationSync is the state of syncConfiguration.
type configurationSync struct {
	known        bool // all changes up to position are known
	repeats      bool // the last call failed
	applied      bool // the last answer had a configuration
	position     watchPosition
	readAt       time.Time
	readBytes    int
	triedVersion uint64 // newest version of another host for which the configuration was read
	failed       failedReads
}

// readInterval returns the time from one read to the next if no event causes it.
func (s *configurationSync) readInterval() time.Duration {
	return max(minConfigurationReadInterval, time.Duration(s.readBytes)*time.Second/configurationReadRate)
}

// syncConfiguration keeps the newest configuration in effect. It watches for changes and reads
// the configuration only if a change may have been missed: a large configuration takes seconds of
// a slow link, which callers' requests share.
func (c *Coordinator) syncConfiguration(ctx context.Context) {
	var s configurationSync
	for ctx.Err() == nil {
		update := c.watchConfiguration
		if !s.known || c.pausedSinceConfiguration() || c.otherHostsVersion.Load() > max(c.configVersion(), s.triedVersion) || time.Since(s.readAt) >= s.readInterval() {
			update = c.readConfiguration
		}
		err := update(ctx, &s)
		s.repeats = err != nil
		if err != nil {
			s.known = s.known && !startedAnswer(err)
			sleep(ctx, configurationRetryDelay)
		}
	}
}

// startedAnswer reports whether a call failed after its answer had begun. The answer to a watch may have several versions of the
// configuration, so that a read, which brings the newest one only, may arrive where that answer does not.
func startedAnswer(err error) bool {
	var unavailable *storer.UnavailableError
	var unknown *storer.UnknownOutcomeError
	return errors.As(err, &unavailable) && unavailable.Incomplete || errors.As(err, &unknown)
}

// readConfiguration reads the configuration and applies it if it is newer.
func (c *Coordinator) readConfiguration(ctx context.Context, s *configurationSync) error {
	wanted, begin, asked := c.otherHostsVersion.Load(), time.Now(), timekeeper.Now()
	c.configCall.Store(&configurationCallInFlight{call: callRead, sent: asked})
	entries, revision, err := c.store.List(ctx, c.deps.Keys.Configuration)
	c.recordConfigurationCall(callRead, begin, err, &s.failed)
	c.noteTransfer(asked, err)
	if err != nil {
		return err
	}
	s.known, s.applied = true, true
	s.position.restart(revision, begin)
	s.readAt, s.readBytes, s.triedVersion = time.Now(), 0, wanted
	for _, e := range entries {
		if e.Key == c.deps.Keys.Configuration {
			s.readBytes = len(e.Value)
			c.applyConfiguration(e, callRead)
		}
	}
	c.configAskedAt.Store(asked.UnixNano())
	c.noteConfigurationChecked(asked)
	return nil
}

// watchConfiguration runs one watch and applies the newest of the changes that it reports. A
// change that the store has dropped from its history makes the next call a read.
func (c *Coordinator) watchConfiguration(ctx context.Context, s *configurationSync) error {
	begin, asked, wait := time.Now(), timekeeper.Now(), c.nextConfigurationWait(s)
	c.configCall.Store(&configurationCallInFlight{call: callWatch, sent: asked})
	es, err := c.store.Watch(ctx, c.deps.Keys.Configuration, s.position.start(), wait)
	c.recordConfigurationCall(callWatch, begin, err, &s.failed)
	if err != nil || len(es.Events) > 0 {
		c.noteTransfer(asked, err)
	}
	if err != nil {
		return err
	}
	checked := asked // an answer with a change is as of any time since then
	if len(es.Events) == 0 {
		checked = earlier(asked.Add(wait), timekeeper.Now())
	}
	var newest storer.Entry
	for _, e := range es.Events {
		if e.Key == c.deps.Keys.Configuration && !e.Deleted {
			newest = e
		}
	}
	switch {
	case es.Compacted:
		s.known = false
		return nil
	case newest.Revision > 0:
		s.applied = true
		// Versions are whole: what a watch has missed before the newest one does not matter.
		s.readBytes = len(newest.Value)
		s.position.restart(newest.Revision, time.Now())
		c.applyConfiguration(newest, callWatch)
	default:
		s.applied = false
		s.position.advance(es.StoreRevision, time.Now())
	}
	c.configAskedAt.Store(asked.UnixNano())
	c.noteConfigurationChecked(checked)
	return nil
}

// earlier returns the earlier of two times.
func earlier(t, u time.Time) time.Time {
	if u.Before(t) {
		return u
	}
	return t
}

// pausedSinceConfiguration reports whether this process has been paused since it asked the store for the
// configuration in effect, so that a newer one may have been in effect elsewhere for long. An answer that was on
// its way during the pause does not count.
func (c *Coordinator) pausedSinceConfiguration() bool {
	return c.pauses.pausedSince(time.Unix(0, c.configAskedAt.Load()), timekeeper.Now())
}

// recordConfigurationCall records the result of a read or watch of the configuration.
func (c *Coordinator) recordConfigurationCall(call configurationCall, begin time.Time, err error, failed *failedReads) {
	took := time.Since(begin)
	if err == nil {
		c.metrics.configReads.WithLabelValues(string(call), "done").Observe(took.Seconds())
		return
	}
	c.metrics.configReads.WithLabelValues(string(call), "failed").Observe(took.Seconds())
	failed.count++
	if time.Since(failed.loggedAt) < configurationFailureLogInterval {
		return
	}
	c.log.Warn("ConfigurationReadFailed", "Call", string(call), "Took", took.Round(time.Millisecond).String(), "Version", c.configVersion(),
		"CheckedAgo", c.timeSinceConfigurationCheck().Round(time.Millisecond).String(), "Failures", failed.count, "Cause", err.Error())
	*failed = failedReads{loggedAt: time.Now()}
}

// noteConfigurationChecked records that the version in effect was the newest one at a time.
func (c *Coordinator) noteConfigurationChecked(at time.Time) {
	for {
		known := c.configCheckedAt.Load()
		if at.UnixNano() <= known || c.configCheckedAt.CompareAndSwap(known, at.UnixNano()) {
			return
		}
	}
}

// timeSinceConfigurationCheck returns the age of the configuration in effect: the time since it is known to
// have been the newest one, or 0 if there is none yet.
func (c *Coordinator) timeSinceConfigurationCheck() time.Duration {
	at := c.configCheckedAt.Load()
	if at == 0 {
		return 0
	}
	return timekeeper.Now().Sub(time.Unix(0, at))
}

// noteLeadersConfiguration takes over what a leader's answer to a ping says about the configuration in effect here: it was the
// newest one when the leader's was, unless the leader has a newer one.
func (c *Coordinator) noteLeadersConfiguration(a pingAnswer, sent time.Time) {
	if a.Version == 0 || a.Version > c.configVersion() {
		return
	}
	age := a.ConfigurationAge
	if age == 0 {
		age = a.StoreSilence // the build before does not tell the age
	}
	c.noteConfigurationChecked(sent.Add(-max(0, age)))
}

// transferring reports whether a large configuration is or was just on its way here, so that the store serves this host, although
// it may answer no other call in time.
func (c *Coordinator) transferring() bool {
	return c.longConfigurationCall() || timekeeper.Now().Sub(time.Unix(0, c.transferredAt.Load())) < 2*storeProbeSilence
}

// noteTransfer records the end of a call that has brought a configuration, or a part of it, if it took long.
func (c *Coordinator) noteTransfer(sent time.Time, err error) {
	var unavailable *storer.UnavailableError
	now := timekeeper.Now()
	if errors.As(err, &unavailable) && unavailable.Incomplete || err == nil && now.Sub(sent) >= storeProbeSilence {
		c.transferredAt.Store(now.UnixNano())
	}
}

// configurationAge returns the age of the configuration for the answer to a ping, in which 0 means that it is not told.
func (c *Coordinator) configurationAge() time.Duration {
	return max(time.Nanosecond, c.timeSinceConfigurationCheck())
}

// configurationWait returns how long a watch of the configuration waits for a change. A watch that ends without one shows that
// the configuration is in time for as long as the next one lasts.
func (c *Coordinator) configurationWait() time.Duration {
	if d := c.settings.ConfigurationDeadline; d > 0 {
		return min(configurationWatchTimeout, d/2)
	}
	return configurationWatchTimeout
}

// nextConfigurationWait returns the wait of the next watch. After a failed call the watch does not wait, so that its answer shows at
// once whether the store is back.
func (c *Coordinator) nextConfigurationWait(s *configurationSync) time.Duration {
	if s.repeats || s.applied && c.timeSinceConfigurationCheck() >= confirmationAge {
		return confirmationWait
	}
	return c.configurationWait()
}

// logLateConfiguration logs that the configuration in effect may have been replaced for some time, and what this host is
// doing about it. loggedAt is when it last did so; the result is its new value.
func (c *Coordinator) logLateConfiguration(loggedAt time.Time) time.Time {
	age, call := c.timeSinceConfigurationCheck(), c.configCall.Load()
	if age < lateConfigurationAge || call == nil || time.Since(loggedAt) < lateConfigurationLogInterval {
		return loggedAt
	}
	c.log.Warn("ConfigurationLate", "Version", c.configVersion(), "CheckedAgo", age.Round(time.Millisecond).String(),
		"OtherHostsVersion", c.otherHostsVersion.Load(), "Call", string(call.call),
		"CallSentAgo", timekeeper.Now().Sub(call.sent).Round(time.Millisecond).String(),
		"StoreSilence", c.timeSinceStoreSuccess().Round(time.Millisecond).String())
	return time.Now()
}

// applyConfiguration puts a configuration that call has brought into effect, unless it is
// unreadable or not newer than the one in effect.
func (c *Coordinator) applyConfiguration(e storer.Entry, call configurationCall) {
	n, err := c.deps.Decoder.Configuration(e.Value)
	if err != nil {
		c.log.Error("ConfigurationRefused", "Revision", e.Revision, "Cause", err.Error())
		return
	}
	old := c.config.Load()
	if old != nil && n.Version <= old.Version {
		return // a delayed answer of the store must not bring back an older version
	}
	c.config.Store(&n)
	c.metrics.configVersion.Set(float64(n.Version))
	c.metrics.configBytes.Set(float64(len(e.Value)))
	c.log.Info("ConfigurationApplied", "Version", n.Version, "Revision", e.Revision, "Queues", len(n.Queues),
		"Bytes", len(e.Value), "Call", string(call), "CheckedAgo", c.timeSinceConfigurationCheck().Round(time.Millisecond).String())
}

// noteOtherHostsVersion makes syncConfiguration read the configuration if this host's version is
// older than version, which is in effect on another host.
func (c *Coordinator) noteOtherHostsVersion(version uint64) { raise(&c.otherHostsVersion, version) }

// raise sets a value to n unless it is higher, and reports whether it is.
func raise(value *atomic.Uint64, n uint64) (higher bool) {
	for {
		known := value.Load()
		if n <= known {
			return n < known
		}
		if value.CompareAndSwap(known, n) {
			return false
		}
	}
}

// configVersion returns the version of the configuration in effect, or 0 if there is none.
func (c *Coordinator) configVersion() uint64 {
	if n := c.config.Load(); n != nil {
		return n.Version
	}
	return 0
}
