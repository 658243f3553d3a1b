package requester_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/requester"
)

// startRawServer starts a server that answers the first bytes on each connection with text
// and closes the connection.
func startRawServer(t *testing.T, text string) netip.AddrPort {
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
			b := make([]byte, 4096)
			if _, err := c.Read(b); err == nil {
				_, _ = c.Write([]byte(text))
			}
			_ = c.Close()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestMalformedAnswersAreErrors checks that an incomplete or malformed answer is an error.
func TestMalformedAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":        "",
		"no end of header": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
		"short body":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{}",
		"incomplete chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}",
		"not HTTP":         "hello\r\n\r\n",
		"too large":        "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, stop := requester.New(startRawServer(t, text), requester.Options{MaxAnswerBytes: 1000})
			defer stop()
			_, err := r.Post(t.Context(), "/x", struct{}{})
			var e *requester.Error
			is.True(errors.As(err, &e))
			is.True(e.Sent)
		})
	}
}

// TestCanceledCallIsNotSent checks that a call that is canceled before it is sent is not
// reported as sent.
func TestCanceledCallIsNotSent(t *testing.T) {
	is := is.New(t)
	r, stop := requester.New(startRawServer(t, ""), requester.Options{})
	defer stop()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := r.Post(ctx, "/x", struct{}{})
	var e *requester.Error
	is.True(errors.As(err, &e))
	is.True(!e.Sent)
	is.True(errors.Is(err, context.Canceled))
}

// Guards against a retry: by default, fasthttp retries a request if the server closes the
// connection.
func TestRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	r, stop := requester.New(l.Addr().(*net.TCPAddr).AddrPort(), requester.Options{Timeout: time.Second})
	defer stop()
	accepted := make(chan int, 10)
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- n
			_ = c.Close()
		}
	}()
	_, err = r.Post(t.Context(), "/x", struct{}{})
	is.True(err != nil)
	is.NoErr(l.Close())
	last := 0
	for n := range accepted {
		last = n
	}
	is.Equal(last, 1)
}

func ExampleError() {
	fmt.Println(&requester.Error{Address: netip.MustParseAddrPort("127.0.0.1:7000"), Path: "/kv/get", Cause: context.DeadlineExceeded})
	// Output: post to 127.0.0.1:7000/kv/get (not sent): context deadline exceeded
}
