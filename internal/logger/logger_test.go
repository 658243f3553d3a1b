package logger_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/logger"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a caller that is blocked while it logs because nobody reads standard
// output.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	log, closeLog := logger.New(out, 1000, slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10000 {
			log.Info("Start", "Task", "a")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("log calls were blocked by an output that is not read")
	}
	close(out.release)
	closeLog()
}

// safeBuffer is a buffer for concurrent writes.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against a burst of lines that uses unbounded memory, and against dropped lines
// that are not reported.
func TestBurstIsBoundedAndDropsAreLogged(t *testing.T) {
	is := is.New(t)
	var out safeBuffer
	log, closeLog := logger.New(&out, 2000, slog.LevelInfo)
	for range 1000 {
		log.Info("Start", "Task", strings.Repeat("x", 100))
	}
	closeLog()
	lines := strings.Count(out.b.String(), "msg=Start")
	is.True(lines < 1000)
	is.True(strings.Contains(out.b.String(), "msg=LogDropped Lines="))
	is.True(out.b.Len() < 100*2300) // at most one buffer of 2,000 bytes, and a LogDropped line, for each flush
}

// truncatingWriter keeps the first 8 kB of each write, as the platform's log collector does.
type truncatingWriter struct{ safeBuffer }

func (c *truncatingWriter) Write(p []byte) (int, error) {
	_, _ = c.safeBuffer.Write(p[:min(len(p), 8<<10)])
	return len(p), nil
}

// Guards against lines that are lost or cut in two because many lines are written at once,
// as on a busy leader, and the log collector truncates long writes.
func TestLongWritesAreSplitBetweenLines(t *testing.T) {
	is := is.New(t)
	var out truncatingWriter
	log, closeLog := logger.New(&out, logger.DefaultBufferBytes, slog.LevelInfo)
	for i := range 2000 {
		log.Info("Start", "Task", strings.Repeat("x", i%300))
	}
	log.Info("Start", "Task", strings.Repeat("x", 10000)) // longer than the maximum write
	log.Info("Stop")
	closeLog()
	lines := strings.Split(strings.TrimSuffix(out.b.String(), "\n"), "\n")
	complete := 0
	for _, l := range lines {
		if strings.HasPrefix(l, "time=") && strings.Contains(l, "msg=Start Task=") {
			complete++
		}
	}
	is.True(complete >= 2000)
	is.True(strings.Contains(out.b.String(), "msg=Stop\n"))
	is.True(!strings.Contains(out.b.String(), "LogDropped"))
}
