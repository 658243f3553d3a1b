// Command standin emulates the systems around peridotpitch for tests and demonstrations:
// the platform, workers, backend servers, callers, and a network whose connections can be cut.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// role is a system that the program emulates, or a task that it performs.
type role struct {
	name    string
	summary string
	run     func(ctx context.Context, fs *flag.FlagSet, arguments []string, out io.Writer) error
}

// roles lists all roles in the order of the usage text.
var roles = []role{
	{"platform", "key-value store and host list", runPlatform},
	{"worker", "workers; each starts a backend server for each service task", runWorkers},
	{"backend", "one backend server", runBackend},
	{"load", "sends requests and submits jobs; prints outcomes and latencies", runLoad},
	{"ready", "waits until entry hosts answer requests", runReady},
	{"relay", "forwards TCP between two loopback addresses; either direction can be cut", runRelay},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, arguments []string, out, errOut io.Writer) error {
	if len(arguments) > 0 {
		for _, r := range roles {
			if r.name == arguments[0] {
				fs := flag.NewFlagSet("standin "+r.name, flag.ContinueOnError)
				fs.SetOutput(errOut)
				return r.run(ctx, fs, arguments[1:], out)
			}
		}
	}
	usage := "usage: standin ROLE [flags]; standin ROLE -h lists the flags\n"
	for _, r := range roles {
		usage += fmt.Sprintf("  %-9s %s\n", r.name, r.summary)
	}
	if len(arguments) == 1 && (arguments[0] == "-h" || arguments[0] == "-help" || arguments[0] == "--help") {
		_, err := io.WriteString(out, usage)
		return err
	}
	return errors.New(usage)
}
