package router_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/router"
)

// An instance with 8 slots gives each of two entry hosts a base share of 3. The other
// 2 slots form the pool and need a grant.
func ExampleRouter() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := router.New(router.Settings{Policy: configurator.RoutingAdaptive}, rand.New(rand.NewPCG(1, 1)))
	r.Update([]messenger.Endpoint{
		{Instance: "quotes-1", Service: "quotes", Address: "10.0.0.7:8080", Slots: 8, Connections: 64},
	}, router.Membership{Hosts: 2, Settled: true}, now)
	for range 4 {
		switch c := r.Pick(router.Request{Service: "quotes", Deadline: now.Add(time.Second)}, now).(type) {
		case router.ChosenInstance:
			fmt.Println(c.Name, "with", c.Connections, "connections")
		case router.NoInstance:
			fmt.Println(c.Reason)
		}
	}
	// Output:
	// quotes-1 with 32 connections
	// quotes-1 with 32 connections
	// quotes-1 with 32 connections
	// no instance has a free slot in this host's share
}
