package configurator

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// check returns the faults that concern several keys or sections. lines may lack
// positions of keys that are absent from the text; single are the faults of single keys.
func check(c *Configuration, lines map[position]int, single []Fault) []Fault {
	k := checker{c: c, lines: lines, single: single, domains: map[string]bool{}}
	for _, d := range c.FailureDomains {
		k.domains[d.Name] = true
	}
	k.general()
	k.failureDomains()
	k.hosts()
	for _, s := range c.Services {
		k.service(s)
	}
	k.total()
	return k.faults
}

type checker struct {
	c       *Configuration
	lines   map[position]int
	single  []Fault
	domains map[string]bool
	faults  []Fault
}

func (k *checker) fault(kind, name, key, allowed, format string, args ...any) {
	line, ok := k.lines[position{kind, name, key}]
	if !ok {
		line = k.lines[position{kind, name, ""}]
	}
	k.faults = append(k.faults, Fault{line, Section{Kind: kind, Name: name}.Header(), key, fmt.Sprintf(format, args...), allowed})
}

// given reports whether the section's keys all have acceptable values; absent and
// faulty ones are reported elsewhere.
func (k *checker) given(kind, name string, keys ...string) bool {
	header := Section{Kind: kind, Name: name}.Header()
	for _, y := range keys {
		if _, ok := k.lines[position{kind, name, y}]; !ok {
			return false
		}
		if slices.ContainsFunc(k.single, func(f Fault) bool { return f.Section == header && f.Key == y }) {
			return false
		}
	}
	return true
}

func (k *checker) general() {
	c := k.c
	if k.given(generationTable.Kind, "", "Generation", "Replaces") && c.Generation != c.Replaces+1 {
		// Consecutive numbers keep a slip from using up all later generations.
		k.fault(generationTable.Kind, "", "Generation", fmt.Sprintf("%d (Replaces + 1)", c.Replaces+1),
			"generation %d does not follow %d", c.Generation, c.Replaces)
	}
	m := c.Measures
	if k.given(measuresTable.Kind, "", "Latency", "Evictions", "Throughput") && m.Latency+m.Evictions+m.Throughput == 0 {
		k.fault(measuresTable.Kind, "", "", "at least one weight above 0", "all weights are 0")
	}
	if p := c.Policy; p.JobRecoveryDelay < p.OwnershipTTL {
		k.fault(policyTable.Kind, "", "JobRecoveryDelay", "at least OwnershipTtl", "%s is shorter than OwnershipTtl %s",
			formatDuration(p.JobRecoveryDelay), formatDuration(p.OwnershipTTL))
	}
}

func (k *checker) failureDomains() {
	for _, d := range k.c.FailureDomains {
		switch {
		case d.Successor == "":
		case d.Successor == d.Name:
			k.fault(failureDomainTable.Kind, d.Name, "Successor", k.domainNames(d.Name), "failure domain is its own successor")
		default:
			k.reference(failureDomainTable.Kind, d.Name, "Successor", d.Successor)
		}
		if k.entryHosts(d.Name) == 0 {
			k.fault(failureDomainTable.Kind, d.Name, "", "at least one EntryHost section with this FailureDomain", "failure domain has no entry host")
		}
	}
}

func (k *checker) domainNames(except string) string {
	var names []string
	for _, d := range k.c.FailureDomains {
		if d.Name != except {
			names = append(names, d.Name)
		}
	}
	if len(names) == 0 {
		return "no value, there is no other failure domain"
	}
	return strings.Join(names, ", ")
}

func (k *checker) entryHosts(domain string) int {
	n := 0
	for _, h := range k.c.EntryHosts {
		if h.FailureDomain == domain {
			n++
		}
	}
	return n
}

func (k *checker) reference(kind, name, key, domain string) {
	if domain != "" && !k.domains[domain] {
		k.fault(kind, name, key, k.domainNames(""), "failure domain %q does not exist", domain)
	}
}

