package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
)

// modelTimeout is MaxRequestTimeout in the model. A short one lets many changes of
// membership take effect within one run.
const modelTimeout = 2 * time.Second

// model is a failure domain: entry hosts with routers, a shard's owner, and the backend
// servers' true use of slots and connections.
type model struct {
	t         *rapid.T
	now       time.Time
	random    *rand.Rand
	endpoints []messenger.Endpoint
	hosts     map[string]*modelHost
	names     []string // configured
	changed   time.Time
	owner     string
	epoch     uint64
	allocator *Allocator
	allocated int // number of configured hosts that the allocator knows
	learns    time.Time
	running   []*modelRequest
	answers   []modelAnswer
	requests  int
	granted   int
}

type modelHost struct {
	name    string
	process int
	router  *Router
	count   int // configured hosts that it knows
	learns  time.Time
	started time.Time
	reports uint64
}

// modelRequest is a request that runs at a backend server.
type modelRequest struct {
	host     *modelHost
	choice   Instance
	ends     time.Time // at the latest
	orphaned bool      // its connection is closed
}

// modelAnswer is an answer to a heartbeat that is on its way.
type modelAnswer struct {
	to     *modelHost
	from   string
	sentAt time.Time
	grants []messenger.SlotGrant
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(1000, 0), hosts: make(map[string]*modelHost),
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	m.endpoints = []messenger.Endpoint{
		{Instance: "quotes-0", Service: "quotes", Slots: 8, Connections: 20},
		{Instance: "quotes-1", Service: "quotes", Slots: 4, Connections: 12}, // at times fewer slots than hosts
		{Instance: "quotes-2", Service: "quotes", Slots: 8, Connections: 3},  // fewer connections than slots
	}
	for i := range modelHosts().Draw(t, "hosts") {
		m.names = append(m.names, fmt.Sprint("host-", i))
	}
	for _, n := range m.names {
		m.start(n, true)
	}
	m.takeOver(m.names[0])
	return m
}

// modelHosts draws a number of configured hosts. Small ones leave a pool.
func modelHosts() *rapid.Generator[int] { return rapid.SampledFrom([]int{2, 3, 4, 1, 8}) }

// start starts a host's process. Settled is true before the first change.
func (m *model) start(name string, first bool) {
	h := &modelHost{name: name, count: len(m.names), started: m.now}
	s := Settings{Policy: configurator.RoutingAdaptive, MaxRequestTimeout: modelTimeout}
	if old := m.hosts[name]; old != nil {
		h.process = old.process + 1
	}
	if !first {
		s.HoldUntil = m.now.Add(modelTimeout + AbandonMargin)
	}
	h.router = New(s, m.random)
	h.router.Update(m.endpoints, Membership{Hosts: h.count, Settled: first || m.settled()}, m.now)
	m.hosts[name] = h
}

// settled reports whether the configuration has been the same for long enough.
func (m *model) settled() bool {
	return m.changed.IsZero() || m.now.Sub(m.changed) >= ShareDelay(modelTimeout)
}

func (m *model) takeOver(name string) {
	m.owner, m.epoch = name, m.epoch+1
	m.allocator = NewAllocator(m.epoch, modelTimeout, m.now)
	m.allocator.Update(m.endpoints, m.names, m.settled(), m.now)
}

// host draws a running host; nil if there is none.
func (m *model) host() *modelHost {
	names := sortedKeys(m.hosts)
	if len(names) == 0 {
		return nil
	}
	return m.hosts[rapid.SampledFrom(names).Draw(m.t, "host")]
}

// advance lets time pass, with the events of the backend servers and of adoption.
func (m *model) advance(d time.Duration) {
	until := m.now.Add(d)
	for {
		next := until
		for _, h := range m.hosts {
			if h.count != len(m.names) && h.learns.Before(next) {
				next = h.learns
			}
		}
		m.now = next
		m.running = slices.DeleteFunc(m.running, func(q *modelRequest) bool { return !q.ends.After(m.now) })
		m.adopt()
		if !m.now.Before(until) {
			return
		}
	}
}

func (m *model) adopt() {
	for _, name := range sortedKeys(m.hosts) {
		h := m.hosts[name]
		if h.count == len(m.names) || h.learns.After(m.now) {
			continue
		}
		h.count = len(m.names)
		if !slices.Contains(m.names, name) {
			m.kill(h)
			continue
		}
		h.router.Update(m.endpoints, Membership{Hosts: h.count}, m.now)
		if name == m.owner {
			m.allocator.Update(m.endpoints, m.names, m.settled(), m.now)
		}
	}
}

// kill ends a host's process. Its requests run on, but their connections are closed.
func (m *model) kill(h *modelHost) {
	delete(m.hosts, h.name)
	if h.name == m.owner {
		m.owner = "" // until somebody takes over
	}
	for _, q := range m.running {
		if q.host == h {
			q.orphaned = true
		}
	}
}

func (m *model) pick(h *modelHost) {
	if h == nil {
		return
	}
	for range rapid.IntRange(6, 12).Draw(m.t, "requests") {
		m.requests++
		deadline := m.now.Add(modelTimeout)
		if rapid.IntRange(0, 3).Draw(m.t, "short") == 0 {
			deadline = m.now.Add(modelTimeout / 8)
		}
		c, found := h.router.Pick(Request{ID: fmt.Sprint(m.requests), Service: "quotes", Deadline: deadline}, m.now).(Instance)
		if !found {
			h.router.Want("quotes", 6, m.now)
			return
		}
		m.running = append(m.running, &modelRequest{host: h, choice: c, ends: deadline.Add(AbandonMargin)})
	}
}

