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
	Domains          []string          // failure domains; each one's successor is the next (default: north, south)
	HostsPerDomain   int               // entry hosts (default 2)
	WorkersPerDomain int               // workers of 16 cores and 60 GB (default 2)
	Instances        int               // of the service "quotes" in each failure domain (default 2)
	Policy           map[string]string // keys of the section Policy
	WorkerFlags      []string          // further flags of standin worker
	PlatformFlags    []string          // further flags of standin platform
	Relays           bool              // put a relay before each entry host's messages and before its store
}

// Cluster is a whole system of child processes on loopback: a platform, workers, and
// entry hosts with a signed configuration in effect. It has one service "quotes", one job
// class "plan" of 2 cores and 4 GB, and the teams "mill" and "office".
type Cluster struct {
	Platform *Process
	Store    netip.AddrPort
	Hosts    []*Host
	Workers  []*Worker

	t       testing.TB
	options ClusterOptions
	dir     string
	key     string // section of the operator's key for settings files
}

// Host is one entry host.
type Host struct {
	*Process
	Name, Domain           string
	Caller, Message, Admin netip.AddrPort

	peers      netip.AddrPort // where peers send messages: Message, or its relay
	store      netip.AddrPort // where it finds the store: the platform, or its relay
	peersCut   netip.AddrPort // control of the relay before Message
	storeCut   netip.AddrPort // control of the relay before the store
	settings   string
	generation int
}

// Worker is one worker stand-in.
type Worker struct {
	*Process
	Name, Domain string
	Address      netip.AddrPort
}

// hostAddresses is the number of addresses that each entry host takes, relays included.
const hostAddresses = 7

// clusters bounds the clusters of a test binary that run at the same time. Each has about
// ten processes.
var clusters = make(chan struct{}, 4)

// StartCluster starts a cluster and waits until every entry host is ready and answers a
// request. The processes end with the test.
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
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	c := &Cluster{t: t, options: o, dir: t.TempDir()}
	c.Platform = Start(t, "platform", "standin", append([]string{"platform"}, o.PlatformFlags...)...)
	c.Store = c.Platform.WaitAddress("listening")
	c.startWorkers()
	c.addHosts()
	c.key = c.Command("config", "keygen", "-name", "operator", "-out", c.file("operator.key"))
	for _, h := range c.Hosts {
		c.StartHost(h)
	}
	// All entry hosts stop at the same time, before the first one is waited for.
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

func (c *Cluster) file(name string) string { return filepath.Join(c.dir, name) }

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
	as := FreeAddresses(c.t, n*hostAddresses)
	var listed []storer.Host
	for _, d := range c.options.Domains {
		for i := range c.options.HostsPerDomain {
			h := &Host{Name: fmt.Sprintf("%s-entry-%d", d, i+1), Domain: d, Caller: as[0], Message: as[1], Admin: as[2], peers: as[1], store: c.Store}
			if c.options.Relays {
				h.peers, h.peersCut, h.store, h.storeCut = as[3], as[4], as[5], as[6]
				c.startRelay(h.Name+"-peers", h.peers, h.Message, h.peersCut)
				c.startRelay(h.Name+"-store", h.store, c.Store, h.storeCut)
			}
			as = as[hostAddresses:]
			c.Hosts = append(c.Hosts, h)
			listed = append(listed, storer.Host{Name: h.Name, Address: h.Message.String(), FailureDomain: d, State: storer.HostLive})
		}
	}
	SetHosts(c.t, c.Store, listed)
}

func (c *Cluster) startRelay(name string, listen, target, control netip.AddrPort) {
	Start(c.t, name, "standin", "relay", "-listen", listen.String(), "-target", target.String(), "-control", control.String()).WaitLine("listening")
}

// StartHost starts an entry host, or starts it again after its process ended.
func (c *Cluster) StartHost(h *Host) {
	c.t.Helper()
	var s strings.Builder
	fmt.Fprintf(&s, "[EntryHost]\nName = %s\nFailureDomain = %s\nCallerAddress = %s\nMessageAddress = %s\nAdminAddress = %s\n\n[Store]\nAddress = %s\n\n",
		h.Name, h.Domain, h.Caller, h.Message, h.Admin, h.store)
	for _, p := range c.Hosts {
		if p != h {
			fmt.Fprintf(&s, "[Peer %q]\nFailureDomain = %s\nAddress = %s\n\n", p.Name, p.Domain, p.peers)
		}
	}
	s.WriteString(c.key)
	h.settings = c.file(h.Name + ".ini")
	c.write(h.settings, s.String())
	h.generation++
	h.Process = Start(c.t, fmt.Sprintf("%s (process %d)", h.Name, h.generation), "peridotpitch", "serve", "-settings", h.settings)
}

