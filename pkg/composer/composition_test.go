package composer

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func smallComposition(replaces uint64) *Composition {
	c := New("Example Works", replaces)
	c.Weights(10, 3, 1)
	d := c.FailureDomain("Haskovo", "Bulgaria", "")
	d.EntryHosts("haskovo", 2, netip.MustParseAddrPort("10.4.0.254:7100"))
	d.Workers(Workers{Prefix: "haskovo-w", Count: 3, Capacity: Resources{Cores: 16, Memory: 60 * GB}, RackSize: 2, Shards: 2,
		First: netip.MustParseAddrPort("10.4.1.1:7200")})
	c.Service(Service{Name: "quotes", Class: "quotes", Instances: map[string]int{"Haskovo": 3}, Size: Resources{Cores: 4, Memory: 8 * GB}, LatencyTarget: 250 * time.Millisecond})
	c.JobClass(JobClass{Name: "dies", Size: Resources{Cores: 2, Memory: 512 * MB}})
	c.Team(Team{Name: "mill", Quota: Resources{Cores: 20, Memory: 40 * GB}})
	return c
}

// Guards against different texts of the same composition, and against zero fields that do not
// get their defaults.
func TestText(t *testing.T) {
	is := is.New(t)
	text, err := smallComposition(4).Text()
	is.NoErr(err)
	again, err := smallComposition(4).Text()
	is.NoErr(err)
	is.Equal(string(text), string(again))
	for _, w := range []string{"Generation = 5\nReplaces = 4\n", "Slots = 8\nConnections = 64\n", "MaxAttempts = 5\n", "Share = 1\n", "OwnershipTtl = 3s\n",
		"[Worker \"haskovo-w-3\"]\nFailureDomain = Haskovo\nRack = haskovo-w-rack-2\nShard = 1\nAddress = 10.4.1.3:7200\n", "Address = 10.4.0.255:7100\n"} {
		is.True(strings.Contains(string(text), w)) // w is printed
	}
}

// Guards against the text of an invalid composition being returned without an error, for
// example if a value with a line break adds another section.
func TestTextRefuses(t *testing.T) {
	is := is.New(t)
	c := smallComposition(0)
	c.Weights(0, 0, 0)
	c.Team(Team{Name: "mill"})
	_, err := c.Text()
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	is.True(len(invalid.Faults) >= 2) // weights and the duplicate team
	c = smallComposition(0)
	c.Team(Team{Name: "a\"]\n[Team \"b", Quota: Resources{Cores: 1}})
	_, err = c.Text()
	is.True(errors.As(err, &invalid))
	c = smallComposition(0)
	c.configuration.FailureDomains[0].Region = "Bulgaria\n[Team \"b\"]\nCores = 1\nMemory = 1GB"
	_, err = c.Text()
	is.True(err != nil)
	invalid = nil
	is.True(!errors.As(err, &invalid)) // the printed text itself is valid
}

// Guards against flags being ignored and invalid arguments being accepted.
func TestRun(t *testing.T) {
	is := is.New(t)
	var out, failure strings.Builder
	is.Equal(Run([]string{"-replaces", "8"}, &out, &failure, smallComposition), ExitDone)
	is.True(strings.Contains(out.String(), "Generation = 9"))
	is.Equal(Run([]string{"-diff", "absent.ini"}, &out, &failure, smallComposition), ExitFailed)
	is.Equal(Run([]string{"extra"}, &out, &failure, smallComposition), ExitUsage)
	is.Equal(Run([]string{"-size"}, &out, &failure, smallComposition), ExitUsage)
}

func ExampleComposition_Diff() {
	old, err := smallComposition(0).Text()
	if err != nil {
		fmt.Println(err)
	}
	c := smallComposition(1)
	c.Weights(10, 4, 1)
	diff, err := c.Diff(old)
	fmt.Print(diff, err)
	// Output:
	// ~ [Configuration] Generation = 1 -> 2
	// ~ [Configuration] Replaces = 0 -> 1
	// ~ [Measures] Evictions = 3 -> 4
	// <nil>
}
