package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Limit bounds each wait for an event. It is wide, because a test must not fail for the
// machine's load: only a fault makes it pass.
const Limit = 60 * time.Second

const (
	pollEvery = 10 * time.Millisecond
	// stopWait is how long a process has to end after SIGTERM when its test is over.
	stopWait = 10 * time.Second
	// maxLines bounds the collected output of a process.
	maxLines = 200_000
)

// builtDir is set by build, for Main to remove it.
var builtDir string

// build holds the directory of the built programs; they are built at most once for each
// test binary.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "peridotpitch-harness-")
	if err != nil {
		return "", err
	}
	builtDir = dir
	arguments := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, p := range []string{"peridotpitch/cmd/standin", "peridotpitch/cmd/peridotpitch"} {
		if exec.Command("go", "list", p).Run() == nil {
			arguments = append(arguments, p)
		}
	}
	if out, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build of the programs: %w\n%s", err, out)
	}
	return dir, nil
})

// Main runs the tests of a package and removes the built programs. Packages that use
// this package call it from TestMain.
func Main(m *testing.M) {
	code := m.Run()
	if builtDir != "" {
		_ = os.RemoveAll(builtDir)
	}
	os.Exit(code)
}

// Program returns the path of a built program, "standin" or "peridotpitch".
func Program(t testing.TB, name string) string {
	t.Helper()
	dir, err := build()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, name)
	if _, err := os.Stat(path); err != nil {
		t.Fatalf("program %s was not built: %v", name, err)
	}
	return path
}

// Process is a child process of a test.
type Process struct {
	Name string
	t    testing.TB
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of Wait; valid when done is closed

	mu    sync.Mutex // guards lines
	lines []string
}

// Start starts a program. When the test ends, the process is continued, asked to stop
// with SIGTERM and after ten seconds killed; the output of a failed test is logged.
func Start(t testing.TB, name, program string, arguments ...string) *Process {
	t.Helper()
	p := &Process{Name: name, t: t, cmd: exec.Command(Program(t, program), arguments...), done: make(chan struct{})}
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	// The child must not outlive a test binary that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go p.collect(r)
	go func() {
		p.err = p.cmd.Wait()
		_ = w.Close()
		close(p.done)
	}()
	t.Cleanup(p.cleanup)
	return p
}

func (p *Process) collect(r io.Reader) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		p.mu.Lock()
		if len(p.lines) < maxLines {
			p.lines = append(p.lines, s.Text())
		}
		p.mu.Unlock()
	}
	// A line over the scanner's bound ends the scan; the rest is dropped, so that the
	// child does not block on a full pipe.
	_, _ = io.Copy(io.Discard, r)
}

func (p *Process) cleanup() {
	if p.Running() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(stopWait):
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.Name, strings.Join(p.Lines(), "\n"))
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *Process) signal(s syscall.Signal) {
	p.t.Helper()
	err := p.cmd.Process.Signal(s)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("signal %s to %s: %v", s, p.Name, err)
	}
}

// Kill sends SIGKILL and waits for the end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause sends SIGSTOP and waits until every thread of the process has stopped: the signal
// takes effect some time after it was sent, and a call in between was still answered.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
	WaitFor(p.t, p.Name+" to stop", p.stopped)
}

// Resume sends SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// stopped reports whether all threads are in the state T (proc(5)).
func (p *Process) stopped() bool {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(paths) == 0 {
		return false
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		_, state, found := strings.Cut(string(text), ") ")
		if !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Wait waits for the end of the process and returns its exit status; -1 if a signal
// ended it.
func (p *Process) Wait() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(Limit):
		p.t.Fatalf("%s did not end within %s", p.Name, Limit)
	}
	return p.cmd.ProcessState.ExitCode()
}

// Lines returns the output so far, standard output and error in the order of arrival.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// WaitLine waits for a line of output that contains text, and returns it.
func (p *Process) WaitLine(text string) string {
	p.t.Helper()
	var found string
	WaitFor(p.t, fmt.Sprintf("line of %s with %q", p.Name, text), func() bool {
		for _, l := range p.Lines() {
			if strings.Contains(l, text) {
				found = l
				return true
			}
		}
		if !p.Running() {
			p.t.Fatalf("%s ended before it printed %q: %v", p.Name, text, p.err)
		}
		return false
	})
	return found
}

// WaitAddress waits for a line that contains text and a field address=ip:port, and
// returns the address.
func (p *Process) WaitAddress(text string) netip.AddrPort {
	p.t.Helper()
	line := p.WaitLine(text)
	for _, f := range strings.Fields(line) {
		if v, ok := strings.CutPrefix(f, "address="); ok {
			a, err := netip.ParseAddrPort(v)
			if err != nil {
				p.t.Fatalf("line %q of %s: %v", line, p.Name, err)
			}
			return a
		}
	}
	p.t.Fatalf("line %q of %s has no address", line, p.Name)
	return netip.AddrPort{}
}

// WaitFor polls until ok returns true, and fails the test after Limit.
func WaitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(Limit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %s for: %s", Limit, what)
		}
		time.Sleep(pollEvery)
	}
}

// Ports of tests lie below the range from which the kernel takes ports for connections
// and for listeners on port 0. A port of that range could be taken by any of them between
// its choice and its use, which failed a run of CI.
const (
	firstPort     = 10000
	portBlocks    = 170
	portsPerBlock = 100
)

var nextPort atomic.Int64

// FreeAddresses returns loopback addresses on which nothing listens. Test processes that
// run at the same time take them from different blocks, by process identity.
func FreeAddresses(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	as := make([]netip.AddrPort, 0, n)
	for tries := 0; len(as) < n; tries++ {
		if tries > portBlocks*portsPerBlock {
			t.Fatal("no port is free")
		}
		offset := int64(os.Getpid()%portBlocks)*portsPerBlock + nextPort.Add(1)
		port := firstPort + offset%(portBlocks*portsPerBlock)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		as = append(as, address)
	}
	return as
}
