package configurator

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func readValid(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "valid.ini"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against Print and Parse disagreeing on a value: the operator would sign a text
// with other values than the reviewed ones.
func TestPrintRoundTrip(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(readValid(t)))
	is.NoErr(err)
	is.Equal(string(Print(c)), readValid(t))
	is.Equal(c.Policy.OwnershipTTL, 3*time.Second)
	is.Equal(c.Workers[1].Capacity, Resources{31.5, 124500e6, 2})
	is.Equal(c.Services[0].Instances, map[string]int{"Sampaloc": 2, "San Pablo": 1})
}

// Guards against values that Print followed by Parse changes, with random values.
func TestPrintRoundTripRandom(t *testing.T) {
	valid, err := Parse([]byte(readValid(t)))
	is.New(t).NoErr(err)
	rapid.Check(t, func(t *rapid.T) {
		c := *valid
		c.Replaces = rapid.Uint64Range(0, 1<<40).Draw(t, "replaces")
		c.Generation = c.Replaces + 1
		c.Measures.Latency = float64(rapid.IntRange(1, 1e6).Draw(t, "latency")) / 1000
		c.Policy.JobRecoveryDelay = time.Duration(rapid.Int64Range(3e10, 36e11).Draw(t, "delay"))
		c.Teams = []Team{{Name: rapid.StringMatching(`[A-Za-z0-9][a-z ._-]{0,9}[0-9]`).Draw(t, "team"), Share: 0.5,
			Quota: Resources{1, rapid.Int64Range(0, maxMemoryBytes).Draw(t, "memory"), 0}}}
		got, err := Parse(Print(&c))
		if err != nil {
			t.Fatal(err)
		}
		if Diff(&c, got) != "" || !bytes.Equal(Print(got), Print(&c)) || got.Policy != c.Policy || got.Teams[0] != c.Teams[0] {
			t.Fatalf("changed by a round trip:\n%s", Diff(&c, got))
		}
	})
}

