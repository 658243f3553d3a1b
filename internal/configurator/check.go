package configurator

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// check returns the faults that concern several keys or sections. lines holds the line of
// each section and key of the text; keyFaults are the faults of single keys.
func check(c *Configuration, lines map[position]int, keyFaults []Fault) []Fault {
	k := checker{c: c, lines: lines, keyFaults: keyFaults, failureDomainNames: map[string]bool{}}
	for _, d := range c.FailureDomains {
		k.failureDomainNames[d.Name] = true
	}
	k.checkSingleSections()
	k.checkFailureDomains()
	k.checkHosts()
	for _, s := range c.Services {
		k.checkService(s)
	}
	k.checkTotalCapacity()
	return k.faults
}

type checker struct {
	c                  *Configuration
	lines              map[position]int
	keyFaults          []Fault
	failureDomainNames map[string]bool
	faults             []Fault
}

// addFault adds a fault at the line of the key, or of the section if the key is absent.
func (k *checker) addFault(kind, name, key, allowed, format string, args ...any) {
	line, ok := k.lines[position{kind, name, key}]
	if !ok {
		line = k.lines[position{kind, name, ""}]
	}
	k.faults = append(k.faults, Fault{line, Section{Kind: kind, Name: name}.Header(), key, fmt.Sprintf(format, args...), allowed, false})
}

// hasValidValues reports whether the section has all of the keys, with values that are
// accepted. Table.Read reports absent keys and values that are not accepted.
func (k *checker) hasValidValues(kind, name string, keys ...string) bool {
	header := Section{Kind: kind, Name: name}.Header()
	for _, key := range keys {
		if _, ok := k.lines[position{kind, name, key}]; !ok {
			return false
		}
		if slices.ContainsFunc(k.keyFaults, func(f Fault) bool { return f.Section == header && f.Key == key }) {
			return false
		}
	}
	return true
}

// checkSingleSections checks the sections that occur at most once.
func (k *checker) checkSingleSections() {
	c := k.c
	if k.hasValidValues(generationTable.Kind, "", "Generation", "Replaces") && c.Generation != c.Replaces+1 {
		// Consecutive numbers keep a typing error, such as too many digits, from making all
		// lower generations unusable.
		k.addFault(generationTable.Kind, "", "Generation", fmt.Sprintf("%d (Replaces + 1)", c.Replaces+1),
			"generation %d does not follow %d", c.Generation, c.Replaces)
	}
	m := c.Measures
	if k.hasValidValues(measuresTable.Kind, "", "Latency", "Evictions", "Throughput") && m.Latency+m.Evictions+m.Throughput == 0 {
		k.addFault(measuresTable.Kind, "", "", "at least one weight above 0", "all weights are 0")
	}
	if p := c.Policy; p.JobRecoveryDelay < p.OwnershipTTL {
		k.addFault(policyTable.Kind, "", "JobRecoveryDelay", "at least OwnershipTtl", "%s is shorter than OwnershipTtl %s",
			formatDuration(p.JobRecoveryDelay), formatDuration(p.OwnershipTTL))
	}
}

func (k *checker) checkFailureDomains() {
	for _, d := range k.c.FailureDomains {
		switch {
		case d.Successor == "":
		case d.Successor == d.Name:
			k.addFault(failureDomainTable.Kind, d.Name, "Successor", k.allowedFailureDomains(d.Name), "failure domain is its own successor")
		default:
			k.checkFailureDomainExists(failureDomainTable.Kind, d.Name, "Successor", d.Successor)
		}
		if k.countEntryHosts(d.Name) == 0 {
			k.addFault(failureDomainTable.Kind, d.Name, "", "at least one EntryHost section with this FailureDomain", "failure domain has no entry host")
		}
	}
}

