package router

import (
	"time"

	"peridotpitch/internal/messenger"
)

// Report is the slot demand in one heartbeat of an entry host.
type Report struct {
	Host        string
	Incarnation string
	Sequence    uint64 // increases with each heartbeat of an incarnation; 0 if unknown
	Demand      []messenger.SlotDemand
}

// Allocator lends the pool slots of one shard's instances. A new owner starts with a
// new allocator.
type Allocator struct{}

// NewAllocator returns an allocator for a shard whose owner's epoch began at now.
func NewAllocator(_ uint64, _ time.Duration, _ time.Time) *Allocator { return &Allocator{} }

// Update replaces the shard's instances and the configured entry hosts of the failure
// domain.
func (a *Allocator) Update(_ []messenger.Endpoint, _ []string, _ time.Time) {}

// Step takes a host's report and returns its grants, one for each instance of the shard.
func (a *Allocator) Step(_ Report, _ time.Time) []messenger.SlotGrant { return nil }
