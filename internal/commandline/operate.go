package commandline

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"peridotpitch/internal/administrator"
	"peridotpitch/internal/configurator"
	"peridotpitch/internal/loader"
	"peridotpitch/internal/scheduler"
)

var serveCommand = command{
	name: "serve", summary: "Run an entry host.",
	setup: func(fs *flag.FlagSet) func(*call) error {
		path := fs.String("settings", "", "settings `file`")
		check := fs.Bool("check", false, "check the settings file and exit")
		return func(c *call) error {
			if *path == "" {
				return usagef("flag -settings is required")
			}
			s, err := loader.Load(*path)
			if err != nil {
				return err
			}
			if *check {
				return c.show(s, func(w io.Writer) {
					_, _ = fmt.Fprintf(w, "%s: settings of entry host %q are valid: %d peers, %d operator keys\n", *path, s.Name, len(s.Peers), len(s.OperatorKeys))
				})
			}
			return c.Serve(c.ctx, s)
		}
	},
}

var entryCommand = command{
	name: "entry", summary: "Run an entry host on the users' platform.",
	setup: func(fs *flag.FlagSet) func(*call) error {
		path := fs.String("settings", "", "settings `file`; default from the platform's environment variable")
		check := fs.Bool("check", false, "check the settings file and exit")
		return func(c *call) error {
			file := *path
			if file == "" {
				file = c.Getenv(c.SettingsVariable)
			}
			if file == "" {
				return usagef("flag -settings is required")
			}
			if *check {
				if err := c.CheckEntry(file); err != nil {
					return err
				}
				_, err := fmt.Fprintf(c.Stdout, "%s: settings are valid\n", file)
				return err
			}
			return c.Entry(c.ctx, file)
		}
	},
}

var jobCommands = []command{
	{name: "job submit", remote: true, summary: "Submit a batch job. Repeating a submission is safe.", setup: submitJob},
	{name: "job show", arguments: "NAME", minArguments: 1, maxArguments: 1, remote: true, summary: "Show a job.", setup: func(*flag.FlagSet) func(*call) error {
		return func(c *call) error {
			j, err := c.client.ShowJob(c.ctx, c.arguments[0])
			if err != nil {
				return err
			}
			return c.showJob(j)
		}
	}},
	{name: "job list", remote: true, summary: "List jobs.", setup: listJobs},
	{name: "job cancel", arguments: "NAME", minArguments: 1, maxArguments: 1, remote: true, summary: "Cancel a job.", setup: func(*flag.FlagSet) func(*call) error {
		return func(c *call) error {
			j, err := c.client.CancelJob(c.ctx, c.arguments[0])
			if err != nil {
				return err
			}
			return c.showJob(j)
		}
	}},
}

func submitJob(fs *flag.FlagSet) func(*call) error {
	var s scheduler.JobSpec
	fs.StringVar(&s.Name, "name", "", "unique `name` of the job")
	fs.StringVar(&s.Class, "class", "", "job class `name`")
	fs.StringVar(&s.Team, "team", "", "team `name`")
	fs.BoolVar(&s.Urgent, "urgent", false, "start before jobs that are not urgent")
	fs.Func("cores", "`number` of declared cores; default: the class's size", func(text string) error {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v > 0 && v <= 1024) {
			return errors.New("allowed: number above 0, at most 1024")
		}
		s.Declared.Cores = v
		return nil
	})
	fs.Func("memory", "declared memory as `size`, for example 512MB; default: the class's size", func(text string) (err error) {
		s.Declared.Memory, err = configurator.ParseSize(text)
		return err
	})
	fs.Func("accelerators", "`number` of declared accelerators", func(text string) error {
		v, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return errors.New("allowed: whole number from 0 to 65535")
		}
		s.Declared.Accelerators = int(v)
		return nil
	})
	durationFlag(fs, &s.Duration, "duration", "`duration` of the work; used by emulated workers only")
	return func(c *call) error {
		for _, f := range []struct{ name, value string }{{"name", s.Name}, {"class", s.Class}, {"team", s.Team}} {
			if f.value == "" {
				return usagef("flag -%s is required", f.name)
			}
		}
		if d := s.Declared; (d.Cores > 0) != (d.Memory > 0) || d.Accelerators > 0 && d.Cores == 0 {
			return usagef("flags -cores and -memory must be given together, and with -accelerators; without them the class's size is declared")
		}
		j, err := c.client.SubmitJob(c.ctx, s)
		if err != nil {
			return err
		}
		return c.showJob(j)
	}
}

