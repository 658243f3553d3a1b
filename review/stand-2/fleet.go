//go:build review

package main

import (
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
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "huvo11a"
	requestHost = "nony24.example"
	prefix      = "/lohu930/"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	begin  time.Time
	counts map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begin: time.Now(), counts: make(map[string]int)}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *record) counted(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[what]
}

// step is a step of a job, as requesters send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMb         int    `json:"memMb"`
	EstimateMs    int    `json:"estimateMs"`
	After         []int  `json:"after,omitempty"`
	Checkpoints   bool   `json:"checkpoints,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	MaxPerServer  int    `json:"maxPerServer,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
}

// job is a job, with what its tasks do.
type job struct {
	id     string
	steps  []step
	length time.Duration // of each task; 0: until it is stopped
	short  time.Duration // of each task whose index is a multiple of shortEach; 0: as the others
	saves  int           // bytes of the saved values
	fails  bool          // its tasks end failed, so that it can never be done

	accepted time.Time // zero: not accepted
	running  int       // tasks at work
	lastRun  time.Time // when a task last was at work
	left     int       // tasks that have not ended done
	starts   int
	done     map[string]bool
	unacked  int // ends that were listed and not taken note of
}

// shortEach is the number of tasks of a step of which one is short, if any is.
const shortEach = 40

type behavior struct {
	size   resources
	length time.Duration
	saves  int
	fails  bool
}

// fleet is the platform, the requesters and the entry hosts of a case.
type fleet struct {
	record  *record
	store   *store
	policy  *policy // nil: the queue has no advice
	minions []*minion
	hosts   []*host
	dir     string
	special int // the first minions are of kind b, and the others of kind a

	mu       sync.Mutex // guards the fields below and those of the jobs; taken after minion.mu
	jobs     map[string]*job
	lists    int // ends that minions have listed
	acks     int // ends that were taken note of
	finished int // tasks that have ended done
}

func (f *fleet) jobOf(task string) (*job, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, 0
	}
	n, err := strconv.Atoi(parts[2])
	j := f.jobs[parts[0]]
	if err != nil || j == nil || n < 0 || n >= len(j.steps) {
		return nil, 0
	}
	return j, n
}

func (f *fleet) behavior(task, _ string) (behavior, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j, n := f.jobOf(task)
	if j == nil {
		return behavior{}, false
	}
	b := behavior{resources{j.steps[n].CPU, j.steps[n].MemMb}, j.length, j.saves, j.fails}
	if index, err := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:]); err == nil && j.short > 0 && index%shortEach == 0 {
		b.length = j.short
	}
	return b, true
}

func (f *fleet) started(m *minion, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j, _ := f.jobOf(r.task)
	j.running++
	j.starts++
	f.record.line("start %s run %d on %s", r.task, r.number, m.id)
}

func (f *fleet) ended(m *minion, r *run, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j, _ := f.jobOf(r.task)
	j.running--
	j.lastRun = time.Now()
	if how == "done" && !j.done[r.task] {
		j.done[r.task] = true
		j.left--
		f.finished++
	}
	f.record.line("end %s run %d on %s: %s", r.task, r.number, m.id, how)
}

func (f *fleet) listed(e ended) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if j, _ := f.jobOf(e.task); j != nil {
		j.unacked++
	}
}

func (f *fleet) acked(e ended) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acks++
	if j, _ := f.jobOf(e.task); j != nil {
		j.unacked--
	}
}

// used returns the millicores that run on all minions, and the capacity.
func (f *fleet) used() (used, capacity int) {
	for _, m := range f.minions {
		m.mu.Lock()
		for _, r := range m.runs {
			used += r.size.cpu
		}
		capacity += m.room.cpu
		m.mu.Unlock()
	}
	return used, capacity
}

// host is an entry host.
type host struct {
	name, zone                 string
	front, ready, message, met string
	settings                   string
	log                        *os.File
	command                    *exec.Cmd
}

