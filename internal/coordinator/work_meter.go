package coordinator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotpitch/internal/orchestrator"
)

// workReportInterval is the shortest time between two LeaderWork lines.
const workReportInterval = time.Second

// workMeter measures the work of the leader's state machine by kind of event. It is guarded by leadership.mu.
type workMeter struct {
	events     map[string]eventWork // since reportedAt
	reportedAt time.Time
}

// eventWork is the work for the events of one kind.
type eventWork struct {
	count       int
	waited      time.Duration // of all events, from their arrival until the state machine was free
	longestWait time.Duration
	took        time.Duration // of all events, with the scheduling passes that they caused
}

func (m *workMeter) record(kind string, waited, took time.Duration) {
	if m.events == nil {
		m.events = make(map[string]eventWork)
	}
	w := m.events[kind]
	w.count++
	w.waited += waited
	w.longestWait = max(w.longestWait, waited)
	w.took += took
	m.events[kind] = w
}

// eventWaitMeter measures how long events wait for the leader's state machine. It is guarded by leadership.mu.
type eventWaitMeter struct {
	count  int
	waited time.Duration // of all events
}

func (m *eventWaitMeter) add(waited time.Duration) {
	m.count++
	m.waited += waited
}

// take returns the mean wait since the last call.
func (m *eventWaitMeter) take() time.Duration {
	mean := m.waited / time.Duration(max(1, m.count))
	*m = eventWaitMeter{}
	return mean
}

// take returns the work since the last call that returned any, and false if that was less than workReportInterval ago.
func (m *workMeter) take(now time.Time) (map[string]eventWork, bool) {
	if now.Sub(m.reportedAt) < workReportInterval {
		return nil, false
	}
	events := m.events
	m.events, m.reportedAt = nil, now
	return events, true
}

// formatWork returns the work by kind of event, the kind that took longest first: the number of events, their mean and
// longest wait, and the time that they took together.
func formatWork(events map[string]eventWork) string {
	kinds := slices.SortedFunc(maps.Keys(events), func(a, b string) int {
		return cmp.Or(cmp.Compare(events[b].took, events[a].took), cmp.Compare(a, b))
	})
	var b strings.Builder
	for _, k := range kinds {
		w := events[k]
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d/%s/%s/%s", k, w.count, (w.waited / time.Duration(w.count)).Round(100*time.Microsecond), w.longestWait.Round(time.Millisecond), w.took.Round(time.Millisecond))
	}
	return b.String()
}

// writeMeter measures the leader's writes to the store. It is safe for concurrent use.
type writeMeter struct {
	mu      sync.Mutex // guards the fields below
	writes  int
	records int
	took    time.Duration // until the store's answers
}

func (m *writeMeter) add(records int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes, m.records, m.took = m.writes+1, m.records+records, m.took+took
}

// take returns the writes since the last call: their number, the records in them, and the mean time until the store's answer.
func (m *writeMeter) take() (writes, records int, meanTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	writes, records = m.writes, m.records
	meanTime = m.took / time.Duration(max(1, writes))
	m.writes, m.records, m.took = 0, 0, 0
	return writes, records, meanTime
}

// commandWork counts the commands of one kind.
type commandWork struct {
	sent       int
	unanswered int // sent, without an answer within their time limit
	deferred   int // not sent, because they were too old or the host had no connection
}

// commandMeter counts the leader's commands by kind. It is safe for concurrent use.
type commandMeter struct {
	mu    sync.Mutex // guards kinds
	kinds map[string]commandWork
}

func (m *commandMeter) add(kind string, w commandWork) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = make(map[string]commandWork)
	}
	k := m.kinds[kind]
	m.kinds[kind] = commandWork{sent: k.sent + w.sent, unanswered: k.unanswered + w.unanswered, deferred: k.deferred + w.deferred}
}

// take returns the commands since the last call, for each kind their numbers as sent/unanswered/deferred.
func (m *commandMeter) take() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	for _, kind := range slices.Sorted(maps.Keys(m.kinds)) {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		w := m.kinds[kind]
		fmt.Fprintf(&b, "%s=%d/%d/%d", kind, w.sent, w.unanswered, w.deferred)
	}
	m.kinds = nil
	return b.String()
}

// answeredCommand returns the work of a command that was sent.
func answeredCommand(answered bool) commandWork {
	if answered {
		return commandWork{sent: 1}
	}
	return commandWork{sent: 1, unanswered: 1}
}

// startWork returns the work of a start.
func startWork(o orchestrator.StartOutcome) commandWork {
	switch o {
	case orchestrator.StartDeferred:
		return commandWork{deferred: 1}
	case orchestrator.StartUnanswered:
		return commandWork{sent: 1, unanswered: 1}
	}
	return commandWork{sent: 1}
}

// reportWork logs and counts the leader's work at most once in workReportInterval.
func (ld *leadership) reportWork(now time.Time) {
	ld.mu.Lock()
	events, due := ld.work.take(now)
	ld.mu.Unlock()
	if !due {
		return
	}
	for kind, w := range events {
		ld.c.metrics.events.WithLabelValues(kind).Add(float64(w.count))
		ld.c.metrics.eventWait.WithLabelValues(kind).Add(w.waited.Seconds())
		ld.c.metrics.eventWork.WithLabelValues(kind).Add(w.took.Seconds())
	}
	writes, records, writeTime := ld.writes.take()
	r := ld.runtime.take()
	ld.c.log.Info("LeaderWork", "Epoch", ld.term.Revision, "Lag", time.Duration(ld.lag.Load()).Round(time.Millisecond).String(),
		"Processors", fmt.Sprintf("%.2f", ld.processors.processors()), "Writes", writes, "Records", records,
		"WriteTime", writeTime.Round(time.Millisecond).String(), "ScheduleWait", fmt.Sprintf("%s/%s/%s", r.MedianWait.Round(10*time.Microsecond), r.HighWait.Round(10*time.Microsecond), r.LongestWait.Round(100*time.Microsecond)),
		"Collector", r.Collector.Round(time.Millisecond).String(), "HeapMB", r.HeapBytes>>20, "Goroutines", r.Goroutines, "Commands", ld.commands.take(), "Events", formatWork(events))
}