// allowedFailureDomains returns the text for Fault.Allowed that lists all failure domains
// but one.
func (k *checker) allowedFailureDomains(except string) string {
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

func (k *checker) countEntryHosts(domain string) int {
	n := 0
	for _, h := range k.c.EntryHosts {
		if h.FailureDomain == domain {
			n++
		}
	}
	return n
}

// checkFailureDomainExists adds a fault if the key names a failure domain without a section.
func (k *checker) checkFailureDomainExists(kind, name, key, domain string) {
	if domain != "" && !k.failureDomainNames[domain] {
		k.addFault(kind, name, key, k.allowedFailureDomains(""), "failure domain %q does not exist", domain)
	}
}

// checkHosts checks the hosts' failure domains, and that names and addresses are unique
// among entry hosts and workers together: operators and the platform's host list identify
// a host by its name alone.
func (k *checker) checkHosts() {
	names := map[string]bool{}
	addresses := map[netip.AddrPort]string{}
	checkAddress := func(kind, name string, a netip.AddrPort) {
		if first, ok := addresses[a]; ok && a.IsValid() {
			k.addFault(kind, name, "Address", "an address of its own", "address %s also belongs to %q", a, first)
			return
		}
		addresses[a] = name
	}
	for _, h := range k.c.EntryHosts {
		names[h.Name] = true
		k.checkFailureDomainExists(entryHostTable.Kind, h.Name, "FailureDomain", h.FailureDomain)
		checkAddress(entryHostTable.Kind, h.Name, h.Address)
	}
	for _, w := range k.c.Workers {
		if names[w.Name] {
			k.addFault(workerTable.Kind, w.Name, "", "a name that no EntryHost section has", "name also belongs to an entry host")
		}
		k.checkFailureDomainExists(workerTable.Kind, w.Name, "FailureDomain", w.FailureDomain)
		checkAddress(workerTable.Kind, w.Name, w.Address)
	}
}

func (k *checker) checkService(s Service) {
	kind := serviceTable.Kind
	if strings.Contains(s.Name, " ") {
		k.addFault(kind, s.Name, "", "a name without spaces", "name is part of callers' paths")
	}
	if s.Connections > 0 && s.Connections < s.Slots {
		k.addFault(kind, s.Name, "Connections", fmt.Sprintf("at least Slots (%d)", s.Slots), "%d connections cannot carry %d requests", s.Connections, s.Slots)
	}
	if s.LatencyTarget > k.c.Policy.MaxRequestTimeout {
		k.addFault(kind, s.Name, "LatencyTarget", fmt.Sprintf("at most MaxRequestTimeout (%s)", formatDuration(k.c.Policy.MaxRequestTimeout)),
			"%s can never be exceeded", formatDuration(s.LatencyTarget))
	}
	for _, d := range slices.Sorted(maps.Keys(s.Instances)) {
		k.checkFailureDomainExists(kind, s.Name, "Instances", d)
		if k.failureDomainNames[d] {
			k.checkInstances(s, d)
		}
	}
}

func (k *checker) checkInstances(s Service, domain string) {
	wanted := s.Instances[domain]
	// Each entry host has a base share of at least one slot.
	if n := k.countEntryHosts(domain); wanted > 0 && s.Slots > 0 && n > s.Slots {
		k.addFault(serviceTable.Kind, s.Name, "Slots", fmt.Sprintf("at least %d", n), "%d slots are fewer than the %d entry hosts of %q", s.Slots, n, domain)
	}
	fit := 0
	for _, w := range k.c.Workers {
		if w.FailureDomain == domain {
			fit += fittingInstances(w.Capacity, s.Size)
		}
	}
	if wanted > fit {
		k.addFault(serviceTable.Kind, s.Name, "Instances", fmt.Sprintf("at most %s:%d", domain, fit),
			"%d instances do not fit on the workers of %q", wanted, domain)
	}
}

// fittingInstances returns how many instances of the size fit into the capacity, at most
// maxInstances.
func fittingInstances(capacity, size Resources) int {
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

// checkTotalCapacity checks that the instances of all services together do not exceed the
// capacity of a failure domain. It does not check whether they can be distributed over the
// workers. Only the placer determines that, so that a configuration that fits is never refused.
func (k *checker) checkTotalCapacity() {
	for _, d := range k.c.FailureDomains {
		var capacity, wanted Resources
		for _, w := range k.c.Workers {
			if w.FailureDomain == d.Name {
				capacity = capacity.Add(w.Capacity)
			}
		}
		for _, s := range k.c.Services {
			n := s.Instances[d.Name]
			isFirst := wanted == (Resources{})
			wanted = wanted.Add(Resources{s.Size.Cores * float64(n), s.Size.Memory * int64(n), s.Size.Accelerators * n})
			if wanted.Fits(capacity) {
				continue
			}
			if !isFirst { // checkInstances reports a service that does not fit by itself
				k.addFault(serviceTable.Kind, s.Name, "Instances", fmt.Sprintf("instances of all services together within %s", formatResources(capacity)),
					"instances of all services in %q need at least %s", d.Name, formatResources(wanted))
			}
			break
		}
	}
}

func formatResources(r Resources) string {
	return fmt.Sprintf("%s cores, %s and %d accelerators", formatNumber(math.Round(r.Cores*1000)/1000), FormatSize(r.Memory), r.Accelerators)
}
