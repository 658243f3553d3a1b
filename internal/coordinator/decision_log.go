package coordinator

import (
	"context"
	"log/slog"
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

// logInvalidWorkerEntry logs an entry under the workers' prefix that does not describe a
// worker, once for each key.
func (c *Coordinator) logInvalidWorkerEntry(key string, err error) {
	if _, seen := c.invalidWorkerKeys.LoadOrStore(key, true); !seen {
		c.log.Warn("EntryIgnored", "Key", key, "Cause", err.Error())
	}
}
