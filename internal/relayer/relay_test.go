package relayer

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEchoServer starts a server that sends back the bytes it receives, and returns its
// address.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against partition tests without a partition: a cut must hold back all bytes of
// its direction, and the bytes must arrive after the cut ends.
func TestCutHoldsBackBytes(t *testing.T) {
	for name, c := range map[string]Cut{"forward": {Forward: true}, "backward": {Backward: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, address, stop, err := New(netip.AddrPort{}, startEchoServer(t))
			is.NoErr(err)
			defer stop()
			conn, err := net.Dial("tcp", address.String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			b := make([]byte, 4)
			_, err = conn.Write([]byte("ping"))
			is.NoErr(err)
			_, err = io.ReadFull(conn, b)
			is.NoErr(err)
			r.SetCut(c)
			_, err = conn.Write([]byte("pong"))
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
			_, err = conn.Read(b)
			var timeout net.Error
			is.True(err != nil)
			is.True(errors.As(err, &timeout) && timeout.Timeout())
			r.SetCut(Cut{})
			is.NoErr(conn.SetReadDeadline(time.Time{}))
			_, err = io.ReadFull(conn, b)
			is.NoErr(err)
			is.Equal(string(b), "pong")
		})
	}
}

// Guards against a relay that opens access to other hosts: only loopback addresses are
// accepted.
func TestRefusesAddressesOfOtherHosts(t *testing.T) {
	is := is.New(t)
	_, _, _, err := New(netip.AddrPort{}, netip.MustParseAddrPort("10.0.0.1:80"))
	is.True(err != nil)
}
