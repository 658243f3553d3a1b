package relayer

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Cut says which directions of a relay are cut.
type Cut struct {
	Forward  bool // from the client to the target
	Backward bool // from the target to the client
}

const (
	dialTimeout = time.Second
	bufferSize  = 32 << 10 // bytes
)

// Relay forwards connections to one target.
type Relay struct {
	target   netip.AddrPort
	listener net.Listener
	group    errgroup.Group

	mu      sync.Mutex // guards the fields below
	cut     Cut
	changed chan struct{} // closed and replaced when cut changes and when the relay stops
	stopped bool
	conns   map[net.Conn]bool
	bytes   int64 // forwarded in both directions
}

// New starts a relay that listens on listen and forwards to target. With the zero address
// it listens on any loopback port. It returns the relay, its address and a function that
// stops it.
func New(listen, target netip.AddrPort) (*Relay, netip.AddrPort, func(), error) {
	if !listen.IsValid() {
		listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if !listen.Addr().IsLoopback() || !target.Addr().IsLoopback() {
		return nil, netip.AddrPort{}, nil, fmt.Errorf("relay from %s to %s: both must be loopback addresses", listen, target)
	}
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, netip.AddrPort{}, nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	r.group.Go(r.accept)
	return r, l.Addr().(*net.TCPAddr).AddrPort(), r.stop, nil
}

// SetCut replaces the cut. Bytes that were held back are forwarded as soon as their
// direction is open.
func (r *Relay) SetCut(c Cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = c
	r.wakeWaitersLocked()
}

// wakeWaitersLocked wakes all goroutines in waitUntilOpen. r.mu must be held.
func (r *Relay) wakeWaitersLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Bytes returns the number of bytes forwarded in both directions.
func (r *Relay) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

func (r *Relay) stop() {
	r.mu.Lock()
	r.stopped = true
	r.wakeWaitersLocked()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	_ = r.listener.Close()
	_ = r.group.Wait() // its functions return no error
}

func (r *Relay) accept() error {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return nil
		}
		r.group.Go(func() error {
			r.forward(in)
			return nil
		})
	}
}

// forward connects an accepted connection to the target and copies both directions.
func (r *Relay) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	if !r.add(in) {
		return
	}
	defer r.remove(in)
	// A connection accepted during a forward cut stays open, but the target is not dialed:
	// the cut loses the first packets of the connection.
	if !r.waitUntilOpen(func(c Cut) bool { return c.Forward }) {
		return
	}
	out, err := net.DialTimeout("tcp", r.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	if !r.add(out) {
		return
	}
	defer r.remove(out)
	var g errgroup.Group
	g.Go(func() error { r.copy(out, in, func(c Cut) bool { return c.Forward }); return nil })
	g.Go(func() error { r.copy(in, out, func(c Cut) bool { return c.Backward }); return nil })
	_ = g.Wait()
}

// add registers a connection for stop. It returns false if the relay has stopped.
func (r *Relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	return !r.stopped
}

func (r *Relay) remove(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// waitUntilOpen waits until isCut returns false for the current cut. It returns false if
// the relay stops before that.
func (r *Relay) waitUntilOpen(isCut func(Cut) bool) bool {
	for {
		r.mu.Lock()
		cut, stopped, changed := isCut(r.cut), r.stopped, r.changed
		r.mu.Unlock()
		if stopped {
			return false
		}
		if !cut {
			return true
		}
		<-changed
	}
}

// copy forwards the bytes of one direction. At the end of the stream it closes the write
// side of the other connection, and after an error the whole connection.
func (r *Relay) copy(to, from net.Conn, isCut func(Cut) bool) {
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		if !r.waitUntilOpen(isCut) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				_ = from.Close()
				return
			}
			r.mu.Lock()
			r.bytes += int64(n)
			r.mu.Unlock()
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// ServeHTTP sets the cut from the JSON body of a POST request. It answers every request
// with the current cut.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodPost {
		var c Cut
		if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
			http.Error(w, fmt.Sprintf("cut cannot be decoded: %v", err), http.StatusBadRequest)
			return
		}
		r.SetCut(c)
	}
	r.mu.Lock()
	c := r.cut
	r.mu.Unlock()
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return // the client has disconnected
	}
}
