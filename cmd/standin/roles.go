package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotpitch/internal/emulator"
	"peridotpitch/internal/loadgenerator"
	"peridotpitch/internal/relayer"
)

// Units of the memory flags: powers of 1000, as in the configuration.
const (
	bytesPerGB = 1_000_000_000
	bytesPerMB = 1_000_000
)

// addresses implements flag.Value for a comma-separated list of ip:port.
type addresses []netip.AddrPort

func (a *addresses) String() string {
	s := make([]string, len(*a))
	for i, x := range *a {
		s[i] = x.String()
	}
	return strings.Join(s, ",")
}

func (a *addresses) Set(text string) error {
	*a = nil
	for _, part := range strings.Split(text, ",") {
		x, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return err
		}
		*a = append(*a, x)
	}
	return nil
}

// addressVar defines a flag for one ip:port.
func addressVar(fs *flag.FlagSet, a *netip.AddrPort, name, usage string) {
	fs.Func(name, usage, func(text string) (err error) {
		*a, err = netip.ParseAddrPort(text)
		return err
	})
}

// serveUntilDone prints line, which names the addresses in use, and waits until ctx ends.
func serveUntilDone(ctx context.Context, out io.Writer, line string) error {
	if _, err := fmt.Fprintln(out, line); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func runPlatform(ctx context.Context, fs *flag.FlagSet, arguments []string, out io.Writer) error {
	var o emulator.PlatformOptions
	addressVar(fs, &o.Address, "listen", "`ip:port` to listen on (default any loopback port)")
	fs.Float64Var(&o.WritesPerSecond, "writes", emulator.DefaultWritesPerSecond, "writes per second; more are answered with status 429")
	fs.Float64Var(&o.ReadsPerSecond, "reads", emulator.DefaultReadsPerSecond, "reads per second; more are answered with status 429")
	fs.DurationVar(&o.HostListAge, "host-lag", time.Second, "age of the host list")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the random faults")
	o.Faults.RegisterFlags(fs)
	if err := fs.Parse(arguments); err != nil {
		return err
	}
	_, a, stop, err := emulator.NewPlatform(o)
	if err != nil {
		return err
	}
	defer stop()
	return serveUntilDone(ctx, out, "platform listening address="+a.String())
}

func runWorkers(ctx context.Context, fs *flag.FlagSet, arguments []string, out io.Writer) error {
	var first netip.AddrPort
	var o emulator.WorkerOptions
	count := fs.Int("count", 1, "number of workers in this process, on consecutive ports")
	name := fs.String("name", "worker", "name of the worker; with -count above 1, followed by -1, -2, ...")
	addressVar(fs, &first, "listen", "`ip:port` of the first worker (default any loopback ports)")
	fs.Float64Var(&o.Capacity.Cores, "cores", 16, "cores of each worker")
	memory := fs.Int64("memory", 60, "memory of each worker in GB")
	fs.IntVar(&o.Capacity.Accelerators, "accelerators", 0, "accelerators of each worker")
	fs.DurationVar(&o.ReportLag, "lag", emulator.DefaultReportLag, "age of the usage figures in reports")
	fs.DurationVar(&o.StartTime, "start-time", emulator.DefaultStartTime, "time from the start command until the task runs")
	fs.DurationVar(&o.CheckpointTime, "checkpoint-time", emulator.DefaultCheckpointTime, "time to take a checkpoint")
	fs.DurationVar(&o.Backend.ServiceTime, "service-time", emulator.DefaultServiceTime, "mean service time of instances without slowdown")
	maxCoefficient := fs.Float64("interference", emulator.DefaultMaxCoefficient, "upper bound of the emulated interference coefficients")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the interference coefficients, usage and random faults")
	o.Faults.RegisterFlags(fs)
	if err := fs.Parse(arguments); err != nil {
		return err
	}
	o.Capacity.Memory = *memory * bytesPerGB
	o.Interference = emulator.NewInterference(o.Seed, *maxCoefficient)
	lines := make([]string, 0, *count)
	for i := range *count {
		w := o
		w.Name = *name
		if *count > 1 {
			w.Name = fmt.Sprintf("%s-%d", *name, i+1)
		}
		if first.IsValid() {
			w.Address = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
		}
		_, a, stop, err := emulator.NewWorker(w)
		if err != nil {
			return err
		}
		defer stop()
		lines = append(lines, fmt.Sprintf("worker listening name=%s address=%s", w.Name, a))
	}
	return serveUntilDone(ctx, out, strings.Join(lines, "\n"))
}

func runBackend(ctx context.Context, fs *flag.FlagSet, arguments []string, out io.Writer) error {
	var o emulator.BackendOptions
	addressVar(fs, &o.Address, "listen", "`ip:port` to listen on (default any loopback port)")
	fs.StringVar(&o.Service, "service", "", "name of the service")
	fs.IntVar(&o.Slots, "slots", emulator.DefaultSlots, "maximum number of concurrent requests")
	fs.IntVar(&o.Connections, "connections", emulator.DefaultConnections, "maximum number of open connections")
	fs.DurationVar(&o.ServiceTime, "service-time", emulator.DefaultServiceTime, "mean service time")
	fs.StringVar((*string)(&o.Shape), "shape", string(emulator.ShapeLogNormal), "distribution of service times: fixed, exponential or lognormal")
	fs.IntVar(&o.AnswerPaddingBytes, "answer-size", emulator.DefaultAnswerPaddingBytes, "bytes of padding in answers")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the service times and random faults")
	o.Faults.RegisterFlags(fs)
	if err := fs.Parse(arguments); err != nil {
		return err
	}
	_, a, stop, err := emulator.NewBackend(o)
	if err != nil {
		return err
	}
	defer stop()
	return serveUntilDone(ctx, out, "backend listening address="+a.String())
}

func runRelay(ctx context.Context, fs *flag.FlagSet, arguments []string, out io.Writer) error {
	var listen, target, control netip.AddrPort
	addressVar(fs, &listen, "listen", "`ip:port` to listen on (default any loopback port)")
	addressVar(fs, &target, "target", "`ip:port` to forward to")
	addressVar(fs, &control, "control", "`ip:port` that takes POST of {\"Forward\":true,\"Backward\":true} (default: the cut cannot be changed)")
	if err := fs.Parse(arguments); err != nil {
		return err
	}
	r, a, stop, err := relayer.New(listen, target)
	if err != nil {
		return err
	}
	defer stop()
	if control.IsValid() {
		s := &http.Server{Addr: control.String(), Handler: r, ReadHeaderTimeout: time.Second}
		var g errgroup.Group
		g.Go(s.ListenAndServe)
		defer func() {
			_ = s.Close()
			_ = g.Wait() // always http.ErrServerClosed here
		}()
	}
	return serveUntilDone(ctx, out, "relay listening address="+a.String())
}

// runReady waits until each entry host answers /ready with 200 and has answered one request
// to each service.
func runReady(ctx context.Context, fs *flag.FlagSet, arguments []string, out io.Writer) error {
	var entries addresses
	fs.Var(&entries, "entry", "caller `addresses` of entry hosts, separated by commas")
	services := fs.String("services", "", "services to call, separated by commas")
	tenant := fs.String("tenant", "", "tenant of the calls")
	limit := fs.Duration("limit", time.Minute, "maximum waiting time")
	if err := fs.Parse(arguments); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	for _, a := range entries {
		paths := []string{"/ready"}
		for _, s := range strings.Split(*services, ",") {
			if s != "" {
				paths = append(paths, "/services/"+s+"/ready?token=ready")
			}
		}
		for _, p := range paths {
			if err := waitForOK(ctx, "http://"+a.String()+p, *tenant); err != nil {
				return fmt.Errorf("%s%s: %w", a, p, err)
			}
		}
	}
	_, err := fmt.Fprintf(out, "%d entry hosts are ready\n", len(entries))
	return err
}

// waitForOK repeats a GET request until the answer has status 200 or ctx ends.
func waitForOK(ctx context.Context, url, tenant string) error {
	lastAnswer := "no answer"
	for {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		q.Header.Set("Peridot-Tenant", tenant)
		q.Header.Set("Peridot-Timeout", "1s")
		resp, err := http.DefaultClient.Do(q)
		if err == nil {
			text, _ := io.ReadAll(io.LimitReader(resp.Body, 300)) // only used in the error text
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			lastAnswer = fmt.Sprintf("status %d: %s", resp.StatusCode, text)
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("not ready within the waiting time: %s", lastAnswer)
		}
	}
}

// loadFlags are the flags of the role load.
type loadFlags struct {
	callers loadgenerator.CallerOptions
	jobs    loadgenerator.JobOptions
	workers addresses
	memory  int64 // MB
}

func (l *loadFlags) register(fs *flag.FlagSet) {
	c, j := &l.callers, &l.jobs
	fs.Var((*addresses)(&c.Entries), "entry", "caller `addresses` of entry hosts, separated by commas")
	fs.Float64Var(&c.Rate, "rate", 100, "requests per second")
	fs.IntVar(&c.Count, "count", 1000, "number of requests")
	fs.DurationVar(&c.Duration, "duration", time.Minute, "maximum duration of sending requests")
	fs.Var(&c.Services, "services", "`mix` of services, for example quotes:3,orders:1")
	fs.Var(&c.Tenants, "tenants", "`mix` of tenants")
	fs.Var(&c.Classes, "classes", "`mix` of classes urgent and normal")
	fs.Float64Var(&c.Repeatable, "repeatable", 0.5, "share of requests that may be repeated")
	fs.DurationVar(&c.Timeout, "timeout", time.Second, "timeout of requests")
	fs.IntVar(&c.BodyBytes, "body", 128, "bytes of request bodies")
	fs.DurationVar(&c.ReadinessInterval, "health-every", 0, "interval of readiness checks; hosts that are not ready get no requests (0: no checks)")
	fs.StringVar(&c.Run, "run", "", "prefix of tokens and job names")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of arrivals and mixes")
	fs.Var((*addresses)(&j.Admins), "admin", "administration `addresses` of entry hosts, for jobs")
	fs.IntVar(&j.Count, "jobs", 0, "number of jobs to submit")
	fs.Float64Var(&j.Rate, "job-rate", 20, "job submissions per second")
	fs.Var(&j.Classes, "job-classes", "`mix` of job classes")
	fs.Var(&j.Teams, "job-teams", "`mix` of teams")
	fs.Float64Var(&j.Urgent, "job-urgent", 0.1, "share of urgent jobs")
	fs.DurationVar(&j.Duration, "job-duration", time.Second, "mean duration of the work of a job")
	fs.DurationVar(&j.Wait, "job-wait", 30*time.Second, "maximum time to wait for the jobs to end")
	fs.Float64Var(&j.Declared.Cores, "job-cores", 0, "declared cores (0: the class's size)")
	fs.Int64Var(&l.memory, "job-memory", 0, "declared memory in MB, with -job-cores")
	fs.Var(&l.workers, "workers", "`addresses` of all emulated workers, to compare outcomes with the executions")
}

func runLoad(ctx context.Context, fs *flag.FlagSet, arguments []string, out io.Writer) error {
	var l loadFlags
	l.register(fs)
	if err := fs.Parse(arguments); err != nil {
		return err
	}
	l.jobs.Declared.Memory = l.memory * bytesPerMB
	l.jobs.Run, l.jobs.Seed = l.callers.Run, l.callers.Seed
	return l.run(ctx, out)
}

func (l *loadFlags) run(ctx context.Context, out io.Writer) error {
	requests, jobs := &loadgenerator.Result{}, &loadgenerator.Result{}
	g, running := errgroup.WithContext(ctx)
	if len(l.callers.Entries) > 0 {
		g.Go(func() (err error) {
			requests, err = loadgenerator.RunCallers(running, l.callers)
			return err
		})
	}
	if l.jobs.Count > 0 {
		g.Go(func() (err error) {
			jobs, err = loadgenerator.RunJobs(running, l.jobs)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, r := range []*loadgenerator.Result{requests, jobs} {
		if err := r.Print(out); err != nil {
			return err
		}
	}
	return l.checkGuarantees(ctx, requests, out)
}

// checkGuarantees compares the outcomes that callers got with the executions on the
// emulated workers, and prints all violations of the guarantees.
func (l *loadFlags) checkGuarantees(ctx context.Context, r *loadgenerator.Result, out io.Writer) error {
	if len(l.workers) == 0 {
		return nil
	}
	executions := make(map[string]int)
	var runs []emulator.Run
	var counts emulator.MachineCounts
	for _, a := range l.workers {
		var tokens map[string]int
		var rs []emulator.Run
		var c emulator.MachineCounts
		for path, v := range map[string]any{"/executions": &tokens, "/runs": &rs, "/counts": &c} {
			if err := getJSON(ctx, a, path, v); err != nil {
				return err
			}
		}
		for t, n := range tokens {
			executions[t] += n
		}
		runs = append(runs, rs...)
		counts.Overcommits += c.Overcommits
		counts.DoubleStarts += c.DoubleStarts
		counts.EpochConflicts += c.EpochConflicts
	}
	violations := append(r.Violations(executions, true), emulator.Violations(runs, time.Now())...)
	for _, v := range violations {
		if _, err := fmt.Fprintln(out, "violation:", v); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "violations %d, overcommits %d, double starts %d, epoch conflicts %d\n",
		len(violations), counts.Overcommits, counts.DoubleStarts, counts.EpochConflicts)
	return err
}

// getJSON decodes the JSON answer to a GET request into v.
func getJSON(ctx context.Context, a netip.AddrPort, path string, v any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s%s was answered with status %d", a, path, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
