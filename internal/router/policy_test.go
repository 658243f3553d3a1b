package router

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
)

// routingSimulation simulates a failure domain in virtual time: entry hosts, each with its
// own router, and instances whose speed changes.
type routingSimulation struct {
	random    *rand.Rand
	now       time.Time
	routers   []*Router
	endpoints []messenger.Endpoint
	running   map[string]int                            // requests in flight by instance
	sent      map[string]int                            // requests sent so far by instance
	slowness  func(instance int, now time.Time) float64 // factor of the service time
	ends      requestEndHeap
	latencies []time.Duration
	waiting   [][]time.Time // arrivals by host
}

type requestEnd struct {
	endsAt    time.Time
	host      int
	choice    ChosenInstance
	arrivedAt time.Time
	pickedAt  time.Time
}

type requestEndHeap []requestEnd

func (h requestEndHeap) Len() int           { return len(h) }
func (h requestEndHeap) Less(i, j int) bool { return h[i].endsAt.Before(h[j].endsAt) }
func (h requestEndHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestEndHeap) Push(x any)        { *h = append(*h, x.(requestEnd)) }
func (h *requestEndHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	meanServiceTime = 10 * time.Millisecond
	requestTimeout  = 2 * time.Second
)

func newRoutingSimulation(policy configurator.RoutingPolicy, hosts, instances int, slowness func(int, time.Time) float64) *routingSimulation {
	s := &routingSimulation{
		random: rand.New(rand.NewPCG(3, 3)), now: epoch, slowness: slowness,
		running: make(map[string]int), sent: make(map[string]int), waiting: make([][]time.Time, hosts),
	}
	for i := range instances {
		s.endpoints = append(s.endpoints, messenger.Endpoint{
			Instance: fmt.Sprintf("quotes-%03d", i), Service: "quotes", Slots: 8, Connections: 64,
		})
	}
	for i := range hosts {
		r := New(Settings{Policy: policy}, rand.New(rand.NewPCG(uint64(i), 9)))
		r.Update(s.endpoints, Membership{Hosts: hosts, Settled: true}, epoch)
		s.routers = append(s.routers, r)
	}
	return s
}

// run offers requests at the given rate (per second) to random hosts. At a host without a
// free instance a request waits until another request of the same host ends.
func (s *routingSimulation) run(rate float64, duration time.Duration) {
	until := s.now.Add(duration)
	for next := s.now; next.Before(until); next = next.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))) {
		s.finish(next)
		host := s.random.IntN(len(s.routers))
		if len(s.waiting[host]) > 0 || !s.start(host, next, next) {
			s.waiting[host] = append(s.waiting[host], next)
		}
	}
	s.finish(until)
}

// start sends a request that arrived at the given time and reports whether an instance was
// free.
func (s *routingSimulation) start(host int, arrived, now time.Time) bool {
	c, found := s.routers[host].Pick(Request{Service: "quotes", Deadline: now.Add(requestTimeout)}, now).(ChosenInstance)
	if !found {
		return false
	}
	s.running[c.Name]++
	s.sent[c.Name]++
	i := slices.IndexFunc(s.endpoints, func(e messenger.Endpoint) bool { return e.Instance == c.Name })
	// The service time grows with the number of requests running at the instance.
	load := 1 + float64(s.running[c.Name]-1)/8
	took := s.random.ExpFloat64() * float64(meanServiceTime) * load * s.slowness(i, now)
	heap.Push(&s.ends, requestEnd{now.Add(time.Duration(took)), host, c, arrived, now})
	return true
}

func (s *routingSimulation) finish(until time.Time) {
	for len(s.ends) > 0 && !s.ends[0].endsAt.After(until) {
		e := heap.Pop(&s.ends).(requestEnd)
		used := s.running[e.choice.Name]
		s.running[e.choice.Name]--
		s.latencies = append(s.latencies, e.endsAt.Sub(e.arrivedAt))
		s.routers[e.host].Done(e.choice, Outcome{Kind: OutcomeAnswered, Latency: e.endsAt.Sub(e.pickedAt), SlotsUsed: used}, e.endsAt)
		if w := s.waiting[e.host]; len(w) > 0 && s.start(e.host, w[0], e.endsAt) {
			s.waiting[e.host] = w[1:]
		}
	}
	s.now = until
}

func (s *routingSimulation) p99() time.Duration {
	sorted := slices.Sorted(slices.Values(s.latencies))
	return sorted[len(sorted)*99/100]
}

