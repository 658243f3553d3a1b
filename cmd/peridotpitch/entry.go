package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"peridotpitch/internal/connector"
	"peridotpitch/internal/coordinator"
	"peridotpitch/internal/logger"
	"peridotpitch/platform"
)

const (
	// storeTimeout limits the wait for the store. The store answers in 4 ms, and within half
	// a second when it is slow.
	storeTimeout = 700 * time.Millisecond
	// commandTimeout limits a command to a worker. Workers answer in milliseconds; a
	// command without an answer is sent again.
	commandTimeout = 400 * time.Millisecond
	// memoryLimitShare is the Go runtime's memory limit (GOMEMLIMIT) as a share of the Memory
	// setting. The garbage collector runs more often as the heap approaches it.
	memoryLimitShare = 0.7
	// gcPercent lets the heap triple between two collections (GOGC). The heap is small, and
	// with more frequent collections the garbage collector would use the most processor time.
	gcPercent = 200
)

// runEntryHost runs an entry host on the users' platform (package platform) until ctx ends. path
// is the path of the settings file.
func runEntryHost(ctx context.Context, path string) error {
	s, unknown, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory)))
	log, flush := logger.Stdout(slog.LevelInfo)
	defer flush()
	for _, u := range unknown {
		log.Warn("SettingUnknown", "Path", path, "Fault", u.String(), "Outcome", "ignored")
	}
	store, closeStore := platform.NewStore(s.StoreAddress, storeTimeout)
	defer closeStore()
	workers, closeWorkers := platform.NewWorkerClient(s.AdviceAddress, commandTimeout, connector.NewBudget(connector.Descriptors(), s.ProcessorShare))
	defer closeWorkers()
	keys := coordinator.StoreKeys{Configuration: platform.ConfigurationKey, Workers: platform.WorkerKeyPrefix}
	if s.EvacuationDeadline > 0 {
		keys.Evacuations = platform.EvacuationKeyPrefix
	}
	c := coordinator.New(s, coordinator.Dependencies{
		Store: store, Workers: workers, Decoder: platform.Decoder{}, Keys: keys, Program: programVersion(), UnknownSettings: len(unknown),
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
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if shutdownErr := shutdown(shutdownCtx); shutdownErr != nil {
		log.Warn("RequestsCut", "Cause", shutdownErr.Error())
	}
	return err
}

// checkEntrySettings checks the settings file of an entry host.
func checkEntrySettings(path string) error {
	return platform.CheckSettings(path)
}

// shutdownTimeout limits the wait for requests in flight when the process ends. Requests
// take milliseconds, and up to storeTimeout when the store is slow.
const shutdownTimeout = 2 * time.Second

// reloadSignals returns a channel that receives SIGHUP, and a function that stops the delivery.
func reloadSignals() (<-chan os.Signal, func()) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch, func() { signal.Stop(ch) }
}

// reload validates the settings file and logs whether the settings have changed. It applies no
// change: addresses and names cannot change while the process runs, and everything else that
// operators may change is in the store.
func reload(path string, old coordinator.Settings, log *slog.Logger) {
	s, _, err := platform.LoadSettings(path)
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
