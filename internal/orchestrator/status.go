package orchestrator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// maxListedWorkers limits the workers that a Status names, so that its size stays bounded when a
// whole failure domain is out of reach.
const maxListedWorkers = 50

// Status is a summary of the leader's state for operators.
type Status struct {
	Load           Load
	FailureDomains []FailureDomainStatus // by name
	// Unusable are the workers that get no new work, by failure domain and ID, at most
	// maxListedWorkers of them. Omitted is the number of the others.
	Unusable []WorkerStatus
	Omitted  int
}

// FailureDomainStatus counts the workers of one failure domain.
type FailureDomainStatus struct {
	Name        string
	Workers     int
	Usable      int
	Unreachable int // their last poll failed, or they have not answered this leader yet
	Runs        int // present runs on all workers
	// EvacuatedFor is how long this leader has known that operators evacuate the failure domain; 0: they do not.
	EvacuatedFor time.Duration `msgpack:",omitempty" json:",omitempty"`
}

// WorkerStatus describes a worker that gets no new work.
type WorkerStatus struct {
	ID            string
	FailureDomain string
	Address       netip.AddrPort
	Reason        string        // predicate, for example "is draining"
	AnsweredAgo   time.Duration // since its last answer to this leader; 0: it has not answered
	Runs          int
}

// Status returns a summary of the state at now.
func (o *Orchestrator) Status(now time.Time) Status {
	o.now = now
	s := Status{Load: o.load()}
	byName := make(map[string]*FailureDomainStatus)
	for _, w := range o.workersByID() {
		d := byName[w.FailureDomain]
		if d == nil {
			d = &FailureDomainStatus{Name: w.FailureDomain, EvacuatedFor: o.evacuations.EvacuatedFor(w.FailureDomain, now)}
			byName[w.FailureDomain] = d
		}
		d.Workers++
		d.Runs += len(w.runs)
		if w.unreachable || !w.hasClock {
			d.Unreachable++
		}
		ok, why := o.usable(w)
		if ok {
			d.Usable++
			continue
		}
		s.Unusable = append(s.Unusable, WorkerStatus{ID: w.ID, FailureDomain: w.FailureDomain, Address: w.Address, Reason: why,
			AnsweredAgo: o.timeSinceAnswer(w), Runs: len(w.runs)})
	}
	for _, d := range byName {
		s.FailureDomains = append(s.FailureDomains, *d)
	}
	slices.SortFunc(s.FailureDomains, func(a, b FailureDomainStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Unusable, func(a, b WorkerStatus) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	if n := len(s.Unusable) - maxListedWorkers; n > 0 {
		s.Unusable, s.Omitted = s.Unusable[:maxListedWorkers], n
	}
	return s
}
