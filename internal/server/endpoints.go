package server

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotpitch/internal/messenger"
)

const (
	// endpointRetention is how long the last reported instances of a shard stay in use
	// while no owner reports any. It covers a takeover (about 4 s) and the time until all
	// workers have accepted the new owner's epoch. Keeping an instance that no longer
	// exists is harmless: it refuses connections.
	endpointRetention = 60 * time.Second
	// freeSlotsValidity is how long a peer's report of its free slots is used: three
	// heartbeats.
	freeSlotsValidity = 3 * remoteHeartbeatInterval
)

// shardEndpoints are the instances in the last report of a shard's owner.
type shardEndpoints struct {
	endpoints  []messenger.Endpoint
	reportedAt time.Time
}

// freeSlotReport is the number of free slots by service that a peer reported.
type freeSlotReport struct {
	slots      map[string]int
	reportedAt time.Time
}

// endpointTable holds the instances of this failure domain as the shards' owners report
// them, the host that claims each shard, and the free slots that peers report.
type endpointTable struct {
	mu         sync.Mutex
	shards     map[string]shardEndpoints
	claims     map[string]string // host by shard
	freeByHost map[string]freeSlotReport
}

func newEndpointTable() *endpointTable {
	return &endpointTable{
		shards:     make(map[string]shardEndpoints),
		claims:     make(map[string]string),
		freeByHost: make(map[string]freeSlotReport),
	}
}

// setEndpoints records all instances that one owner reports. A shard without a report
// keeps its last instances for endpointRetention, because its owner may have crashed, or
// the workers may not have accepted the new owner's epoch yet.
func (t *endpointTable) setEndpoints(es []messenger.Endpoint, now time.Time) {
	byShard := make(map[string][]messenger.Endpoint)
	for _, e := range es {
		byShard[e.Shard] = append(byShard[e.Shard], e)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, list := range byShard {
		t.shards[name] = shardEndpoints{endpoints: list, reportedAt: now}
	}
	for name, s := range t.shards {
		if now.Sub(s.reportedAt) > endpointRetention {
			delete(t.shards, name)
		}
	}
}

// all returns the instances of all shards sorted by name.
func (t *endpointTable) all() []messenger.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var es []messenger.Endpoint
	for _, name := range slices.Sorted(maps.Keys(t.shards)) {
		es = append(es, t.shards[name].endpoints...)
	}
	slices.SortFunc(es, func(a, b messenger.Endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	return es
}

// setClaims records the shards that a host claims in a heartbeat.
func (t *endpointTable) setClaims(host string, cs []messenger.ShardClaim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range cs {
		t.claims[c.Shard] = host
	}
}

// claimant returns the host that last claimed the shard in a heartbeat, or "".
func (t *endpointTable) claimant(shard string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claims[shard]
}

// setFreeSlots records the free slots by service that a host reported at now.
func (t *endpointTable) setFreeSlots(host string, slots map[string]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freeByHost[host] = freeSlotReport{slots: slots, reportedAt: now}
}

// freeSlots returns the host's free slots for the service, or 0 if its last report is
// older than freeSlotsValidity.
func (t *endpointTable) freeSlots(host, service string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.freeByHost[host]
	if now.Sub(f.reportedAt) > freeSlotsValidity {
		return 0
	}
	return f.slots[service]
}
