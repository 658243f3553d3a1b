package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/router"
	"peridotpitch/internal/shardowner"
)

// Guards against a takeover that removes all instances: the new owner reports none until
// the workers have accepted its epoch.
func TestEndpointsKeptDuringTakeover(t *testing.T) {
	is := is.New(t)
	table, now := newEndpointTable(), time.Unix(0, 0)
	table.setEndpoints([]messenger.Endpoint{{Instance: "q1", Shard: "A/1"}}, now)
	table.setEndpoints(nil, now.Add(5*time.Second))
	is.Equal(len(table.all()), 1)
	table.setEndpoints([]messenger.Endpoint{{Instance: "q1", Shard: "A/1"}, {Instance: "q2", Shard: "A/1"}}, now.Add(6*time.Second))
	is.Equal(len(table.all()), 2)
	table.setEndpoints(nil, now.Add(6*time.Second+endpointRetention+1))
	is.Equal(len(table.all()), 0)
}

// Guards against forwarding requests to a peer that no longer sends heartbeats, because its
// last report listed free slots.
func TestFreeSlotsExpire(t *testing.T) {
	is := is.New(t)
	table, now := newEndpointTable(), time.Unix(0, 0)
	table.setFreeSlots("e1", map[string]int{"quotes": 3}, now)
	is.Equal(table.freeSlots("e1", "quotes", now.Add(freeSlotsValidity)), 3)
	is.Equal(table.freeSlots("e1", "quotes", now.Add(freeSlotsValidity+1)), 0)
}

// Guards against pool slots that are granted twice: a grant must end with the shard's
// lease for placing tasks, because the next owner may grant the same slots afterwards.
func TestGrantEndsWithPlacingLease(t *testing.T) {
	is := is.New(t)
	g, now := newGranter("e1"), time.Unix(0, 0)
	es := []messenger.Endpoint{{Instance: "q1", Shard: "A/1", Slots: 8, Connections: 64}}
	remaining := time.Second
	shards := []shardowner.ShardStatus{{Shard: "A/1", Owner: "e1", Epoch: 1, PlacingUntil: now.Add(remaining)}}
	g.update(shards, es, []string{"e1"}, true, 0, now)
	report := router.DemandReport{Host: "e1", Incarnation: "a", Sequence: 1, RunningFor: time.Hour, Demand: []messenger.SlotDemand{{Instance: "q1", Wanted: 8}}}
	grants := g.handleReport(report, now)
	is.Equal(len(grants), 1)
	is.True(grants[0].Slots > 0)
	is.Equal(grants[0].For, remaining)
	report.Sequence++
	is.Equal(len(g.handleReport(report, now.Add(remaining))), 0) // no grant after the end of the lease
	shards[0].Owner = "e2"
	g.update(shards, es, []string{"e1"}, true, 0, now)
	report.Sequence++
	is.Equal(len(g.handleReport(report, now)), 0) // no grant from a host that is no longer the owner
}
