package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"peridotpitch/internal/coordinator"
	"peridotpitch/internal/logger"
	"peridotpitch/platform"
)

const (
	// storeTimeout bounds a call to the store, which answers in 4 ms and, when it is
	// slow, within half a second.
	storeTimeout = 700 * time.Millisecond
	// orderTimeout bounds an order to a worker. Workers answer in milliseconds; an order
	// that got no answer is sent again.
	orderTimeout = 400 * time.Millisecond
	// adviceTimeout bounds a question to the policy service, which takes time for each
	// worker named and handles one call of a host at a time.
	adviceTimeout = 2 * time.Second
	// heapShare is the part of the process's memory that the heap may fill before the
	// garbage collector works harder.
	heapShare = 0.7
	// heapGrowth lets the heap, which is small, triple between two collections: the
	// collector is the largest consumer of processor time otherwise.
	heapGrowth = 200 // percent
)

// entry runs an entry host on the platform until ctx ends.
func entry(ctx context.Context, path string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(heapShare * float64(s.Memory)))
	log, flush := logger.Stdout(slog.LevelInfo)
	defer flush()
	store, closeStore := platform.NewStore(s.StoreAddress, storeTimeout)
	defer closeStore()
	workers, closeWorkers := platform.NewWorkers(s.AdviceAddress, orderTimeout, adviceTimeout)
	defer closeWorkers()
	c := coordinator.New(s, coordinator.Peers{
		Store: store, Workers: workers, Decoder: platform.Decoder{},
		Keys: coordinator.Keys{Configuration: platform.KeyConfiguration, Workers: platform.PrefixWorkers},
	}, log)
	shutdown, err := platform.ServeCallers(s.CallerAddress, s.ReadyAddress, c, log)
	if err != nil {
		return err
	}
	reloads, stopReloads := reloadSignals()
	defer stopReloads()
	go func() {
		for range reloads {
			reload(path, s, log)
		}
	}()
	err = c.Run(ctx)
	end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if shutdownErr := shutdown(end); shutdownErr != nil {
		log.Warn("RequestsCut", "Cause", shutdownErr.Error())
	}
	return err
}

func checkEntry(path string) error {
	_, err := platform.LoadSettings(path)
	return err
}

// shutdownTimeout bounds the wait for requests that are being answered when the process
// ends. Answers take milliseconds; the store's timeout is the longest part.
const shutdownTimeout = 2 * time.Second

func reloadSignals() (<-chan os.Signal, func()) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch, func() { signal.Stop(ch) }
}

// reload checks the changed settings. Addresses and names can not change while the
// process runs; everything else that may change stands in the store.
func reload(path string, old coordinator.Settings, log *slog.Logger) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		log.Error("Reload", "Outcome", "refused", "Cause", err.Error())
		return
	}
	outcome := "nothing has changed"
	if s != old {
		outcome = "the changes take effect at the next start"
	}
	log.Info("Reload", "Outcome", outcome)
}
