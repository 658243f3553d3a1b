//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// host is an entry host: one process of the deploy file.
type host struct {
	name, zone, ip                      string
	caller, ready, message, metricsAddr string
	settings, log                       string
	command                             *exec.Cmd
	ended                               chan struct{}
}

// fleet is a small deployment: the entry hosts, a store and the minions.
type fleet struct {
	dir     string
	store   *store
	ledger  *ledger
	hosts   []*host
	workers []*worker
	client  *http.Client
}

// Names of the stand-in's service, queues and zones.
const (
	serviceName = "workshop-ledger"
	callerHost  = "nony24.example"
)

var zones = []string{"sampaloc", "malolos", "san-pablo"}

// route is a queue of the configuration.
type route struct {
	name, prefix      string
	priority, attempt int
	stretch           float64
	target            int // ms
}

// configuration returns the operator's configuration.
func configuration(version int, guards bool, routes ...route) []byte {
	var rs []string
	for _, r := range routes {
		rs = append(rs, fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"type":"non_idempotent","timeoutMs":3000,"targetDurationMs":%d,"priority":%d,"service":%q,"attempts":%d,"stretch":%g}`,
			r.name, callerHost, r.prefix, r.target, r.priority, serviceName, r.attempt, r.stretch))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":%t,"standby":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, strings.Join(rs, ","), serviceName, guards)
}

// Ports of the hosts are below the range from which the kernel takes ports of outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freeAddress returns an unused address on an IP.
func freeAddress(ip string) (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))); err != nil {
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", err
}

func newFleet(config []byte) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.put("op/config", config)
	return &fleet{dir: dir, store: s, ledger: newLedger(), client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}, nil
}

// hostTries is how often a host is started at most, each time at other addresses: one of them may be taken between its
// choice and its use.
const hostTries = 5

// startHosts starts so many entry hosts, spread over the zones, and waits until all are ready.
func (f *fleet) startHosts(n int) error {
	for i := range n {
		h := &host{zone: zones[i%len(zones)], ip: "127.0.0.1"}
		h.name = fmt.Sprintf("front-%s-%d", h.zone, 1+i/len(zones))
		h.settings, h.log = filepath.Join(f.dir, h.name+".ini"), filepath.Join(f.dir, h.name+".log")
		f.hosts = append(f.hosts, h)
		if err := f.startAnew(h); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := f.awaitReady(h); err != nil {
			return err
		}
	}
	return nil
}

// startAnew gives a host new addresses and starts it.
func (f *fleet) startAnew(h *host) error {
	for _, a := range []*string{&h.caller, &h.ready, &h.message, &h.metricsAddr} {
		var err error
		if *a, err = freeAddress(h.ip); err != nil {
			return err
		}
	}
	// deploy/entry.ini with the settings of a front machine of dbrw-sched.
	text := fmt.Sprintf("[EntryHost]\nName = %s\nFailureDomain = %s\nCallerAddress = %s\nReadyAddress = %s\nMessageAddress = %s\nMetricsAddress = %s\n\n"+
		"[Peers]\nStoreAddress = %s\n\n[Workers]\nMaxLease = 10000ms\nFarFactor = 3\n\n[FailureDomains]\n\n[Limits]\nMemory = 284MB\nProcessorShare = 0.16\nDrainTimeout = 6s\n",
		h.name, h.zone, h.caller, h.ready, h.message, h.metricsAddr, f.store.address)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return h.start()
}

// awaitReady waits until a host is ready. A host whose process ends before is started at other addresses.
func (f *fleet) awaitReady(h *host) error {
	tries := 1
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-h.ended:
			if tries == hostTries {
				return fmt.Errorf("%s has ended %d times", h.name, tries)
			}
			tries++
			if err := f.startAnew(h); err != nil {
				return err
			}
			continue
		default:
		}
		r, err := f.client.Get("http://" + h.ready + "/peridotpitch/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	b, _ := os.ReadFile(h.log)
	return fmt.Errorf("%s is not ready: %s", h.name, b[max(0, len(b)-400):])
}

// start starts the host's process with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.command = exec.Command("target/peridotpitch", "entry")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "PERIDOTPITCH_NODE_FILE=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	c, ended := h.command, make(chan struct{})
	h.ended = ended
	go func() { _ = c.Wait(); close(ended) }()
	return nil
}

// kill ends the host's process at once.
func (h *host) kill() {
	if h.command == nil || h.command.Process == nil {
		return // it has not started
	}
	_ = h.command.Process.Kill()
	<-h.ended
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
	}
	_ = os.RemoveAll(f.dir)
}

// leader returns the entry host that leads, nil if none does.
func (f *fleet) leader() *host {
	for _, h := range f.hosts {
		if f.metric(h, "peridotpitch_leading") == "1" {
			return h
		}
	}
	return nil
}

// metric returns the value of a metric without labels whose name ends with a suffix of name.
func (f *fleet) metric(h *host, name string) string {
	r, err := f.client.Get("http://" + h.metricsAddr + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = r.Body.Close() }()
	b, _ := io.ReadAll(r.Body)
	for line := range strings.SplitSeq(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return v
		}
	}
	return ""
}

// call makes a request of a requester at a host and notes it. The status is 0 without an answer.
func (f *fleet) call(h *host, method, prefix, id string, body any) (int, string) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	r, err := http.NewRequest(method, "http://"+h.caller+prefix+id, bytes.NewReader(b))
	if err != nil {
		return 0, ""
	}
	r.Host = callerHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Timeout-Ms", "3000")
	a, err := f.client.Do(r)
	if err != nil {
		f.ledger.note("%s %s at %s: no answer: %v", method, id, h.name, err)
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	f.ledger.note("%s %s%s at %s: %d %s", method, prefix, id, h.name, a.StatusCode, text)
	return a.StatusCode, string(text)
}
