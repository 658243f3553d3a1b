package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpitch/internal/commandline"
)

const entrySettings = `[EntryHost]
Name = entry-1
FailureDomain = north
CallerAddress = 127.0.0.1:7400
ReadyAddress = 127.0.0.1:7401
MessageAddress = 127.0.0.1:7402
MetricsAddress = 127.0.0.1:7403

[Peers]
StoreAddress = 127.0.0.1:7500

[Policy]
DisabledMechanisms = `

// Guards against entry -check that panics because the program passes no check to the command
// line, and against names of mechanisms that the check does not know.
func TestEntryCheck(t *testing.T) {
	for _, c := range []struct {
		mechanisms string
		exits      int
		output     string
	}{
		{"quarantine, preemption", 0, "settings are valid"},
		{"quarantine, magic", 1, `unknown mechanism "magic"`},
	} {
		t.Run(c.mechanisms, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "entry.ini")
			is.NoErr(os.WriteFile(file, []byte(entrySettings+c.mechanisms+"\n"), 0o600))
			var output strings.Builder
			code := commandline.Run(context.Background(), []string{"entry", "-check", "-settings", file}, environment(&output, &output))
			is.Equal(code, c.exits)
			is.True(strings.Contains(output.String(), c.output))
		})
	}
}
