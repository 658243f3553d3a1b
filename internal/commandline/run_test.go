package commandline

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"peridotpitch/internal/administrator"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/coordinator"
	"peridotpitch/internal/loader"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"peridotpitch": func() {
		os.Exit(Run(context.Background(), os.Args[1:], Environment{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Version: "1.2.3",
			FleetTimeout: 30 * time.Second, // the machine may be busy
			Serve: func(_ context.Context, s loader.Settings) error {
				return fmt.Errorf("%s is not served in tests", s.Name)
			}}))
	}})
}

// Guards against unintended changes of the output, errors and exit codes of subcommands,
// and against errors that do not name the fault and the allowed values. In the scripts,
// "exits CODE COMMAND..." runs a command and checks its exit code, and "store up|down"
// makes the store available or unavailable.
func TestOutputAndExitCodes(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("UPDATE_SESSIONS") != "",
		Setup: func(env *testscript.Env) error {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			b := newBackend()
			s := administrator.NewServer(context.Background(), b)
			go func() { _ = s.Serve(l) }()
			env.Defer(func() { _ = s.Shutdown() })
			env.Setenv(addressVariable, l.Addr().String())
			env.Setenv("USER", "ana at the desk")
			env.Setenv("GORACE", "atexit_sleep_ms=0") // the race detector delays each exit by 1 s
			env.Values["backend"] = b
			alone := fleetStatus()
			alone.Leader, alone.NoLeader = nil, "leader sampaloc-1 did not answer: timeout"
			for name, s := range map[string]coordinator.FleetStatus{"METRICS_ADDRESS": fleetStatus(), "ALONE_ADDRESS": alone} {
				h := httptest.NewServer(serveFleetStatus(s))
				env.Defer(h.Close)
				env.Setenv(name, h.Listener.Addr().String())
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec(args[1], args[2:]...)
				code := 0
				var exit *exec.ExitError
				if errors.As(err, &exit) {
					code = exit.ExitCode()
				} else {
					ts.Check(err)
				}
				if strconv.Itoa(code) != args[0] {
					ts.Fatalf("exit code %d, want %s", code, args[0])
				}
			},
			"store": func(ts *testscript.TestScript, _ bool, args []string) {
				b := ts.Value("backend").(*backend)
				b.mu.Lock()
				defer b.mu.Unlock()
				b.down = args[0] == "down"
			},
		},
	})
}

// Guards against accepting a key file that others can read, and against overwriting an
// existing one.
func TestKeyFileAccess(t *testing.T) {
	path := t.TempDir() + "/key"
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	if err := writeKeyFile(path, key); err != nil {
		t.Fatal(err)
	}
	if err := writeKeyFile(path, key); !errors.Is(err, os.ErrExist) {
		t.Errorf("overwritten: %v", err)
	}
	if got, err := readKeyFile(path); err != nil || !got.Equal(key) {
		t.Errorf("read back: %v", err)
	}
	for _, m := range []os.FileMode{0o640, 0o604, 0o700} {
		if err := os.Chmod(path, m); err != nil {
			t.Fatal(err)
		}
		if _, err := readKeyFile(path); err == nil {
			t.Errorf("mode %o accepted", m)
		}
	}
}

func ExampleRun() {
	code := Run(context.Background(), []string{"version"}, Environment{Stdout: os.Stdout, Getenv: os.Getenv, Version: "1.2.3"})
	fmt.Println(code)
	// Output:
	// 1.2.3
	// 0
}

// backend implements administrator.Backend with fixed data. Configurations are applied by
// a real publisher with this backend as its store.
type backend struct {
	storer.Store // nil: with few records, the publisher calls only Get and CompareAndSwap, which backend implements
	publisher    *publisher.Publisher

	mu      sync.Mutex
	entries map[string]storer.Entry
	down    bool
}

// eventTime is the time of all events in the fixed data.
var eventTime = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func newBackend() *backend {
	keys := configurator.Keys{}
	for n, s := range map[string]byte{"ana": 1, "ben": 2} {
		keys[n] = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{s}, ed25519.SeedSize)).Public().(ed25519.PublicKey)
	}
	b := &backend{entries: map[string]storer.Entry{}}
	b.publisher = publisher.NewPublisher(b, keys, "sampaloc-1/process-1", func() time.Time { return eventTime })
	return b
}

func (b *backend) Get(_ context.Context, key string) (storer.Entry, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return storer.Entry{}, &storer.UnavailableError{Reason: "it is down"}
	}
	return b.entries[key], nil
}
func (b *backend) CompareAndSwap(_ context.Context, key string, expect uint64, value []byte) (bool, uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries[key].Revision != expect {
		return false, b.entries[key].Revision, nil
	}
	b.entries[key] = storer.Entry{Key: key, Value: value, Revision: expect + 1}
	return true, expect + 1, nil
}

