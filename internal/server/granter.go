package server

import (
	"sync"
	"time"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/proprietor"
	"peridotpitch/internal/router"
)

type shardAllocator struct {
	allocator *router.Allocator
	epoch     uint64
	until     time.Time // end of the placing tenure
}

// granter lends the pool slots of the shards that this host owns.
type granter struct {
	self   string
	mu     sync.Mutex
	shards map[string]*shardAllocator
}

func newGranter(self string) *granter {
	return &granter{self: self, shards: make(map[string]*shardAllocator)}
}

// update follows which shards this host owns and which instances they have.
func (g *granter) update(shards []proprietor.ShardStatus, es []messenger.Endpoint, hosts []string, settled bool, maxTimeout time.Duration, now time.Time) {
	byShard := make(map[string][]messenger.Endpoint)
	for _, e := range es {
		byShard[e.Shard] = append(byShard[e.Shard], e)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	owned := make(map[string]bool)
	for _, s := range shards {
		if s.Owner != g.self || s.Placing.IsZero() {
			continue
		}
		owned[s.Shard] = true
		a := g.shards[s.Shard]
		if a == nil || a.epoch != s.Epoch {
			a = &shardAllocator{allocator: router.NewAllocator(s.Epoch, maxTimeout, now), epoch: s.Epoch}
			g.shards[s.Shard] = a
		}
		a.until = s.Placing
		a.allocator.Update(byShard[s.Shard], hosts, settled, now)
	}
	for name := range g.shards {
		if !owned[name] {
			delete(g.shards, name)
		}
	}
}

// step takes a host's report and returns its grants from all owned shards. A grant
// never outlives the placing tenure of its shard.
func (g *granter) step(r router.Report, now time.Time) []messenger.SlotGrant {
	g.mu.Lock()
	defer g.mu.Unlock()
	var grants []messenger.SlotGrant
	for _, a := range g.shards {
		left := a.until.Sub(now)
		if left <= 0 {
			continue
		}
		for _, s := range a.allocator.Step(r, now) {
			s.For = min(s.For, left)
			grants = append(grants, s)
		}
	}
	return grants
}
