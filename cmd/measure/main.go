// Command measure measures how the cost of each part of an entry host grows and prints
// the slopes and the figures of docs/CAPACITY.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"peridotpitch/internal/surveyor"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return surveyor.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
