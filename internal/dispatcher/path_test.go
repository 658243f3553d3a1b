package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// startPath starts a receiver, a dispatcher, a forwarder and backend servers, and returns
// the URL of the service at the receiver.
func startPath(t *testing.T, instances int, retries configurator.RetryPolicy, backend http.HandlerFunc) string {
	t.Helper()
	var endpoints []messenger.Endpoint
	for i := range instances {
		b := httptest.NewServer(backend)
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
		Limiter: limiter.New(limiter.Settings{Limits: configurator.LimitFair, Retries: retries}),
		Sender:  sender,
	})
	t.Cleanup(stop)
	d.Update(endpoints, router.Membership{Hosts: 1, Settled: true})
	r, err := receiver.New(receiver.Settings{Handler: d})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- r.Serve(l) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if err := errors.Join(r.Shutdown(context.Background()), <-served); err != nil {
			t.Error(err)
		}
	})
	return "http://" + l.Addr().String() + "/services/quotes"
}

// answer holds the parts of a response that the tests compare.
type answer struct{ outcome, reason, body string }

func post(t *testing.T, url, body string, repeatable bool, timeout string) answer {
	q, err := http.NewRequest("POST", url, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return answer{}
	}
	q.Header.Set("Peridot-Repeatable", strconv.FormatBool(repeatable))
	q.Header.Set("Peridot-Timeout", timeout)
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Error(err)
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return answer{resp.Header.Get("Peridot-Outcome"), resp.Header.Get("Peridot-Reason"), string(got)}
}

// echo answers like a backend server, with the request's path and body.
func echo(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	w.Header().Set("Peridot-Request", q.Header.Get("Peridot-Request"))
	w.Header().Set("Peridot-Attempt", q.Header.Get("Peridot-Attempt"))
	_, _ = fmt.Fprintf(w, "%s %s", q.URL.Path, body)
}

// Guards against faults in the interaction of receiver, dispatcher and forwarder: requests
// over real connections reach the backend servers, and each caller gets the response to
// its own request.
func TestRequestPath(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	url := startPath(t, 3, configurator.RetryBudget, func(w http.ResponseWriter, q *http.Request) {
		ran.Add(1)
		echo(w, q)
	})
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			order := fmt.Sprint("/order/", i)
			if got := post(t, url+order, "coil", false, "20s"); got != (answer{"answered", "", order + " coil"}) {
				t.Errorf("%s: %+v", order, got)
			}
		})
	}
	group.Wait()
	is.Equal(ran.Load(), int64(60))
}

// Guards against violations of guarantees 4 to 6 (see TestOutcomesUnderFaults) over real
// connections, with backend servers that close the connection, answer late, answer another
// request, truncate the response or reject the request.
func TestRequestPathWithFaults(t *testing.T) {
	var mutex sync.Mutex
	ran := make(map[string]int)
	url := startPath(t, 16, configurator.RetryImmediate3, func(w http.ResponseWriter, q *http.Request) {
		kind, _ := strconv.Atoi(q.URL.Path[len(q.URL.Path)-1:])
		attempt, _ := strconv.Atoi(q.Header.Get("Peridot-Attempt"))
		reject := kind == 4 && attempt == 1
		if !reject {
			mutex.Lock()
			ran[q.URL.Path]++
			mutex.Unlock()
		}
		switch {
		case reject:
			w.Header().Set("Peridot-Not-Run", "true")
			w.Header().Set("Peridot-Request", q.Header.Get("Peridot-Request"))
			w.Header().Set("Peridot-Attempt", q.Header.Get("Peridot-Attempt"))
			w.WriteHeader(http.StatusServiceUnavailable)
		case kind == 0 && attempt == 1: // runs and closes the connection
			panic(http.ErrAbortHandler)
		case kind == 1: // the answer to another request
			q.Header.Set("Peridot-Request", "other")
			q.URL.Path = "/order/other"
			echo(w, q)
		case kind == 2: // truncated body
			w.Header().Set("Content-Length", "1000")
			echo(w, q)
			panic(http.ErrAbortHandler)
		case kind == 3: // late: after the forwarder has closed the connection
			_, _ = io.Copy(io.Discard, q.Body)
			<-q.Context().Done()
			echo(w, q)
		default:
			echo(w, q)
		}
	})
	counts := make(map[string]int)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			order, repeatable, timeout := fmt.Sprint("/order/", i), i%20 >= 10, "1s"
			if i%10 == 3 {
				timeout = "50ms"
			}
			got := post(t, url+order, "coil", repeatable, timeout)
			mutex.Lock()
			defer mutex.Unlock()
			counts[got.outcome]++
			switch {
			case got.outcome == "answered" && got.body != order+" coil":
				t.Errorf("%s got the response to another request: %q", order, got.body)
			case got.outcome == "not-run" && ran[order] > 0:
				t.Errorf("%s ran %d times, but its outcome is not-run", order, ran[order])
			case !repeatable && ran[order] > 1:
				t.Errorf("%s is not repeatable, but ran %d times", order, ran[order])
			}
		})
	}
	group.Wait()
	for _, outcome := range []string{"answered", "not-run", "unknown"} {
		if counts[outcome] == 0 {
			t.Errorf("no request ended as %s: %v", outcome, counts)
		}
	}
}
