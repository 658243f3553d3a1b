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
	// endpointRetention is how long a shard's last known instances stay in use when no
	// owner reports any: long enough for a takeover (about 4 s) and the fencing of all
	// workers. An instance that is gone refuses connections, which is harmless.
	endpointRetention = 60 * time.Second
	// freeValidity is how long a peer's free slots are believed: three heartbeats.
	freeValidity = 3 * farInterval
)

type shardEndpoints struct {
	endpoints []messenger.Endpoint
	reported  time.Time
}

type freeSlots struct {
	slots map[string]int
	at    time.Time
}

// endpointTable holds the instances of this failure domain as their shards' owners
// report them, which host claims which shard, and the free slots of peers.
type endpointTable struct {
	mu     sync.Mutex
	shards map[string]shardEndpoints
	claims map[string]string // host by shard
	slots  map[string]freeSlots
}

func newEndpointTable() *endpointTable {
	return &endpointTable{
		shards: make(map[string]shardEndpoints),
		claims: make(map[string]string),
		slots:  make(map[string]freeSlots),
	}
}

// set takes in all instances that one owner reports. A shard without a report keeps
// its last instances for endpointRetention: the owner may have died, or the new one
// may not have fenced the workers yet.
func (t *endpointTable) set(es []messenger.Endpoint, now time.Time) {
	byShard := make(map[string][]messenger.Endpoint)
	for _, e := range es {
		byShard[e.Shard] = append(byShard[e.Shard], e)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, list := range byShard {
		t.shards[name] = shardEndpoints{endpoints: list, reported: now}
	}
	for name, s := range t.shards {
		if now.Sub(s.reported) > endpointRetention {
			delete(t.shards, name)
		}
	}
}

// all returns the known instances sorted by name.
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

func (t *endpointTable) setFree(host string, slots map[string]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slots[host] = freeSlots{slots: slots, at: now}
}

func (t *endpointTable) free(host, service string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.slots[host]
	if now.Sub(f.at) > freeValidity {
		return 0
	}
	return f.slots[service]
}
