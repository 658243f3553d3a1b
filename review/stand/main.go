//go:build review

// Command stand plays a case of the review: it starts stand-ins of the platform, the minions and the requesters, and
// the project's entry hosts as separate processes, and judges one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns the breaks of its rule.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){}

// configurations are the cases' configurations.
var configurations = map[string][]byte{}

// maxPlayTime is how long a case may take.
const maxPlayTime = 112 * time.Second

func main() { os.Exit(run()) }

// abort ends the hosts and the case as one that could not run, after a signal or if it takes too long.
func (f *fleet) abort() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxPlayTime):
	}
	fmt.Fprintln(os.Stderr, "the case was ended before it was played")
	f.close()
	os.Exit(exitNotRun)
}

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	keep := flag.String("logs", "", "folder to which the hosts' logs are moved; empty: they are removed")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(configurations[*name])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	go f.abort()
	breaks, err := play(f, trouble)
	if *keep != "" {
		_ = os.MkdirAll(*keep, 0o755)
		for _, h := range f.hosts {
			b, _ := os.ReadFile(h.log)
			_ = os.WriteFile(filepath.Join(*keep, h.name+".log"), b, 0o600)
		}
	}
	if err != nil {
		f.ledger.note("the case could not run: %v", err)
	}
	f.ledger.noteRuns()
	f.ledger.note("breaks: %d", len(breaks))
	for _, b := range breaks {
		f.ledger.note("BROKEN %s", b)
	}
	f.ledger.mu.Lock()
	record := strings.Join(f.ledger.lines, "\n") + "\n"
	f.ledger.mu.Unlock()
	if writeErr := os.WriteFile(filepath.Join(*dir, "record.txt"), []byte(record), 0o644); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitNotRun
	}
	switch {
	case len(breaks) > 0:
		fmt.Printf("broken: %d, first: %s\n", len(breaks), breaks[0])
		return exitBroken
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println("held")
	return exitHeld
}
