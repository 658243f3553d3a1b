package orchestrator

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxAdviceWorkers bounds the workers in one request to the outside policy. The policy needs
	// time for each worker, and about 30 workers suffice for a step.
	maxAdviceWorkers = 30
	// ticketValidityMargin is subtracted from the validity of tickets, because a start needs
	// time to reach the worker.
	ticketValidityMargin = 300 * time.Millisecond
	// adviceRetryInterval is the pause after a request without an answer.
	adviceRetryInterval = 300 * time.Millisecond
)

// advice holds the outside policy's answers on a step and the state of the requests.
type advice struct {
	pending       bool // a request is sent and not answered
	requestedAt   time.Time
	retryAt       time.Time
	answered      map[string]bool   // workers on which the policy has answered, by ID
	tickets       map[string]string // valid tickets, by the ID of the allowed worker
	ticketsEnd    time.Time         // when the tickets become invalid; zero: there are none
	allowedBefore map[string]bool   // workers that were ever allowed, by ID; the policy's answer on a worker does not change
}

// denies reports whether the outside policy has answered that the step may not run on a worker.
func (a *advice) denies(w *worker) bool { return a.answered[w.ID] && !a.allowedBefore[w.ID] }

// adviceName returns the step's name in requests to the outside policy.
func (s *step) adviceName() string {
	return fmt.Sprintf("%s.%d.%d", s.occurrence.job.ID, s.occurrence.number, s.index)
}

// advisedWorkers returns the workers with a valid ticket. If there are none, it requests
// tickets; the second result is the reason why the step waits meanwhile.
func (o *Orchestrator) advisedWorkers(s *step, ws []*worker) ([]*worker, string) {
	a := &s.advice
	if !a.ticketsEnd.IsZero() && o.now.After(a.ticketsEnd) {
		a.tickets, a.ticketsEnd = nil, time.Time{}
	}
	var usable []*worker
	for _, w := range ws {
		if a.tickets[w.ID] != "" {
			usable = append(usable, w)
		}
	}
	if len(usable) == 0 && !a.pending && o.now.After(a.retryAt) {
		o.requestAdvice(s, ws)
	}
	return usable, "no worker has a valid ticket of the outside policy yet"
}

// requestAdvice asks the outside policy for tickets of workers with enough free capacity: first
// those that were allowed before, then those on which it has not answered.
func (o *Orchestrator) requestAdvice(s *step, ws []*worker) {
	a := &s.advice
	var names []string
	for _, again := range []bool{true, false} {
		for _, w := range ws {
			fits := w.free().covers(s.countedSize())
			if len(names) < maxAdviceWorkers && fits && a.allowedBefore[w.ID] == again && (again || !a.answered[w.ID]) {
				names = append(names, w.ID)
			}
		}
	}
	if len(names) == 0 {
		return
	}
	a.pending, a.requestedAt = true, o.now
	o.emit(RequestAdvice{Step: s.adviceName(), Workers: names})
}

// adviceAnswered applies an answer of the outside policy.
func (o *Orchestrator) adviceAnswered(e AdviceAnswered) {
	t := o.findTask(e.Step + ".0")
	if t == nil {
		return
	}
	a := &t.step.advice
	a.pending = false
	o.passDue = true
	if e.Failed {
		a.retryAt = o.now.Add(adviceRetryInterval)
		return
	}
	if a.answered == nil {
		a.answered, a.allowedBefore = make(map[string]bool), make(map[string]bool)
	}
	if a.tickets == nil {
		a.tickets = make(map[string]string)
	}
	for _, id := range e.Asked {
		a.answered[id] = true
	}
	for id, ticket := range e.Tickets {
		if slices.Contains(e.Asked, id) {
			a.tickets[id], a.allowedBefore[id] = ticket, true
		}
	}
	a.ticketsEnd = a.requestedAt.Add(e.Valid - ticketValidityMargin)
	o.emit(Note{Event: EventAdvice, Job: t.job().ID, Task: e.Step, Outcome: fmt.Sprintf("%d of %d workers allowed", len(e.Tickets), len(e.Asked)), Age: o.now.Sub(a.requestedAt)})
}