// hosts checks references, and that names and addresses are unique among all hosts,
// because operators and the platform's host list name a host without its role.
func (k *checker) hosts() {
	names := map[string]bool{}
	addresses := map[netip.AddrPort]string{}
	address := func(kind, name string, a netip.AddrPort) {
		if first, ok := addresses[a]; ok && a.IsValid() {
			k.fault(kind, name, "Address", "an address of its own", "address %s also belongs to %q", a, first)
			return
		}
		addresses[a] = name
	}
	for _, h := range k.c.EntryHosts {
		names[h.Name] = true
		k.reference(entryHostTable.Kind, h.Name, "FailureDomain", h.FailureDomain)
		address(entryHostTable.Kind, h.Name, h.Address)
	}
	for _, w := range k.c.Workers {
		if names[w.Name] {
			k.fault(workerTable.Kind, w.Name, "", "a name that no EntryHost section has", "name also belongs to an entry host")
		}
		k.reference(workerTable.Kind, w.Name, "FailureDomain", w.FailureDomain)
		address(workerTable.Kind, w.Name, w.Address)
	}
}

func (k *checker) service(s Service) {
	kind := serviceTable.Kind
	if strings.Contains(s.Name, " ") {
		k.fault(kind, s.Name, "", "a name without spaces", "name is part of callers' paths")
	}
	if s.Connections > 0 && s.Connections < s.Slots {
		k.fault(kind, s.Name, "Connections", fmt.Sprintf("at least Slots (%d)", s.Slots), "%d connections cannot carry %d requests", s.Connections, s.Slots)
	}
	if s.LatencyTarget > k.c.Policy.MaxRequestTimeout {
		k.fault(kind, s.Name, "LatencyTarget", fmt.Sprintf("at most MaxRequestTimeout (%s)", formatDuration(k.c.Policy.MaxRequestTimeout)),
			"%s can never be exceeded", formatDuration(s.LatencyTarget))
	}
	for _, d := range slices.Sorted(maps.Keys(s.Instances)) {
		k.reference(kind, s.Name, "Instances", d)
		if k.domains[d] {
			k.instances(s, d)
		}
	}
}

func (k *checker) instances(s Service, domain string) {
	wanted := s.Instances[domain]
	// Each entry host has a base share of at least one slot.
	if n := k.entryHosts(domain); wanted > 0 && s.Slots > 0 && n > s.Slots {
		k.fault(serviceTable.Kind, s.Name, "Slots", fmt.Sprintf("at least %d", n), "%d slots are fewer than the %d entry hosts of %q", s.Slots, n, domain)
	}
	fit := 0
	for _, w := range k.c.Workers {
		if w.FailureDomain == domain {
			fit += copies(w.Capacity, s.Size)
		}
	}
	if wanted > fit {
		k.fault(serviceTable.Kind, s.Name, "Instances", fmt.Sprintf("at most %s:%d", domain, fit),
			"%d instances do not fit on the workers of %q", wanted, domain)
	}
}

// copies returns how many instances of the size fit into the capacity.
func copies(capacity, size Resources) int {
	n := maxInstances
	if size.Cores > 0 {
		n = min(n, int((capacity.Cores+coreTolerance)/size.Cores))
	}
	if size.Memory > 0 {
		n = min(n, int(capacity.Memory/size.Memory))
	}
	if size.Accelerators > 0 {
		n = min(n, capacity.Accelerators/size.Accelerators)
	}
	return n
}

// total checks that the instances of all services together do not exceed the capacity
// of a failure domain. Whether a packing exists is left to the placer, so that no
// configuration is refused that fits.
func (k *checker) total() {
	for _, d := range k.c.FailureDomains {
		var capacity, wanted Resources
		for _, w := range k.c.Workers {
			if w.FailureDomain == d.Name {
				capacity = capacity.Add(w.Capacity)
			}
		}
		for _, s := range k.c.Services {
			n := s.Instances[d.Name]
			alone := wanted == (Resources{})
			wanted = wanted.Add(Resources{s.Size.Cores * float64(n), s.Size.Memory * int64(n), s.Size.Accelerators * n})
			if wanted.Fits(capacity) {
				continue
			}
			if !alone { // instances reports a service that does not fit even alone
				k.fault(serviceTable.Kind, s.Name, "Instances", fmt.Sprintf("instances of all services together within %s", formatResources(capacity)),
					"instances of all services in %q need at least %s", d.Name, formatResources(wanted))
			}
			break
		}
	}
}

func formatResources(r Resources) string {
	return fmt.Sprintf("%s cores, %s and %d accelerators", formatNumber(math.Round(r.Cores*1000)/1000), FormatSize(r.Memory), r.Accelerators)
}
