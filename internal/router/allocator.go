package router

import (
	"time"

	"peridotpitch/internal/messenger"
)

// DemandReport is the slot demand in one heartbeat of an entry host.
type DemandReport struct {
	Host        string
	Incarnation string
	// Sequence increases with each heartbeat of an incarnation. If it is 0, the order of
	// the reports is unknown: their demand takes effect, but they never free slots before
	// the grant of these slots has expired.
	Sequence uint64
	// RunningFor is the age of the host's process; 0 if unknown. If it is shorter than the
	// reclaim delay, slots of an earlier process of the host may still be in use.
	RunningFor time.Duration
	Demand     []messenger.SlotDemand
}

// Allocator grants slots of the pools of one shard's instances. A new owner of the shard
// starts with a new allocator. It grants nothing until all grants of an earlier owner have
// ended or, if the membership is settled, every configured host has acknowledged the new
// owner's epoch.
type Allocator struct {
	epoch              uint64
	reclaimDelay       time.Duration
	startedAt          time.Time
	settled            bool // earlier owners computed grants for the same number of hosts
	hostCounts         hostCountHistory
	hostsToAcknowledge map[string]bool // hosts that an earlier owner may have granted slots
	endpoints          []messenger.Endpoint
	allocations        map[string]map[hostProcess]*allocation // by instance
	lastSequences      map[hostProcess]uint64
	lastReportAt       map[hostProcess]time.Time
}

// hostProcess identifies one process of an entry host. A restarted host is a different
// hostProcess, because the requests of its earlier process may still run.
type hostProcess struct{ host, incarnation string }

// allocation is the state of one host process at an instance's pool: the grants under
// which it may still use slots, and its latest demand.
type allocation struct {
	grants       []outstandingGrant
	acknowledged bool // the process reported its use under this epoch, and no earlier process of the host can hold slots
	wantedSlots  int
	reportedAt   time.Time
}

// outstandingGrant is a grant whose slots may still be in use.
type outstandingGrant struct {
	slots      int
	inUseUntil time.Time // end of the last request that may use the slots
}

// NewAllocator returns an allocator for a shard whose owner's epoch began at now.
func NewAllocator(epoch uint64, maxRequestTimeout time.Duration, now time.Time) *Allocator {
	delay := reclaimDelay(maxRequestTimeout)
	return &Allocator{
		epoch:              epoch,
		reclaimDelay:       delay,
		startedAt:          now,
		hostCounts:         hostCountHistory{window: ShareDelay(maxRequestTimeout)},
		allocations:        make(map[string]map[hostProcess]*allocation),
		lastSequences:      make(map[hostProcess]uint64),
		lastReportAt:       make(map[hostProcess]time.Time),
		hostsToAcknowledge: make(map[string]bool),
	}
}

// Update replaces the shard's instances and the configured entry hosts of the failure
// domain. Settled has the meaning of Membership.Settled: if it is false, an earlier owner
// may have granted slots, and hosts may still use base shares, computed for another number
// of hosts.
func (a *Allocator) Update(endpoints []messenger.Endpoint, hosts []string, settled bool, now time.Time) {
	a.settled = a.settled || settled
	a.hostCounts.record(len(hosts), now)
	// Hosts are only added: a host that was removed from the configuration after startedAt
	// may still use slots that an earlier owner granted.
	if now.Sub(a.startedAt) < a.reclaimDelay {
		for _, h := range hosts {
			a.hostsToAcknowledge[h] = true
		}
	}
	a.endpoints = endpoints
	a.dropExpired(now)
}

// dropExpired removes expired grants, allocations of hosts that have been unresponsive for
// so long that none of their requests can be running, and old report times.
func (a *Allocator) dropExpired(now time.Time) {
	for instance, allocations := range a.allocations {
		for hp, al := range allocations {
			al.dropExpired(now)
			if len(al.grants) == 0 && now.Sub(a.lastReportAt[hp]) > a.reclaimDelay {
				delete(allocations, hp)
			}
		}
		if len(allocations) == 0 {
			delete(a.allocations, instance)
		}
	}
	for hp, t := range a.lastReportAt {
		if now.Sub(t) > 2*a.reclaimDelay {
			delete(a.lastReportAt, hp)
			delete(a.lastSequences, hp)
		}
	}
}

