// Command dimasalang prints the configuration of Dimasalang Brass Restoration Works:
// one workshop service and its batch work in three failure domains.
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
	entryHosts, workers     int
	entry, worker           string // address of the first entry host and worker
}

// sites lists the failure domains. Each has another one as its successor, which resumes its
// jobs.
var sites = []site{
	{"Sampaloc", "sampaloc", "Malolos", 3, 17, "10.10.0.1:7100", "10.10.1.1:7200"},
	{"Malolos", "malolos", "San Pablo", 2, 17, "10.20.0.1:7100", "10.20.1.1:7200"},
	{"San Pablo", "san-pablo", "Sampaloc", 2, 16, "10.30.0.1:7100", "10.30.1.1:7200"},
}

func compose(replaces uint64) *composer.Composition {
	c := composer.New("Dimasalang Brass Restoration Works", replaces)
	// Latency has the highest weight, because a late quote loses a customer. Evictions come
	// next, because an evicted job ticket can leave an instrument unclaimed for weeks.
	c.Weights(10, 3, 1)
	instances := map[string]int{}
	for _, s := range sites {
		d := c.FailureDomain(s.name, "Luzon", s.successor)
		d.EntryHosts(s.prefix+"-entry", s.entryHosts, netip.MustParseAddrPort(s.entry))
		d.Workers(composer.Workers{Prefix: s.prefix + "-worker", Count: s.workers, RackSize: 8, Shards: 2,
			Capacity: composer.Resources{Cores: 32, Memory: 125 * composer.GB}, First: netip.MustParseAddrPort(s.worker)})
		instances[s.name] = s.workers // one on each worker, beside its batch tasks
	}
	c.Service(composer.Service{Name: "workshop", Class: "workshop", Instances: instances, Slots: 8, Connections: 64,
		Size: composer.Resources{Cores: 8, Memory: 24 * composer.GB}, LatencyTarget: 250 * time.Millisecond})

	c.JobClass(composer.JobClass{Name: "dent-scheduling", Size: composer.Resources{Cores: 4, Memory: 8 * composer.GB}})
	c.JobClass(composer.JobClass{Name: "valve-scheduling", Size: composer.Resources{Cores: 2, Memory: 4 * composer.GB}})
	c.JobClass(composer.JobClass{Name: "instrument-tracking", Size: composer.Resources{Cores: 1, Memory: 2 * composer.GB}})
	c.JobClass(composer.JobClass{Name: "fiesta-rush", Urgent: true, Size: composer.Resources{Cores: 4, Memory: 8 * composer.GB}})

	c.Team(composer.Team{Name: "band-directors", Share: 2, Quota: composer.Resources{Cores: 400, Memory: 1600 * composer.GB}})
	c.Team(composer.Team{Name: "fiestas", Share: 2, Quota: composer.Resources{Cores: 400, Memory: 1600 * composer.GB}})
	c.Team(composer.Team{Name: "schools", Share: 1, Quota: composer.Resources{Cores: 400, Memory: 1600 * composer.GB}})
	return c
}
