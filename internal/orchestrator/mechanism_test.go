package orchestrator_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"peridotpitch/internal/orchestrator"
)

// Guards against a mechanism that cannot be disabled by the name under which it is printed, and
// against unknown names that are ignored.
func TestParseMechanisms(t *testing.T) {
	is := is.New(t)
	for _, m := range orchestrator.Mechanisms {
		s, err := orchestrator.ParseMechanisms(string(m))
		is.NoErr(err)
		is.Equal(s.String(), string(m))
		for _, other := range orchestrator.Mechanisms {
			is.Equal(s.Contains(other), other == m)
		}
	}
	s, err := orchestrator.ParseMechanisms(" quarantine, step-load ,")
	is.NoErr(err)
	is.Equal(s.String(), "step-load,quarantine")
	_, err = orchestrator.ParseMechanisms("step-load,magic")
	var unknown *orchestrator.UnknownMechanismError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Name, "magic")
}
