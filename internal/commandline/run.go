package commandline

import (
	"context"
	"io"

	"peridotpitch/internal/loader"
)

// Exit codes.
const (
	ExitDone        = 0
	ExitRefused     = 1 // refused or failed; nothing changed
	ExitUsage       = 2
	ExitUnreachable = 3 // unreachable, or the outcome is unknown
)

// Serve runs an entry host until ctx ends.
type Serve func(ctx context.Context, s loader.Settings) error

// Environment is what a subcommand uses of its process.
type Environment struct {
	Stdout  io.Writer
	Stderr  io.Writer
	Getenv  func(string) string
	Serve   Serve
	Version string
}

// Run executes the subcommand in arguments (without the program's name) and returns
// the exit code.
func Run(_ context.Context, _ []string, e Environment) int {
	_, _ = io.WriteString(e.Stderr, "peridotpitch: no subcommand\n")
	return ExitUsage
}
