package coordinator

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/storer"
	"peridotpitch/internal/timekeeper"
)

// A queue that exists is answered 404 by a host with an older configuration. Guards against a log
// from which it can't be told by which version the host decided, and how old that knowledge was.
func TestUnknownQueueIsLoggedWithVersionAndAge(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	c := New(Settings{Name: "a"}, Dependencies{}, slog.New(slog.NewTextHandler(&log, nil)))
	c.config.Store(&Configuration{Version: 15})
	c.configCheckedAt.Store(timekeeper.Now().Add(-3 * time.Second).UnixNano())

	_, _, ok := c.Route("mill.example", "/added/"+strings.Repeat("x", 1<<10))
	is.True(!ok)
	line := log.String()
	is.True(strings.Contains(line, "msg=QueueUnknown RequestHost=mill.example Path=/added/"))
	is.True(strings.Contains(line, "Outcome=unknown Version=15 CheckedAgo=3"))
	is.True(len(line) < 2*maxLoggedPath)
}

// Reads of the configuration fail for minutes. Guards against silence about it, and against a line
// for every failure.
func TestFailedConfigurationReadsAreLogged(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	c := New(Settings{Name: "a"}, Dependencies{}, slog.New(slog.NewTextHandler(&log, nil)))
	c.config.Store(&Configuration{Version: 15})
	c.configCheckedAt.Store(timekeeper.Now().UnixNano())

	var failed failedReads
	err := &storer.UnavailableError{Reason: "answer incomplete after 876543 bytes"}
	for range 5 {
		c.recordConfigurationCall(callRead, time.Now().Add(-700*time.Millisecond), err, &failed)
	}
	is.Equal(strings.Count(log.String(), "msg=ConfigurationReadFailed"), 1)
	is.True(strings.Contains(log.String(), "Call=read Took=700ms Version=15"))
	is.True(strings.Contains(log.String(), "after 876543 bytes"))

	failed.loggedAt = time.Now().Add(-configurationFailureLogInterval)
	c.recordConfigurationCall(callRead, time.Now(), err, &failed)
	is.True(strings.Contains(log.String(), "Failures=5"))
}
