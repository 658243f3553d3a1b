package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/storer"
)

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	StoreOptions
	Address netip.AddrPort // zero: any loopback port
	Faults  Faults
	Seed    uint64 // of the random source of the faults
}

// Platform serves a Store over HTTP (docs/protocols.md). In addition to the protocol it
// serves GET /counts, POST /hosts/set, and GET and POST /faults.
type Platform struct {
	*Store
	server *server
}

// NewPlatform starts an emulated platform and returns it, its address and a function that
// stops it.
func NewPlatform(o PlatformOptions) (*Platform, netip.AddrPort, func(), error) {
	l, address, err := listen(o.Address)
	if err != nil {
		return nil, netip.AddrPort{}, nil, err
	}
	p := &Platform{Store: NewStore(o.StoreOptions)}
	p.server = newServer(address, newFaultInjector(o.Faults, o.Seed), p.control, p.handle)
	p.server.start(l)
	return p, address, p.server.stop, nil
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) { p.server.faults.set(f) }

func (p *Platform) control(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/counts":
		writeJSON(ctx, p.Counts())
	case "/hosts/set":
		var in struct{ Hosts []storer.Host }
		if decodeBody(ctx, &in) {
			p.SetHosts(in.Hosts)
			writeJSON(ctx, struct{}{})
		}
	default:
		return false
	}
	return true
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/kv/get":
		p.get(ctx)
	case "/kv/list":
		p.list(ctx)
	case "/kv/cas":
		p.cas(ctx)
	case "/kv/delete":
		p.remove(ctx)
	case "/kv/watch":
		p.watch(ctx)
	case "/lease/grant":
		p.leaseGrant(ctx)
	case "/lease/keep":
		p.leaseKeep(ctx)
	case "/hosts/list":
		out, err := p.Hosts(ctx)
		writeAnswer(ctx, out, err)
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

func (p *Platform) get(ctx *fasthttp.RequestCtx) {
	var in struct{ Key string }
	if !decodeBody(ctx, &in) {
		return
	}
	e, err := p.Get(ctx, in.Key)
	out := struct {
		Found         bool
		Value         []byte
		Revision      uint64
		StoreRevision uint64
	}{e.Revision > 0, e.Value, e.Revision, p.currentRevision()}
	writeAnswer(ctx, out, err)
}

func (p *Platform) list(ctx *fasthttp.RequestCtx) {
	var in struct{ Prefix string }
	if !decodeBody(ctx, &in) {
		return
	}
	es, r, err := p.List(ctx, in.Prefix)
	out := struct {
		Entries       []storer.Entry
		StoreRevision uint64
	}{es, r}
	writeAnswer(ctx, out, err)
}

func (p *Platform) cas(ctx *fasthttp.RequestCtx) {
	var in struct {
		Key            string
		ExpectRevision uint64
		Value          []byte
		Lease          string
	}
	if !decodeBody(ctx, &in) {
		return
	}
	swapped, r, err := p.compareAndSwap(in.Key, in.ExpectRevision, in.Value, in.Lease)
	out := struct {
		Swapped  bool
		Revision uint64
	}{swapped, r}
	writeAnswer(ctx, out, err)
}

func (p *Platform) remove(ctx *fasthttp.RequestCtx) {
	var in struct {
		Key            string
		ExpectRevision uint64
	}
	if !decodeBody(ctx, &in) {
		return
	}
	swapped, err := p.Delete(ctx, in.Key, in.ExpectRevision)
	writeAnswer(ctx, struct{ Swapped bool }{swapped}, err)
}

func (p *Platform) watch(ctx *fasthttp.RequestCtx) {
	var in struct {
		Prefix        string
		AfterRevision uint64
		Wait          time.Duration
	}
	if !decodeBody(ctx, &in) {
		return
	}
	watchCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	returned := make(chan struct{})
	defer close(returned)
	go func() {
		poll := time.NewTicker(disconnectPollInterval)
		defer poll.Stop()
		for {
			select {
			case <-poll.C:
				if closedByPeer(ctx.Conn()) {
					cancel()
				}
				continue
			case <-p.server.stopped:
				cancel()
			case <-p.server.faults.changes():
				if f := p.server.faults.get(); f.Down || f.CutRequests {
					cancel()
				}
				continue
			case <-returned:
			}
			return
		}
	}()
	out, err := p.Watch(watchCtx, in.Prefix, in.AfterRevision, in.Wait)
	writeAnswer(ctx, out, err)
}

func (p *Platform) leaseGrant(ctx *fasthttp.RequestCtx) {
	var in struct {
		TTL time.Duration `json:"Ttl"`
	}
	if !decodeBody(ctx, &in) {
		return
	}
	name, err := p.GrantLease(in.TTL)
	writeAnswer(ctx, struct{ Lease string }{name}, err)
}

func (p *Platform) leaseKeep(ctx *fasthttp.RequestCtx) {
	var in struct{ Lease string }
	if !decodeBody(ctx, &in) {
		return
	}
	found, err := p.KeepLease(in.Lease)
	writeAnswer(ctx, struct{ Found bool }{found}, err)
}

func (s *Store) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// decodeBody decodes the JSON body into in. If it cannot, it answers with status 400 and
// returns false.
func decodeBody(ctx *fasthttp.RequestCtx, in any) bool {
	if err := json.Unmarshal(ctx.PostBody(), in); err != nil {
		ctx.Error(fmt.Sprintf("body cannot be decoded: %v", err), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// writeAnswer answers with out, or with the status code for err.
func writeAnswer(ctx *fasthttp.RequestCtx, out any, err error) {
	var limited *storer.RateLimitedError
	var large *storer.TooLargeError
	switch {
	case err == nil:
		writeJSON(ctx, out)
	case errors.As(err, &limited):
		ctx.Error(err.Error(), http.StatusTooManyRequests)
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(limited.RetryAfter.Seconds(), 'f', -1, 64))
	case errors.As(err, &large):
		ctx.Error(err.Error(), http.StatusRequestEntityTooLarge)
	default:
		ctx.Error(err.Error(), http.StatusServiceUnavailable)
	}
}