func (b *backend) ApplyConfiguration(ctx context.Context, s publisher.Submission) (publisher.ApplyResult, error) {
	return b.publisher.Apply(ctx, s)
}
func (b *backend) ShowConfiguration(ctx context.Context) (administrator.ConfigurationView, error) {
	rs, err := b.publisher.History(ctx, 1)
	if err == nil && len(rs) == 0 {
		err = &administrator.Error{Code: administrator.CodeNotFound, Message: "no configuration is in effect yet"}
	}
	if err != nil {
		return administrator.ConfigurationView{}, err
	}
	return administrator.ConfigurationView{Host: "sampaloc-1", Record: rs[0], InEffectFor: 90 * time.Second, Hosts: []administrator.HostGeneration{
		{Host: "sampaloc-1", Generation: rs[0].Generation, InEffectFor: 90 * time.Second},
		{Host: "sampaloc-2", Generation: rs[0].Generation - 1, InEffectFor: time.Hour, HeardAgo: 20 * time.Second},
	}}, nil
}
func (b *backend) ConfigurationHistory(ctx context.Context, limit int) ([]configurator.Record, error) {
	return b.publisher.History(ctx, limit)
}

// errorForName returns an error for names that begin with missing, refused or lost.
func errorForName(kind, name string) error {
	switch {
	case strings.HasPrefix(name, "missing"):
		return &administrator.Error{Code: administrator.CodeNotFound, Message: fmt.Sprintf("%s %q does not exist", kind, name)}
	case strings.HasPrefix(name, "refused"):
		return &administrator.Error{Code: administrator.CodeRefused, Message: fmt.Sprintf("%s %q is refused", kind, name)}
	case strings.HasPrefix(name, "lost"):
		return &storer.UnknownOutcomeError{Key: "shards/Sampaloc/1", Reason: "answer lost"}
	}
	return nil
}

func job(name string) scheduler.JobStatus {
	return scheduler.JobStatus{Spec: scheduler.JobSpec{Name: name, Class: "dents", Team: "schools"}, State: scheduler.JobPending,
		Shard: "Sampaloc/1", Attempt: 1, Submitted: eventTime, Decision: "waits: no worker has 2 cores free"}
}
func (b *backend) SubmitJob(_ context.Context, s scheduler.JobSpec) (scheduler.JobStatus, error) {
	j := job(s.Name)
	j.Spec = s
	return j, errorForName("job", s.Name)
}
func (b *backend) CancelJob(_ context.Context, name string) (scheduler.JobStatus, error) {
	j := job(name)
	j.State, j.Worker, j.Started, j.Decision = scheduler.JobCanceling, "sampaloc-w1", eventTime, "cancelled by an operator"
	return j, errorForName("job", name)
}
func (b *backend) ListJobs(_ context.Context, f administrator.JobFilter) ([]scheduler.JobStatus, error) {
	if f.State != "" && f.State != scheduler.JobPending {
		return nil, nil
	}
	return []scheduler.JobStatus{job("trombone-17"), job("tuba-3")}[:min(2, f.Limit)], nil
}
func (b *backend) ShowJob(_ context.Context, name string) (scheduler.JobStatus, error) {
	return job(name), errorForName("job", name)
}
func (b *backend) ListServices(ctx context.Context) ([]administrator.ServiceStatus, error) {
	s, err := b.ShowService(ctx, "quotes")
	return []administrator.ServiceStatus{s}, err
}
func (b *backend) ShowService(_ context.Context, name string) (administrator.ServiceStatus, error) {
	return administrator.ServiceStatus{Name: name, Class: "workshop", Wanted: map[string]int{"Sampaloc": 1, "Malolos": 1},
		Instances: []messenger.Endpoint{{Instance: "quotes-1", FailureDomain: "Sampaloc", Worker: "sampaloc-w1", Address: "10.1.1.1:9001", Slots: 8, Connections: 64, Slowdown: 1.25}}}, errorForName("service", name)
}
func (b *backend) ListHosts(context.Context) ([]administrator.HostStatus, error) {
	return []administrator.HostStatus{
		{Name: "sampaloc-1", Role: "entry", FailureDomain: "Sampaloc", State: "live", Generation: 3},
		{Name: "sampaloc-w1", Role: "worker", FailureDomain: "Sampaloc", State: "quarantined", Reason: "3 tasks failed in a row",
			Capacity: configurator.Resources{Cores: 32, Memory: 125e9}},
	}, nil
}
func (b *backend) DrainHost(_ context.Context, host string, _ bool) error {
	return errorForName("host", host)
}
func (b *backend) Explain(_ context.Context, id string) ([]messenger.ExplainAnswer, error) {
	return []messenger.ExplainAnswer{{Host: "sampaloc-1", Records: []string{"decision=wait job=" + id + " rule=fit"}}}, errorForName("identity", id)
}
func (b *backend) Status(ctx context.Context) (administrator.Status, error) {
	hosts, err := b.ListHosts(ctx)
	return administrator.Status{Host: "sampaloc-1", FailureDomain: "Sampaloc", Version: "1.2.3", Uptime: time.Hour, NotReady: []string{"no configuration"},
		Generation: 3, InEffectFor: time.Minute, StoreState: "available", Hosts: hosts,
		Shards: []administrator.ShardStatus{{Name: "Sampaloc/1", Owner: "sampaloc-1", Epoch: 4, Jobs: map[scheduler.JobState]int{scheduler.JobRunning: 2, scheduler.JobPending: 1}}}}, err
}
