package limiter

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpitch/internal/configurator"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fairSettings(teams ...configurator.Team) Settings {
	return Settings{Limits: configurator.LimitFair, Retries: configurator.RetryBudget, Teams: teams}
}

func request(id int, tenant string, deadline time.Time) Request {
	return Request{ID: fmt.Sprint(id), Service: "quotes", Tenant: tenant, Deadline: deadline}
}

// abandonMargin is the router's AbandonMargin.
const abandonMargin = 100 * time.Millisecond

// simulation simulates a service with a fixed number of slots and Poisson arrivals in
// virtual time.
type simulation struct {
	limiter         *Limiter
	random          *rand.Rand
	slots           int
	meanServiceTime time.Duration
	timeout         time.Duration
	now             time.Time
	endEvents       endHeap
	requestCount    int
	answeredInTime  int // answered before the deadline
	dropped         int
	waits           []time.Duration
}

// endEvent is the simulated end of a running request.
type endEvent struct {
	endsAt  time.Time
	took    time.Duration
	request Request
	inTime  bool // ends before the request's deadline
}

type endHeap []endEvent

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].endsAt.Before(h[j].endsAt) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(endEvent)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSimulation(l *Limiter) *simulation {
	return &simulation{
		limiter: l, random: rand.New(rand.NewPCG(7, 7)), slots: 16,
		meanServiceTime: 20 * time.Millisecond, timeout: 200 * time.Millisecond, now: epoch,
	}
}

// run offers requests for the given duration, at a rate of load times the capacity.
func (s *simulation) run(load float64, duration time.Duration) {
	gap := float64(s.meanServiceTime) / float64(s.slots) / load
	until := s.now.Add(duration)
	next := s.now
	for next.Before(until) {
		for len(s.endEvents) > 0 && s.endEvents[0].endsAt.Before(next) {
			e := heap.Pop(&s.endEvents).(endEvent)
			s.now = e.endsAt
			s.limiter.Release(e.request, e.took, true, s.now)
			if e.inTime {
				s.answeredInTime++
			}
			s.apply(s.limiter.Next("quotes", s.slots-len(s.endEvents), s.now))
		}
		s.now = next
		s.requestCount++
		s.apply(s.limiter.Offer(request(s.requestCount, "", s.now.Add(s.timeout)), s.now))
		s.apply(s.limiter.Next("quotes", s.slots-len(s.endEvents), s.now))
		next = next.Add(time.Duration(s.random.ExpFloat64() * gap))
	}
	s.now = until
}

func (s *simulation) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Drop:
			s.dropped++
		case Start:
			s.waits = append(s.waits, a.Waited)
			took := s.serviceTime()
			left := a.Request.Deadline.Sub(s.now)
			if took <= left {
				heap.Push(&s.endEvents, endEvent{s.now.Add(took), took, a.Request, true})
				continue
			}
			// As in the router, the slot of an abandoned request counts as used until
			// the deadline plus abandonMargin.
			heap.Push(&s.endEvents, endEvent{s.now.Add(left + abandonMargin), left, a.Request, false})
		}
	}
}

// serviceTime has an Erlang distribution of 4 phases: its p95 is twice its mean.
func (s *simulation) serviceTime() time.Duration {
	sum := 0.0
	for range 4 {
		sum += s.random.ExpFloat64() / 4
	}
	return time.Duration(sum * float64(s.meanServiceTime))
}

// measureGoodput returns the number of requests answered before their deadline in 20 s.
func (s *simulation) measureGoodput(load float64) int {
	s.run(1, 2*time.Second) // collect service times first
	before := s.answeredInTime
	s.run(load, 20*time.Second)
	return s.answeredInTime - before
}

// Guards against collapse under overload: goodput at twice the capacity is at least 95%
// of goodput at capacity.
func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	for _, timeout := range []time.Duration{60 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		measure := func(p configurator.LimitPolicy, load float64) int {
			s := newSimulation(New(Settings{Limits: p}))
			s.timeout = timeout
			return s.measureGoodput(load)
		}
		once, twice := measure(configurator.LimitFair, 1), measure(configurator.LimitFair, 2)
		t.Logf("timeout %v: Fair: %d at capacity, %d at twice; Fixed: %d, %d", timeout, once, twice,
			measure(configurator.LimitFixed, 1), measure(configurator.LimitFixed, 2))
		if float64(twice) < 0.95*float64(once) {
			t.Errorf("timeout %v: goodput fell from %d to %d", timeout, once, twice)
		}
	}
}

