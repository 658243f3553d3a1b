package orchestrator_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of runs of the property-based tests, so that each
// run of the tests gives the same result. Flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
