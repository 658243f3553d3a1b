package coordinator

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a command that counts as executed although the worker refused it without
// doing anything. If a stop command were lost in this way, a cancelled task would continue to
// run.
func TestWhichCommandsAreRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		err              error
		answered, fenced bool
	}{
		"done":             {nil, true, false},
		"no answer":        {errors.New("timeout"), false, false},
		"newer leader":     {&RefusedError{Fenced: true, Reason: "fence"}, true, true},
		"older run":        {&RefusedError{Reason: "old"}, true, false},
		"unhealthy worker": {&RefusedError{NotExecuted: true, Reason: "status 503"}, false, false},
		"replaced worker":  {&RefusedError{Replaced: true, Reason: "another instance answers"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answered, fenced := commandResult(c.err)
			is.Equal(answered, c.answered)
			is.Equal(fenced, c.fenced)
		})
	}
}