// Guards against a backlog that keeps delaying requests after a burst has ended.
func TestRecoversAfterBurst(t *testing.T) {
	is := is.New(t)
	s := newSimulation(New(fairSettings()))
	s.timeout = 10 * time.Second // the deadline alone would allow a long backlog
	s.run(0.7, 2*time.Second)
	s.run(4, 5*time.Second)
	s.run(0.7, 1500*time.Millisecond) // a backlog of maxBacklogTime drains at 0.3 of the capacity
	dropped, started := s.dropped, len(s.waits)
	s.run(0.7, 4*time.Second)
	is.Equal(s.dropped, dropped)
	waits := slices.Sorted(slices.Values(s.waits[started:]))
	is.True(waits[len(waits)*99/100] < s.meanServiceTime)
}

// Guards against a service that stays blocked after a slow period: if every request is
// dropped because of the high estimate, no new sample can lower it.
func TestServiceTimeEstimateRecovers(t *testing.T) {
	is := is.New(t)
	l, now := New(fairSettings()), epoch
	for i := range 50 {
		l.Offer(request(i, "", now.Add(time.Hour)), now)
		l.Next("quotes", 1, now)
		l.Release(request(i, "", now), 5*time.Second, true, now)
	}
	started := func(id int) bool {
		l.Offer(request(id, "", now.Add(100*time.Millisecond)), now)
		for _, a := range l.Next("quotes", 1, now) {
			if _, ok := a.(Start); ok {
				return true
			}
		}
		return false
	}
	is.True(!started(100))
	now = now.Add(15 * time.Second)
	is.True(started(101))
}

// Guards against queueing a request that cannot finish before its deadline, and against a
// refusal without Retry-After.
func TestDropsRequestsThatCannotMeetDeadline(t *testing.T) {
	is := is.New(t)
	l, now := New(fairSettings()), epoch
	for i := range 20 {
		l.Offer(request(i, "", now.Add(time.Minute)), now)
		l.Next("quotes", 1, now)
		l.Release(request(i, "", now), 50*time.Millisecond, true, now)
	}
	l.Offer(request(100, "", now.Add(time.Minute)), now)
	l.Next("quotes", 1, now) // the only slot is in use from here on
	queued, ok := l.Offer(request(101, "", now.Add(120*time.Millisecond)), now)[0].(Queue)
	is.True(ok)
	is.Equal(queued.DropAt, now.Add(70*time.Millisecond))
	// It would start after request 101 and end after 100 ms.
	drop, ok := l.Offer(request(102, "", now.Add(90*time.Millisecond)), now)[0].(Drop)
	is.True(ok)
	is.Equal(drop.Reason, ReasonDeadline)
	is.True(drop.RetryAfter >= time.Second)
	is.Equal(len(l.Expire("quotes", now.Add(70*time.Millisecond))), 0)
	is.Equal(len(l.Expire("quotes", now.Add(71*time.Millisecond))), 1)
	is.Equal(l.Queued("quotes"), 0)
}

// Guards against a tenant exceeding its share of the slots, also by sending unknown
// tenant names, and against urgent requests waiting behind normal ones.
func TestSlotsSharedByTenantWeight(t *testing.T) {
	is := is.New(t)
	l := New(fairSettings(configurator.Team{Name: "a", Share: 3}, configurator.Team{Name: "b", Share: 1}))
	now, id := epoch, 0
	offer := func(tenant string, urgent bool) {
		id++
		q := request(id, tenant, now.Add(time.Hour))
		q.Urgent = urgent
		l.Offer(q, now)
	}
	for i := range 20 {
		offer("a", false)
		offer("b", false)
		offer(fmt.Sprint("unknown-", i), false)
	}
	offer("b", true)
	count := map[string]int{}
	for i, a := range l.Next("quotes", 26, now) {
		q := a.(Start).Request
		if i == 0 {
			is.True(q.Urgent)
			continue
		}
		name, _ := l.queueOf(q.Tenant)
		count[name]++
	}
	is.Equal(count, map[string]int{"a": 15, "b": 5, "": 5})
}

// Guards against canceled requests counting against their tenant's share.
func TestCancelledRequestsCostNoShare(t *testing.T) {
	is := is.New(t)
	l := New(fairSettings(configurator.Team{Name: "a", Share: 1}, configurator.Team{Name: "b", Share: 1}))
	for i := range 10 {
		l.Offer(request(i, "a", epoch.Add(time.Hour)), epoch)
		l.Offer(request(100+i, "b", epoch.Add(time.Hour)), epoch)
	}
	for i := range 10 {
		is.True(l.Cancel(request(i, "a", epoch), epoch))
	}
	for i := range 10 {
		l.Offer(request(200+i, "a", epoch.Add(time.Hour)), epoch)
	}
	count := map[string]int{}
	for _, a := range l.Next("quotes", 10, epoch) {
		count[a.(Start).Request.Tenant]++
	}
	is.Equal(count, map[string]int{"a": 5, "b": 5})
}

