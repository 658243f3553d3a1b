package router

import (
	"time"

	"peridotpitch/internal/messenger"
)

// Report is the slot demand in one heartbeat of an entry host.
type Report struct {
	Host        string
	Incarnation string
	// Sequence increases with each heartbeat of an incarnation. With 0 the order of the
	// reports is unknown: they take effect as wishes, but never as evidence that slots
	// are free before their grant has expired.
	Sequence uint64
	// RunningFor is the age of the host's process; 0 if unknown. A younger process than
	// the lending time is no evidence about the slots of the one before it.
	RunningFor time.Duration
	Demand     []messenger.SlotDemand
}

// Allocator lends the pool slots of one shard's instances. A new owner starts with a
// new allocator. It lends nothing until everything that an earlier owner lent has ended
// or, if the membership is settled, every configured host has acknowledged its epoch.
type Allocator struct {
	epoch     uint64
	lending   time.Duration
	started   time.Time
	settled   bool // the number of hosts is that of an earlier owner, too
	counts    hostCounts
	hosts     map[string]bool // every host that an earlier owner may have lent to
	endpoints []messenger.Endpoint
	loans     map[string]map[borrower]*loan // by instance
	sequences map[borrower]uint64
	heard     map[borrower]time.Time
}

// borrower is one process of an entry host. A restarted host is another borrower,
// because the requests of its earlier process may still run.
type borrower struct{ host, incarnation string }

// loan is what a borrower may still use of an instance's pool.
type loan struct {
	parts        []part
	acknowledged bool // the borrower knows this allocator's epoch
	wanted       int
	wantedAt     time.Time
}

type part struct {
	slots int
	until time.Time // end of the last request that may use the slots
}

// NewAllocator returns an allocator for a shard whose owner's epoch began at now.
func NewAllocator(epoch uint64, maxRequestTimeout time.Duration, now time.Time) *Allocator {
	lending := lendingTime(maxRequestTimeout)
	return &Allocator{
		epoch:     epoch,
		lending:   lending,
		started:   now,
		counts:    hostCounts{delay: ShareDelay(maxRequestTimeout)},
		loans:     make(map[string]map[borrower]*loan),
		sequences: make(map[borrower]uint64),
		heard:     make(map[borrower]time.Time),
		hosts:     make(map[string]bool),
	}
}

// Update replaces the shard's instances and the configured entry hosts of the failure
// domain. Settled has the meaning of Membership.Settled: without it, an earlier owner
// may have lent by, and hosts may still use, the shares of another number of hosts.
func (a *Allocator) Update(endpoints []messenger.Endpoint, hosts []string, settled bool, now time.Time) {
	a.settled = a.settled || settled
	a.counts.set(len(hosts), now)
	// A host that was removed since may still use what an earlier owner lent it.
	if now.Sub(a.started) < a.lending {
		for _, h := range hosts {
			a.hosts[h] = true
		}
	}
	a.endpoints = endpoints
	a.forget(now)
}

// forget drops loans that have ended and hosts that were silent for so long that
// nothing of theirs can be in use.
func (a *Allocator) forget(now time.Time) {
	for instance, loans := range a.loans {
		for b, l := range loans {
			l.expire(now)
			if len(l.parts) == 0 && now.Sub(a.heard[b]) > a.lending {
				delete(loans, b)
			}
		}
		if len(loans) == 0 {
			delete(a.loans, instance)
		}
	}
	for b, t := range a.heard {
		if now.Sub(t) > 2*a.lending {
			delete(a.heard, b)
			delete(a.sequences, b)
		}
	}
}

