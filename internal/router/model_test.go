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

// modelTimeout is MaxRequestTimeout in the model. It is short, so that many changes of the
// membership take effect within one run.
const modelTimeout = 2 * time.Second

// model simulates a failure domain: entry hosts with routers, a shard's owner, and the
// actual use of slots and connections at the backend servers.
type model struct {
	t               *rapid.T
	now             time.Time
	random          *rand.Rand
	endpoints       []messenger.Endpoint
	hosts           map[string]*modelHost
	configuredHosts []string  // names
	changedAt       time.Time // time of the last change of the configuration; zero: none
	owner           string    // name of the host that owns the shard; empty until a host takes over
	epoch           uint64
	allocator       *Allocator
	allocatorHosts  int // number of hosts in the configuration that the allocator uses
	adoptsAt        time.Time
	running         []*modelRequest
	answers         []modelAnswer
	requestCount    int
	grantedSlots    int
}

type modelHost struct {
	name          string
	processNumber int
	router        *Router
	adoptedHosts  int       // number of entry hosts in the configuration that this host has adopted
	adoptsAt      time.Time // time of adopting the configuration
	started       time.Time
	reportCount   uint64
}

// modelRequest is a request that runs at a backend server.
type modelRequest struct {
	host     *modelHost
	choice   ChosenInstance
	endsAt   time.Time // at the latest
	orphaned bool      // its connection is closed
}

// modelAnswer is an answer to a heartbeat that has been sent but not delivered.
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
		{Instance: "quotes-1", Service: "quotes", Slots: 4, Connections: 12}, // at times more hosts than slots
		{Instance: "quotes-2", Service: "quotes", Slots: 8, Connections: 3},  // fewer connections than slots
	}
	for i := range drawHostCount().Draw(t, "hosts") {
		m.configuredHosts = append(m.configuredHosts, fmt.Sprint("host-", i))
	}
	for _, n := range m.configuredHosts {
		m.start(n, true)
	}
	m.takeOver(m.configuredHosts[0])
	return m
}

// drawHostCount draws a number of configured hosts. With small numbers the instances have
// a pool.
func drawHostCount() *rapid.Generator[int] { return rapid.SampledFrom([]int{2, 3, 4, 1, 8}) }

// start starts a host's process. First is true for hosts of the initial configuration.
func (m *model) start(name string, first bool) {
	h := &modelHost{name: name, adoptedHosts: len(m.configuredHosts), started: m.now}
	s := Settings{Policy: configurator.RoutingAdaptive, MaxRequestTimeout: modelTimeout}
	if old := m.hosts[name]; old != nil {
		h.processNumber = old.processNumber + 1
	}
	if !first {
		s.HoldUntil = m.now.Add(modelTimeout + AbandonMargin)
	}
	h.router = New(s, m.random)
	h.router.Update(m.endpoints, Membership{Hosts: h.adoptedHosts, Settled: first || m.settled()}, m.now)
	m.hosts[name] = h
}

// settled reports whether the configuration has not changed for ShareDelay.
func (m *model) settled() bool {
	return m.changedAt.IsZero() || m.now.Sub(m.changedAt) >= ShareDelay(modelTimeout)
}

// takeOver makes a host the owner of the shard, with a new epoch.
func (m *model) takeOver(name string) {
	m.owner, m.epoch = name, m.epoch+1
	m.allocator = NewAllocator(m.epoch, modelTimeout, m.now)
	m.allocator.Update(m.endpoints, m.configuredHosts, m.settled(), m.now)
}

// drawHost draws a running host, or returns nil if there is none.
func (m *model) drawHost() *modelHost {
	names := sortedKeys(m.hosts)
	if len(names) == 0 {
		return nil
	}
	return m.hosts[rapid.SampledFrom(names).Draw(m.t, "host")]
}

// advance lets time pass, ends requests and lets hosts adopt the configuration.
func (m *model) advance(d time.Duration) {
	until := m.now.Add(d)
	for {
		next := until
		for _, h := range m.hosts {
			if h.adoptedHosts != len(m.configuredHosts) && h.adoptsAt.Before(next) {
				next = h.adoptsAt
			}
		}
		m.now = next
		m.running = slices.DeleteFunc(m.running, func(q *modelRequest) bool { return !q.endsAt.After(m.now) })
		m.adoptConfiguration()
		if !m.now.Before(until) {
			return
		}
	}
}

// adoptConfiguration applies the configuration at the hosts whose adoption time has come.
func (m *model) adoptConfiguration() {
	for _, name := range sortedKeys(m.hosts) {
		h := m.hosts[name]
		if h.adoptedHosts == len(m.configuredHosts) || h.adoptsAt.After(m.now) {
			continue
		}
		h.adoptedHosts = len(m.configuredHosts)
		if !slices.Contains(m.configuredHosts, name) {
			m.kill(h)
			continue
		}
		h.router.Update(m.endpoints, Membership{Hosts: h.adoptedHosts}, m.now)
		if name == m.owner {
			m.allocator.Update(m.endpoints, m.configuredHosts, m.settled(), m.now)
		}
	}
}

// kill ends a host's process. Its requests continue to run, but their connections are
// closed.
func (m *model) kill(h *modelHost) {
	delete(m.hosts, h.name)
	if h.name == m.owner {
		m.owner = "" // until takeOver
	}
	for _, q := range m.running {
		if q.host == h {
			q.orphaned = true
		}
	}
}

