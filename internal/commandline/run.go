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

// addressVariable names the environment variable that holds the default of -address.
const addressVariable = "PERIDOTPITCH_ADDRESS"

// defaultTimeout bounds a request to an entry host. It exceeds the time that an entry
// host spends on one, so that its answer arrives.
const defaultTimeout = administrator.RequestTimeout + 5*time.Second

// Serve runs an entry host until ctx ends.
type Serve func(ctx context.Context, s loader.Settings) error

// Entry runs an entry host on the users' platform until ctx ends. path is that of its
// settings file.
type Entry func(ctx context.Context, path string) error

// Environment is what a subcommand uses of its process.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	Serve  Serve
	Entry  Entry
	// CheckEntry checks the settings file of an entry host on the users' platform.
	CheckEntry func(path string) error
	// SettingsVariable names the environment variable with the default settings file of
	// the entry subcommand.
	SettingsVariable string
	Version          string
}

// command is one subcommand.
type command struct {
	name      string // one or two words
	arguments string // as shown in the usage
	summary   string
	remote    bool // asks an entry host
	// local is the number of arguments from which a remote command asks no entry host;
	// 0: it always does.
	local    int
	min, max int // number of arguments
	// setup declares flags and returns the work.
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

// commands is the table of all subcommands in the order of the usage.
func commands() []command {
	return slices.Concat([]command{serveCommand, entryCommand}, configCommands, jobCommands, []command{
		serviceListCommand, serviceShowCommand, hostListCommand, hostDrainCommand(false), hostDrainCommand(true),
		explainCommand, breakdownCommand, statusCommand, versionCommand,
	})
}

// usageError is an error in the arguments.
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
	return unknown(arguments, e)
}

func isHelp(word string) bool {
	return word == "-h" || word == "-help" || word == "--help" || word == "help"
}

// unknown reports a subcommand that does not exist, or prints the overview of a group.
func unknown(arguments []string, e Environment) int {
	group := arguments[0]
	var names []string
	for _, c := range commands() {
		first, second, _ := strings.Cut(c.name, " ")
		if first == group {
			names = append(names, second)
		}
	}
	if len(names) == 0 {
		return fail(e, false, usagef("unknown subcommand %q; allowed: %s", group, strings.Join(firstWords(), ", ")))
	}
	if len(arguments) == 1 || isHelp(arguments[1]) {
		return printOverview(e, group, len(arguments) == 1)
	}
	return fail(e, false, usagef("unknown subcommand %q; allowed: %s %s", group+" "+arguments[1], group, strings.Join(names, ", ")))
}

func firstWords() []string {
	var names []string
	for _, c := range commands() {
		first, _, _ := strings.Cut(c.name, " ")
		if !slices.Contains(names, first) {
			names = append(names, first)
		}
	}
	return names
}

// printOverview lists the subcommands of a group, or all. missing says that the
// arguments lack a subcommand.
func printOverview(e Environment, group string, missing bool) int {
	out, code := e.Stdout, ExitDone
	if missing {
		out, code = e.Stderr, ExitUsage
	}
	var b strings.Builder
	b.WriteString("Usage: peridotpitch SUBCOMMAND [FLAGS] [ARGUMENTS]\n\nSubcommands (each explains itself with -h):\n")
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
		durationFlag(fs, &timeout, "timeout", "`duration` that bounds the request")
	}
	work := c.setup(fs)
	err := parse(fs, c, arguments, k)
	if errors.Is(err, flag.ErrHelp) {
		printUsage(e.Stdout, c, fs)
		return ExitDone
	}
	if err == nil && c.remote && (c.local == 0 || len(k.arguments) < c.local) {
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

func prefixUsage(c command, err error) error {
	var usage *usageError
	if errors.As(err, &usage) {
		return usagef("%s: %s (see peridotpitch %s -h)", c.name, usage.message, c.name)
	}
	return err
}

// parse accepts flags before, between and after the arguments.
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
	if n := len(k.arguments); n < c.min {
		return usagef("argument is missing; wanted: %s", c.arguments)
	} else if n > c.max {
		return usagef("argument %q is too many; wanted: %s", k.arguments[c.max], orNone(c.arguments))
	}
	return nil
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// allowedFlags lists the flags if err is about one that does not exist.
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
		return nil, usagef("no entry host; set -address or %s to its AdminAddress", addressVariable)
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
