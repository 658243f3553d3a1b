package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"peridotpitch/internal/commander"
	"peridotpitch/internal/emulator"
	"peridotpitch/internal/relayer"
	"peridotpitch/internal/storer"
)

// ClusterOptions configures a Cluster. Zero fields take the defaults.
type ClusterOptions struct {
	Domains          []string          // failure domains; the successor of each is the next one (default: north, south)
	HostsPerDomain   int               // entry hosts (default 2)
	WorkersPerDomain int               // workers of 16 cores and 60 GB (default 2)
	Instances        int               // of the service "quotes" in each failure domain (default 2)
	Policy           map[string]string // keys of the section Policy
	WorkerFlags      []string          // additional flags of standin worker
	PlatformFlags    []string          // additional flags of standin platform
	Relays           bool              // route each entry host's incoming messages and store calls through relays
}

// Cluster is a complete system of child processes on loopback: an emulated platform,
// emulated workers, and entry hosts with a signed configuration in effect. It has the
// service "quotes", the job class "plan" with 2 cores and 4 GB, and the teams "mill" and
// "office".
type Cluster struct {
	Platform *Process
	Store    netip.AddrPort
	Hosts    []*Host
	Workers  []*Worker

	t                  testing.TB
	options            ClusterOptions
	dir                string
	operatorKeySection string // section OperatorKey of the settings files
}

// Host is one entry host.
type Host struct {
	*Process
	Name, Domain           string
	Caller, Message, Admin netip.AddrPort

	peerAddress       netip.AddrPort // where peers send messages: Message, or the relay in front of it
	storeAddress      netip.AddrPort // where the host calls the store: the platform, or the relay in front of it
	peerRelayControl  netip.AddrPort // control address of the relay in front of Message
	storeRelayControl netip.AddrPort // control address of the relay in front of the store
	settingsPath      string
	processNumber     int
}

// Worker is one emulated worker.
type Worker struct {
	*Process
	Name, Domain string
	Address      netip.AddrPort
}

// addressesPerHost is the number of addresses of an entry host and its relays.
const addressesPerHost = 7

// clusterSlots limits how many clusters a test binary runs at the same time. Each cluster
// has about ten processes.
var clusterSlots = make(chan struct{}, 4)

// StartCluster starts a cluster and waits until every entry host is ready and answers a
// request. The processes are stopped when the test ends.
func StartCluster(t testing.TB, o ClusterOptions) *Cluster {
	t.Helper()
	if len(o.Domains) == 0 {
		o.Domains = []string{"north", "south"}
	}
	for _, v := range []*int{&o.HostsPerDomain, &o.WorkersPerDomain, &o.Instances} {
		if *v == 0 {
			*v = 2
		}
	}
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &Cluster{t: t, options: o, dir: t.TempDir()}
	c.Platform = Start(t, "platform", "standin", append([]string{"platform"}, o.PlatformFlags...)...)
	c.Store = c.Platform.WaitAddress("listening")
	c.startWorkers()
	c.addHosts()
	c.operatorKeySection = c.Command("config", "keygen", "-name", "operator", "-out", c.path("operator.key"))
	for _, h := range c.Hosts {
		c.StartHost(h)
	}
	// Entry hosts stop concurrently: all get SIGTERM before the cleanup of Start waits for
	// each of them.
	t.Cleanup(func() {
		for _, h := range c.Hosts {
			if h.Running() {
				h.Resume()
				h.Terminate()
			}
		}
	})
	c.Apply(c.Configuration(1))
	c.WaitReady()
	return c
}

func (c *Cluster) path(name string) string { return filepath.Join(c.dir, name) }

func (c *Cluster) startWorkers() {
	for _, d := range c.options.Domains {
		for i := range c.options.WorkersPerDomain {
			name := fmt.Sprintf("%s-worker-%d", d, i+1)
			p := Start(c.t, name, "standin", append([]string{"worker", "-name", name, "-seed", strconv.Itoa(len(c.Workers) + 1)}, c.options.WorkerFlags...)...)
			c.Workers = append(c.Workers, &Worker{Process: p, Name: name, Domain: d, Address: p.WaitAddress("listening")})
		}
	}
}

func (c *Cluster) addHosts() {
	n := len(c.options.Domains) * c.options.HostsPerDomain
	as := FreeAddresses(c.t, n*addressesPerHost)
	var listed []storer.Host
	for _, d := range c.options.Domains {
		for i := range c.options.HostsPerDomain {
			h := &Host{Name: fmt.Sprintf("%s-entry-%d", d, i+1), Domain: d, Caller: as[0], Message: as[1], Admin: as[2], peerAddress: as[1], storeAddress: c.Store}
			if c.options.Relays {
				h.peerAddress, h.peerRelayControl, h.storeAddress, h.storeRelayControl = as[3], as[4], as[5], as[6]
				c.startRelay(h.Name+"-peers", h.peerAddress, h.Message, h.peerRelayControl)
				c.startRelay(h.Name+"-store", h.storeAddress, c.Store, h.storeRelayControl)
			}
			as = as[addressesPerHost:]
			c.Hosts = append(c.Hosts, h)
			listed = append(listed, storer.Host{Name: h.Name, Address: h.Message.String(), FailureDomain: d, State: storer.HostLive})
		}
	}
	SetHosts(c.t, c.Store, listed)
}

