package messenger

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against one call of another host that ends the whole process.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var log bytes.Buffer
	_, closeServer := NewMethodServer(l, map[string]Method{
		"Broken": NewMethod(func(context.Context, emptyMessage) (emptyMessage, error) { panic("out of range") }),
		"Sound":  NewMethod(func(context.Context, emptyMessage) (emptyMessage, error) { return emptyMessage{}, nil }),
	}, slog.New(slog.NewTextHandler(&log, nil)))
	c, closeClient := NewClient(netip.MustParseAddrPort(l.Addr().String()), Options{DialTimeout: time.Second})
	is.True(c.Invoke(context.Background(), 5*time.Second, "Broken", &emptyMessage{}, &emptyMessage{}) != nil)
	is.NoErr(c.Invoke(context.Background(), 5*time.Second, "Sound", &emptyMessage{}, &emptyMessage{}))
	closeClient()
	closeServer()
	is.True(strings.Contains(log.String(), "msg=PeerCallPanicked Method=Broken"))
}
