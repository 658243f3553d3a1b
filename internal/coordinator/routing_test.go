package coordinator

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/messenger"
	"peridotpitch/internal/timekeeper"
)

// testDeadline is the shortest bound for the effect of a configuration that the platform's settings name.
const testDeadline = 2 * time.Second

// versionQueues returns a configuration of which version 15 has replaced one queue.
func versionQueues(version uint64) *Configuration {
	n := &Configuration{Version: version, Queues: []Queue{{Host: "h", Prefix: "/both/"}, {Host: "h", Prefix: "/old/"}}}
	if version >= 15 {
		n.Queues[1].Prefix = "/new/"
	}
	return n
}

// setConfiguration puts a version into effect on a host that was the newest one an age ago.
func (c *Coordinator) setConfiguration(version uint64, age time.Duration) {
	c.config.Store(versionQueues(version))
	c.configCheckedAt.Store(timekeeper.Now().Add(-age).UnixNano())
}

// A host's configuration may have been replaced longer ago than the bound for its effect. Guards against requests that it
// handles by that configuration although the leader knows the newer one or the store serves the host, against requests that are
// refused although they can be served, and against a version that comes back.
func TestRequestsAreRoutedByConfigurationInTime(t *testing.T) {
	f, err := os.Open("testdata/routing.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // it was only read
	cases := 0
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		cases++
		t.Run(strings.Join(strings.Fields(lines.Text()), " "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRouting(t, strings.Fields(lines.Text())) })
		})
	}
	if cases < 10 {
		t.Errorf("only %d cases were read", cases)
	}
}

func checkRouting(t *testing.T, fields []string) {
	defer timekeeper.Replace(time.Now)()
	is := is.New(t)
	number := func(s string) uint64 {
		n, err := strconv.ParseUint(s, 10, 64)
		is.NoErr(err)
		return n
	}
	duration := func(s string) time.Duration {
		d, err := time.ParseDuration(s)
		is.NoErr(err)
		return d
	}
	pair := newForwardingPair(t)
	host, leader := pair.host, pair.leader.c
	host.settings.ConfigurationDeadline, leader.settings.ConfigurationDeadline = testDeadline, testDeadline
	host.setConfiguration(number(fields[2]), duration(fields[3]))
	leader.setConfiguration(number(fields[5]), duration(fields[6]))
	pair.ping(is)
	host.leadersVersionUsed.Store(number(fields[4]))
	silence, transferring := strings.CutSuffix(fields[8], "+transfer")
	host.lastStoreSuccess.Store(timekeeper.Now().Add(-duration(silence)).UnixNano())
	if transferring {
		host.noteTransfer(timekeeper.Now().Add(-2*time.Second), nil)
	}
	switch fields[7] {
	case "no-ping":
		host.lastLeaderPing.Store(nil)
	case "not":
		pair.closeServer()
		host.dialHost = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errors.New("refused") }
		host.closeClients()
		host.clients = make(map[netip.AddrPort]*messenger.Client)
	}

	q, rest, answer := host.Route(context.Background(), RouteRequest{Host: "h", Path: fields[1] + "j1", Submission: fields[0] == "POST"})
	outcome := OutcomeDone
	if answer != nil {
		outcome = answer.Outcome
		is.Equal(outcome == OutcomeUnavailable, answer.RetryAfter > 0)
	} else {
		is.Equal(q.Prefix+rest, fields[1]+"j1")
	}
	is.Equal(string(outcome), fields[9])
	log := pair.hostLog.String()
	if fields[10] == string(basisOwn) {
		is.True(!strings.Contains(log, "msg=Route "))
	} else {
		is.True(strings.Contains(log, "Basis="+fields[10]))
		is.True(strings.Contains(log, "Version="+fields[11]))
	}
	canRoute := outcome != OutcomeUnavailable && fields[10] != string(basisOutdated)
	if canRoute || fields[7] == "no-ping" || duration(fields[6]) >= testDeadline {
		is.Equal(host.Ready(), canRoute && duration(silence) < maxReadyStoreSilence)
	}
}

