package explainer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"peridotpitch/internal/orchestrator"
)

// leaderTerm is the time from the election of a leader to the next election.
type leaderTerm struct {
	host, epoch, reason string
	electedAt           time.Time
	idleBefore          time.Duration // time without a start or end of a task before the election; 0 if none is in the log
	firstStartAt        time.Time     // zero if the leader has started no task
}

// leaderTerms returns the terms in order of time.
func (lg *Log) leaderTerms() []*leaderTerm {
	var all []*leaderTerm
	var lastActivity time.Time // last start or end of a task
	for _, l := range lg.Lines {
		switch l.Event {
		case "ElectionWon":
			n := &leaderTerm{host: l.Source, epoch: l.Value("Epoch"), reason: l.Value("Reason"), electedAt: l.Time}
			if !lastActivity.IsZero() {
				n.idleBefore = l.Time.Sub(lastActivity)
			}
			all = append(all, n)
		case orchestrator.EventStart, orchestrator.EventEnd:
			if l.Value("Task") == "" {
				continue // start of an entry host
			}
			lastActivity = l.Time
			if n := len(all); n > 0 && l.Event == orchestrator.EventStart && all[n-1].host == l.Source && all[n-1].firstStartAt.IsZero() {
				all[n-1].firstStartAt = l.Time
			}
		}
	}
	return all
}

// Leaders writes a table with a row for each leader's term: when and why the host was
// elected, for how long before the election no task had started or ended, and how long after
// the election the host started its first task.
func (lg *Log) Leaders(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, strings.Join([]string{"ELECTED", "LEADER", "EPOCH", "IDLE BEFORE", "FIRST START", "REASON"}, "\t")); err != nil {
		return err
	}
	for _, n := range lg.leaderTerms() {
		first := "-"
		if !n.firstStartAt.IsZero() {
			first = n.firstStartAt.Sub(n.electedAt).Round(time.Millisecond).String()
		}
		if _, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", n.electedAt.Format("15:04:05.000"), n.host, n.epoch, n.idleBefore.Round(time.Millisecond), first, n.reason); err != nil {
			return err
		}
	}
	return t.Flush()
}