// showJob prints the status of a job.
func (c *call) showJob(j scheduler.JobStatus) error {
	return c.show(j, func(w io.Writer) {
		row(w, "Job", j.Spec.Name)
		row(w, "State", j.State)
		row(w, "Class", j.Spec.Class)
		row(w, "Team", j.Spec.Team)
		row(w, "Urgent", j.Spec.Urgent)
		if j.Spec.Declared != (configurator.Resources{}) {
			row(w, "Declared", formatResources(j.Spec.Declared))
		}
		row(w, "Shard", j.Shard)
		row(w, "Worker", j.Worker)
		row(w, "Attempt", j.Attempt)
		row(w, "Evictions", j.Evictions)
		row(w, "Submitted", formatTime(j.Submitted))
		row(w, "Started", formatTime(j.Started))
		row(w, "Ended", formatTime(j.Ended))
		row(w, "Decision", j.Decision)
	})
}

func listJobs(fs *flag.FlagSet) func(*call) error {
	f := administrator.JobFilter{Limit: administrator.DefaultJobLimit}
	fs.StringVar(&f.Team, "team", "", "only jobs of the team with this `name`")
	fs.Func("state", "only jobs in this `state`", func(text string) (err error) {
		f.State, err = administrator.ParseJobState(text)
		return err
	})
	countFlag(fs, &f.Limit, administrator.MaxJobLimit, "jobs")
	return func(c *call) error {
		js, err := c.client.ListJobs(c.ctx, f)
		if err != nil {
			return err
		}
		return c.show(js, func(w io.Writer) {
			row(w, "JOB", "STATE", "CLASS", "TEAM", "WORKER", "ATTEMPT", "EVICTIONS", "SUBMITTED")
			for _, j := range js {
				row(w, j.Spec.Name, j.State, j.Spec.Class, j.Spec.Team, j.Worker, j.Attempt, j.Evictions, formatTime(j.Submitted))
			}
		})
	}
}

// countFlag declares the flag -limit for a number from 1 to limit.
func countFlag(fs *flag.FlagSet, n *int, limit int, usage string) {
	fs.Func("limit", fmt.Sprintf("maximum `number` of %s (default %d)", usage, *n), func(text string) error {
		v, err := strconv.Atoi(text)
		if err != nil || v < 1 || v > limit {
			return fmt.Errorf("allowed: 1 to %d", limit)
		}
		*n = v
		return nil
	})
}

var serviceListCommand = command{
	name: "service list", remote: true, summary: "List services.",
	setup: func(*flag.FlagSet) func(*call) error {
		return func(c *call) error {
			ss, err := c.client.ListServices(c.ctx)
			if err != nil {
				return err
			}
			return c.show(ss, func(w io.Writer) {
				row(w, "SERVICE", "CLASS", "INSTANCES", "WANTED")
				for _, s := range ss {
					wanted := 0
					for _, n := range s.Wanted {
						wanted += n
					}
					row(w, s.Name, s.Class, len(s.Instances), wanted)
				}
			})
		}
	},
}

var serviceShowCommand = command{
	name: "service show", arguments: "NAME", minArguments: 1, maxArguments: 1, remote: true, summary: "Show a service and its instances.",
	setup: func(*flag.FlagSet) func(*call) error {
		return func(c *call) error {
			s, err := c.client.ShowService(c.ctx, c.arguments[0])
			if err != nil {
				return err
			}
			return c.show(s, func(w io.Writer) { printService(w, s) })
		}
	},
}

func printService(w io.Writer, s administrator.ServiceStatus) {
	var wanted []string
	for _, d := range slices.Sorted(maps.Keys(s.Wanted)) {
		wanted = append(wanted, fmt.Sprintf("%s:%d", d, s.Wanted[d]))
	}
	row(w, "Service", s.Name)
	row(w, "Class", s.Class)
	row(w, "Wanted", strings.Join(wanted, ", "))
	_, _ = fmt.Fprintln(w)
	row(w, "INSTANCE", "FAILURE DOMAIN", "WORKER", "ADDRESS", "SLOTS", "CONNECTIONS", "SLOWDOWN", "DRAINING")
	for _, i := range s.Instances {
		row(w, i.Instance, i.FailureDomain, i.Worker, i.Address, i.Slots, i.Connections, fmt.Sprintf("%.2f", i.Slowdown), i.Draining)
	}
}

var hostListCommand = command{
	name: "host list", remote: true, summary: "List entry hosts and workers.",
	setup: func(*flag.FlagSet) func(*call) error {
		return func(c *call) error {
			hs, err := c.client.ListHosts(c.ctx)
			if err != nil {
				return err
			}
			return c.show(hs, func(w io.Writer) { printHosts(w, hs) })
		}
	},
}

