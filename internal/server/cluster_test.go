package server

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"peridotpitch/internal/administrator"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/emulator"
	"peridotpitch/internal/harness"
	"peridotpitch/internal/loader"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/scheduler"
)

// eventTimeout limits the wait for an event. It is long, so that a slow machine does not fail
// the tests.
const eventTimeout = 60 * time.Second

// cluster is a set of entry hosts in this process with an emulated platform and workers.
type cluster struct {
	t          *testing.T
	platform   *emulator.Platform
	workers    []*emulator.Worker
	hosts      []*runningHost
	settings   []loader.Settings
	key        ed25519.PrivateKey
	runLog     *emulator.RunLog
	executions *emulator.Executions

	serviceTime time.Duration // mean service time of the instances; 0 is the emulator's default
}

type runningHost struct {
	*host
	operator *administrator.Client
	stop     context.CancelFunc
	group    *errgroup.Group
}

var clusterDomains = []string{"North", "South"}

// newCluster starts an emulated platform, and two workers and two entry hosts in each of
// two failure domains. It applies a configuration with one service and one job class.
func newCluster(t *testing.T) *cluster { return newClusterWithServiceTime(t, 0) }

// newClusterWithServiceTime is newCluster with the given mean service time of instances.
func newClusterWithServiceTime(t *testing.T, serviceTime time.Duration) *cluster {
	t.Helper()
	is := is.New(t)
	_, key, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	cl := &cluster{t: t, key: key, runLog: emulator.NewRunLog(), executions: emulator.NewExecutions(), serviceTime: serviceTime}
	platform, storeAddress, closePlatform, err := emulator.NewPlatform(emulator.PlatformOptions{})
	is.NoErr(err)
	t.Cleanup(closePlatform)
	cl.platform = platform
	c := &configurator.Configuration{
		Generation: 1, Firm: "Test", Measures: configurator.Measures{Latency: 3, Evictions: 2, Throughput: 1},
		Policy: configurator.Policy{
			Routing: configurator.RoutingAdaptive, Placement: configurator.PlacementInterference,
			Limits: configurator.LimitFair, Retries: configurator.RetryBudget,
			OwnershipTTL: configurator.DefaultOwnershipTTL, JobRecoveryDelay: 15 * time.Second, MaxRequestTimeout: 5 * time.Second,
		},
		Services: []configurator.Service{{Name: "quotes", Class: "quotes", Instances: map[string]int{"North": 2, "South": 2},
			Size: configurator.Resources{Cores: 2, Memory: 1e9}, Slots: 8, Connections: 64, LatencyTarget: time.Second}},
		JobClasses: []configurator.JobClass{{Name: "die", Size: configurator.Resources{Cores: 1, Memory: 1e8}, MaxAttempts: 3}},
		Teams:      []configurator.Team{{Name: "mill", Quota: configurator.Resources{Cores: 100, Memory: 1e12}, Share: 1}},
	}
	for i, d := range clusterDomains {
		c.FailureDomains = append(c.FailureDomains, configurator.FailureDomain{Name: d, Region: "R", Successor: clusterDomains[1-i]})
		for j := range 2 {
			cl.addWorker(c, d, j)
			cl.addSettings(c, d, j, storeAddress)
		}
	}
	for i := range cl.settings {
		for j, p := range cl.settings {
			if i != j {
				cl.settings[i].Peers = append(cl.settings[i].Peers, loader.Peer{Name: p.Name, FailureDomain: p.FailureDomain, Address: p.MessageAddress})
			}
		}
		cl.hosts = append(cl.hosts, cl.start(cl.settings[i]))
	}
	cl.apply(c)
	return cl
}

func (cl *cluster) addWorker(c *configurator.Configuration, domain string, i int) {
	name := fmt.Sprintf("%s-worker-%d", domain, i)
	capacity := configurator.Resources{Cores: 16, Memory: 60e9}
	w, address, closeWorker, err := emulator.NewWorker(emulator.WorkerOptions{
		MachineOptions: emulator.MachineOptions{Name: name, Capacity: capacity, RunLog: cl.runLog, Seed: uint64(i)},
		Executions:     cl.executions,
		Backend:        emulator.BackendOptions{ServiceTime: cl.serviceTime},
	})
	is.New(cl.t).NoErr(err)
	cl.t.Cleanup(closeWorker)
	cl.workers = append(cl.workers, w)
	c.Workers = append(c.Workers, configurator.Worker{Name: name, FailureDomain: domain, Rack: domain + "-rack", Shard: "1", Address: address, Capacity: capacity})
}

