//go:build review

// Command stand-2 plays one case of the review: it starts the entry hosts as processes, and is the platform, the minions and the
// requesters itself. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// zones are those of the smallest deployment, with the number of entry hosts.
var zones = []struct {
	name  string
	hosts int
}{{"sampaloc", 3}, {"malolos", 2}, {"san-pablo", 2}}

// limit ends a case that hangs.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, known := map[string]func(f *fleet, trouble bool) int{"advice": playAdvice, "lasting": playLasting, "hopeless": playHopeless, "long": playLong, "rack": playRack, "looping": playLooping, "returning": playReturning, "saved": playSaved}[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run1(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run1(play func(*fleet, bool) int, path string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f := &fleet{record: r, jobs: make(map[string]*job)}
	if f.store, err = newStore(); err == nil {
		f.dir, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	result := make(chan int, 1)
	go func() { result <- play(f, trouble) }()
	select {
	case code := <-result:
		r.line("exit %d", code)
		return code
	case <-time.After(limit):
		r.line("the case did not end within %s", limit)
		return exitNotRun
	}
}

// start starts minions and entry hosts, and waits until they are ready.
func (f *fleet) start(minions int, room resources) bool {
	for n := range minions {
		z := zones[n%len(zones)].name
		kind := "a"
		if n < f.special {
			kind = "b"
		}
		m, err := newMinion(f, fmt.Sprintf("i-%08x", 0x7f3a91c2+uint32(n)*0x01000193), z, kind, fmt.Sprintf("r%d-%d", n%len(zones), n/24), room)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
		f.minions = append(f.minions, m)
	}
	n := 0
	for _, z := range zones {
		for range z.hosts {
			n++
			if _, err := f.newHost(n, z.name); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return false
			}
		}
	}
	return f.waitReady(30 * time.Second)
}
