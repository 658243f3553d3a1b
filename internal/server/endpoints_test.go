package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/proprietor"
	"peridotpitch/internal/router"
)

// Guards against a takeover that empties the list of instances: the new owner reports
// none until it has fenced the workers.
func TestInstancesOutliveTheirOwner(t *testing.T) {
	is := is.New(t)
	table, now := newEndpointTable(), time.Unix(0, 0)
	table.set([]messenger.Endpoint{{Instance: "q1", Shard: "A/1"}}, now)
	table.set(nil, now.Add(5*time.Second))
	is.Equal(len(table.all()), 1)
	table.set([]messenger.Endpoint{{Instance: "q1", Shard: "A/1"}, {Instance: "q2", Shard: "A/1"}}, now.Add(6*time.Second))
	is.Equal(len(table.all()), 2)
	table.set(nil, now.Add(6*time.Second+endpointRetention+1))
	is.Equal(len(table.all()), 0)
}

// Guards against forwarding by figures of a peer that is no longer heard.
func TestFreeSlotsExpire(t *testing.T) {
	is := is.New(t)
	table, now := newEndpointTable(), time.Unix(0, 0)
	table.setFree("e1", map[string]int{"quotes": 3}, now)
	is.Equal(table.free("e1", "quotes", now.Add(freeValidity)), 3)
	is.Equal(table.free("e1", "quotes", now.Add(freeValidity+1)), 0)
}

// Guards against pool slots that are granted twice: a grant must end with the placing
// tenure, because the next owner may grant the same slots afterwards.
func TestGrantEndsWithTenure(t *testing.T) {
	is := is.New(t)
	g, now := newGranter("e1"), time.Unix(0, 0)
	es := []messenger.Endpoint{{Instance: "q1", Shard: "A/1", Slots: 8, Connections: 64}}
	left := time.Second
	shards := []proprietor.ShardStatus{{Shard: "A/1", Owner: "e1", Epoch: 1, Placing: now.Add(left)}}
	g.update(shards, es, []string{"e1"}, true, 0, now)
	report := router.Report{Host: "e1", Incarnation: "a", Sequence: 1, RunningFor: time.Hour, Demand: []messenger.SlotDemand{{Instance: "q1", Wanted: 8}}}
	grants := g.step(report, now)
	is.Equal(len(grants), 1)
	is.True(grants[0].Slots > 0)
	is.Equal(grants[0].For, left)
	report.Sequence++
	is.Equal(len(g.step(report, now.Add(left))), 0) // no tenure, no grant
	shards[0].Owner = "e2"
	g.update(shards, es, []string{"e1"}, true, 0, now)
	report.Sequence++
	is.Equal(len(g.step(report, now)), 0) // not the owner any more
}