func (c *Cluster) write(path, text string) {
	c.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// Configuration returns the text of a generation of the cluster's configuration.
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
		fmt.Fprintf(&s, "[EntryHost %q]\nFailureDomain = %s\nAddress = %s\n\n", h.Name, h.Domain, h.peers)
	}
	for _, w := range c.Workers {
		fmt.Fprintf(&s, "[Worker %q]\nFailureDomain = %s\nRack = %s-rack\nShard = 1\nAddress = %s\nCores = 16\nMemory = 60GB\n\n", w.Name, w.Domain, w.Name, w.Address)
	}
	fmt.Fprintf(&s, "[Service \"quotes\"]\nClass = quotes\nInstances = %s\nCores = 2\nMemory = 4GB\nLatencyTarget = 250ms\n\n", strings.Join(instances, ", "))
	s.WriteString("[JobClass \"plan\"]\nCores = 2\nMemory = 4GB\n\n")
	s.WriteString("[Team \"mill\"]\nCores = 1000\nMemory = 4TB\n\n[Team \"office\"]\nCores = 1000\nMemory = 4TB\n")
	return s.String()
}

// Apply signs a configuration text and applies it through the first entry host that takes it.
func (c *Cluster) Apply(text string) {
	c.t.Helper()
	path := c.file("configuration.ini")
	c.write(path, text)
	c.Command("config", "sign", "-key", c.file("operator.key"), path)
	var last string
	WaitFor(c.t, "configuration is applied", func() bool {
		for _, h := range c.Hosts {
			out, err := c.run("config", "apply", "-address", h.Admin.String(), "-key-name", "operator", path)
			if err == nil {
				return true
			}
			last = out
		}
		c.t.Log(strings.TrimSpace(last))
		return false
	})
}

// Command runs a subcommand of peridotpitch to its end and returns its output.
func (c *Cluster) Command(arguments ...string) string {
	c.t.Helper()
	out, err := c.run(arguments...)
	if err != nil {
		c.t.Fatalf("peridotpitch %s: %v\n%s", strings.Join(arguments, " "), err, out)
	}
	return out
}

func (c *Cluster) run(arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), Limit)
	defer cancel()
	out, err := exec.CommandContext(ctx, Program(c.t, "peridotpitch"), arguments...).CombinedOutput()
	return string(out), err
}

// WaitReady waits until each running entry host is ready and answers a request.
func (c *Cluster) WaitReady() {
	c.t.Helper()
	for _, h := range c.Hosts {
		if h.Running() {
			WaitFor(c.t, h.Name+" is ready", func() bool { return status(h.Caller, "/ready") == http.StatusOK })
			WaitFor(c.t, h.Name+" answers", func() bool { return status(h.Caller, "/services/quotes/ready?token=ready") == http.StatusOK })
		}
	}
}

// status returns the status of a GET, 0 without an answer.
func status(a netip.AddrPort, path string) int {
	q, err := http.NewRequest(http.MethodGet, "http://"+a.String()+path, nil)
	if err != nil {
		return 0
	}
	q.Header.Set("Peridot-Tenant", "mill")
	q.Header.Set("Peridot-Timeout", "2s")
	resp, err := client.Do(q)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Owner waits until a running entry host of the failure domain says that another or the
// same one owns the domain's shard, and returns the owner. Hosts in not are no answer.
func (c *Cluster) Owner(domain string, not ...*Host) *Host {
	c.t.Helper()
	var owner *Host
	WaitFor(c.t, "shard of "+domain+" has an owner", func() bool {
		for _, asked := range c.Hosts {
			if asked.Domain != domain || !asked.Running() || slices.Contains(not, asked) {
				continue
			}
			name := shardOwner(asked.Admin, domain+"/1")
			for _, h := range c.Hosts {
				if h.Name == name && !slices.Contains(not, h) {
					owner = h
				}
			}
		}
		return owner != nil
	})
	return owner
}

// shardOwner returns the owner's name as the entry host at admin sees it, or "".
func shardOwner(admin netip.AddrPort, shard string) string {
	resp, err := client.Get("http://" + admin.String() + "/admin/status")
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

// WaitForBatch waits until a batch task runs on some worker and returns that worker. Which
// one it is depends on the interference that the placer has learned so far.
func (c *Cluster) WaitForBatch() *Worker {
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

func (c *Cluster) addresses(of func(*Host) netip.AddrPort) []netip.AddrPort {
	var as []netip.AddrPort
	for _, h := range c.Hosts {
		if h.Running() {
			as = append(as, of(h))
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

// CutOff cuts a host from the store, and all messages to the entry hosts of its failure
// domain, so that the domain's hosts do not hear of each other. A relay cannot tell who
// sends, so the messages from other failure domains to this one are cut too; those that
// the domain's hosts send to other domains are not. It needs relays.
func (c *Cluster) CutOff(h *Host, cut relayer.Cut) {
	c.t.Helper()
	SetCut(c.t, h.storeCut, cut)
	for _, o := range c.Hosts {
		if o.Domain == h.Domain {
			SetCut(c.t, o.peersCut, cut)
		}
	}
}
