package storer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/emulator"
	"peridotpitch/internal/storer"
)

// startPlatform starts an emulated platform and returns it and a client of its store.
func startPlatform(t *testing.T, o emulator.PlatformOptions) (*emulator.Platform, *storer.Client) {
	t.Helper()
	p, address, stop, err := emulator.NewPlatform(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c, closeIdle := storer.NewClient(address, storer.Options{Timeout: 500 * time.Millisecond})
	t.Cleanup(closeIdle)
	return p, c
}

// Guards against fields of requests or answers that are lost or misread by the client.
func TestReadsAndWrites(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	p, c := startPlatform(t, emulator.PlatformOptions{})
	p.SetHosts([]storer.Host{{Name: "e1", State: storer.HostLive}})

	e, err := c.Get(ctx, "a/1")
	is.NoErr(err)
	is.Equal(e.Revision, uint64(0)) // a missing key has revision 0
	ok, r1, err := c.CompareAndSwap(ctx, "a/1", 0, []byte("x"))
	is.NoErr(err)
	is.True(ok)
	ok, at, err := c.CompareAndSwap(ctx, "a/1", 0, []byte("y"))
	is.NoErr(err)
	is.True(!ok)
	is.Equal(at, r1) // a refused swap returns the current revision
	ok, r2, err := c.CompareAndSwap(ctx, "a/1", r1, []byte("y"))
	is.NoErr(err)
	is.True(ok)
	es, r, err := c.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(es, []storer.Entry{{Key: "a/1", Value: []byte("y"), Revision: r2}})
	ev, err := c.Watch(ctx, "a/", r1, time.Second)
	is.NoErr(err)
	is.Equal(len(ev.Events), 1)
	ok, err = c.Delete(ctx, "a/1", r2)
	is.NoErr(err)
	is.True(ok)
	ev, err = c.Watch(ctx, "a/", r, time.Second)
	is.NoErr(err)
	is.True(ev.Events[0].Deleted)
	hs, err := c.Hosts(ctx)
	is.NoErr(err)
	is.Equal(hs.Hosts[0].Name, "e1")
	is.Equal(p.Counts().Reads(), 5)
	is.Equal(p.Counts().Writes(), 4)
}

// Guards against a write that took effect and is reported as without effect, after which a
// shard's owner would write twice, and against a write that the client retries.
func TestWriteErrorTypes(t *testing.T) {
	var unknown *storer.UnknownOutcomeError
	var unavailable *storer.UnavailableError
	var limited *storer.RateLimitedError
	var large *storer.TooLargeError
	cases := []struct {
		name    string
		options emulator.PlatformOptions
		size    int
		target  any
		swapped int // number of writes that took effect
	}{
		{"refused with 503", emulator.PlatformOptions{Faults: emulator.Faults{Down: true}}, 1, &unavailable, 0},
		{"answer lost", emulator.PlatformOptions{Faults: emulator.Faults{LoseAnswers: 1}}, 1, &unknown, 1},
		{"answer cut in the middle", emulator.PlatformOptions{Faults: emulator.Faults{HalfAnswers: 1}}, 1, &unknown, 1},
		{"answer late", emulator.PlatformOptions{Faults: emulator.Faults{LateAnswers: 1, LateBy: 2 * time.Second}}, 1, &unknown, 1},
		{"no answer after the effect", emulator.PlatformOptions{Faults: emulator.Faults{CutAnswers: true}}, 1, &unknown, 1},
		{"request lost", emulator.PlatformOptions{Faults: emulator.Faults{CutRequests: true}}, 1, &unknown, 0},
		{"rate limit exceeded", emulator.PlatformOptions{StoreOptions: emulator.StoreOptions{WritesPerSecond: 1e-9}}, 1, &limited, 1},
		{"value too large", emulator.PlatformOptions{}, storer.MaxValueBytes + 1, &large, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, s := startPlatform(t, c.options)
			if c.target == any(&limited) {
				_, _, err := s.CompareAndSwap(t.Context(), "first", 0, nil) // uses up the burst of the rate limit
				is.NoErr(err)
			}
			_, _, err := s.CompareAndSwap(t.Context(), "k", 0, make([]byte, c.size))
			is.True(err != nil)
			is.True(errors.As(err, c.target)) // the error type
			is.Equal(p.Counts().Swapped, c.swapped)
		})
	}
}

// Guards against a read whose answer was lost that is reported as an unknown outcome.
func TestLostReadIsUnavailable(t *testing.T) {
	is := is.New(t)
	_, s := startPlatform(t, emulator.PlatformOptions{Faults: emulator.Faults{LoseAnswers: 1}})
	_, err := s.Get(t.Context(), "k")
	var unavailable *storer.UnavailableError
	is.True(errors.As(err, &unavailable))
}

// Guards against a write to an unreachable store that is reported as an unknown outcome
// although it was not sent.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(l.Close())
	c, closeIdle := storer.NewClient(address, storer.Options{})
	defer closeIdle()
	_, _, err = c.CompareAndSwap(t.Context(), "k", 0, nil)
	var unavailable *storer.UnavailableError
	is.True(errors.As(err, &unavailable))
}

// Guards against a canceled watch that keeps its connection open and goes on waiting at the
// store.
func TestCanceledWatchClosesItsConnection(t *testing.T) {
	is := is.New(t)
	p, c := startPlatform(t, emulator.PlatformOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := c.Watch(ctx, "a/", 0, time.Minute)
		done <- err
	}()
	for p.Counts().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.True(<-done != nil)
	for p.Counts().Waiting != 0 { // ends long before the wait of a minute
		time.Sleep(time.Millisecond)
	}
}

func ExampleClient() {
	_, address, stop, err := emulator.NewPlatform(emulator.PlatformOptions{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stop()
	c, closeIdle := storer.NewClient(address, storer.Options{})
	defer closeIdle()
	ok, _, err := c.CompareAndSwap(context.Background(), "config/current", 0, []byte("first"))
	fmt.Println(ok, err)
	// Output: true <nil>
}

func ExampleUnavailableError() {
	fmt.Println(&storer.UnavailableError{Address: netip.MustParseAddrPort("127.0.0.1:7000"), Reason: "connection refused"})
	// Output: store 127.0.0.1:7000 is unavailable: connection refused
}
