package limiter

import (
	"time"

	"peridotpitch/internal/configurator"
)

// Bounds of the queues, in requests unless stated otherwise.
const (
	// maxQueueCapacity bounds the waiting requests of a service, and with them the
	// memory of its queue.
	maxQueueCapacity = 1024
	// minQueueCapacity is the number of requests that may always wait, also while the
	// service rate is unknown.
	minQueueCapacity = 64
	// maxBacklogTime bounds the time that the waiting requests take to start at the
	// observed service rate. With 1 s, the backlog of a burst took 3.5 s to drain at
	// 70% load.
	maxBacklogTime = 250 * time.Millisecond
	// fixedQueueCapacity bounds the waiting requests of a service under the baseline
	// policy Fixed.
	fixedQueueCapacity = 100
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

// Request holds the attributes of a request that admission depends on.
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
	ReasonTenantQuota Reason = "tenant-quota" // the queue is full and the tenant exceeds its share of it
	ReasonDeadline    Reason = "deadline"     // the request cannot finish before its deadline
)

// Action tells the caller how to proceed with a request: Queue, Start or Drop.
type Action interface{ action() }

// Queue means that the request waits. The caller must call Expire at DropAt if the
// request is still queued then.
type Queue struct {
	Request Request
	DropAt  time.Time
}

// Start means that the request may be sent now. The caller must call Release when the
// request has ended.
type Start struct {
	Request Request
	Waited  time.Duration
}

// Drop means that the request is refused with the final outcome not-run.
type Drop struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

func (Queue) action() {}
func (Start) action() {}
func (Drop) action()  {}

// Limiter holds the queues, service time estimates and retry budgets of all services.
type Limiter struct {
	settings    Settings
	teamWeights map[string]float64 // by team name
	services    map[string]*service
}

// service is the state of one service.
type service struct {
	classes      [2]classQueue // urgent, normal
	waiting      map[string]*queueItem
	byDeadline   deadlineHeap
	running      map[string]bool // started requests by ID; true if the request was queued first
	serviceTimes serviceTimes
	retryBudget  retryBudget
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

// Configure replaces the settings. Queued requests stay queued.
func (l *Limiter) Configure(s Settings) {
	l.settings = s
	l.teamWeights = make(map[string]float64, len(s.Teams))
	for _, t := range s.Teams {
		if t.Share > 0 {
			l.teamWeights[t.Name] = t.Share
		}
	}
}

// Retain removes the state of services that are not listed and have neither queued nor
// running requests.
func (l *Limiter) Retain(services []string) {
	listed := make(map[string]bool, len(services))
	for _, s := range services {
		listed[s] = true
	}
	for name, s := range l.services {
		if !listed[name] && len(s.running) == 0 && len(s.waiting) == 0 {
			delete(l.services, name)
		}
	}
}

func (l *Limiter) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{waiting: make(map[string]*queueItem), running: make(map[string]bool)}
		l.services[name] = s
	}
	return s
}

// queueOf returns the name and weight of the tenant queue for a tenant. Tenants that are
// not configured as teams share one queue, so that the configuration bounds the number
// of queues.
func (l *Limiter) queueOf(tenant string) (string, float64) {
	if l.settings.Limits == configurator.LimitFixed {
		return "", 1
	}
	if w, known := l.teamWeights[tenant]; known {
		return tenant, w
	}
	return "", 1
}

// Offer queues or drops a new request. If the queue is full, it may drop a waiting
// request in favour of the new one.
func (l *Limiter) Offer(q Request, now time.Time) []Action {
	s := l.service(q.Service)
	if s.waiting[q.ID] != nil {
		return nil
	}
	name, weight := l.queueOf(q.Tenant)
	it := &queueItem{request: q, offeredAt: now, queueName: name, class: normal}
	if q.Urgent && l.settings.Limits != configurator.LimitFixed {
		it.class = urgent
	}
	if l.settings.Limits == configurator.LimitFixed {
		return l.offerFixed(s, it, now)
	}
	if wait, known := s.expectedWait(it, weight, now); known && now.Add(wait+s.serviceTimes.requiredTime(now)).After(q.Deadline) {
		return []Action{Drop{q, ReasonDeadline, s.retryAfter(now)}}
	}
	var actions []Action
	if len(s.waiting) >= s.queueCapacity(now) {
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
	return append(actions, Queue{q, q.Deadline.Add(-s.serviceTimes.requiredTime(now))})
}

func (l *Limiter) offerFixed(s *service, it *queueItem, now time.Time) []Action {
	if len(s.waiting) >= fixedQueueCapacity {
		return []Action{Drop{it.request, ReasonQueueFull, s.retryAfter(now)}}
	}
	s.add(it, 1)
	return []Action{Queue{it.request, it.request.Deadline}}
}

// Next drops the queued requests of a service that can no longer finish before their
// deadline, and starts at most as many of the others as there are free slots.
func (l *Limiter) Next(name string, free int, now time.Time) []Action {
	s := l.services[name]
	if s == nil {
		return nil
	}
	// With a free slot for every waiting request, a start takes no slot from another
	// request, so an even chance to finish before the deadline is sufficient.
	needed := s.serviceTimes.median(now)
	if len(s.waiting) > free {
		needed = s.serviceTimes.requiredTime(now)
	}
	actions := s.expire(l.requiredTime(needed), now)
	for free > 0 {
		it := s.nextToStart()
		if it == nil {
			break
		}
		s.start(it, now)
		actions = append(actions, Start{it.request, now.Sub(it.offeredAt)})
		free--
	}
	return actions
}

// Expire drops the queued requests of a service that can no longer finish before their
// deadline.
func (l *Limiter) Expire(name string, now time.Time) []Action {
	s := l.services[name]
	if s == nil {
		return nil
	}
	return s.expire(l.requiredTime(s.serviceTimes.requiredTime(now)), now)
}

// requiredTime returns the time that must remain until a request's deadline, given the
// observed service time. The baseline policy Fixed ignores service times.
func (l *Limiter) requiredTime(observed time.Duration) time.Duration {
	if l.settings.Limits == configurator.LimitFixed {
		return 0
	}
	return observed
}

// Cancel removes a queued request that its caller canceled. It reports whether the
// request was queued.
func (l *Limiter) Cancel(q Request, _ time.Time) bool {
	s := l.services[q.Service]
	if s == nil || s.waiting[q.ID] == nil {
		return false
	}
	s.remove(s.waiting[q.ID])
	return true
}

// Release ends a started request. Took is the duration of the request's last attempt. It
// counts as a service time only if ran is true.
func (l *Limiter) Release(q Request, took time.Duration, ran bool, now time.Time) {
	s := l.services[q.Service]
	if s == nil {
		return
	}
	waited, started := s.running[q.ID]
	if !started {
		return
	}
	delete(s.running, q.ID)
	if !ran {
		return
	}
	s.serviceTimes.addSample(took, now)
	if waited {
		s.serviceTimes.adjustSafetyFactor(!now.Before(q.Deadline))
	}
}

// RetryAllowed reports whether the retry policy allows the given retry of a request (1 is
// the first). An allowed retry is deducted from the service's retry budget.
func (l *Limiter) RetryAllowed(name string, retry int, _ time.Time) bool {
	if l.settings.Retries == configurator.RetryImmediate3 {
		return retry <= maxImmediateRetries
	}
	return l.service(name).retryBudget.takeRetry()
}

// Queued returns the number of waiting requests of a service.
func (l *Limiter) Queued(name string) int {
	if s := l.services[name]; s != nil {
		return len(s.waiting)
	}
	return 0
}
