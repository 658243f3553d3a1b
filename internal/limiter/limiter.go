package limiter

import (
	"time"

	"peridotpitch/internal/configurator"
)

// Bounds of the queues.
const (
	// maxQueued bounds the waiting requests of a service. The memory of a service's
	// queue is at most this number of requests.
	maxQueued = 1024
	// minQueued is always allowed to wait, because the observed rate is unknown at first.
	minQueued = 64
	// maxBacklog bounds the waiting requests to the work of this time at the observed
	// rate, so that the wait after a burst is short.
	maxBacklog = time.Second
	// fixedQueued is the queue of the baseline policy Fixed.
	fixedQueued = 100
)

// Bounds of Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Settings configures a Limiter.
type Settings struct {
	Limits  configurator.LimitPolicy
	Retries configurator.RetryPolicy
	Teams   []configurator.Team
}

// Request is what the limiter needs to know about a request.
type Request struct {
	ID       string
	Service  string
	Tenant   string
	Urgent   bool
	Deadline time.Time
}

// Reason says why a request was dropped.
type Reason string

// Reasons.
const (
	ReasonQueueFull   Reason = "queue-full"   // the service's queue is full
	ReasonTenantQuota Reason = "tenant-quota" // the queue is full and the tenant has more than its share of it
	ReasonDeadline    Reason = "deadline"     // the deadline cannot be met
)

// Action is what the caller must do with a request: Queue, Start or Drop.
type Action interface{ action() }

// Queue keeps the request waiting. Expire must be called at DropAt if it still waits.
type Queue struct {
	Request Request
	DropAt  time.Time
}

// Start sends the request now. Release must be called when it ended.
type Start struct {
	Request Request
	Waited  time.Duration
}

// Drop refuses the request with the final outcome not-run.
type Drop struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

func (Queue) action() {}
func (Start) action() {}
func (Drop) action()  {}

// Limiter holds the queues of all services.
type Limiter struct {
	settings Settings
	weights  map[string]float64 // by team
	services map[string]*service
}

// service is the state of one service.
type service struct {
	classes [2]class // urgent, normal
	waiting map[string]*item
	expiry  expiryHeap
	running int
	times   times
	budget  budget
}

// Positions in service.classes.
const (
	urgent = iota
	normal
)

// New returns a limiter with empty queues.
func New(s Settings) *Limiter {
	l := &Limiter{services: make(map[string]*service)}
	l.Configure(s)
	return l
}

// Configure replaces the settings and keeps the queues.
func (l *Limiter) Configure(s Settings) {
	l.settings = s
	l.weights = make(map[string]float64, len(s.Teams))
	for _, t := range s.Teams {
		if t.Share > 0 {
			l.weights[t.Name] = t.Share
		}
	}
}

// Retain forgets the services that are not listed and have no request.
func (l *Limiter) Retain(services []string) {
	listed := make(map[string]bool, len(services))
	for _, s := range services {
		listed[s] = true
	}
	for name, s := range l.services {
		if !listed[name] && s.running == 0 && len(s.waiting) == 0 {
			delete(l.services, name)
		}
	}
}

func (l *Limiter) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{waiting: make(map[string]*item)}
		l.services[name] = s
	}
	return s
}

// bucket returns the queue name and weight of a tenant. Tenants that are no team share
// one bucket, which bounds the number of tracked tenants by the configuration.
func (l *Limiter) bucket(tenant string) (string, float64) {
	if l.settings.Limits == configurator.LimitFixed {
		return "", 1
	}
	if w, known := l.weights[tenant]; known {
		return tenant, w
	}
	return "", 1
}

// Offer queues or drops a new request. A full queue may drop a waiting request instead.
func (l *Limiter) Offer(q Request, now time.Time) []Action {
	s := l.service(q.Service)
	if s.waiting[q.ID] != nil {
		return nil
	}
	name, weight := l.bucket(q.Tenant)
	it := &item{request: q, offered: now, bucket: name, class: normal}
	if q.Urgent && l.settings.Limits != configurator.LimitFixed {
		it.class = urgent
	}
	if l.settings.Limits == configurator.LimitFixed {
		return l.offerFixed(s, it, now)
	}
	if wait, known := s.expectedWait(it, weight, now); known && now.Add(wait+s.times.high(now)).After(q.Deadline) {
		return []Action{Drop{q, ReasonDeadline, s.retryAfter(now)}}
	}
	var actions []Action
	if len(s.waiting) >= s.capacity(now) {
		victim := s.victim(it, weight)
		if victim == nil || victim.request.ID == q.ID {
			reason := ReasonQueueFull
			if victim != nil {
				reason = ReasonTenantQuota
			}
			return []Action{Drop{q, reason, s.retryAfter(now)}}
		}
		s.remove(victim)
		actions = append(actions, Drop{victim.request, ReasonQueueFull, s.retryAfter(now)})
	}
	s.add(it, weight)
	return append(actions, Queue{q, q.Deadline.Add(-s.times.high(now))})
}

func (l *Limiter) offerFixed(s *service, it *item, now time.Time) []Action {
	if len(s.waiting) >= fixedQueued {
		return []Action{Drop{it.request, ReasonQueueFull, s.retryAfter(now)}}
	}
	s.add(it, 1)
	return []Action{Queue{it.request, it.request.Deadline}}
}

// Next starts at most free requests of a service and drops those that are too late.
func (l *Limiter) Next(name string, free int, now time.Time) []Action {
	s := l.services[name]
	if s == nil {
		return nil
	}
	// While there is room for all, a request needs only a fair chance to end in time.
	needed := s.times.median(now)
	if len(s.waiting) > free {
		needed = s.times.high(now)
	}
	actions := s.expire(l.needed(needed), now)
	for free > 0 {
		it := s.first()
		if it == nil {
			break
		}
		s.start(it)
		actions = append(actions, Start{it.request, now.Sub(it.offered)})
		free--
	}
	return actions
}

// Expire drops the queued requests of a service whose deadline cannot be met any more.
func (l *Limiter) Expire(name string, now time.Time) []Action {
	s := l.services[name]
	if s == nil {
		return nil
	}
	return s.expire(l.needed(s.times.high(now)), now)
}

// needed is the time that a request must have left. The baseline Fixed ignores
// observed service times.
func (l *Limiter) needed(observed time.Duration) time.Duration {
	if l.settings.Limits == configurator.LimitFixed {
		return 0
	}
	return observed
}

// Cancel removes a queued request whose caller gave up. It reports whether it waited.
func (l *Limiter) Cancel(q Request, _ time.Time) bool {
	s := l.services[q.Service]
	if s == nil || s.waiting[q.ID] == nil {
		return false
	}
	s.remove(s.waiting[q.ID])
	return true
}

// Release reports the end of a started request, with the time that its last attempt
// took. Ran is false if it did not run; its time is then not a service time.
func (l *Limiter) Release(q Request, took time.Duration, ran bool, now time.Time) {
	s := l.services[q.Service]
	if s == nil {
		return
	}
	s.running = max(0, s.running-1)
	if ran {
		s.times.add(took, now)
	}
}

// RetryAllowed reports whether the service's budget allows the given retry (1 is the
// first), and uses up the budget if it does.
func (l *Limiter) RetryAllowed(name string, retry int, _ time.Time) bool {
	if l.settings.Retries == configurator.RetryImmediate3 {
		return retry <= immediateRetries
	}
	return l.service(name).budget.take()
}

// Queued returns the number of waiting requests of a service.
func (l *Limiter) Queued(name string) int {
	if s := l.services[name]; s != nil {
		return len(s.waiting)
	}
	return 0
}