// Guards against a fault that is not reported, is reported for the wrong line or key, or
// hides another one.
func TestParseFaults(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown section", `[Team "schools"]`, "[Guild \"schools\"]", `line 71: [Guild "schools"] unknown section; allowed: [Configuration], [Measures], [Policy], [FailureDomain "name"], [EntryHost "name"], [Worker "name"], [Service "name"], [JobClass "name"], [Team "name"]`},
		{"section without name", `[Team "schools"]`, "[Team]", `line 71: [Team] section has a malformed header; allowed: [Team "name"]`},
		{"malformed header", `[Team "schools"]`, "[Team schools]", `line 71: header [Team schools] is malformed; allowed: [Kind] or [Kind "name"]`},
		{"bad name", `[Team "schools"]`, `[Team "a/b"]`, `line 71: [Team "a/b"] name "a/b" is malformed; allowed: ` + nameAllowed},
		{"unknown key", "Share = 1.5", "share = 1.5", `line 75: [Team "schools"] share: key is not in Pascal case; allowed: letters and digits, beginning with a capital letter`},
		{"wrong key", "Share = 1.5", "Weight = 1.5", `line 75: [Team "schools"] Weight: unknown key; allowed: Cores, Memory, Accelerators, Share`},
		{"duplicate key", "Share = 1.5", "Cores = 9", `line 75: [Team "schools"] Cores: key is a duplicate of line 72; allowed: one value for each key`},
		{"duplicate section", `[Team "schools"]`, `[JobClass "dents"]`, `line 71: [JobClass "dents"] section is a duplicate of line 64; allowed: one section of this kind and name`},
		{"missing key", "Generation = 7\n", "", `line 1: [Configuration] Generation: key is missing; allowed: whole number from 1 to 4611686018427387904`},
		{"missing section", "[Measures]\nLatency = 10\nEvictions = 3\nThroughput = 1\n", "", `[Measures] section is missing; allowed: at least one section of this kind`},
		{"bad number", "Share = 1.5", "Share = 1e3", `line 75: [Team "schools"] Share: value "1e3" is not accepted; allowed: number from 0.001 to 1000 with at most 3 decimals`},
		{"bad size", "Memory = 125GB", "Memory = 125", `line 42: [Worker "sampaloc-1"] Memory: value "125" is not accepted; allowed: whole number with unit from 1MB to 64TB`},
		{"bad duration", "OwnershipTtl = 3s", "OwnershipTtl = 3", `line 16: [Policy] OwnershipTtl: value "3" is not accepted; allowed: Go duration from 1s to 30s`},
		{"bad enum", "Limits = Fair", "Limits = fair", `line 14: [Policy] Limits: value "fair" is not accepted; allowed: Fair, Fixed`},
		{"bad address", "Address = 10.1.0.1:7100", "Address = 0.0.0.0:7100", `line 30: [EntryHost "sampaloc-entry-1"] Address: value "0.0.0.0:7100" is not accepted; allowed: IP address and port, for example 10.1.0.5:7000`},
		{"quote in value", "Firm = Dimasalang", `Firm = "Dimasalang"`, `line 4: [Configuration] Firm: value "Dimasalang" Brass Restoration Works has a quote, backslash, # or ;; allowed: plain values; comments on lines of their own`},
		{"generation gap", "Replaces = 6", "Replaces = 5", `line 2: [Configuration] Generation: generation 7 does not follow 5; allowed: 6 (Replaces + 1)`},
		{"no weight", "Latency = 10\nEvictions = 3\nThroughput = 1", "Latency = 0\nEvictions = 0\nThroughput = 0", `line 6: [Measures] all weights are 0; allowed: at least one weight above 0`},
		{"own successor", "Successor = San Pablo", "Successor = Sampaloc", `line 22: [FailureDomain "Sampaloc"] Successor: failure domain is its own successor; allowed: San Pablo`},
		{"dangling successor", "Successor = San Pablo", "Successor = Malolos", `line 22: [FailureDomain "Sampaloc"] Successor: failure domain "Malolos" does not exist; allowed: Sampaloc, San Pablo`},
		{"dangling host", "FailureDomain = San Pablo\nRack", "FailureDomain = Malolos\nRack", `line 46: [Worker "san-pablo-1"] FailureDomain: failure domain "Malolos" does not exist; allowed: Sampaloc, San Pablo`},
		{"dangling instances", "San Pablo:1", "Malolos:1", `line 56: [Service "quotes"] Instances: failure domain "Malolos" does not exist; allowed: Sampaloc, San Pablo`},
		{"no entry host", "FailureDomain = San Pablo\nAddress", "FailureDomain = Sampaloc\nAddress", `line 24: [FailureDomain "San Pablo"] failure domain has no entry host; allowed: at least one EntryHost section with this FailureDomain`},
		{"shared address", "10.2.1.1:7200", "10.1.1.1:7200", `line 49: [Worker "san-pablo-1"] Address: address 10.1.1.1:7200 also belongs to "sampaloc-1"; allowed: an address of its own`},
		{"shared name", `[Worker "san-pablo-1"]`, `[Worker "san-pablo-entry-1"]`, `line 45: [Worker "san-pablo-entry-1"] name also belongs to an entry host; allowed: a name that no EntryHost section has`},
		{"too many instances", "Sampaloc:2", "Sampaloc:9", `line 56: [Service "quotes"] Instances: 9 instances do not fit on the workers of "Sampaloc"; allowed: at most Sampaloc:8`},
		{"too few slots", "Slots = 8", "Slots = 8\n[EntryHost \"b\"]\nFailureDomain = San Pablo\nAddress = 10.2.0.2:1\n[Service \"x\"]\nClass = x\nInstances = San Pablo:1\nCores = 1\nMemory = 1GB\nSlots = 1", `line 69: [Service "x"] Slots: 1 slots are fewer than the 2 entry hosts of "San Pablo"; allowed: at least 2`},
		{"few connections", "Connections = 64", "Connections = 4", `line 61: [Service "quotes"] Connections: 4 connections cannot carry 8 requests; allowed: at least Slots (8)`},
		{"services together", `[JobClass "dents"]`, "[Service \"rest\"]\nClass = rest\nInstances = Sampaloc:1\nCores = 30\nMemory = 1GB\nLatencyTarget = 1s\n[JobClass \"dents\"]", `line 66: [Service "rest"] Instances: instances of all services in "Sampaloc" need at least 38 cores, 17GB and 0 accelerators; allowed: instances of all services together within 32 cores, 125GB and 0 accelerators`},
		{"long target", "MaxRequestTimeout = 30s", "MaxRequestTimeout = 200ms", `line 62: [Service "quotes"] LatencyTarget: 250ms can never be exceeded; allowed: at most MaxRequestTimeout (200ms)`},
		{"service name", `[Service "quotes"]`, `[Service "q q"]`, `line 54: [Service "q q"] name is part of callers' paths; allowed: a name without spaces`},
		{"carriage return", "Share = 1.5", "Share = 1.5\r", `line 75: line has the character '\r'; allowed: printable characters and lines that end in LF`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(readValid(t), c.old)) // the text to replace exists
			_, err := Parse([]byte(strings.Replace(readValid(t), c.old, c.new, 1)))
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			for _, f := range invalid.Faults {
				if f.String() == c.want {
					return
				}
			}
			t.Errorf("got:\n%v\nwant:\n%s", err, c.want)
		})
	}
}

