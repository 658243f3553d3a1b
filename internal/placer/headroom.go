package placer

import (
	"math"
	"time"

	"peridotpitch/internal/configurator"
)

// Settings of the headroom that is kept for urgent batch tasks, so that they preempt fewer tasks.
const (
	// headroomWorkerShare is the share of a shard's workers that keep headroom for one urgent task
	// each, if the operator's measures give throughput no weight.
	headroomWorkerShare = 0.12
	// urgentSizeRetention is the time without an urgent task after which the headroom is dropped.
	urgentSizeRetention = time.Hour
)

// urgentHeadroom is the headroom that one worker keeps: the size of the largest recent urgent batch
// task.
type urgentHeadroom struct {
	size       configurator.Resources
	lastUrgent time.Time // when Place was last called for an urgent batch task
}

// recordUrgentSize adjusts the headroom to the size of an urgent batch task.
func (p *Placer) recordUrgentSize(t *Task, now time.Time) {
	if now.Sub(p.urgentHeadroom.lastUrgent) > urgentSizeRetention {
		p.urgentHeadroom.size = configurator.Resources{}
	}
	if t.Urgent && t.Kind == KindBatch {
		p.urgentHeadroom.size = p.urgentHeadroom.size.Max(t.Declared)
		p.urgentHeadroom.lastUrgent = now
	}
}

// surplusHeadroom returns the number of workers with free capacity for an urgent task minus the
// wanted number of such workers. If the result is not above 0, none of them may lose that capacity
// to a batch task that is not urgent. The result is math.MaxInt if no headroom is needed.
func (s *search) surplusHeadroom() int {
	p := s.p
	if s.t.Urgent || s.t.Kind == KindService || p.urgentHeadroom.size.Cores == 0 {
		return math.MaxInt
	}
	wanted := headroomWorkerShare * float64(len(s.ws)) * p.measures.Evictions / max(p.measures.Evictions+p.measures.Throughput, 1e-9)
	if p.measures.Evictions > p.measures.Throughput {
		wanted = math.Ceil(wanted) // at least one worker in small shards
	}
	n := -int(math.Round(wanted))
	if n == 0 {
		return math.MaxInt
	}
	for i := range s.ws {
		if free, _ := s.freeCapacity(i); p.urgentHeadroom.size.Fits(free) && s.unavailable(i) < 0 {
			n++
		}
	}
	return n
}

// consumesHeadroom reports whether placing the task on worker i would use headroom that is needed.
func (s *search) consumesHeadroom(i int, free configurator.Resources, surplus int) bool {
	if surplus > 0 {
		return false
	}
	size := s.p.urgentHeadroom.size
	return size.Fits(free) && !size.Fits(free.Sub(s.sizeOn(i)))
}
