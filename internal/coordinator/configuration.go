package coordinator

import (
	"context"
	"time"

	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

const (
	// configurationWatchTimeout is how long one watch of the configuration lasts. Each watch
	// is followed by a read, which detects a dead connection and finds changes whose events
	// were lost. A change may take two seconds to be in effect, and the read comes well
	// before that.
	configurationWatchTimeout = 1000 * time.Millisecond
	configurationRetryDelay   = 150 * time.Millisecond
	// configurationFailureLogInterval is the shortest time between two log lines about failed
	// reads of the configuration.
	configurationFailureLogInterval = 2 * time.Second
)

// Calls to the store that bring the configuration, as the log and the metrics name them.
const (
	callRead  = "read"
	callWatch = "watch"
)

// failedReads counts failed reads of the configuration since the last log line about them.
type failedReads struct {
	count    int
	loggedAt time.Time
}

// syncConfiguration keeps the newest configuration in effect. Each watch starts at the
// store's revision of the preceding read, because the configuration's own revision may
// already be compacted.
func (c *Coordinator) syncConfiguration(ctx context.Context) {
	var failed failedReads
	for ctx.Err() == nil {
		begin := time.Now()
		entries, revision, err := c.store.List(ctx, c.deps.Keys.Configuration)
		c.recordConfigurationCall(callRead, begin, err, &failed)
		if err != nil {
			sleep(ctx, configurationRetryDelay)
			continue
		}
		for _, e := range entries {
			if e.Key == c.deps.Keys.Configuration {
				c.applyConfiguration(e, callRead)
			}
		}
		if c.watchConfiguration(ctx, revision, &failed) != nil {
			sleep(ctx, configurationRetryDelay)
		}
	}
}

// watchConfiguration runs one watch and applies the changes that it reports. It returns
// when the configuration should be read again, because a watch may miss a change.
func (c *Coordinator) watchConfiguration(ctx context.Context, revision uint64, failed *failedReads) error {
	select {
	case <-c.configRefetch:
		return nil
	default:
	}
	begin := time.Now()
	es, err := c.store.Watch(ctx, c.deps.Keys.Configuration, revision, configurationWatchTimeout)
	c.recordConfigurationCall(callWatch, begin, err, failed)
	if err != nil {
		return err
	}
	for _, e := range es.Events {
		if e.Key == c.deps.Keys.Configuration && !e.Deleted {
			c.applyConfiguration(e, callWatch)
		}
	}
	return nil
}

// recordConfigurationCall records the result of a read or watch of the configuration.
func (c *Coordinator) recordConfigurationCall(call string, begin time.Time, err error, failed *failedReads) {
	took := time.Since(begin)
	if err == nil {
		c.metrics.configReads.WithLabelValues(call, "done").Observe(took.Seconds())
		c.configCheckedAt.Store(timekeeper.Now().UnixNano())
		return
	}
	c.metrics.configReads.WithLabelValues(call, "failed").Observe(took.Seconds())
	failed.count++
	if time.Since(failed.loggedAt) < configurationFailureLogInterval {
		return
	}
	c.log.Warn("ConfigurationReadFailed", "Call", call, "Took", took.Round(time.Millisecond).String(), "Version", c.configVersion(),
		"CheckedAgo", c.timeSinceConfigurationCheck().Round(time.Millisecond).String(), "Failures", failed.count, "Cause", err.Error())
	*failed = failedReads{loggedAt: time.Now()}
}

// timeSinceConfigurationCheck returns the time since the store last answered a read or watch
// of the configuration, or 0 if it has answered none yet.
func (c *Coordinator) timeSinceConfigurationCheck() time.Duration {
	at := c.configCheckedAt.Load()
	if at == 0 {
		return 0
	}
	return timekeeper.Now().Sub(time.Unix(0, at))
}

// applyConfiguration puts a configuration that call has brought into effect, unless it is
// unreadable or not newer than the one in effect.
func (c *Coordinator) applyConfiguration(e storer.Entry, call string) {
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
		"Bytes", len(e.Value), "Call", call)
}

// refetchOlderConfiguration triggers a read of the configuration if this host's version is
// older than version, which is in effect on another host.
func (c *Coordinator) refetchOlderConfiguration(version uint64) {
	if old := c.config.Load(); old == nil || old.Version < version {
		select {
		case c.configRefetch <- struct{}{}:
		default:
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
