package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"peridotpitch/internal/orchestrator"
)

// logDecision logs a decision of the orchestrator and counts it.
func (c *Coordinator) logDecision(n orchestrator.Note) {
	c.metrics.decisions.WithLabelValues(n.Event).Inc()
	switch n.Event {
	case orchestrator.EventJobStarted:
		c.metrics.jobStart.WithLabelValues(n.Queue).Observe(n.Age.Seconds())
	case orchestrator.EventJobFinished:
		c.metrics.jobDuration.WithLabelValues(n.Queue, n.Outcome).Observe(n.Age.Seconds())
	}
	attrs := make([]slog.Attr, 0, 8)
	add := func(key, value string) {
		if value != "" {
			attrs = append(attrs, slog.String(key, value))
		}
	}
	add("Job", n.Job)
	add("Queue", n.Queue)
	add("Task", n.Task)
	if n.Run > 0 {
		attrs = append(attrs, slog.Int("Run", n.Run))
	}
	add("Worker", n.Worker)
	add("Outcome", n.Outcome)
	add("Reason", n.Reason)
	if n.Age > 0 {
		add("Age", n.Age.Round(time.Millisecond).String())
	}
	add("Inputs", n.Figures)
	c.log.LogAttrs(context.Background(), slog.LevelInfo, n.Event, attrs...)
}

// maxLoggedKeys bounds the keys of invalid entries that are remembered.
const maxLoggedKeys = 1000

// keySet is a set of at most maxLoggedKeys keys. It is safe for concurrent use.
type keySet struct {
	mu   sync.Mutex // guards keys
	keys map[string]bool
}

// add adds a key, and reports whether it was new. A full set is emptied first.
func (k *keySet) add(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.keys[key] {
		return false
	}
	if k.keys == nil || len(k.keys) >= maxLoggedKeys {
		k.keys = make(map[string]bool)
	}
	k.keys[key] = true
	return true
}

// logInvalidWorkerEntry logs an entry under the workers' prefix that does not describe a
// worker, once for each key as long as there are not more than maxLoggedKeys of them.
func (c *Coordinator) logInvalidWorkerEntry(key string, err error) {
	if c.invalidWorkerKeys.add(key) {
		c.log.Warn("EntryIgnored", "Key", key, "Cause", err.Error())
	}
}