func (c *Cluster) startRelay(name string, listen, target, control netip.AddrPort) {
	Start(c.t, name, "standin", "relay", "-listen", listen.String(), "-target", target.String(), "-control", control.String()).WaitLine("listening")
}

// StartHost starts the process of an entry host, also after an earlier process has ended.
func (c *Cluster) StartHost(h *Host) {
	c.t.Helper()
	var s strings.Builder
	fmt.Fprintf(&s, "[EntryHost]\nName = %s\nFailureDomain = %s\nCallerAddress = %s\nMessageAddress = %s\nAdminAddress = %s\n\n[Store]\nAddress = %s\n\n",
		h.Name, h.Domain, h.Caller, h.Message, h.Admin, h.storeAddress)
	for _, p := range c.Hosts {
		if p != h {
			fmt.Fprintf(&s, "[Peer %q]\nFailureDomain = %s\nAddress = %s\n\n", p.Name, p.Domain, p.peerAddress)
		}
	}
	s.WriteString(c.operatorKeySection)
	h.settingsPath = c.path(h.Name + ".ini")
	c.writeFile(h.settingsPath, s.String())
	h.processNumber++
	h.Process = Start(c.t, fmt.Sprintf("%s (process %d)", h.Name, h.processNumber), "peridotpitch", "serve", "-settings", h.settingsPath)
}

func (c *Cluster) writeFile(path, text string) {
	c.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// Configuration returns the text of the cluster's configuration with a generation number.
func (c *Cluster) Configuration(generation int) string {
	var s strings.Builder
	fmt.Fprintf(&s, "[Configuration]\nGeneration = %d\nReplaces = %d\nFirm = Test\n\n[Measures]\nLatency = 10\nEvictions = 3\nThroughput = 1\n\n", generation, generation-1)
	if len(c.options.Policy) > 0 {
		s.WriteString("[Policy]\n")
		for k, v := range c.options.Policy {
			fmt.Fprintf(&s, "%s = %s\n", k, v)
		}
		s.WriteString("\n")
	}
	var instances []string
	for i, d := range c.options.Domains {
		fmt.Fprintf(&s, "[FailureDomain %q]\nRegion = test\n", d)
		if len(c.options.Domains) > 1 {
			fmt.Fprintf(&s, "Successor = %s\n", c.options.Domains[(i+1)%len(c.options.Domains)])
		}
		s.WriteString("\n")
		instances = append(instances, fmt.Sprintf("%s:%d", d, c.options.Instances))
	}
	for _, h := range c.Hosts {
		fmt.Fprintf(&s, "[EntryHost %q]\nFailureDomain = %s\nAddress = %s\n\n", h.Name, h.Domain, h.peerAddress)
	}
	for _, w := range c.Workers {
		fmt.Fprintf(&s, "[Worker %q]\nFailureDomain = %s\nRack = %s-rack\nShard = 1\nAddress = %s\nCores = 16\nMemory = 60GB\n\n", w.Name, w.Domain, w.Name, w.Address)
	}
	fmt.Fprintf(&s, "[Service \"quotes\"]\nClass = quotes\nInstances = %s\nCores = 2\nMemory = 4GB\nLatencyTarget = 250ms\n\n", strings.Join(instances, ", "))
	s.WriteString("[JobClass \"plan\"]\nCores = 2\nMemory = 4GB\n\n")
	s.WriteString("[Team \"mill\"]\nCores = 1000\nMemory = 4TB\n\n[Team \"office\"]\nCores = 1000\nMemory = 4TB\n")
	return s.String()
}

// Apply signs a configuration text and applies it through the first entry host that accepts
// it.
func (c *Cluster) Apply(text string) {
	c.t.Helper()
	path := c.path("configuration.ini")
	c.writeFile(path, text)
	c.Command("config", "sign", "-key", c.path("operator.key"), path)
	var last string
	WaitFor(c.t, "configuration is applied", func() bool {
		for _, h := range c.Hosts {
			out, err := c.runCommand("config", "apply", "-address", h.Admin.String(), "-key-name", "operator", path)
			if err == nil {
				return true
			}
			last = out
		}
		c.t.Log(strings.TrimSpace(last))
		return false
	})
}

// Command runs a subcommand of peridotpitch, waits for it and returns its output.
func (c *Cluster) Command(arguments ...string) string {
	c.t.Helper()
	out, err := c.runCommand(arguments...)
	if err != nil {
		c.t.Fatalf("peridotpitch %s: %v\n%s", strings.Join(arguments, " "), err, out)
	}
	return out
}

func (c *Cluster) runCommand(arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, Program(c.t, "peridotpitch"), arguments...).CombinedOutput()
	return string(out), err
}

