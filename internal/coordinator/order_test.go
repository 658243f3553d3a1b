package coordinator

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against an order that is taken as carried out though the worker has refused it
// without doing anything: a cancelled task would run on.
func TestWhichOrdersAreRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		err              error
		answered, fenced bool
	}{
		"done":             {nil, true, false},
		"no answer":        {errors.New("timeout"), false, false},
		"newer leader":     {&RefusedError{Fenced: true, Reason: "fence"}, true, true},
		"older run":        {&RefusedError{Reason: "old"}, true, false},
		"unhealthy worker": {&RefusedError{Undone: true, Reason: "status 503"}, false, false},
		"other worker":     {&RefusedError{Replaced: true, Reason: "another instance answers"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answered, fenced := ordered(c.err)
			is.Equal(answered, c.answered)
			is.Equal(fenced, c.fenced)
		})
	}
}
