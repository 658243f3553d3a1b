// Package logger writes log lines without blocking the process. Lines are collected in
// a bounded buffer and written by one goroutine; when the buffer is full, because the
// reader of standard output is slow or lines come in a burst, lines are dropped and
// counted.
package logger

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"
)

const (
	// flushEvery bounds the age of a line when it is written, and the number of system
	// calls for logging.
	flushEvery = 100 * time.Millisecond
	// maxWrite bounds one write. The platform's collector keeps the first 8 kB of each
	// write and cuts the rest off.
	maxWrite = 8 << 10 // bytes
	// DefaultBuffer holds about 5,000 lines, several seconds of the busiest host.
	DefaultBuffer = 1 << 20 // bytes
)

// buffer is the writer behind the log handler.
type buffer struct {
	out   io.Writer
	limit int

	mu      sync.Mutex // guards the fields below
	pending []byte
	dropped int
}

// Write implements io.Writer. It takes the line or drops it.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > b.limit {
		b.dropped++
	} else {
		b.pending = append(b.pending, line...)
	}
	return len(line), nil
}

// flush writes what is pending. Only one goroutine calls it.
func (b *buffer) flush(spare []byte) []byte {
	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.dropped = spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "time=%s level=WARN msg=LogDropped Lines=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
	}
	for rest := lines; len(rest) > 0; {
		n := chunk(rest)
		_, _ = b.out.Write(rest[:n]) // there is nowhere to report that the log can not be written
		rest = rest[n:]
	}
	return lines
}

// chunk returns the length of the whole lines at the start that one write takes.
func chunk(lines []byte) int {
	if len(lines) <= maxWrite {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:maxWrite], '\n') + 1; n > 0 {
		return n
	}
	if n := bytes.IndexByte(lines, '\n') + 1; n > 0 {
		return n // one line that is longer
	}
	return len(lines)
}

// New returns a logger of key=value lines that writes to out, and a function that
// writes the rest. limit is in bytes.
func New(out io.Writer, limit int, level slog.Leveler) (*slog.Logger, func()) {
	b := &buffer{out: out, limit: limit}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		t := time.NewTicker(flushEvery)
		defer t.Stop()
		var spare []byte
		for {
			select {
			case <-t.C:
				spare = b.flush(spare)
			case <-stop:
				b.flush(spare)
				return
			}
		}
	}()
	return slog.New(slog.NewTextHandler(b, &slog.HandlerOptions{Level: level})), func() {
		close(stop)
		select {
		case <-stopped:
		case <-time.After(closeWait):
		}
	}
}

// closeWait bounds the last write: standard output may be blocked.
const closeWait = 500 * time.Millisecond

// Stdout returns a logger to standard output.
func Stdout(level slog.Leveler) (*slog.Logger, func()) { return New(os.Stdout, DefaultBuffer, level) }
