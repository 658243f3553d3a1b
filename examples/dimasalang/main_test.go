package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
	"peridotpitch/pkg/composer"
)

// Guards against unintended changes of the printed text and of the deployment's size.
func TestGolden(t *testing.T) {
	is := is.New(t)
	golden := filepath.Join("testdata", "dimasalang.ini")
	var out, failure strings.Builder
	is.Equal(composer.Run(nil, &out, &failure, compose), composer.ExitDone)
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(out.String(), string(want))

	c, err := configurator.Parse(want)
	is.NoErr(err)
	is.Equal([]int{len(c.FailureDomains), len(c.Workers), len(c.EntryHosts)}, []int{3, 50, 7})
	instances, racks, shards := 0, map[string]int{}, map[string]bool{}
	for _, n := range c.Services[0].Instances {
		instances += n
	}
	for _, w := range c.Workers {
		is.Equal(w.Capacity, configurator.Resources{Cores: 32, Memory: 125e9})
		racks[w.Rack]++
		is.True(racks[w.Rack] <= 8) // workers in a rack
		shards[w.FailureDomain+"/"+w.Shard] = true
	}
	is.Equal(instances, len(c.Workers))
	is.Equal(len(shards), 2*len(c.FailureDomains))
	is.Equal([]int{c.Services[0].Slots, c.Services[0].Connections}, []int{8, 64})
	is.True(c.Measures.Latency > c.Measures.Evictions && c.Measures.Evictions > c.Measures.Throughput)

	out.Reset()
	is.Equal(composer.Run([]string{"-diff", golden}, &out, &failure, compose), composer.ExitDone)
	is.Equal(out.String(), "~ [Configuration] Generation = 1 -> 2\n~ [Configuration] Replaces = 0 -> 1\n")
}