func printHosts(w io.Writer, hs []administrator.HostStatus) {
	row(w, "HOST", "ROLE", "FAILURE DOMAIN", "STATE", "GENERATION", "CORES", "MEMORY", "REASON")
	for _, h := range hs {
		generation, cores, memory := "", "", ""
		if h.Generation > 0 {
			generation = strconv.FormatUint(h.Generation, 10)
		}
		if h.Capacity != (configurator.Resources{}) {
			cores = fmt.Sprintf("%.4g", h.Capacity.Cores)
			memory = configurator.FormatSize(h.Capacity.Memory)
		}
		row(w, h.Name, h.Role, h.FailureDomain, h.State, generation, cores, memory, h.Reason)
	}
}

// hostDrainCommand returns the command host drain, or host undrain if undo is set.
func hostDrainCommand(undo bool) command {
	c := command{name: "host drain", summary: "Stop assigning new work to a host, for example before a repair."}
	done := "host %s is draining\n"
	if undo {
		c = command{name: "host undrain", summary: "Return a drained host to service."}
		done = "host %s is in service\n"
	}
	c.arguments, c.minArguments, c.maxArguments, c.remote = "NAME", 1, 1, true
	c.setup = func(*flag.FlagSet) func(*call) error {
		return func(c *call) error {
			host := c.arguments[0]
			if err := c.client.DrainHost(c.ctx, host, undo); err != nil {
				return err
			}
			return c.show(struct {
				Host     string
				Draining bool
			}{host, !undo}, func(w io.Writer) { _, _ = fmt.Fprintf(w, done, host) })
		}
	}
	return c
}

var statusCommand = command{
	name: "status", arguments: "[METRICS-ADDRESS ...]", remote: true, minLocalArguments: 1, maxArguments: maxStatusAddresses,
	summary: "Show a summary of the system from one entry host, or, with MetricsAddresses of the entry subcommand, of its fleet.",
	setup: func(fs *flag.FlagSet) func(*call) error {
		var interval time.Duration
		durationFlag(fs, &interval, "watch", "repeat after each `interval` until interrupted")
		return func(c *call) error {
			show := c.showStatus
			if len(c.arguments) > 0 {
				addresses, err := parseAddresses(c.arguments)
				if err != nil {
					return err
				}
				show = func() error { return c.showFleet(addresses) }
			}
			return c.repeat(interval, show)
		}
	},
}

// maxStatusAddresses limits the hosts that one status subcommand asks.
const maxStatusAddresses = 16

// repeat calls show once, or after each interval above 0 until the context ends. While it repeats,
// it prints errors and goes on.
func (c *call) repeat(interval time.Duration, show func() error) error {
	if interval == 0 {
		return show()
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if !c.json {
			_, _ = fmt.Fprintf(c.Stdout, "--- %s\n", time.Now().Format(time.RFC3339))
		}
		if err := show(); err != nil {
			fail(c.Environment, c.json, err)
		}
		select {
		case <-t.C:
		case <-c.ctx.Done():
			return nil
		}
	}
}

func (c *call) showStatus() error {
	s, err := c.client.Status(c.ctx)
	if err != nil {
		return err
	}
	return c.show(s, func(w io.Writer) { printStatus(w, s) })
}

func printStatus(w io.Writer, s administrator.Status) {
	ready := "yes"
	if !s.Ready {
		ready = "no: " + strings.Join(s.NotReady, ", ")
	}
	row(w, "Entry host", fmt.Sprintf("%s (%s), version %s, up %s", s.Host, s.FailureDomain, s.Version, formatAge(s.Uptime)))
	row(w, "Ready", ready)
	row(w, "Leaving", s.Leaving)
	row(w, "Configuration", fmt.Sprintf("generation %d for %s", s.Generation, formatAge(s.InEffectFor)))
	row(w, "Store", s.StoreState)
	_, _ = fmt.Fprintln(w)
	printHosts(w, s.Hosts)
	_, _ = fmt.Fprintln(w)
	row(w, "SHARD", "OWNER", "EPOCH", "JOBS")
	for _, h := range s.Shards {
		var jobs []string
		for _, st := range slices.Sorted(maps.Keys(h.Jobs)) {
			jobs = append(jobs, fmt.Sprintf("%d %s", h.Jobs[st], st))
		}
		row(w, h.Name, h.Owner, h.Epoch, strings.Join(jobs, ", "))
	}
}

var versionCommand = command{
	name: "version", summary: "Print the version.",
	setup: func(*flag.FlagSet) func(*call) error {
		return func(c *call) error {
			return c.show(struct{ Version string }{c.Version}, func(w io.Writer) { _, _ = fmt.Fprintln(w, c.Version) })
		}
	},
}
