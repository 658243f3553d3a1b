// Command vitosha prints the configuration of Vitosha Telsoft OOD: the mill order
// service and its batch work in four failure domains.
package main

import (
	"net/netip"
	"os"
	"time"

	"peridotpitch/pkg/composer"
)

func main() {
	os.Exit(composer.Run(os.Args[1:], os.Stdout, os.Stderr, compose))
}

// site is one failure domain.
type site struct {
	name, prefix, successor string
	workers                 int
	entry, worker           string // address of the first entry host and worker
}

// sites lists the failure domains. Each has a successor in another city, which resumes its jobs.
var sites = []site{
	{"Plovdiv North", "plovdiv-north", "Stara Zagora", 17, "10.110.0.1:7100", "10.110.1.1:7200"},
	{"Plovdiv South", "plovdiv-south", "Haskovo", 16, "10.120.0.1:7100", "10.120.1.1:7200"},
	{"Stara Zagora", "stara-zagora", "Plovdiv South", 16, "10.130.0.1:7100", "10.130.1.1:7200"},
	{"Haskovo", "haskovo", "Plovdiv North", 16, "10.140.0.1:7100", "10.140.1.1:7200"},
}

// entryHosts is the number of entry hosts in each failure domain.
const entryHosts = 2

func compose(replaces uint64) *composer.Composition {
	c := composer.New("Vitosha Telsoft OOD", replaces)
	// Latency has the highest weight, because a late quote loses a customer. Throughput comes
	// next, because a lost die plan leaves the mill floor idle.
	c.Weights(10, 1, 3)
	instances := map[string]int{}
	for _, s := range sites {
		d := c.FailureDomain(s.name, "Southern Bulgaria", s.successor)
		d.EntryHosts(s.prefix+"-entry", entryHosts, netip.MustParseAddrPort(s.entry))
		d.Workers(composer.Workers{Prefix: s.prefix + "-worker", Count: s.workers, RackSize: 8, Shards: 2,
			Capacity: composer.Resources{Cores: 16, Memory: 60 * composer.GB}, First: netip.MustParseAddrPort(s.worker)})
		instances[s.name] = s.workers // one on each worker, beside its batch tasks
	}
	c.Service(composer.Service{Name: "mill-orders", Class: "mill-orders", Instances: instances, Slots: 8, Connections: 64,
		Size: composer.Resources{Cores: 4, Memory: 12 * composer.GB}, LatencyTarget: 250 * time.Millisecond})

	c.JobClass(composer.JobClass{Name: "die-sequence", Size: composer.Resources{Cores: 4, Memory: 8 * composer.GB}})
	c.JobClass(composer.JobClass{Name: "die-repair", Urgent: true, Size: composer.Resources{Cores: 2, Memory: 4 * composer.GB}})
	c.JobClass(composer.JobClass{Name: "traceability-report", Size: composer.Resources{Cores: 1, Memory: 6 * composer.GB}})

	c.Team(composer.Team{Name: "coil-sales", Share: 3, Quota: composer.Resources{Cores: 200, Memory: 700 * composer.GB}})
	c.Team(composer.Team{Name: "mill-floor", Share: 2, Quota: composer.Resources{Cores: 400, Memory: 1500 * composer.GB}})
	c.Team(composer.Team{Name: "quality", Share: 1, Quota: composer.Resources{Cores: 100, Memory: 600 * composer.GB}})
	return c
}
