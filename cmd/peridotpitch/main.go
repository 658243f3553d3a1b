// Command peridotpitch runs an entry host and provides the operators' command line.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"peridotpitch/internal/commandline"
	"peridotpitch/internal/loader"
	"peridotpitch/internal/server"
	"peridotpitch/platform"
)

// version is set by the linker. Without it, programVersion tells builds apart.
var version = ""

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commandline.Run(ctx, os.Args[1:], environment(os.Stdout, os.Stderr))
}

// environment returns what the command line needs of this program.
func environment(stdout, stderr io.Writer) commandline.Environment {
	return commandline.Environment{
		Stdout:     stdout,
		Stderr:     stderr,
		Getenv:     os.Getenv,
		Serve:      runServer,
		Entry:      runEntryHost,
		CheckEntry: checkEntrySettings,
		// The platform passes the path of the settings file in this environment variable.
		SettingsVariable: platform.SettingsVariable,
		Version:          programVersion(),
	}
}

// runServer runs an entry host of package server until ctx ends.
func runServer(ctx context.Context, s loader.Settings) error {
	return server.Run(ctx, s, programVersion())
}
