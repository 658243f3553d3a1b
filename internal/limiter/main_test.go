package limiter

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run of CI tests the same inputs. Another
// seed can be given with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		err := errors.Join(flag.Set("rapid.seed", "20261203"), flag.Set("rapid.nofailfile", "true"))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
