// Command measure measures how the cost of each component of an entry host grows with the
// size of the deployment. It prints the slopes and the figures for docs/CAPACITY.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"peridotpitch/internal/estimator"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return estimator.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
