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

// blocked is a writer whose reader does not read.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a request that waits for standard output.
func TestBlockedOutputBlocksNobody(t *testing.T) {
	out := blocked{make(chan struct{})}
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
		t.Fatal("logging waits for the reader of standard output")
	}
	close(out.release)
	closeLog()
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against a burst of lines that fills the memory, and against losses that nobody
// is told of.
func TestBurstIsBoundedAndCounted(t *testing.T) {
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
	is.True(out.b.Len() < 100*2300) // at most one buffer for each flush
}

// collector keeps the first 8 kB of each write, as the platform's collector of standard
// output does.
type collector struct{ safeBuffer }

func (c *collector) Write(p []byte) (int, error) {
	_, _ = c.safeBuffer.Write(p[:min(len(p), 8<<10)])
	return len(p), nil
}

// Guards against lines of a busy leader that are lost because many of them are written at
// once, and against lines that are cut in two.
func TestLongWritesAreSplitBetweenLines(t *testing.T) {
	is := is.New(t)
	var out collector
	log, closeLog := logger.New(&out, logger.DefaultBuffer, slog.LevelInfo)
	for i := range 2000 {
		log.Info("Start", "Task", strings.Repeat("x", i%300))
	}
	log.Info("Start", "Task", strings.Repeat("x", 10000)) // longer than a write
	log.Info("Stop")
	closeLog()
	lines := strings.Split(strings.TrimSuffix(out.b.String(), "\n"), "\n")
	whole := 0
	for _, l := range lines {
		if strings.HasPrefix(l, "time=") && strings.Contains(l, "msg=Start Task=") {
			whole++
		}
	}
	is.True(whole >= 2000)
	is.True(strings.Contains(out.b.String(), "msg=Stop\n"))
	is.True(!strings.Contains(out.b.String(), "LogDropped"))
}
