package limiter

import (
	"container/heap"
	"slices"
	"time"
)

// item is a waiting request.
type item struct {
	request Request
	offered time.Time
	bucket  string
	class   int
	tag     float64 // virtual start time
	index   int     // position in the expiry heap
}

// class holds the waiting requests of one urgency and shares the slots between tenants
// by start-time fair queueing: each request costs 1/weight of virtual time.
type class struct {
	tenants map[string]*tenant
	virtual float64 // start tag of the request that was started last
}

type tenant struct {
	weight float64
	finish float64 // virtual finish time of its last request
	items  []*item // oldest first
}

func (s *service) add(it *item, weight float64) {
	c := &s.classes[it.class]
	if c.tenants == nil {
		c.tenants = make(map[string]*tenant)
	}
	t := c.tenants[it.bucket]
	if t == nil {
		t = &tenant{finish: c.virtual}
		c.tenants[it.bucket] = t
	}
	t.weight = weight
	it.tag = max(c.virtual, t.finish)
	t.finish = it.tag + 1/weight
	t.items = append(t.items, it)
	s.waiting[it.request.ID] = it
	heap.Push(&s.expiry, it)
}

// remove takes a request out that will not be started. Requests behind it move up, so
// that a dropped request costs its tenant nothing.
func (s *service) remove(it *item) {
	t := s.classes[it.class].tenants[it.bucket]
	at := slices.Index(t.items, it)
	for i := len(t.items) - 1; i > at; i-- {
		t.items[i].tag = t.items[i-1].tag
	}
	t.finish -= 1 / t.weight
	t.items = slices.Delete(t.items, at, at+1)
	s.forget(it)
}

// start takes the first request of its tenant out.
func (s *service) start(it *item) {
	c := &s.classes[it.class]
	c.virtual = max(c.virtual, it.tag)
	t := c.tenants[it.bucket]
	t.items = slices.Delete(t.items, 0, 1)
	s.forget(it)
	s.running++
	s.budget.fresh()
	// A tenant that waits for nothing keeps its tag until the others have caught up.
	for name, t := range c.tenants {
		if len(t.items) == 0 && t.finish <= c.virtual {
			delete(c.tenants, name)
		}
	}
}

func (s *service) forget(it *item) {
	delete(s.waiting, it.request.ID)
	heap.Remove(&s.expiry, it.index)
}

// expiryHeap orders items by deadline.
type expiryHeap []*item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].request.Deadline.Before(h[j].request.Deadline) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

// expire drops the requests that have less than needed left.
func (s *service) expire(needed time.Duration, now time.Time) []Action {
	var actions []Action
	for len(s.expiry) > 0 {
		it := s.expiry[0]
		if !now.Add(needed).After(it.request.Deadline) {
			break
		}
		s.remove(it)
		actions = append(actions, Drop{it.request, ReasonDeadline, s.retryAfter(now)})
	}
	return actions
}

// expectedWait is how long a new request would wait behind those that are started
// before it, at the rate at which running requests end.
func (s *service) expectedWait(it *item, weight float64, now time.Time) (time.Duration, bool) {
	mean := s.times.mean(now)
	if s.running == 0 || mean <= 0 || len(s.waiting) == 0 {
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
	if t := tenants[it.bucket]; t != nil {
		own = len(t.items)
	}
	for name, t := range tenants {
		if name == it.bucket {
			ahead += float64(own)
			continue
		}
		ahead += min(float64(len(t.items)), float64(own+1)*t.weight/weight)
	}
	return time.Duration(ahead * float64(mean) / float64(s.running)), true
}

// capacity is how many requests may wait now.
func (s *service) capacity(now time.Time) int {
	mean := s.times.mean(now)
	if mean <= 0 || s.running == 0 {
		return minQueued
	}
	work := float64(maxBacklog) / float64(mean) * float64(s.running)
	return int(min(max(work, minQueued), maxQueued))
}

// victim is the request to drop from a full queue in favour of the offered one: the
// newest of the tenant with the most waiting requests for its weight. A normal request
// is dropped before an urgent one. Nil or the offered request itself mean that the
// offered one is dropped.
func (s *service) victim(offered *item, weight float64) *item {
	for i := normal; i >= offered.class; i-- {
		var newest *item
		most := 0.0
		for name, t := range s.classes[i].tenants {
			if len(t.items) == 0 {
				continue
			}
			excess := float64(len(t.items)) / t.weight
			last := t.items[len(t.items)-1]
			// Equal excess is decided by name, so that a run can be repeated.
			if newest == nil || excess > most || excess == most && name < newest.bucket {
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
		if t := s.classes[i].tenants[offered.bucket]; t != nil {
			own += float64(len(t.items))
		}
		if own/weight > most {
			return offered
		}
		return newest
	}
	return nil
}

// first is the request to start next.
func (s *service) first() *item {
	for i := range s.classes {
		c := &s.classes[i]
		var first *item
		for _, t := range c.tenants {
			if len(t.items) == 0 {
				continue
			}
			it := t.items[0]
			if first == nil || it.tag < first.tag || it.tag == first.tag && it.bucket < first.bucket {
				first = it
			}
		}
		if first != nil {
			return first
		}
	}
	return nil
}

// retryAfter is the time in which the waiting requests will have been started.
func (s *service) retryAfter(now time.Time) time.Duration {
	mean := s.times.mean(now)
	if s.running == 0 || mean <= 0 {
		return minRetryAfter
	}
	drain := time.Duration(float64(len(s.waiting)) * float64(mean) / float64(s.running))
	return min(max(drain, minRetryAfter), maxRetryAfter)
}
