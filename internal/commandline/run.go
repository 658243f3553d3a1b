package commandline

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"peridotpitch/internal/administrator"
	"peridotpitch/internal/loader"
)

// Exit codes.
const (
	ExitDone        = 0
	ExitRefused     = 1 // refused or failed
	ExitUsage       = 2
	ExitUnreachable = 3 // entry host or store unreachable, or the outcome is unknown
)

// addressVariable is the environment variable with the default of the flag -address.
const addressVariable = "PERIDOTPITCH_ADDRESS"

// defaultTimeout limits a request to an entry host. It is longer than the entry host's own
// limit, so that the answer of a host whose limit has expired still arrives.
const defaultTimeout = administrator.RequestTimeout + 5*time.Second

// ServeFunc runs an entry host of package server until ctx ends. s are its settings, which the
// subcommand serve has read.
type ServeFunc func(ctx context.Context, s loader.Settings) error

// EntryFunc runs an entry host of package coordinator, which works with the store, workers and
// callers of the operators' site through package platform, until ctx ends. path is the path of
// the settings file, which has the format that package platform reads.
type EntryFunc func(ctx context.Context, path string) error

// Environment contains the streams, variables and functions that the process provides to a
// subcommand.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	Serve  ServeFunc // runs the subcommand serve
	Entry  EntryFunc // runs the subcommand entry
	// CheckEntry checks the settings file of the subcommand entry.
	CheckEntry func(path string) error
	// SettingsVariable is the environment variable with the default path of the settings
	// file of the entry subcommand.
	SettingsVariable string
	Version          string
	// FleetTimeout limits the request to one entry host for its status. 0: 900 ms.
	FleetTimeout time.Duration
}

// command is one subcommand.
type command struct {
	name      string // one or two words
	arguments string // names of the arguments in the usage text
	summary   string
	remote    bool // sends a request to the AdminAddress of an entry host, unless it has minLocalArguments
	// With at least minLocalArguments arguments, a remote command reads log files or asks the
	// named addresses, and needs no AdminAddress; 0: it always needs one.
	minLocalArguments          int
	minArguments, maxArguments int // number of arguments
	// setup declares the flags and returns the function that executes the command.
	setup func(fs *flag.FlagSet) func(c *call) error
}

// call is one execution of a command.
type call struct {
	Environment
	ctx       context.Context
	client    *administrator.Client
	arguments []string
	json      bool
}

// commands returns all subcommands in the order of the usage text.
func commands() []command {
	return slices.Concat([]command{serveCommand, entryCommand}, configCommands, jobCommands, []command{
		serviceListCommand, serviceShowCommand, hostListCommand, hostDrainCommand(false), hostDrainCommand(true),
		explainCommand, breakdownCommand, statusCommand, versionCommand,
	})
}

// usageError is an error in the arguments or flags.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// Run executes the subcommand in arguments (without the program's name) and returns
// the exit code.
func Run(ctx context.Context, arguments []string, e Environment) int {
	if len(arguments) == 0 || isHelp(arguments[0]) {
		return printOverview(e, "", len(arguments) == 0)
	}
	for _, c := range commands() {
		words := strings.Fields(c.name)
		if len(arguments) >= len(words) && slices.Equal(arguments[:len(words)], words) {
			return execute(ctx, c, arguments[len(words):], e)
		}
	}
	return handleUnmatched(arguments, e)
}

func isHelp(word string) bool {
	return word == "-h" || word == "-help" || word == "--help" || word == "help"
}

// handleUnmatched handles arguments that match no subcommand. A group is the set of two-word
// subcommands with the same first word. If the arguments are this word alone, or this word and
// a help flag, handleUnmatched prints the overview of the group. Others are a usage error.
func handleUnmatched(arguments []string, e Environment) int {
	group := arguments[0]
	var names []string
	for _, c := range commands() {
		first, second, _ := strings.Cut(c.name, " ")
		if first == group {
			names = append(names, second)
		}
	}
	if len(names) == 0 {
		return fail(e, false, usagef("unknown subcommand %q; allowed: %s", group, strings.Join(topLevelNames(), ", ")))
	}
	if len(arguments) == 1 || isHelp(arguments[1]) {
		return printOverview(e, group, len(arguments) == 1)
	}
	return fail(e, false, usagef("unknown subcommand %q; allowed: %s %s", group+" "+arguments[1], group, strings.Join(names, ", ")))
}

// topLevelNames returns the first words of all subcommands.
func topLevelNames() []string {
	var names []string
	for _, c := range commands() {
		first, _, _ := strings.Cut(c.name, " ")
		if !slices.Contains(names, first) {
			names = append(names, first)
		}
	}
	return names
}

