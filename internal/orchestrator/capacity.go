package orchestrator

import "time"

// maxCapacityAge is the age of the workers' entries up to which a start may rely on the capacity of a worker that
// does not guard it. The platform allows starts by the former capacity for 4.5 s after it has shrunk.
const maxCapacityAge = 3 * time.Second

// confirmCapacities notes that the workers' entries are known as of a time.
func (o *Orchestrator) confirmCapacities(t time.Time) {
	if t.After(o.capacitiesAt) {
		if o.now.Sub(o.capacitiesAt) > maxCapacityAge {
			o.passDue = true
		}
		o.capacitiesAt = t
	}
}
