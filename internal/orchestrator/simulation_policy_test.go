package orchestrator_test

import (
	"slices"
	"time"

	"peridotpitch/internal/orchestrator"
)

// policyService is the outside policy, with the connections of the leaders' hosts to it. It handles one call of a host at a time, in turn,
// and a host has one connection to it. A call that its host has given up is dropped at once.
type policyService struct {
	decide, perWorker, validity time.Duration
	allows                      func(step, worker string) bool
	down                        bool                   // calls get no answer
	fails                       func(step string) bool // whether calls for a step get no answer; nil: none

	calls               []*policyCall // not ended, in the order of their requests
	answered, abandoned int
	ended               map[policyTicket]time.Time
	refusedStarts       int            // for lack of a valid ticket
	asked               map[string]int // answered calls that named a worker, by its ID
}

// policyCall is a call of a leader.
type policyCall struct {
	leader    *simulatedLeader
	request   orchestrator.RequestAdvice
	timeoutAt time.Time
	answerAt  time.Time // zero: it waits for the connection
}

// policyTicket allows starts of a step's tasks on one process of a worker.
type policyTicket struct {
	ticket      string
	incarnation int64
}

func (p *policyService) request(l *simulatedLeader, a orchestrator.RequestAdvice) {
	p.calls = append(p.calls, &policyCall{leader: l, request: a, timeoutAt: l.w.now.Add(2 * time.Second)})
}

// advance answers the calls that are due, and ends those whose time is over.
func (p *policyService) advance(w *simulation) {
	for again := true; again; {
		again = false
		used := make(map[*simulatedLeader]bool)
		for _, c := range slices.Clone(p.calls) {
			switch {
			case !c.answerAt.IsZero() && !c.answerAt.After(w.now):
				p.answer(w, c)
				again = true
			case !w.now.Before(c.timeoutAt):
				p.abandoned++
				p.end(c, orchestrator.AdviceAnswered{Step: c.request.Step, Asked: c.request.Workers, Failed: true})
				again = true
			case used[c.leader]:
			case c.answerAt.IsZero():
				c.answerAt = w.now.Add(p.decide + time.Duration(len(c.request.Workers))*p.perWorker)
				if p.down || p.fails != nil && p.fails(c.request.Step) {
					c.answerAt = c.timeoutAt.Add(time.Second)
				}
				used[c.leader] = true
			default:
				used[c.leader] = true
			}
		}
	}
}

func (p *policyService) answer(w *simulation, c *policyCall) {
	p.answered++
	a := orchestrator.AdviceAnswered{Step: c.request.Step, Asked: c.request.Workers, Tickets: make(map[string]string), Valid: p.validity}
	if p.asked == nil {
		p.asked = make(map[string]int)
	}
	for _, id := range c.request.Workers {
		p.asked[id]++
		if k := w.workers[id]; k != nil && p.allows(c.request.Step, id) {
			ticket := c.request.Step + "-" + id
			a.Tickets[id] = ticket
			if p.ended == nil {
				p.ended = make(map[policyTicket]time.Time)
			}
			p.ended[policyTicket{ticket, k.incarnation}] = w.now.Add(p.validity)
		}
	}
	p.end(c, a)
}

func (p *policyService) end(c *policyCall, a orchestrator.AdviceAnswered) {
	p.calls = slices.DeleteFunc(p.calls, func(k *policyCall) bool { return k == c })
	c.leader.step(a)
}

// accepts reports whether a start on a worker has a valid ticket.
func (p *policyService) accepts(k *simulatedWorker, ticket string, now time.Time) bool {
	valid := now.Before(p.ended[policyTicket{ticket, k.incarnation}])
	if !valid {
		p.refusedStarts++
	}
	return valid
}