// Guards against a parser that stops at the first fault: an operator would need one run for
// each fault.
func TestParseListsAllFaults(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("Limits = Fair", "Limits = None", "Share = 1.5", "Share = x", "San Pablo:1", "Malolos:1").Replace(readValid(t))
	_, err := Parse([]byte(text))
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	var places []string
	for _, f := range invalid.Faults {
		places = append(places, fmt.Sprintf("%d %s %s", f.Line, f.Section, f.Key))
	}
	is.Equal(places, []string{"14 Policy Limits", `56 Service "quotes" Instances`, `75 Team "schools" Share`})
}

// Guards against sizes that overflow or lose bytes.
func TestSizes(t *testing.T) {
	is := is.New(t)
	for s, want := range map[string]int64{"125GB": 125e9, "512MB": 512e6, "1B": 1, "0B": 0, "9223372TB": 9223372e12} {
		got, err := ParseSize(s)
		is.NoErr(err)
		is.Equal(got, want)
	}
	for _, s := range []string{"", "GB", "1", "-1GB", "1.5GB", "1 GB", "9223373TB", "1gb", "+1GB"} {
		_, err := ParseSize(s)
		is.True(err != nil) // malformed or too large
	}
	is.Equal(FormatSize(math.MaxInt64), "9223372036854775807B")
	is.Equal(FormatSize(1500e6), "1500MB")
}

// Guards against a text that Parse accepts and Print changes, and against panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(readValid(f)))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text)
		if err != nil {
			var invalid *InvalidError
			if !errors.As(err, &invalid) || len(invalid.Faults) == 0 {
				t.Fatalf("error without faults: %v", err)
			}
			return
		}
		printed := Print(c)
		again, err := Parse(printed)
		if err != nil {
			t.Fatalf("printed text is refused: %v\n%s", err, printed)
		}
		if Diff(c, again) != "" || !bytes.Equal(Print(again), printed) {
			t.Fatalf("changed by a round trip:\n%s", Diff(c, again))
		}
	})
}

func ExampleDiff() {
	a := &Configuration{Generation: 1, Teams: []Team{{Name: "schools", Share: 1}}}
	b := &Configuration{Generation: 2, Replaces: 1, Teams: []Team{{Name: "schools", Share: 2}},
		EntryHosts: []EntryHost{{Name: "e1", FailureDomain: "Sampaloc", Address: netip.MustParseAddrPort("10.1.0.1:7100")}}}
	fmt.Print(Diff(a, b))
	// Output:
	// ~ [Configuration] Generation = 1 -> 2
	// ~ [Configuration] Replaces = 0 -> 1
	// + [EntryHost "e1"]
	// + [EntryHost "e1"] FailureDomain = Sampaloc
	// + [EntryHost "e1"] Address = 10.1.0.1:7100
	// ~ [Team "schools"] Share = 1 -> 2
}

func ExampleParse() {
	_, err := Parse([]byte("[Measures]\nLatency = high\n"))
	fmt.Println(err)
	// Output:
	// [Configuration] section is missing; allowed: at least one section of this kind
	// [FailureDomain] section is missing; allowed: at least one section of this kind
	// [EntryHost] section is missing; allowed: at least one section of this kind
	// line 1: [Measures] Evictions: key is missing; allowed: number from 0 to 1000 with at most 3 decimals
	// line 1: [Measures] Throughput: key is missing; allowed: number from 0 to 1000 with at most 3 decimals
	// line 2: [Measures] Latency: value "high" is not accepted; allowed: number from 0 to 1000 with at most 3 decimals
}
