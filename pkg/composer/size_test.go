package composer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/storer"
)

// largeComposition returns a composition of the size expected in two years, with 990 workers in
// 6 failure domains and 200 teams.
func largeComposition() *Composition {
	c := New("Example Works", 0)
	c.Weights(10, 3, 1)
	instances := map[string]int{}
	for i := range 6 {
		name := fmt.Sprintf("domain-%d", i+1)
		d := c.FailureDomain(name, fmt.Sprintf("region-%d", i%2+1), fmt.Sprintf("domain-%d", (i+1)%6+1))
		d.EntryHosts(name+"-entry", 2, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 1}), 7100))
		d.Workers(Workers{Prefix: name + "-worker", Count: 165, Capacity: Resources{Cores: 32, Memory: 125 * GB, Accelerators: 2}, RackSize: 8, Shards: 2,
			First: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 1, 1}), 7200)})
		instances[name] = 20
	}
	for i := range 25 {
		c.Service(Service{Name: fmt.Sprintf("service-%d", i+1), Class: fmt.Sprintf("class-%d", i+1), Instances: instances,
			Size: Resources{Cores: 2, Memory: 4 * GB}, LatencyTarget: 250 * time.Millisecond})
	}
	for i := range 200 {
		c.Team(Team{Name: fmt.Sprintf("team-%d", i+1), Quota: Resources{Cores: 1000, Memory: 4 * TB}})
	}
	return c
}

// Guards against a configuration that exceeds the store's value size at the size expected in
// two years.
func TestLargeFitsStore(t *testing.T) {
	is := is.New(t)
	text, err := largeComposition().Text()
	is.NoErr(err)
	value, err := json.Marshal(configurator.Record{Text: string(text), Signature: make([]byte, 64)})
	is.NoErr(err)
	t.Logf("text: %d bytes, record: %d bytes", len(text), len(value))
	is.True(len(value) < storer.MaxValueBytes/2)
}

func BenchmarkText(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := largeComposition().Text(); err != nil {
			b.Fatal(err)
		}
	}
}