// freeAddresses returns free addresses of one IP address of the loopback range.
func freeAddresses(n int) ([]string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // after the last one has been found, so that they differ
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// newHost writes the settings of an entry host, as the platform renders them from deploy/entry.ini, and starts it.
func (f *fleet) newHost(n int, zone string) (*host, error) {
	a, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, settings: filepath.Join(f.dir, fmt.Sprintf("settings-%d.ini", n)),
		front: a[0], ready: a[1], message: a[2], met: a[3]}
	advice := ""
	if f.policy != nil {
		address, err := f.policy.listen()
		if err != nil {
			return nil, err
		}
		advice = "AdviceAddress = " + address + "\n"
	}
	text := fmt.Sprintf("[EntryHost]\nName = %s\nFailureDomain = %s\nCallerAddress = %s\nReadyAddress = %s\nMessageAddress = %s\nMetricsAddress = %s\n\n[Peers]\nStoreAddress = %s\n%s\n[Workers]\nMaxLease = 10000ms\nFarFactor = 3\n\n[Configuration]\nDeadline = 2000ms\n\n[Limits]\nMemory = 284MB\nProcessorShare = 0.16\nDrainTimeout = 6s\n",
		h.name, zone, h.front, h.ready, h.message, h.met, f.store.address, advice)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(f.dir, h.name+".log")); err != nil {
		return nil, err
	}
	f.hosts = append(f.hosts, h)
	return h, h.start()
}

// start starts the process of the host with the command of deploy/system.toml.
func (h *host) start() error {
	h.command = exec.Command("target/peridotpitch", "entry")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTPITCH_NODE_FILE=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.command.Start()
}

// end ends the process of the host.
func (h *host) end() {
	_ = h.command.Process.Kill()
	_ = h.command.Wait()
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.end()
	}
	_ = os.RemoveAll(f.dir)
}

// isReady reports whether a host is ready for requests.
func (h *host) isReady() bool {
	r, err := probes.Get("http://" + h.ready + "/peridotpitch/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready.
func (f *fleet) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range f.hosts {
			all = all && h.isReady()
		}
		if all {
			return true
		}
	}
	for _, h := range f.hosts {
		if !h.isReady() {
			text, _ := os.ReadFile(h.log.Name())
			f.record.line("%s is not ready; its log: %.2000s", h.name, text)
		}
	}
	return false
}

var (
	probes  = &http.Client{Timeout: time.Second}
	callers = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
)

// call sends a request of a requester to a host. The status is 0 without an answer.
func (f *fleet) call(h *host, method, id string, body any) (int, string) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, ""
	}
	r, err := http.NewRequest(method, "http://"+h.front+prefix+id, strings.NewReader(string(b)))
	if err != nil {
		return 0, ""
	}
	r.Host = requestHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Timeout-Ms", "3000")
	a, err := callers.Do(r)
	if err != nil {
		f.record.line("%s %s to %s: no answer", method, id, h.name)
		return 0, ""
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, ""
	}
	f.record.line("%s %s to %s: %d %s", method, id, h.name, a.StatusCode, strings.TrimSpace(string(text)))
	return a.StatusCode, string(text)
}

func newJob(length time.Duration, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), steps: steps, length: length, done: make(map[string]bool)}
	for _, s := range steps {
		j.left += s.Count
	}
	return j
}

// submit hands in a job, at most 5 times, at different hosts.
func (f *fleet) submit(j *job) bool {
	f.mu.Lock()
	f.jobs[j.id] = j
	f.mu.Unlock()
	body := map[string]any{"spec": "task " + j.id, "steps": j.steps}
	first := rand.IntN(len(f.hosts))
	for n := range 5 {
		status, _ := f.call(f.hosts[(first+n)%len(f.hosts)], http.MethodPost, j.id, body)
		if status/100 == 2 {
			f.mu.Lock()
			j.accepted = time.Now()
			f.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks a host for the state of a job.
func (f *fleet) state(j *job) string {
	status, text := f.call(f.hosts[rand.IntN(len(f.hosts))], http.MethodGet, j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return "status " + strconv.Itoa(status)
	}
	return body.State
}

// configure writes the configuration. advice is the queue's advice in JSON, empty for none.
func (f *fleet) configure(version int, advice string) {
	if advice != "" {
		advice = `,"advice":` + advice
	}
	f.store.put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-3hwrr6x","host":%q,"prefix":%q,"type":"non_idempotent","timeoutMs":3000,"targetDurationMs":250,"priority":0,"service":%q,"attempts":4,"stretch":1.5%s}],"services":[{"name":%q,"healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, requestHost, prefix, serviceName, advice, serviceName))
}