func (m *model) done() {
	for i, q := range m.running {
		if q.orphaned || rapid.IntRange(0, 2).Draw(m.t, "skip") == 0 {
			continue
		}
		kind := rapid.SampledFrom([]OutcomeKind{OutcomeAnswered, OutcomeNotRun, OutcomeAbandoned}).Draw(m.t, "outcome")
		q.host.router.Done(q.choice, Outcome{Kind: kind, Latency: time.Millisecond, SlotsUsed: -1}, m.now)
		if kind == OutcomeAbandoned {
			q.orphaned = true // it runs on
		} else {
			m.running = slices.Delete(m.running, i, i+1)
		}
		return
	}
}

// heartbeat sends a report to the owner. The answer arrives later, if at all.
func (m *model) heartbeat(h *modelHost) {
	if h == nil || m.hosts[m.owner] == nil {
		return
	}
	m.advance(time.Microsecond) // the answers to two demands at the same time are refused
	h.reports++
	p := Report{
		Host: h.name, Incarnation: fmt.Sprint(h.process), Sequence: h.reports,
		RunningFor: m.now.Sub(h.started), Demand: h.router.Demand(m.owner, m.now),
	}
	if rapid.IntRange(0, 5).Draw(m.t, "lost") == 0 {
		return
	}
	grants := m.allocator.Step(p, m.now)
	for _, g := range grants {
		m.granted += g.Slots
	}
	m.answers = append(m.answers, modelAnswer{h, m.owner, m.now, grants})
}

func (m *model) answer() {
	if len(m.answers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.answers)-1).Draw(m.t, "answer")
	a := m.answers[i]
	m.answers = slices.Delete(m.answers, i, i+1)
	if rapid.IntRange(0, 5).Draw(m.t, "lost") == 0 || m.hosts[a.to.name] != a.to {
		return
	}
	for _, g := range a.grants {
		a.to.router.Grant(a.from, g, a.sentAt, m.now)
	}
}

// reconfigure adds or removes hosts. Everybody learns of it within ConfigurationDelay.
func (m *model) reconfigure() {
	if m.now.Sub(m.changed) < ConfigurationDelay {
		return // adoption of the last change is still going on
	}
	count := modelHosts().Draw(m.t, "count")
	m.changed = m.now
	for _, name := range sortedKeys(m.hosts) {
		delay := time.Duration(rapid.IntRange(0, int(ConfigurationDelay/time.Millisecond)).Draw(m.t, "learns")) * time.Millisecond
		m.hosts[name].learns = m.now.Add(delay)
	}
	m.names = nil
	for i := range count {
		m.names = append(m.names, fmt.Sprint("host-", i))
	}
	for _, n := range m.names {
		if m.hosts[n] == nil {
			m.start(n, false)
		}
	}
}

// check compares the backend servers' true use with their slots and connections.
func (m *model) check() {
	for _, e := range m.endpoints {
		slots, connections := 0, 0
		for _, q := range m.running {
			if q.choice.Name != e.Instance {
				continue
			}
			slots++
			if !q.orphaned {
				connections++
			}
		}
		if slots > e.Slots || connections > e.Connections {
			m.t.Fatalf("%s runs %d requests on %d connections", e.Instance, slots, connections)
		}
	}
}

// Guards against more requests at an instance than it has slots or connections, summed
// over all entry hosts, through lost and late heartbeats, deaths, restarts, pauses,
// changes of the owner and of the membership.
func TestShareHolds(t *testing.T) {
	requests, granted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(*rapid.T) { m.pick(m.host()) },
			"pick at all": func(*rapid.T) {
				for _, name := range sortedKeys(m.hosts) {
					m.pick(m.hosts[name])
				}
			},
			"done":      func(*rapid.T) { m.done() },
			"heartbeat": func(*rapid.T) { m.heartbeat(m.host()) },
			"exchange": func(*rapid.T) {
				for _, name := range sortedKeys(m.hosts) {
					m.heartbeat(m.hosts[name])
					m.answer()
				}
			},
			"rush": func(*rapid.T) { // one host takes all that it can get
				h := m.host()
				for range 2 {
					m.heartbeat(h)
					m.answer()
					m.advance(time.Millisecond)
				}
				m.pick(h)
			},
			"answer": func(*rapid.T) { m.answer() },
			"soon": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"later": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 14).Draw(t, "s")) * time.Second)
			},
			"restart": func(*rapid.T) {
				if h := m.host(); h != nil && slices.Contains(m.names, h.name) && h.count == len(m.names) {
					m.kill(h)
					m.hosts[h.name] = h // for the number of its process
					m.start(h.name, false)
				}
			},
			"take over": func(*rapid.T) {
				if h := m.host(); h != nil && h.count == len(m.names) {
					m.takeOver(h.name)
				}
			},
			"reconfigure": func(*rapid.T) { m.reconfigure() },
			"":            func(*rapid.T) { m.check() },
		})
		requests += m.requests
		granted += m.granted
	})
	t.Logf("%d requests, %d granted slots", requests, granted)
	if granted == 0 {
		t.Error("no slot was ever granted")
	}
}