// HandleReport takes a host's report and returns the host's grants, one for each instance of
// the shard. A grant of zero slots informs the host of this allocator's epoch.
func (a *Allocator) HandleReport(p DemandReport, now time.Time) []messenger.SlotGrant {
	hp := hostProcess{p.Host, p.Incarnation}
	ordered := p.Sequence > 0
	if ordered && p.Sequence <= a.lastSequences[hp] {
		return nil // a later heartbeat of the process arrived first
	}
	a.lastSequences[hp] = p.Sequence
	a.lastReportAt[hp] = now
	a.dropExpired(now)
	demands := make(map[string]messenger.SlotDemand, len(p.Demand))
	for _, d := range p.Demand {
		demands[d.Instance] = d
	}
	grants := make([]messenger.SlotGrant, 0, len(a.endpoints))
	for _, e := range a.endpoints {
		d, listed := demands[e.Instance]
		al := a.allocation(e.Instance, hp)
		base := a.hostCounts.minBaseShare(e.Slots, now)
		if listed && ordered {
			al.replaceGrants(max(0, d.InUse-base), now.Add(a.reclaimDelay))
			al.acknowledged = al.acknowledged || p.RunningFor >= a.reclaimDelay
		}
		al.wantedSlots, al.reportedAt = max(0, d.Wanted-base), now
		slots := 0
		if listed && !e.Draining {
			slots = a.grantSlots(e, al, d.Wanted-base, now)
		}
		grants = append(grants, messenger.SlotGrant{
			Instance: e.Instance, Slots: slots, For: GrantDuration, Epoch: a.epoch,
		})
	}
	return grants
}

// grantSlots grants as many of the wanted slots as the pool has left. It reserves an equal
// part of the pool for each other host that wants slots.
func (a *Allocator) grantSlots(e messenger.Endpoint, al *allocation, wanted int, now time.Time) int {
	if wanted <= 0 || !a.mayGrant(e.Instance, now) {
		return 0
	}
	claimants := 1
	for _, other := range a.allocations[e.Instance] {
		if other != al && other.recentDemand(now) > 0 {
			claimants++
		}
	}
	pool := a.hostCounts.minPoolSize(e.Slots, now)
	reserved := 0
	for _, other := range a.allocations[e.Instance] {
		if other != al {
			reserved += max(other.maxUsableSlots(now), min(other.recentDemand(now), pool/claimants))
		}
	}
	slots := max(0, min(wanted, pool-reserved))
	if slots > 0 {
		al.addGrant(outstandingGrant{slots, now.Add(a.reclaimDelay)})
	}
	return slots
}

// mayGrant reports whether grants of an earlier owner can no longer be in use at the
// instance without this allocator's knowledge.
func (a *Allocator) mayGrant(instance string, now time.Time) bool {
	waited := now.Sub(a.startedAt)
	if !a.settled {
		return waited >= a.hostCounts.window
	}
	if waited >= a.reclaimDelay {
		return true
	}
	acknowledged := make(map[string]bool)
	for hp, al := range a.allocations[instance] {
		if al.acknowledged {
			acknowledged[hp.host] = true
		}
	}
	for h := range a.hostsToAcknowledge {
		if !acknowledged[h] {
			return false
		}
	}
	return len(a.hostsToAcknowledge) > 0
}

// allocation returns the allocation of a host process and creates it if needed.
func (a *Allocator) allocation(instance string, hp hostProcess) *allocation {
	allocations := a.allocations[instance]
	if allocations == nil {
		allocations = make(map[hostProcess]*allocation)
		a.allocations[instance] = allocations
	}
	al := allocations[hp]
	if al == nil {
		al = &allocation{}
		allocations[hp] = al
	}
	return al
}

// maxUsableSlots returns the largest number of pool slots that the host process may use.
// A host process replaces a grant by the next one, so grants do not add up.
func (al *allocation) maxUsableSlots(now time.Time) int {
	most := 0
	for _, p := range al.grants {
		if p.inUseUntil.After(now) {
			most = max(most, p.slots)
		}
	}
	return most
}

// recentDemand returns the number of pool slots wanted in the latest report, or 0 if the
// report is older than GrantDuration.
func (al *allocation) recentDemand(now time.Time) int {
	if now.Sub(al.reportedAt) > GrantDuration {
		return 0
	}
	return al.wantedSlots
}

// addGrant adds an outstanding grant. It drops grants that are neither larger nor in use
// for longer, because they no longer affect maxUsableSlots.
func (al *allocation) addGrant(p outstandingGrant) {
	kept := al.grants[:0]
	for _, o := range al.grants {
		if o.slots > p.slots || o.inUseUntil.After(p.inUseUntil) {
			kept = append(kept, o)
		}
	}
	al.grants = append(kept, p)
}

// replaceGrants replaces all earlier grants by the number of pool slots that the host
// process reported as in use.
func (al *allocation) replaceGrants(slots int, until time.Time) {
	al.grants = al.grants[:0]
	if slots > 0 {
		al.grants = append(al.grants, outstandingGrant{slots, until})
	}
}

// dropExpired removes grants whose slots can no longer be in use.
func (al *allocation) dropExpired(now time.Time) {
	kept := al.grants[:0]
	for _, p := range al.grants {
		if p.inUseUntil.After(now) {
			kept = append(kept, p)
		}
	}
	al.grants = kept
}
