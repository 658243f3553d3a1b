package placer

import (
	"math"
	"time"

	"peridotpitch/internal/configurator"
)

// Settings of the room that is kept free for urgent work, so that it evicts less.
const (
	// spareShare is the share of a shard's workers that keep room for one urgent task
	// each, if evictions have all the weight of evictions and throughput.
	spareShare = 0.12
	// spareMemory is how long the largest urgent size seen determines that room.
	spareMemory = time.Hour
)

// spare is the room that one worker keeps for urgent work.
type spare struct {
	size configurator.Resources
	at   time.Time // last urgent task
}

// noteUrgent remembers the size of urgent tasks.
func (p *Placer) noteUrgent(t *Task, now time.Time) {
	if now.Sub(p.spare.at) > spareMemory {
		p.spare.size = configurator.Resources{}
	}
	if t.Urgent && t.Kind == KindBatch {
		p.spare.size = p.spare.size.Max(t.Declared)
		p.spare.at = now
	}
}

// spareWorkers returns how many workers more than necessary have room for an urgent task.
// If it is not above 0, none of them may lose that room to other work.
func (s *search) spareWorkers() int {
	p := s.p
	if s.t.Urgent || s.t.Kind == KindService || p.spare.size.Cores == 0 {
		return math.MaxInt
	}
	share := spareShare * p.weights.Evictions / max(p.weights.Evictions+p.weights.Throughput, 1e-9)
	n := -int(math.Round(share * float64(len(s.ws))))
	if n == 0 {
		return math.MaxInt
	}
	for i := range s.ws {
		if free, _ := s.room(i); p.spare.size.Fits(free) && s.unavailable(i) < 0 {
			n++
		}
	}
	return n
}

// takesSpare reports whether the task would take the last room for an urgent task.
func (s *search) takesSpare(i int, free configurator.Resources, spare int) bool {
	if spare > 0 {
		return false
	}
	size := s.p.spare.size
	return size.Fits(free) && !size.Fits(free.Sub(s.needOn(i)))
}