// WaitReady waits until each running entry host is ready and answers a request.
func (c *Cluster) WaitReady() {
	c.t.Helper()
	for _, h := range c.Hosts {
		if h.Running() {
			WaitFor(c.t, h.Name+" is ready", func() bool { return getStatus(h.Caller, "/ready") == http.StatusOK })
			WaitFor(c.t, h.Name+" answers", func() bool { return getStatus(h.Caller, "/services/quotes/ready?token=ready") == http.StatusOK })
		}
	}
}

// getStatus returns the status code of a GET, or 0 if there is no answer.
func getStatus(a netip.AddrPort, path string) int {
	q, err := http.NewRequest(http.MethodGet, "http://"+a.String()+path, nil)
	if err != nil {
		return 0
	}
	q.Header.Set("Peridot-Tenant", "mill")
	q.Header.Set("Peridot-Timeout", "2s")
	resp, err := httpClient.Do(q)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Owner waits until a running entry host of the failure domain reports an owner of the
// domain's shard, and returns the owner. It neither queries nor returns the hosts in excluded.
func (c *Cluster) Owner(domain string, excluded ...*Host) *Host {
	c.t.Helper()
	var owner *Host
	WaitFor(c.t, "shard of "+domain+" has an owner", func() bool {
		for _, reporter := range c.Hosts {
			if reporter.Domain != domain || !reporter.Running() || slices.Contains(excluded, reporter) {
				continue
			}
			name := shardOwner(reporter.Admin, domain+"/1")
			for _, h := range c.Hosts {
				if h.Name == name && !slices.Contains(excluded, h) {
					owner = h
				}
			}
		}
		return owner != nil
	})
	return owner
}

// shardOwner returns the name of the shard's owner that the entry host at admin reports,
// or "".
func shardOwner(admin netip.AddrPort, shard string) string {
	resp, err := httpClient.Get("http://" + admin.String() + "/admin/status")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		Shards []struct{ Name, Owner string }
	}
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return ""
	}
	for _, s := range status.Shards {
		if s.Name == shard {
			return s.Owner
		}
	}
	return ""
}

// WaitForBatchTask waits until a worker runs a batch task and returns that worker. The test
// cannot choose the worker in advance: the placement depends on the interference coefficients
// that the placer has estimated so far.
func (c *Cluster) WaitForBatchTask() *Worker {
	c.t.Helper()
	var found *Worker
	WaitFor(c.t, "a batch task to run", func() bool {
		for _, w := range c.Workers {
			if slices.ContainsFunc(Runs(c.t, w.Address), func(r emulator.Run) bool {
				return r.Kind == commander.KindBatch && r.Ended.IsZero()
			}) {
				found = w
				return true
			}
		}
		return false
	})
	return found
}

// Callers returns the caller addresses of the running entry hosts.
func (c *Cluster) Callers() []netip.AddrPort {
	return c.addresses(func(h *Host) netip.AddrPort { return h.Caller })
}

// Admins returns the administration addresses of the running entry hosts.
func (c *Cluster) Admins() []netip.AddrPort {
	return c.addresses(func(h *Host) netip.AddrPort { return h.Admin })
}

func (c *Cluster) addresses(address func(*Host) netip.AddrPort) []netip.AddrPort {
	var as []netip.AddrPort
	for _, h := range c.Hosts {
		if h.Running() {
			as = append(as, address(h))
		}
	}
	return as
}

// WorkerAddresses returns the addresses of the running workers.
func (c *Cluster) WorkerAddresses() []netip.AddrPort {
	var as []netip.AddrPort
	for _, w := range c.Workers {
		if w.Running() {
			as = append(as, w.Address)
		}
	}
	return as
}

// CutOff partitions a host from the store, and drops the messages to all entry hosts of its
// failure domain, so that these hosts get no messages from each other. A relay cannot
// distinguish senders. Messages from other failure domains to this one are therefore dropped
// too. Messages from the domain's hosts to other domains still arrive. CutOff requires
// ClusterOptions.Relays. The given cut selects the directions; a zero Cut ends the partition.
func (c *Cluster) CutOff(h *Host, cut relayer.Cut) {
	c.t.Helper()
	SetCut(c.t, h.storeRelayControl, cut)
	for _, o := range c.Hosts {
		if o.Domain == h.Domain {
			SetCut(c.t, o.peerRelayControl, cut)
		}
	}
}