// Guards against an answer to a ping that proves more than the leader knows: a host takes its own configuration for the newest one
// although the leader has a newer one, has none, or has itself not heard of the store.
func TestPingShowsThatConfigurationIsInTime(t *testing.T) {
	for name, tc := range map[string]struct {
		answer pingAnswer
		age    time.Duration // wanted
	}{
		"same version":           {pingAnswer{Version: 12, ConfigurationAge: 300 * time.Millisecond}, 300 * time.Millisecond},
		"older version":          {pingAnswer{Version: 11, ConfigurationAge: 300 * time.Millisecond}, 300 * time.Millisecond},
		"newer version":          {pingAnswer{Version: 15, ConfigurationAge: 300 * time.Millisecond}, 9 * time.Second},
		"no version":             {pingAnswer{ConfigurationAge: 300 * time.Millisecond}, 9 * time.Second},
		"older than known":       {pingAnswer{Version: 12, ConfigurationAge: time.Minute}, 9 * time.Second},
		"of the future":          {pingAnswer{Version: 12, ConfigurationAge: -time.Hour}, 0},
		"build before":           {pingAnswer{Version: 12, StoreSilence: 400 * time.Millisecond}, 400 * time.Millisecond},
		"build before, no store": {pingAnswer{Version: 12, StoreSilence: time.Minute}, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(Settings{Name: "a", ConfigurationDeadline: testDeadline}, Dependencies{}, slog.New(slog.DiscardHandler))
			now := time.Unix(1_000_000, 0)
			defer timekeeper.Replace(func() time.Time { return now })()
			c.setConfiguration(12, 9*time.Second)
			c.noteLeadersConfiguration(tc.answer, now)
			if age := c.timeSinceConfigurationCheck(); age != tc.age {
				t.Errorf("the configuration is %s old, want %s", age, tc.age)
			}
		})
	}
}

// Versions come at random, some in storms, over links of several rates, while the store refuses calls, drops its history and
// answers again. Guards against a host that takes its configuration for one in time although a newer one was confirmed longer ago
// than the deadline, and against one that does not find out that nothing has changed.
func TestConfigurationInTimeIsTrue(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			defer timekeeper.Replace(time.Now)()
			rnd := rand.New(rand.NewPCG(seed, 1))
			store := newConfigurationStore([]int{slowLinkRate, slowLinkRate / 4, 100 * slowLinkRate}[seed%3])
			store.put(1, largeConfigurationBytes)
			c := startSyncWithin(t, store, testDeadline)
			timeUntilVersion(c, 1, time.Minute)
			var mu sync.Mutex
			confirmed := map[uint64]time.Time{1: time.Now()} // by version
			newest := uint64(1)
			var changes sync.WaitGroup
			changes.Go(func() {
				for range 40 {
					time.Sleep(time.Duration(rnd.IntN([]int{300, 4000}[rnd.IntN(2)])) * time.Millisecond)
					switch rnd.IntN(6) {
					case 0:
						store.refuse(true)
						time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
						store.refuse(false)
					case 1:
						store.compact()
					default:
						mu.Lock()
						newest++
						store.put(newest, rnd.IntN(largeConfigurationBytes))
						confirmed[newest] = time.Now()
						mu.Unlock()
					}
				}
			})
			for range 8_000 {
				time.Sleep(10 * time.Millisecond)
				inTime, version := c.configurationInTime(), c.configVersion()
				mu.Lock()
				next, replaced := confirmed[version+1]
				if late := time.Since(next); inTime && replaced && late > testDeadline {
					t.Errorf("seed %d: version %d is in time %s after the confirmation of the next one", seed, version, late)
				}
				mu.Unlock()
			}
			changes.Wait()
			time.Sleep(20 * time.Second) // the longest transfer, and a watch
			for range 1000 {
				time.Sleep(10 * time.Millisecond)
				if c.configVersion() != newest {
					t.Fatalf("seed %d: version %d is in effect, %d is the newest", seed, c.configVersion(), newest)
				}
				// On the slowest link a read that time alone has caused lasts longer than the deadline. Then only the leader's
				// pings, of which there are none here, show that nothing has changed.
				if call := c.configCall.Load(); !c.configurationInTime() && (call.call != callRead || time.Since(call.sent) < testDeadline) {
					t.Fatalf("seed %d: version %d is %s old; %s sent %s ago", seed, newest, c.timeSinceConfigurationCheck(), call.call, time.Since(call.sent))
				}
			}
		})
	}
}

// A large configuration arrives 0.2 s after it was confirmed. Guards against a host that can't decide by itself afterwards, because
// the watch that has reported the change began up to a second before it, and the next one ends a second later.
func TestChangeKeepsConfigurationInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer timekeeper.Replace(time.Now)()
		store := newConfigurationStore(4 * slowLinkRate)
		store.put(1, largeConfigurationBytes)
		c := startSyncWithin(t, store, testDeadline)
		timeUntilVersion(c, 1, time.Minute)
		for version := uint64(2); version < 40; version++ {
			store.put(version, largeConfigurationBytes)
			for range 97 + version { // so that changes come at each time of a watch
				time.Sleep(10 * time.Millisecond)
				if !c.configurationInTime() {
					t.Fatalf("version %d: the configuration is %s old", version, c.timeSinceConfigurationCheck())
				}
			}
		}
	})
}