// pickRequests starts requests at a host while it has free slots.
func (m *model) pickRequests(h *modelHost) {
	if h == nil {
		return
	}
	for range rapid.IntRange(6, 12).Draw(m.t, "requests") {
		m.requestCount++
		deadline := m.now.Add(modelTimeout)
		if rapid.IntRange(0, 3).Draw(m.t, "short") == 0 {
			deadline = m.now.Add(modelTimeout / 8)
		}
		c, found := h.router.Pick(Request{ID: fmt.Sprint(m.requestCount), Service: "quotes", Deadline: deadline}, m.now).(ChosenInstance)
		if !found {
			h.router.SetWaiting("quotes", 6, m.now)
			return
		}
		m.running = append(m.running, &modelRequest{host: h, choice: c, endsAt: deadline.Add(AbandonMargin)})
	}
}

// endRequest ends one running request with a random outcome.
func (m *model) endRequest() {
	for i, q := range m.running {
		if q.orphaned || rapid.IntRange(0, 2).Draw(m.t, "skip") == 0 {
			continue
		}
		kind := rapid.SampledFrom([]OutcomeKind{OutcomeAnswered, OutcomeNotRun, OutcomeAbandoned}).Draw(m.t, "outcome")
		q.host.router.Done(q.choice, Outcome{Kind: kind, Latency: time.Millisecond, SlotsUsed: -1}, m.now)
		if kind == OutcomeAbandoned {
			q.orphaned = true // the request continues to run
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
	m.advance(time.Microsecond) // answers to two demands of the same time are ignored
	h.reportCount++
	p := DemandReport{
		Host: h.name, Incarnation: fmt.Sprint(h.processNumber), Sequence: h.reportCount,
		RunningFor: m.now.Sub(h.started), Demand: h.router.Demand(m.owner, m.now),
	}
	if rapid.IntRange(0, 5).Draw(m.t, "lost") == 0 {
		return
	}
	grants := m.allocator.HandleReport(p, m.now)
	for _, g := range grants {
		m.grantedSlots += g.Slots
	}
	m.answers = append(m.answers, modelAnswer{h, m.owner, m.now, grants})
}

// deliverAnswer delivers or loses one outstanding answer.
func (m *model) deliverAnswer() {
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
		a.to.router.ApplyGrant(a.from, g, a.sentAt, m.now)
	}
}

// reconfigure adds or removes hosts. Each host adopts the change within ConfigurationDelay.
func (m *model) reconfigure() {
	if m.now.Sub(m.changedAt) < ConfigurationDelay {
		return // the last change may not have been adopted everywhere
	}
	count := drawHostCount().Draw(m.t, "count")
	m.changedAt = m.now
	for _, name := range sortedKeys(m.hosts) {
		delay := time.Duration(rapid.IntRange(0, int(ConfigurationDelay/time.Millisecond)).Draw(m.t, "learns")) * time.Millisecond
		m.hosts[name].adoptsAt = m.now.Add(delay)
	}
	m.configuredHosts = nil
	for i := range count {
		m.configuredHosts = append(m.configuredHosts, fmt.Sprint("host-", i))
	}
	for _, n := range m.configuredHosts {
		if m.hosts[n] == nil {
			m.start(n, false)
		}
	}
}

// checkLimits compares the actual use of the backend servers with their slots and
// connections.
func (m *model) checkLimits() {
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
			m.t.Fatalf("%s runs %d requests on %d connections, but has %d slots and %d connections", e.Instance, slots, connections, e.Slots, e.Connections)
		}
	}
}

// Guards against all entry hosts together running more requests at an instance than it has
// slots or connections. Random sequences of events include lost and late heartbeats,
// crashes, restarts, pauses and changes of the shard's owner and of the membership.
func TestSlotsAndConnectionsNeverExceeded(t *testing.T) {
	requests, granted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(*rapid.T) { m.pickRequests(m.drawHost()) },
			"pick at every host": func(*rapid.T) {
				for _, name := range sortedKeys(m.hosts) {
					m.pickRequests(m.hosts[name])
				}
			},
			"done":      func(*rapid.T) { m.endRequest() },
			"heartbeat": func(*rapid.T) { m.heartbeat(m.drawHost()) },
			"exchange": func(*rapid.T) {
				for _, name := range sortedKeys(m.hosts) {
					m.heartbeat(m.hosts[name])
					m.deliverAnswer()
				}
			},
			"saturate": func(*rapid.T) { // one host takes as many slots as it is granted
				h := m.drawHost()
				for range 2 {
					m.heartbeat(h)
					m.deliverAnswer()
					m.advance(time.Millisecond)
				}
				m.pickRequests(h)
			},
			"answer": func(*rapid.T) { m.deliverAnswer() },
			"short pause": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"long pause": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 14).Draw(t, "s")) * time.Second)
			},
			"restart": func(*rapid.T) {
				if h := m.drawHost(); h != nil && slices.Contains(m.configuredHosts, h.name) && h.adoptedHosts == len(m.configuredHosts) {
					m.kill(h)
					m.hosts[h.name] = h // start derives the next process number from this entry
					m.start(h.name, false)
				}
			},
			"take over": func(*rapid.T) {
				if h := m.drawHost(); h != nil && h.adoptedHosts == len(m.configuredHosts) {
					m.takeOver(h.name)
				}
			},
			"reconfigure": func(*rapid.T) { m.reconfigure() },
			"":            func(*rapid.T) { m.checkLimits() },
		})
		requests += m.requestCount
		granted += m.grantedSlots
	})
	t.Logf("%d requests, %d granted slots", requests, granted)
	if granted == 0 {
		t.Error("no slot was granted in any run")
	}
}