// Guards against an adaptive policy that misses its targets: a p99 of at most 0.7 times the
// p99 of the best baseline with slow instances and with bursts of noise, and of at most 1.05
// times in all cases.
func TestAdaptiveAgainstBaselines(t *testing.T) {
	none := func(int, time.Time) float64 { return 1 }
	cases := []struct {
		name     string
		slowness func(int, time.Time) float64
		bound    float64
	}{
		{"even", none, 1.05},
		{"slow instances", func(i int, _ time.Time) float64 {
			if i%6 == 0 {
				return 8
			}
			return 1
		}, 0.7},
		{"bursts of noise", func(i int, now time.Time) float64 {
			if (i+int(now.Sub(epoch)/(3*time.Second)))%6 == 0 {
				return 8
			}
			return 1
		}, 0.7},
		{"mild differences", func(i int, _ time.Time) float64 { return 1 + float64(i%3)/4 }, 1.05},
	}
	for _, c := range cases {
		for _, load := range []float64{0.15, 0.3} {
			measure := func(p configurator.RoutingPolicy) *routingSimulation {
				s := newRoutingSimulation(p, 3, 18, c.slowness)
				s.run(load*18*8/meanServiceTime.Seconds(), 6*time.Second)
				return s
			}
			adaptive, robin, least := measure(configurator.RoutingAdaptive), measure(configurator.RoutingRoundRobin), measure(configurator.RoutingLeastRequests)
			best := min(robin.p99(), least.p99())
			ratio := float64(adaptive.p99()) / float64(best)
			t.Logf("%s at load %.2f: p99 %v, round-robin %v, least requests %v, ratio %.2f",
				c.name, load, adaptive.p99(), robin.p99(), least.p99(), ratio)
			if ratio > c.bound {
				t.Errorf("%s at load %.2f: p99 is %.2f of the best baseline, want at most %.2f", c.name, load, ratio, c.bound)
			}
		}
	}
}

// Guards against all hosts sending their requests to one instance because the reported
// loads show it as idle.
func TestHostsDoNotConvergeOnOneInstance(t *testing.T) {
	is := is.New(t)
	s := newRoutingSimulation(configurator.RoutingAdaptive, 8, 50, nil)
	for _, r := range s.routers {
		for i, name := range sortedKeys(r.instances) {
			used := 7
			if i == 20 {
				used = 1
			}
			r.instances[name].reportedLoad = reportedLoad{slotsUsedByOthers: used - 1, reportedAt: epoch}
		}
	}
	sent := make(map[string]int)
	for range 40 {
		for _, r := range s.routers {
			c := r.Pick(Request{Service: "quotes", Deadline: epoch.Add(time.Second)}, epoch).(ChosenInstance)
			sent[c.Name]++
			r.Done(c, Outcome{Kind: OutcomeUnused}, epoch)
		}
	}
	is.True(sent["quotes-020"] > 0)
	is.True(sent["quotes-020"] <= 320/8) // an equal share is 320/50; without random subsets it would be 320
}

// Guards against an instance that never gets requests again after it was slow, and against
// the ejection of more than half of the instances.
func TestEjectedInstancesRecover(t *testing.T) {
	is := is.New(t)
	slow := func(i int, now time.Time) float64 {
		if i < 7 && now.Before(epoch.Add(5*time.Second)) {
			return 20
		}
		return 1
	}
	s := newRoutingSimulation(configurator.RoutingAdaptive, 2, 10, slow)
	s.run(300, 5*time.Second)
	for _, r := range s.routers {
		ejected := len(r.Ejected("quotes"))
		is.True(ejected >= 1 && ejected <= 5)
	}
	s.run(300, 35*time.Second)
	clear(s.sent)
	s.run(300, 30*time.Second)
	for _, e := range s.endpoints {
		is.True(s.sent[e.Instance] > 300) // an equal share is 900
	}
}

// Guards against a failed instance attracting requests because it fails fast.
func TestFailingInstanceIsEjected(t *testing.T) {
	is := is.New(t)
	s := newRoutingSimulation(configurator.RoutingAdaptive, 1, 10, nil)
	r, now, failed := s.routers[0], epoch, 0
	for range 12000 {
		now = now.Add(5 * time.Millisecond)
		c := r.Pick(Request{Service: "quotes", Deadline: now.Add(time.Second)}, now).(ChosenInstance)
		if c.Name == "quotes-003" {
			failed++
			r.Done(c, Outcome{Kind: OutcomeNotRun, SlotsUsed: -1}, now)
			continue
		}
		r.Done(c, Outcome{Kind: OutcomeAnswered, Latency: meanServiceTime, SlotsUsed: -1}, now)
	}
	is.True(failed >= 4)  // it is probed from time to time
	is.True(failed <= 24) // an equal share is 1200
}
