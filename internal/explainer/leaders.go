package explainer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"peridotpitch/internal/orchestrator"
)

// leadership is the time from a host's election to the next one.
type leadership struct {
	host, epoch, reason string
	elected             time.Time
	idle                time.Duration // since the last start or end before the election
	firstStart          time.Time     // zero: it has started nothing
}

// leaderships returns who led, in the order of time.
func (g *Log) leaderships() []*leadership {
	var all []*leadership
	var last time.Time // of a start or end
	for _, l := range g.Lines {
		switch l.Event {
		case "ElectionWon":
			n := &leadership{host: l.Source, epoch: l.Value("Epoch"), reason: l.Value("Reason"), elected: l.At}
			if !last.IsZero() {
				n.idle = l.At.Sub(last)
			}
			all = append(all, n)
		case orchestrator.EventStart, orchestrator.EventEnd:
			if l.Value("Task") == "" {
				continue // the start of a process
			}
			last = l.At
			if n := len(all); n > 0 && l.Event == orchestrator.EventStart && all[n-1].host == l.Source && all[n-1].firstStart.IsZero() {
				all[n-1].firstStart = l.At
			}
		}
	}
	return all
}

// Leaders writes who led, why that changed, how long nothing had been started or ended
// when a host was elected, and how long after its election it started a task.
func (g *Log) Leaders(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, strings.Join([]string{"ELECTED", "LEADER", "EPOCH", "IDLE BEFORE", "FIRST START", "REASON"}, "\t")); err != nil {
		return err
	}
	for _, n := range g.leaderships() {
		first := "-"
		if !n.firstStart.IsZero() {
			first = n.firstStart.Sub(n.elected).Round(time.Millisecond).String()
		}
		if _, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", n.elected.Format("15:04:05.000"), n.host, n.epoch, n.idle.Round(time.Millisecond), first, n.reason); err != nil {
			return err
		}
	}
	return t.Flush()
}
