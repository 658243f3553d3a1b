package orchestrator

import (
	"fmt"
	"slices"
	"time"
)

const (
	// adviceLimit is how many workers one question to the outside policy names. Each
	// costs time there, and about as many suffice for a step.
	adviceLimit = 30
	// adviceMargin is subtracted from the validity of tickets, for the way to the worker.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a question that got no answer.
	adviceRetry = 300 * time.Millisecond
)

// advice is what the outside policy has said of a step.
type advice struct {
	asking  bool
	askedAt time.Time
	retryAt time.Time
	asked   map[string]bool   // workers whose answer is known
	tickets map[string]string // workers that are allowed
	until   time.Time         // end of the tickets' validity
	allowed map[string]bool   // workers that were allowed before; the answer does not change
}

func (s *step) adviceName() string {
	return fmt.Sprintf("%s.%d.%d", s.occurrence.job.ID, s.occurrence.number, s.index)
}

// advisedWorkers returns the workers with a valid ticket, and asks for more.
func (o *Orchestrator) advisedWorkers(s *step, ws []*worker) ([]*worker, string) {
	a := &s.advice
	if !a.until.IsZero() && o.now.After(a.until) {
		a.tickets, a.until = nil, time.Time{}
	}
	var usable []*worker
	for _, w := range ws {
		if a.tickets[w.ID] != "" {
			usable = append(usable, w)
		}
	}
	if len(usable) == 0 && !a.asking && o.now.After(a.retryAt) {
		o.askAdvice(s, ws)
	}
	return usable, "the outside policy has allowed no worker yet"
}

// askAdvice asks about workers with room: those that were allowed before first, then
// those whose answer is not known.
func (o *Orchestrator) askAdvice(s *step, ws []*worker) {
	a := &s.advice
	var names []string
	for _, again := range []bool{true, false} {
		for _, w := range ws {
			fits := w.free().covers(s.sizeOn())
			if len(names) < adviceLimit && fits && a.allowed[w.ID] == again && (again || !a.asked[w.ID]) {
				names = append(names, w.ID)
			}
		}
	}
	if len(names) == 0 {
		return
	}
	a.asking, a.askedAt = true, o.now
	o.do(AskAdvice{Step: s.adviceName(), Workers: names})
}

func (o *Orchestrator) advised(e Advised) {
	t := o.find(e.Step + ".0")
	if t == nil {
		return
	}
	a := &t.step.advice
	a.asking = false
	o.passDue = true
	if e.Failed {
		a.retryAt = o.now.Add(adviceRetry)
		return
	}
	if a.asked == nil {
		a.asked, a.allowed = make(map[string]bool), make(map[string]bool)
	}
	if a.tickets == nil {
		a.tickets = make(map[string]string)
	}
	for _, id := range e.Asked {
		a.asked[id] = true
	}
	for id, ticket := range e.Tickets {
		if slices.Contains(e.Asked, id) {
			a.tickets[id], a.allowed[id] = ticket, true
		}
	}
	a.until = a.askedAt.Add(e.Valid - adviceMargin)
	o.do(Note{Event: EventAdvice, Job: t.job().ID, Task: e.Step, Outcome: fmt.Sprintf("%d of %d workers allowed", len(e.Tickets), len(e.Asked)), Age: o.now.Sub(a.askedAt)})
}