// printOverview lists the subcommands of a group, or all subcommands if group is empty.
// missing means that the arguments lack a subcommand, which is a usage error.
func printOverview(e Environment, group string, missing bool) int {
	out, code := e.Stdout, ExitDone
	if missing {
		out, code = e.Stderr, ExitUsage
	}
	var b strings.Builder
	b.WriteString("Usage: peridotpitch SUBCOMMAND [FLAGS] [ARGUMENTS]\n\nSubcommands (with -h, each shows its flags):\n")
	for _, c := range commands() {
		if first, _, _ := strings.Cut(c.name, " "); group == "" || first == group {
			fmt.Fprintf(&b, "  %-16s %s\n", c.name, c.summary)
		}
	}
	b.WriteString("\nExit codes: 0 done, 1 refused or failed, 2 usage, 3 unreachable or unknown outcome.\n")
	_, _ = io.WriteString(out, b.String())
	return code
}

func execute(ctx context.Context, c command, arguments []string, e Environment) int {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	k := &call{Environment: e, ctx: ctx}
	fs.BoolVar(&k.json, "json", false, "print JSON")
	address, timeout := e.Getenv(addressVariable), defaultTimeout
	if c.remote {
		fs.StringVar(&address, "address", address, "AdminAddress of an entry host, `ip:port`; default from "+addressVariable)
		durationFlag(fs, &timeout, "timeout", "maximum `duration` of the request")
	}
	work := c.setup(fs)
	err := parse(fs, c, arguments, k)
	if errors.Is(err, flag.ErrHelp) {
		printUsage(e.Stdout, c, fs)
		return ExitDone
	}
	if err == nil && c.remote && (c.minLocalArguments == 0 || len(k.arguments) < c.minLocalArguments) {
		k.client, err = newClient(address, timeout)
	}
	if err == nil {
		err = work(k)
	}
	if err != nil {
		return fail(e, k.json, prefixUsage(c, err))
	}
	return ExitDone
}

// prefixUsage adds the name of the command and a reference to its help to a usage error.
func prefixUsage(c command, err error) error {
	var usage *usageError
	if errors.As(err, &usage) {
		return usagef("%s: %s (see peridotpitch %s -h)", c.name, usage.message, c.name)
	}
	return err
}

// parse reads flags and arguments. Flags may be before, between and after arguments.
func parse(fs *flag.FlagSet, c command, arguments []string, k *call) error {
	for {
		if err := fs.Parse(arguments); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return err
			}
			return usagef("%v%s", err, allowedFlags(fs, err))
		}
		if fs.NArg() == 0 {
			break
		}
		k.arguments = append(k.arguments, fs.Arg(0))
		arguments = fs.Args()[1:]
	}
	if n := len(k.arguments); n < c.minArguments {
		return usagef("argument is missing; expected: %s", c.arguments)
	} else if n > c.maxArguments {
		return usagef("unexpected argument %q; expected: %s", k.arguments[c.maxArguments], textOrNone(c.arguments))
	}
	return nil
}

func textOrNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// allowedFlags returns the list of all flags if err is about an undefined flag.
func allowedFlags(fs *flag.FlagSet, err error) string {
	if !strings.HasPrefix(err.Error(), "flag provided but not defined") {
		return ""
	}
	var names []string
	fs.VisitAll(func(f *flag.Flag) { names = append(names, "-"+f.Name) })
	return "; allowed: " + strings.Join(names, ", ")
}

func printUsage(w io.Writer, c command, fs *flag.FlagSet) {
	arguments := ""
	if c.arguments != "" {
		arguments = " " + c.arguments
	}
	_, _ = fmt.Fprintf(w, "Usage: peridotpitch %s [FLAGS]%s\n\n%s\n\nFlags:\n", c.name, arguments, c.summary)
	fs.SetOutput(w)
	fs.PrintDefaults()
}

func newClient(address string, timeout time.Duration) (*administrator.Client, error) {
	if address == "" {
		return nil, usagef("no address; set -address or %s to the AdminAddress of an entry host", addressVariable)
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, usagef("address %q is not accepted; allowed: IP address and port, for example 10.1.0.1:7300", address)
	}
	return administrator.NewClient(a, timeout), nil
}

// durationFlag declares a flag for a duration above 0.
func durationFlag(fs *flag.FlagSet, d *time.Duration, name, usage string) {
	if *d != 0 {
		usage += fmt.Sprintf(" (default %s)", *d)
	}
	fs.Func(name, usage, func(text string) error {
		v, err := time.ParseDuration(text)
		if err != nil || v <= 0 {
			return errors.New("allowed: Go duration above 0, for example 90s")
		}
		*d = v
		return nil
	})
}
