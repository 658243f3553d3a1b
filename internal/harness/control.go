package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"peridotpitch/internal/emulator"
	"peridotpitch/internal/relayer"
	"peridotpitch/internal/storer"
)

var httpClient = &http.Client{Timeout: 10 * time.Second}

// Post sends in as JSON to a control path of an emulator and decodes the answer into out,
// unless out is nil.
func Post(t testing.TB, address netip.AddrPort, path string, in, out any) {
	t.Helper()
	b, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	callControl(t, http.MethodPost, address, path, bytes.NewReader(b), out)
}

// Get calls a control path of an emulator and decodes the answer into out.
func Get(t testing.TB, address netip.AddrPort, path string, out any) {
	t.Helper()
	callControl(t, http.MethodGet, address, path, nil, out)
}

func callControl(t testing.TB, method string, address netip.AddrPort, path string, body io.Reader, out any) {
	t.Helper()
	q, err := http.NewRequest(method, "http://"+address.String()+path, body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := httpClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %s%s: status %d", method, address, path, resp.StatusCode)
	}
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			t.Fatalf("%s %s%s: %v", method, address, path, err)
		}
	}
}

// SetFaults replaces the injected faults of an emulator.
func SetFaults(t testing.TB, address netip.AddrPort, f emulator.Faults) {
	t.Helper()
	Post(t, address, "/faults", f, nil)
}

// SetCut sets the directions in which a relay drops data, at its control address.
func SetCut(t testing.TB, control netip.AddrPort, c relayer.Cut) {
	t.Helper()
	Post(t, control, "/", c, nil)
}

// SetHosts sets the actual hosts of an emulated platform.
func SetHosts(t testing.TB, platform netip.AddrPort, hosts []storer.Host) {
	t.Helper()
	Post(t, platform, "/hosts/set", struct{ Hosts []storer.Host }{hosts}, nil)
}

// Runs returns the executions of tasks on the emulated worker at an address.
func Runs(t testing.TB, worker netip.AddrPort) []emulator.Run {
	t.Helper()
	var rs []emulator.Run
	Get(t, worker, "/runs", &rs)
	return rs
}

// Violations returns the violations of guarantees that the emulated workers at these
// addresses recorded, and how often each request ran, by the token that its caller gave it.
func Violations(t testing.TB, workers []netip.AddrPort) ([]string, map[string]int) {
	t.Helper()
	var out []string
	var runs []emulator.Run
	tokens := make(map[string]int)
	for _, a := range workers {
		var ran map[string]int
		var c emulator.MachineCounts
		Get(t, a, "/executions", &ran)
		Get(t, a, "/counts", &c)
		runs = append(runs, Runs(t, a)...)
		for k, n := range ran {
			tokens[k] += n
		}
		if c.Overcommits+c.DoubleStarts+c.EpochConflicts > 0 {
			out = append(out, fmt.Sprintf("worker %s: overcommits %d, double starts %d, epoch conflicts %d", a, c.Overcommits, c.DoubleStarts, c.EpochConflicts))
		}
	}
	return append(out, emulator.Violations(runs, time.Now())...), tokens
}
