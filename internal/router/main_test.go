package router

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests (pgregory.net/rapid), so that every run
// of CI tests the same inputs. It also sets the numbers of checks and of steps per check, and
// turns off the file with the failing input. Another seed can be given with -rapid.seed; the
// other settings then keep rapid's defaults or the values of their flags.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		err := errors.Join(flag.Set("rapid.seed", "20261203"), flag.Set("rapid.nofailfile", "true"),
			flag.Set("rapid.steps", "80"), flag.Set("rapid.checks", "1500"))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
