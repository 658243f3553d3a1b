package limiter

import (
	"container/heap"
	"slices"
	"time"

	"peridotpitch/internal/converter"
)

// queueItem is a waiting request.
type queueItem struct {
	request   Request
	offeredAt time.Time
	queueName string
	class     int
	startTag  float64 // virtual start time, see classQueue
	heapIndex int     // position in service.byDeadline
}

// classQueue holds the waiting requests of one urgency and shares the slots between tenants
// by start-time fair queueing: each request takes 1/weight of its tenant's virtual time, and
// the request with the lowest virtual start time is started first.
type classQueue struct {
	tenants     map[string]*tenantQueue
	virtualTime float64 // highest start tag of a started request
}

type tenantQueue struct {
	weight    float64
	finishTag float64      // virtual finish time of the last queued request
	items     []*queueItem // oldest first
}

// add queues a request.
func (s *service) add(it *queueItem, weight float64) {
	c := &s.classes[it.class]
	if c.tenants == nil {
		c.tenants = make(map[string]*tenantQueue)
	}
	t := c.tenants[it.queueName]
	if t == nil {
		t = &tenantQueue{finishTag: c.virtualTime}
		c.tenants[it.queueName] = t
	}
	t.weight = weight
	it.startTag = max(c.virtualTime, t.finishTag)
	t.finishTag = it.startTag + 1/weight
	t.items = append(t.items, it)
	s.waiting[it.request.ID] = it
	heap.Push(&s.byDeadline, it)
}

// remove removes a request that will not be started. The tenant's later requests take
// over the start tags before them, so that a dropped request does not count against the
// tenant's share.
func (s *service) remove(it *queueItem) {
	t := s.classes[it.class].tenants[it.queueName]
	at := slices.Index(t.items, it)
	for i := len(t.items) - 1; i > at; i-- {
		t.items[i].startTag = t.items[i-1].startTag
	}
	t.finishTag -= 1 / t.weight
	t.items = slices.Delete(t.items, at, at+1)
	s.unindex(it)
}

// start moves a request from the front of its tenant's queue to the running requests.
func (s *service) start(it *queueItem, now time.Time) {
	c := &s.classes[it.class]
	c.virtualTime = max(c.virtualTime, it.startTag)
	t := c.tenants[it.queueName]
	t.items = slices.Delete(t.items, 0, 1)
	s.unindex(it)
	s.running[it.request.ID] = now.After(it.offeredAt)
	s.retryBudget.addCredit()
	// A tenant without waiting requests keeps its finish tag until the virtual time has
	// reached the tag. Otherwise the tenant could exceed its share by queueing again at once.
	for name, t := range c.tenants {
		if len(t.items) == 0 && t.finishTag <= c.virtualTime {
			delete(c.tenants, name)
		}
	}
}

// unindex removes a request from the lookup by ID and from the deadline heap.
func (s *service) unindex(it *queueItem) {
	delete(s.waiting, it.request.ID)
	heap.Remove(&s.byDeadline, it.heapIndex)
}

// deadlineHeap orders items by deadline.
type deadlineHeap []*queueItem

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].request.Deadline.Before(h[j].request.Deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*queueItem)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

// expire drops the requests whose deadline is less than needed away.
func (s *service) expire(needed time.Duration, now time.Time) []Action {
	var actions []Action
	for len(s.byDeadline) > 0 {
		it := s.byDeadline[0]
		if !now.Add(needed).After(it.request.Deadline) {
			break
		}
		s.remove(it)
		actions = append(actions, Drop{it.request, ReasonDeadline, s.retryAfter(now)})
	}
	return actions
}

// expectedWait estimates how long a new request would wait for the requests that are
// started before it, at the rate at which running requests end. It reports false if the
// rate is unknown or no request waits.
func (s *service) expectedWait(it *queueItem, weight float64, now time.Time) (time.Duration, bool) {
	mean := s.serviceTimes.mean(now)
	if len(s.running) == 0 || mean <= 0 || len(s.waiting) == 0 {
		return 0, false
	}
	ahead := 0.0
	if it.class == normal {
		for _, t := range s.classes[urgent].tenants {
			ahead += float64(len(t.items))
		}
	}
	own := 0
	tenants := s.classes[it.class].tenants
	if t := tenants[it.queueName]; t != nil {
		own = len(t.items)
	}
	for name, t := range tenants {
		if name == it.queueName {
			ahead += float64(own)
			continue
		}
		ahead += min(float64(len(t.items)), float64(own+1)*t.weight/weight)
	}
	return converter.Duration(ahead * float64(mean) / float64(len(s.running))), true
}

// queueCapacity returns the number of requests that may wait, which is the backlog of
// maxBacklogTime at the observed service rate.
func (s *service) queueCapacity(now time.Time) int {
	mean := s.serviceTimes.mean(now)
	if mean <= 0 || len(s.running) == 0 {
		return minQueueCapacity
	}
	work := float64(maxBacklogTime) / float64(mean) * float64(len(s.running))
	return int(min(max(work, minQueueCapacity), maxQueueCapacity))
}

// victim returns the request to drop from a full queue in favour of the offered one: the
// newest request of the tenant with the most waiting requests relative to its weight.
// Normal requests are dropped before urgent ones. If the result is nil or the offered
// request itself, the offered request is dropped.
func (s *service) victim(offered *queueItem, weight float64) *queueItem {
	for i := normal; i >= offered.class; i-- {
		var newest *queueItem
		most := 0.0
		for name, t := range s.classes[i].tenants {
			if len(t.items) == 0 {
				continue
			}
			excess := float64(len(t.items)) / t.weight
			last := t.items[len(t.items)-1]
			// Ties are broken by name, because the order of map iteration is random.
			if newest == nil || excess > most || excess == most && name < newest.queueName {
				newest, most = last, excess
			}
		}
		if newest == nil {
			continue
		}
		if i != offered.class {
			return newest
		}
		own := 1.0
		if t := s.classes[i].tenants[offered.queueName]; t != nil {
			own += float64(len(t.items))
		}
		if own/weight > most {
			return offered
		}
		return newest
	}
	return nil
}

// nextToStart returns the waiting request to start next, or nil if none waits: urgent
// requests first, and among requests of one urgency the one with the lowest start tag.
func (s *service) nextToStart() *queueItem {
	for i := range s.classes {
		c := &s.classes[i]
		var first *queueItem
		for _, t := range c.tenants {
			if len(t.items) == 0 {
				continue
			}
			it := t.items[0]
			if first == nil || it.startTag < first.startTag || it.startTag == first.startTag && it.queueName < first.queueName {
				first = it
			}
		}
		if first != nil {
			return first
		}
	}
	return nil
}

// retryAfter estimates the time until all waiting requests have been started, within the
// bounds of Retry-After.
func (s *service) retryAfter(now time.Time) time.Duration {
	mean := s.serviceTimes.mean(now)
	if len(s.running) == 0 || mean <= 0 {
		return minRetryAfter
	}
	drain := converter.Duration(float64(len(s.waiting)) * float64(mean) / float64(len(s.running)))
	return min(max(drain, minRetryAfter), maxRetryAfter)
}
