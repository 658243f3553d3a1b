package composer

import (
	"errors"
	"fmt"
	"net/netip"

	"peridotpitch/internal/configurator"
)

// Units of memory, in bytes.
const (
	KB int64 = 1e3
	MB int64 = 1e6
	GB int64 = 1e9
	TB int64 = 1e12
)

// Resources is an amount of processors, memory (bytes) and accelerators.
type Resources = configurator.Resources

// Policy holds the settings of the decisions. Zero fields take their defaults.
type Policy = configurator.Policy

// Service is a latency-critical service. Zero Slots and Connections take their defaults.
type Service = configurator.Service

// JobClass describes batch jobs of one kind. A zero MaxAttempts takes its default.
type JobClass = configurator.JobClass

// Team is a tenant. A zero Share takes its default.
type Team = configurator.Team

// Defaults of fields that a composition leaves zero.
const (
	DefaultSlots       = 8  // requests that an instance runs at once
	DefaultConnections = 64 // connections that an instance accepts
	DefaultMaxAttempts = 5  // failed runs after which a job is not run again
	DefaultShare       = 1  // weight in fair queueing
)

// Composition builds a configuration.
type Composition struct {
	configuration configurator.Configuration
}

// New returns an empty composition with the default policy. replaces is the generation
// that must be in effect when the composition is applied, 0 for the first configuration.
func New(firm string, replaces uint64) *Composition {
	return &Composition{configurator.Configuration{Generation: replaces + 1, Replaces: replaces, Firm: firm, Policy: withDefaults(Policy{})}}
}

func withDefaults(p Policy) Policy {
	setDefault(&p.Routing, configurator.RoutingAdaptive)
	setDefault(&p.Placement, configurator.PlacementInterference)
	setDefault(&p.Limits, configurator.LimitFair)
	setDefault(&p.Retries, configurator.RetryBudget)
	setDefault(&p.OwnershipTTL, configurator.DefaultOwnershipTTL)
	setDefault(&p.JobRecoveryDelay, configurator.DefaultJobRecoveryDelay)
	setDefault(&p.MaxRequestTimeout, configurator.DefaultMaxRequestTimeout)
	return p
}

// setDefault sets *v to value if it is zero.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Weights sets the weights of tail latency, evictions and batch throughput, each from 0
// to 1000 and at least one above 0.
func (c *Composition) Weights(latency, evictions, throughput float64) {
	c.configuration.Measures = configurator.Measures{Latency: latency, Evictions: evictions, Throughput: throughput}
}

// Policy sets the policy. Zero fields take their defaults.
func (c *Composition) Policy(p Policy) { c.configuration.Policy = withDefaults(p) }

// FailureDomain is a failure domain of a composition.
type FailureDomain struct {
	composition *Composition
	name        string
}

// FailureDomain adds a failure domain. successor names the failure domain that resumes the
// jobs of this one when this one is unresponsive; empty for none.
func (c *Composition) FailureDomain(name, region, successor string) *FailureDomain {
	c.configuration.FailureDomains = append(c.configuration.FailureDomains, configurator.FailureDomain{Name: name, Region: region, Successor: successor})
	return &FailureDomain{composition: c, name: name}
}

// EntryHosts adds count entry hosts named prefix-1, prefix-2 and so on. Their message
// addresses are consecutive and begin with first.
func (d *FailureDomain) EntryHosts(prefix string, count int, first netip.AddrPort) {
	for i := range count {
		d.composition.configuration.EntryHosts = append(d.composition.configuration.EntryHosts, configurator.EntryHost{
			Name: fmt.Sprintf("%s-%d", prefix, i+1), FailureDomain: d.name, Address: advance(first, i)})
	}
}

// Workers describes a number of equal workers.
type Workers struct {
	Prefix   string         // workers are named Prefix-1 and so on, racks Prefix-rack-1 and so on
	Count    int            // number of workers
	Capacity Resources      // of each worker
	RackSize int            // workers in a rack
	Shards   int            // shards over which the workers are spread
	First    netip.AddrPort // address of the first worker's agent; the others are consecutive
}

// Workers adds workers. Each shard has workers in all racks where possible, so that
// tasks can be spread over racks within a shard.
func (d *FailureDomain) Workers(w Workers) {
	for i := range w.Count {
		d.composition.configuration.Workers = append(d.composition.configuration.Workers, configurator.Worker{
			Name: fmt.Sprintf("%s-%d", w.Prefix, i+1), FailureDomain: d.name,
			Rack:  fmt.Sprintf("%s-rack-%d", w.Prefix, i/max(w.RackSize, 1)+1),
			Shard: fmt.Sprint(i%max(w.Shards, 1) + 1), Address: advance(w.First, i), Capacity: w.Capacity})
	}
}

// advance returns the address n addresses after a, with the same port.
func advance(a netip.AddrPort, n int) netip.AddrPort {
	ip := a.Addr()
	for range n {
		ip = ip.Next()
	}
	return netip.AddrPortFrom(ip, a.Port())
}

// Service adds a service.
func (c *Composition) Service(s Service) {
	setDefault(&s.Slots, DefaultSlots)
	setDefault(&s.Connections, DefaultConnections)
	c.configuration.Services = append(c.configuration.Services, s)
}

// JobClass adds a job class.
func (c *Composition) JobClass(j JobClass) {
	setDefault(&j.MaxAttempts, DefaultMaxAttempts)
	c.configuration.JobClasses = append(c.configuration.JobClasses, j)
}

// Team adds a team.
func (c *Composition) Team(t Team) {
	setDefault(&t.Share, DefaultShare)
	c.configuration.Teams = append(c.configuration.Teams, t)
}

// Text validates the composition and returns its text. Faults are returned as one
// *InvalidError that lists each with its section, key and line in the printed text.
func (c *Composition) Text() ([]byte, error) {
	text := configurator.Print(&c.configuration)
	parsed, err := configurator.Parse(text)
	if err != nil {
		return nil, err
	}
	// The printed text of a value with a line break can contain sections that the composition
	// does not have.
	if d := configurator.Diff(&c.configuration, parsed); d != "" {
		return nil, fmt.Errorf("printed text describes another configuration than the composition:\n%s", d)
	}
	return text, nil
}

// Diff returns the differences from an earlier text to the composition, one line for each
// section or key. An empty old means no earlier configuration.
func (c *Composition) Diff(old []byte) (string, error) {
	if _, err := c.Text(); err != nil {
		return "", err
	}
	if len(old) == 0 {
		return configurator.Diff(nil, &c.configuration), nil
	}
	before, err := configurator.Parse(old)
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		invalid.Name = "old text"
	}
	if err != nil {
		return "", err
	}
	return configurator.Diff(before, &c.configuration), nil
}

// InvalidError lists all faults of a text.
type InvalidError = configurator.InvalidError

// Fault is one fault of a text: its line, section and key, the problem and the allowed values.
type Fault = configurator.Fault
