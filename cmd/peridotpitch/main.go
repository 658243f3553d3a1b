// Command peridotpitch runs an entry host and provides the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"peridotpitch/internal/commandline"
	"peridotpitch/internal/loader"
	"peridotpitch/internal/server"
	"peridotpitch/platform"
)

// version is set by the linker.
var version = "development"

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commandline.Run(ctx, os.Args[1:], commandline.Environment{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
		Serve:  runServer,
		Entry:  runEntryHost,
		// The platform passes the path of the settings file in this environment variable.
		SettingsVariable: platform.SettingsVariable,
		Version:          version,
	})
}

// runServer runs an entry host of package server until ctx ends.
func runServer(ctx context.Context, s loader.Settings) error {
	return server.Run(ctx, s, version)
}
