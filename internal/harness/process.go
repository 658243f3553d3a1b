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

// WaitTimeout is the timeout of each wait for an event. It is long, so that a wait fails only
// because of a fault and not because of the machine's load.
const WaitTimeout = 60 * time.Second

const (
	pollInterval = 10 * time.Millisecond
	// stopTimeout is how long a process may take to end after the SIGTERM at the end of its
	// test. A process that takes longer is killed.
	stopTimeout = 10 * time.Second
	// maxOutputLines is the number of output lines that are collected from a process. Further
	// lines are dropped.
	maxOutputLines = 200_000
)

// programsDir is the directory of the built programs, which Main removes.
var programsDir string

// buildPrograms builds the programs on its first call and returns their directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "peridotpitch-harness-")
	if err != nil {
		return "", err
	}
	programsDir = dir
	arguments := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, p := range []string{"peridotpitch/cmd/standin", "peridotpitch/cmd/peridotpitch"} {
		// A program that the module does not contain is left out, so that only the tests that
		// start it fail, in Program.
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
	if programsDir != "" {
		_ = os.RemoveAll(programsDir)
	}
	os.Exit(code)
}

// Program returns the path of a built program, "standin" or "peridotpitch".
func Program(t testing.TB, name string) string {
	t.Helper()
	dir, err := buildPrograms()
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
	Name    string
	t       testing.TB
	cmd     *exec.Cmd
	exited  chan struct{}
	waitErr error // result of cmd.Wait; valid once exited is closed

	mu    sync.Mutex // guards lines
	lines []string
}

// Start starts a program. When the test ends, the process gets SIGCONT and SIGTERM, and
// SIGKILL if it does not end within stopTimeout. The output is logged if the test failed.
func Start(t testing.TB, name, program string, arguments ...string) *Process {
	t.Helper()
	p := &Process{Name: name, t: t, cmd: exec.Command(Program(t, program), arguments...), exited: make(chan struct{})}
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	// The kernel kills the child if the test binary is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go p.collectOutput(r)
	go func() {
		p.waitErr = p.cmd.Wait()
		_ = w.Close()
		close(p.exited)
	}()
	t.Cleanup(p.cleanup)
	return p
}

func (p *Process) collectOutput(r io.Reader) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		p.mu.Lock()
		if len(p.lines) < maxOutputLines {
			p.lines = append(p.lines, s.Text())
		}
		p.mu.Unlock()
	}
	// A line longer than the scanner's buffer ends the scan. The remaining output is read and
	// dropped, so that the child does not block on a full pipe.
	_, _ = io.Copy(io.Discard, r)
}

func (p *Process) cleanup() {
	if p.Running() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-time.After(stopTimeout):
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.Name, strings.Join(p.Lines(), "\n"))
	}
}

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
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

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Pause sends SIGSTOP and waits until every thread of the process has stopped, because the
// process can still answer a call between the sending of the signal and its effect.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
	WaitFor(p.t, p.Name+" to stop", p.allThreadsStopped)
}

// Resume sends SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// allThreadsStopped reports whether all threads are in state T, stopped (proc(5)).
func (p *Process) allThreadsStopped() bool {
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

// Wait waits until the process has ended and returns its exit status, or -1 if a signal
// killed it.
func (p *Process) Wait() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(WaitTimeout):
		p.t.Fatalf("process %s did not end within %s", p.Name, WaitTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// Lines returns the lines that the process has written to standard output and standard
// error so far, in the order of arrival.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// WaitLine waits for a line of output that contains text and returns the line.
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
			p.t.Fatalf("%s ended before it printed %q: %v", p.Name, text, p.waitErr)
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

// WaitFor polls until ok returns true. It fails the test after WaitTimeout, with what as the
// description of the event.
func WaitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %s for: %s", WaitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// Ports of tests are below the kernel's ephemeral port range. The kernel assigns ports of that
// range to connections and to listeners on port 0, so another process could get such a port
// between its selection by FreeAddresses and its use. The blocks are the ports 10000 to 26999.
const (
	firstPort      = 10000
	portBlockCount = 170
	portsPerBlock  = 100
)

var nextPort atomic.Int64

// FreeAddresses returns loopback addresses on which nothing listens. Each test process
// selects its ports from a block that depends on its process ID, so that test processes
// that run at the same time rarely select the same ports.
func FreeAddresses(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	as := make([]netip.AddrPort, 0, n)
	for tries := 0; len(as) < n; tries++ {
		if tries > portBlockCount*portsPerBlock {
			t.Fatal("all ports of the tests are in use")
		}
		offset := int64(os.Getpid()%portBlockCount)*portsPerBlock + nextPort.Add(1)
		port := firstPort + offset%(portBlockCount*portsPerBlock)
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
