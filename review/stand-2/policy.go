//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxWaitingCalls is the number of calls that may wait; further ones get 429.
const maxWaitingCalls = 32

// policy is a stand-in of the advice service. It has an address for each calling machine, and handles one call at a time for each of
// them, in turn. A call whose channel has ended is given up at once.
type policy struct {
	decide, period, validity time.Duration
	record                   *record
	answered, abandoned      atomic.Int64

	mu      sync.Mutex
	tickets map[string]time.Time // end of the validity
	asked   map[string]bool      // minions that calls have named
	all     bool                 // steps may run on all minions
}

// askedMinions returns the number of minions that calls have named.
func (p *policy) askedMinions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.asked)
}

func newPolicy(r *record, decide, period, validity time.Duration) *policy {
	return &policy{decide: decide, period: period, validity: validity, record: r, tickets: make(map[string]time.Time), asked: make(map[string]bool)}
}

func (p *policy) advice() string {
	return fmt.Sprintf(`{"decideMs":%d,"periodMs":%d,"validityMs":%d}`, p.decide.Milliseconds(), p.period.Milliseconds(), p.validity.Milliseconds())
}

// listen opens the address for one calling machine.
func (p *policy) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var waiting atomic.Int32
	turn := make(chan struct{}, 1)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.advise(w, r, &waiting, turn) }))
	return l.Addr().String(), nil
}

func (p *policy) advise(w http.ResponseWriter, r *http.Request, waiting *atomic.Int32, turn chan struct{}) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Workers) > 100 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if waiting.Add(1) > maxWaitingCalls {
		waiting.Add(-1)
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	select {
	case turn <- struct{}{}:
		waiting.Add(-1)
		defer func() { <-turn }()
	case <-r.Context().Done():
		waiting.Add(-1)
		p.abandoned.Add(1)
		p.record.line("advise %s: its channel ended while it waited", q.Step)
		return
	}
	begin := time.Now()
	select {
	case <-time.After(p.decide + time.Duration(len(q.Workers))*p.period):
	case <-r.Context().Done():
		p.abandoned.Add(1)
		p.record.line("advise %s: its channel ended after %d ms", q.Step, time.Since(begin).Milliseconds())
		return
	}
	allowed := [][2]string{}
	p.mu.Lock()
	for _, id := range q.Workers {
		p.asked[id] = true
		if p.allows(q.Step, id) {
			ticket := fmt.Sprintf("%s-%s", q.Step, id)
			p.tickets[ticket] = time.Now().Add(p.validity)
			allowed = append(allowed, [2]string{id, ticket})
		}
	}
	p.mu.Unlock()
	p.answered.Add(1)
	p.record.line("advise %s: %d of %d allowed", q.Step, len(allowed), len(q.Workers))
	reply(w, http.StatusOK, map[string]any{"allowed": allowed, "validityMs": p.validity.Milliseconds()})
}

// allows reports whether a step may run on a minion: on all of them, or on about half.
func (p *policy) allows(step, id string) bool {
	if p.all {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + "/" + id))
	return h.Sum32()>>16&1 == 0
}

// valid reports whether a start of a task on a minion carries a valid ticket.
func (p *policy) valid(task, id, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return ticket == step+"-"+id && time.Now().Before(p.tickets[ticket])
}
