package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/dispatcher"
	"peridotpitch/internal/forwarder"
	"peridotpitch/internal/limiter"
	"peridotpitch/internal/messenger"
	"peridotpitch/internal/receiver"
	"peridotpitch/internal/router"
)

// Guards against a break between the parts: requests pass from a caller's connection
// through all of them to backend servers, and each caller gets its own response.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	var endpoints []messenger.Endpoint
	for i := range 3 {
		b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			ran.Add(1)
			body, _ := io.ReadAll(q.Body)
			w.Header().Set("Peridot-Request", q.Header.Get("Peridot-Request"))
			w.Header().Set("Peridot-Attempt", q.Header.Get("Peridot-Attempt"))
			_, _ = fmt.Fprintf(w, "%s %s", q.URL.Path, body)
		}))
		t.Cleanup(b.Close)
		endpoints = append(endpoints, messenger.Endpoint{
			Instance: fmt.Sprint("quotes-", i), Service: "quotes", Slots: 8, Connections: 64,
			Address: strings.TrimPrefix(b.URL, "http://"),
		})
	}
	sender, closeSender := forwarder.New()
	t.Cleanup(closeSender)
	d, stop := dispatcher.New(dispatcher.Settings{
		Router:  router.New(router.Settings{Policy: configurator.RoutingAdaptive}, rand.New(rand.NewPCG(1, 1))),
		Limiter: limiter.New(limiter.Settings{Limits: configurator.LimitFair, Retries: configurator.RetryBudget}),
		Sender:  sender,
	})
	t.Cleanup(stop)
	d.Update(endpoints, router.Membership{Hosts: 1, Settled: true})
	r, err := receiver.New(receiver.Settings{Handler: d})
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- r.Serve(l) }()

	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			body := fmt.Sprint("coil ", i)
			resp, err := http.Post(fmt.Sprintf("http://%v/services/quotes/order/%d", l.Addr(), i), "text/plain", strings.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			got, _ := io.ReadAll(resp.Body)
			if want := fmt.Sprintf("/order/%d %s", i, body); string(got) != want || resp.Header.Get("Peridot-Outcome") != "answered" {
				t.Errorf("got %d %q (%s), want %q", resp.StatusCode, got, resp.Header.Get("Peridot-Reason"), want)
			}
		})
	}
	group.Wait()
	is.Equal(ran.Load(), int64(60))
	http.DefaultClient.CloseIdleConnections()
	is.NoErr(r.Shutdown(context.Background()))
	is.NoErr(<-served)
}
