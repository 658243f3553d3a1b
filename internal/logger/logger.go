// Package logger writes log lines without blocking the callers. Lines are collected in a
// bounded buffer and written by one goroutine. If the buffer is full, because the reader of
// standard output is slow or many lines are logged at once, lines are dropped, and their
// number is logged.
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
	// flushInterval bounds how long a line waits in the buffer, and the rate of write calls.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes bounds one write, except for a single longer line: the platform's log
	// collector keeps only the first 8 kB of each write.
	maxWriteBytes = 8 << 10
	// DefaultBufferBytes is the size of about 5,000 lines, which the busiest host writes in
	// several seconds.
	DefaultBufferBytes = 1 << 20
)

// buffer is the writer of the log handler. It keeps lines until they are flushed.
type buffer struct {
	out        io.Writer
	limitBytes int

	mu      sync.Mutex // guards the fields below
	pending []byte     // lines that are not yet written
	dropped int        // number of lines dropped since the last flush
}

// Write implements io.Writer. It appends the line to the buffer, or drops it if the buffer
// is full.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > b.limitBytes {
		b.dropped++
	} else {
		b.pending = append(b.pending, line...)
	}
	return len(line), nil
}

// flush writes the pending lines to out. reuse becomes the new buffer, and the old buffer is
// returned as reuse of the next call. Only one goroutine calls flush.
func (b *buffer) flush(reuse []byte) []byte {
	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.dropped = reuse[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "time=%s level=WARN msg=LogDropped Lines=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
	}
	for rest := lines; len(rest) > 0; {
		n := nextWriteLength(rest)
		_, _ = b.out.Write(rest[:n]) // an error of the log's own output cannot be logged
		rest = rest[n:]
	}
	return lines
}

// nextWriteLength returns the number of bytes for the next write: as many complete lines as
// maxWriteBytes allows, but at least one.
func nextWriteLength(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1; n > 0 {
		return n
	}
	if n := bytes.IndexByte(lines, '\n') + 1; n > 0 {
		return n // a single line longer than maxWriteBytes
	}
	return len(lines)
}

// New returns a logger that writes key=value lines to out, and a function that writes
// the pending lines and stops the logger. The buffer holds up to bufferBytes.
func New(out io.Writer, bufferBytes int, level slog.Leveler) (*slog.Logger, func()) {
	b := &buffer{out: out, limitBytes: bufferBytes}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		t := time.NewTicker(flushInterval)
		defer t.Stop()
		var reuse []byte
		for {
			select {
			case <-t.C:
				reuse = b.flush(reuse)
			case <-stop:
				b.flush(reuse)
				return
			}
		}
	}()
	return slog.New(slog.NewTextHandler(b, &slog.HandlerOptions{Level: level})), func() {
		close(stop)
		select {
		case <-stopped:
		case <-time.After(closeTimeout):
		}
	}
}

// closeTimeout bounds the last flush, because standard output may be blocked.
const closeTimeout = 500 * time.Millisecond

// Stdout returns a logger that writes to standard output, and the function that stops it.
func Stdout(level slog.Leveler) (*slog.Logger, func()) {
	return New(os.Stdout, DefaultBufferBytes, level)
}