func (cl *cluster) addSettings(c *configurator.Configuration, domain string, i int, store netip.AddrPort) {
	ports := harness.FreeAddresses(cl.t, 3)
	s := loader.Settings{
		Name: fmt.Sprintf("%s-entry-%d", domain, i), FailureDomain: domain, StoreAddress: store,
		CallerAddress: ports[0], MessageAddress: ports[1], AdminAddress: ports[2],
		OperatorKeys: configurator.Keys{"maria": cl.key.Public().(ed25519.PublicKey)}, LogLevel: slog.LevelInfo,
		Limits: loader.Limits{MaxQueuedRequests: 1000, MaxDecisionRecords: 10000, StoreTimeout: 2 * time.Second, MessageTimeout: time.Second, DrainTimeout: 20 * time.Second},
	}
	cl.settings = append(cl.settings, s)
	c.EntryHosts = append(c.EntryHosts, configurator.EntryHost{Name: s.Name, FailureDomain: domain, Address: s.MessageAddress})
}

func (cl *cluster) start(s loader.Settings) *runningHost {
	logs := io.Discard
	if os.Getenv("SERVER_LOGS") != "" {
		logs = os.Stderr
	}
	h, cleanup, err := newHost(s, "test", slog.New(slog.NewTextHandler(logs, nil)).With("Host", s.Name))
	is.New(cl.t).NoErr(err)
	ctx, stop := context.WithCancel(cl.t.Context())
	running := &runningHost{host: h, operator: administrator.NewClient(s.AdminAddress, 10*time.Second), stop: stop, group: new(errgroup.Group)}
	running.group.Go(func() error {
		defer cleanup()
		return h.run(ctx)
	})
	cl.t.Cleanup(func() {
		stop()
		if err := running.group.Wait(); err != nil {
			cl.t.Errorf("%s: %v", s.Name, err)
		}
	})
	return running
}

func (cl *cluster) apply(c *configurator.Configuration) {
	text := configurator.Print(c)
	s := publisher.Submission{Text: string(text), Signature: configurator.Sign(text, cl.key), Key: "maria", Replaces: c.Replaces, AppliedBy: "maria"}
	cl.eventually("apply configuration", func() error {
		_, err := cl.hosts[0].operator.ApplyConfiguration(context.Background(), s)
		return err
	})
}

// eventually calls f until it succeeds, and fails the test after eventTimeout.
func (cl *cluster) eventually(what string, f func() error) {
	cl.t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			cl.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// waitForInstances waits until each entry host lists n instances.
func (cl *cluster) waitForInstances(n int) {
	cl.t.Helper()
	for _, h := range cl.hosts {
		cl.eventually("instances on "+h.settings.Name, func() error {
			if es := h.endpoints.all(); len(es) != n {
				return fmt.Errorf("%d instances listed, want %d", len(es), n)
			}
			return nil
		})
	}
}

// answer holds the parts of an answer to a caller that the tests check.
type answer struct {
	status  int
	outcome string
	reason  string
	body    []byte
}

// call sends a request whose executions are counted under token.
func (cl *cluster) call(h *runningHost, token string) (answer, error) {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/services/quotes/x?token=%s", h.settings.CallerAddress, token), http.NoBody)
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Peridot-Tenant", "mill")
	req.Header.Set("Peridot-Timeout", "5s")
	a, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return answer{a.StatusCode, a.Header.Get("Peridot-Outcome"), a.Header.Get("Peridot-Reason"), body}, err
}

func (cl *cluster) submit(h *runningHost, name string, work time.Duration) {
	cl.t.Helper()
	cl.eventually("submit "+name, func() error {
		_, err := h.operator.SubmitJob(context.Background(), scheduler.JobSpec{Name: name, Class: "die", Team: "mill", Duration: work})
		return err
	})
}

func (cl *cluster) waitForJob(h *runningHost, name string, state scheduler.JobState) scheduler.JobStatus {
	cl.t.Helper()
	var j scheduler.JobStatus
	cl.eventually("job "+name, func() error {
		var err error
		if j, err = h.operator.ShowJob(context.Background(), name); err == nil && j.State != state {
			err = fmt.Errorf("job is %s, want %s (%s)", j.State, state, j.Decision)
		}
		return err
	})
	return j
}
