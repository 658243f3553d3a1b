package router

import (
	"math/rand/v2"
	"time"

	"peridotpitch/internal/messenger"
)

// Router is one entry host's view of the instances of its failure domain.
type Router struct {
	settings Settings
	random   *rand.Rand
}

// New returns a router without instances. The random source must be seeded by the
// caller and used by nothing else.
func New(s Settings, random *rand.Rand) *Router {
	return &Router{settings: s, random: random}
}

// Update replaces the list of instances and the number of entry hosts that share them.
func (r *Router) Update(_ []messenger.Endpoint, _ Membership, _ time.Time) {}

// Grant takes the answer of granter from to the demand that was taken at sentAt.
func (r *Router) Grant(_ string, _ messenger.SlotGrant, _, _ time.Time) {}

// Pick chooses an instance and holds one of its slots until Done.
func (r *Router) Pick(_ Request, _ time.Time) Choice { return None{} }

// Done returns the slot of a chosen instance.
func (r *Router) Done(_ Instance, _ Outcome, _ time.Time) {}

// Want sets the number of requests that wait for an instance of the service.
func (r *Router) Want(_ string, _ int, _ time.Time) {}

// Demand returns what this host uses and wants, for the heartbeat to peer to.
func (r *Router) Demand(_ string, _ time.Time) []messenger.SlotDemand { return nil }

// Free returns the number of free slots of the service within this host's share.
func (r *Router) Free(_ string, _ time.Time) int { return 0 }

// FreeByService returns the number of free slots of every service.
func (r *Router) FreeByService(_ time.Time) map[string]int { return nil }