// Guards against a tenant that fills the queue so that requests of others are dropped.
func TestFullQueueDropsFromLargestTenant(t *testing.T) {
	is := is.New(t)
	l := New(fairSettings(configurator.Team{Name: "a", Share: 1}, configurator.Team{Name: "b", Share: 1}))
	for i := range minQueueCapacity {
		l.Offer(request(i, "a", epoch.Add(time.Hour)), epoch)
	}
	drop := l.Offer(request(1000, "a", epoch.Add(time.Hour)), epoch)[0].(Drop)
	is.Equal(drop.Reason, ReasonTenantQuota)
	is.Equal(drop.Request.ID, "1000")
	actions := l.Offer(request(1001, "b", epoch.Add(time.Hour)), epoch)
	is.Equal(actions[0].(Drop).Request.ID, fmt.Sprint(minQueueCapacity-1)) // the newest request of tenant a
	is.Equal(actions[1].(Queue).Request.ID, "1001")
}

// Guards against lost or duplicated requests and against unbounded state under random
// sequences of calls: each offered request is started, dropped or canceled exactly once,
// retries stay within 10% of the starts, and no request starts after its deadline.
func TestRandomCallSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := []configurator.Team{{Name: "a", Share: 1}, {Name: "b", Share: 2.5}}
		l, now := New(fairSettings(teams...)), epoch
		open, running := map[string]Request{}, []Request{}
		starts, retries, id := 0, 0, 0
		apply := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Start:
					if _, known := open[a.Request.ID]; !known || now.After(a.Request.Deadline) {
						t.Fatalf("request %v was started at %v, after its deadline or twice", a.Request, now)
					}
					delete(open, a.Request.ID)
					running = append(running, a.Request)
					starts++
				case Drop:
					if _, known := open[a.Request.ID]; !known {
						t.Fatalf("request %v was dropped but is not queued", a.Request)
					}
					delete(open, a.Request.ID)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "count") {
					id++
					q := request(id, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "tenant"),
						now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms"))*time.Millisecond))
					q.Urgent = rapid.Bool().Draw(t, "urgent")
					open[q.ID] = q
					apply(l.Offer(q, now))
				}
			},
			"next":          func(t *rapid.T) { apply(l.Next("quotes", rapid.IntRange(0, 9).Draw(t, "free"), now)) },
			"let time pass": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "ms")) * time.Millisecond) },
			"expire":        func(*rapid.T) { apply(l.Expire("quotes", now)) },
			"retry": func(*rapid.T) {
				if l.RetryAllowed("quotes", 1, now) {
					retries++
				}
			},
			"cancel": func(t *rapid.T) {
				for _, q := range open {
					if !l.Cancel(q, now) {
						t.Fatalf("request %v was not queued when canceled", q)
					}
					delete(open, q.ID)
					break
				}
			},
			"release": func(t *rapid.T) {
				if len(running) > 0 {
					took := time.Duration(rapid.IntRange(1, 100).Draw(t, "took")) * time.Millisecond
					l.Release(running[0], took, rapid.Bool().Draw(t, "ran"), now)
					running = running[1:]
				}
			},
			"": func(t *rapid.T) {
				if l.Queued("quotes") != len(open) || len(open) > maxQueueCapacity {
					t.Fatalf("%d requests are queued, the model has %d", l.Queued("quotes"), len(open))
				}
				if float64(retries) > math.Ceil(retryBudgetRatio*float64(starts)) {
					t.Fatalf("%d retries for %d started requests", retries, starts)
				}
				if s := l.services["quotes"]; s != nil {
					for _, c := range s.classes {
						if len(c.tenants) > len(teams)+1 {
							t.Fatalf("%d tenant queues, want at most %d", len(c.tenants), len(teams)+1)
						}
					}
				}
			},
		})
	})
}

// Guards against changes of the baseline policies Fixed and Immediate3, with which the
// policies in use are compared.
func TestBaselinePolicies(t *testing.T) {
	is := is.New(t)
	l := New(Settings{Limits: configurator.LimitFixed, Retries: configurator.RetryImmediate3})
	for i := range fixedQueueCapacity + 1 {
		l.Offer(request(i, "a", epoch.Add(time.Second)), epoch)
	}
	is.Equal(l.Queued("quotes"), fixedQueueCapacity)
	is.True(l.RetryAllowed("quotes", 3, epoch))
	is.True(!l.RetryAllowed("quotes", 4, epoch))
}
