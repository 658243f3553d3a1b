package server

import (
	"sync"
	"time"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/router"
	"peridotpitch/internal/shardowner"
)

// shardAllocator grants the pool slots of one shard during one ownership epoch of this host.
type shardAllocator struct {
	allocator    *router.Allocator
	epoch        uint64
	placingUntil time.Time // end of the lease for placing tasks
}

// granter grants the pool slots of the shards that this host owns.
type granter struct {
	self   string
	mu     sync.Mutex
	shards map[string]*shardAllocator
}

func newGranter(self string) *granter {
	return &granter{self: self, shards: make(map[string]*shardAllocator)}
}

// update replaces the set of shards that this host owns, their instances and the entry
// hosts of the failure domain. Settled has the meaning of router.Membership.Settled.
func (g *granter) update(shards []shardowner.ShardStatus, es []messenger.Endpoint, hosts []string, settled bool, maxRequestTimeout time.Duration, now time.Time) {
	byShard := make(map[string][]messenger.Endpoint)
	for _, e := range es {
		byShard[e.Shard] = append(byShard[e.Shard], e)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	owned := make(map[string]bool)
	for _, s := range shards {
		if s.Owner != g.self || s.PlacingUntil.IsZero() {
			continue
		}
		owned[s.Shard] = true
		a := g.shards[s.Shard]
		if a == nil || a.epoch != s.Epoch {
			a = &shardAllocator{allocator: router.NewAllocator(s.Epoch, maxRequestTimeout, now), epoch: s.Epoch}
			g.shards[s.Shard] = a
		}
		a.placingUntil = s.PlacingUntil
		a.allocator.Update(byShard[s.Shard], hosts, settled, now)
	}
	for name := range g.shards {
		if !owned[name] {
			delete(g.shards, name)
		}
	}
}

// handleReport processes the slot demand of an entry host and returns its grants from
// all owned shards. A grant ends no later than the shard's lease for placing tasks.
func (g *granter) handleReport(r router.DemandReport, now time.Time) []messenger.SlotGrant {
	g.mu.Lock()
	defer g.mu.Unlock()
	var grants []messenger.SlotGrant
	for _, a := range g.shards {
		remaining := a.placingUntil.Sub(now)
		if remaining <= 0 {
			continue
		}
		for _, s := range a.allocator.HandleReport(r, now) {
			s.For = min(s.For, remaining)
			grants = append(grants, s)
		}
	}
	return grants
}