// Step takes a host's report and returns its grants, one for each instance of the shard.
// A grant of no slot tells the host this allocator's epoch.
func (a *Allocator) Step(p Report, now time.Time) []messenger.SlotGrant {
	b := borrower{p.Host, p.Incarnation}
	ordered := p.Sequence > 0
	if ordered && p.Sequence <= a.sequences[b] {
		return nil // a delayed heartbeat; its answer is no longer awaited
	}
	a.sequences[b] = p.Sequence
	a.heard[b] = now
	a.forget(now)
	demands := make(map[string]messenger.SlotDemand, len(p.Demand))
	for _, d := range p.Demand {
		demands[d.Instance] = d
	}
	grants := make([]messenger.SlotGrant, 0, len(a.endpoints))
	for _, e := range a.endpoints {
		d, listed := demands[e.Instance]
		l := a.loan(e.Instance, b)
		base := a.counts.base(e.Slots, now)
		if listed && ordered {
			l.confirm(max(0, d.InUse-base), now.Add(a.lending))
			l.acknowledged = l.acknowledged || p.RunningFor >= a.lending
		}
		l.wanted, l.wantedAt = max(0, d.Wanted-base), now
		slots := 0
		if listed && !e.Draining {
			slots = a.lend(e, l, d.Wanted-base, now)
		}
		grants = append(grants, messenger.SlotGrant{
			Instance: e.Instance, Slots: slots, For: GrantDuration, Epoch: a.epoch,
		})
	}
	return grants
}

// lend grants as many of the wanted slots as the pool has left, but leaves the other
// hosts that want slots their equal part.
func (a *Allocator) lend(e messenger.Endpoint, l *loan, wanted int, now time.Time) int {
	if wanted <= 0 || !a.mayLend(e.Instance, now) {
		return 0
	}
	wishes := 1
	for _, other := range a.loans[e.Instance] {
		if other != l && other.wish(now) > 0 {
			wishes++
		}
	}
	pool := a.counts.pool(e.Slots, now)
	reserved := 0
	for _, other := range a.loans[e.Instance] {
		if other != l {
			reserved += max(other.slots(now), min(other.wish(now), pool/wishes))
		}
	}
	slots := max(0, min(wanted, pool-reserved))
	if slots > 0 {
		l.add(part{slots, now.Add(a.lending)})
	}
	return slots
}

func (a *Allocator) mayLend(instance string, now time.Time) bool {
	waited := now.Sub(a.started)
	if !a.settled {
		return waited >= a.counts.delay
	}
	if waited >= a.lending {
		return true
	}
	known := make(map[string]bool)
	for b, l := range a.loans[instance] {
		if l.acknowledged {
			known[b.host] = true
		}
	}
	for h := range a.hosts {
		if !known[h] {
			return false
		}
	}
	return len(a.hosts) > 0
}

func (a *Allocator) loan(instance string, b borrower) *loan {
	loans := a.loans[instance]
	if loans == nil {
		loans = make(map[borrower]*loan)
		a.loans[instance] = loans
	}
	l := loans[b]
	if l == nil {
		l = &loan{}
		loans[b] = l
	}
	return l
}

// slots is the largest number of pool slots that the borrower may use. Grants replace
// each other at the borrower, so they do not add up.
func (l *loan) slots(now time.Time) int {
	most := 0
	for _, p := range l.parts {
		if p.until.After(now) {
			most = max(most, p.slots)
		}
	}
	return most
}

// wish is the number of pool slots in the borrower's latest report, if it is recent.
func (l *loan) wish(now time.Time) int {
	if now.Sub(l.wantedAt) > GrantDuration {
		return 0
	}
	return l.wanted
}

// add notes a grant. Smaller parts that end earlier no longer matter.
func (l *loan) add(p part) {
	kept := l.parts[:0]
	for _, o := range l.parts {
		if o.slots > p.slots || o.until.After(p.until) {
			kept = append(kept, o)
		}
	}
	l.parts = append(kept, p)
}

// confirm replaces all earlier grants by what the borrower reported.
func (l *loan) confirm(slots int, until time.Time) {
	l.parts = l.parts[:0]
	if slots > 0 {
		l.parts = append(l.parts, part{slots, until})
	}
}

func (l *loan) expire(now time.Time) {
	kept := l.parts[:0]
	for _, p := range l.parts {
		if p.until.After(now) {
			kept = append(kept, p)
		}
	}
	l.parts = kept
}
