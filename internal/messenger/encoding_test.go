package messenger

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/scheduler"
)

// Guards against malformed messages that are accepted, or that exhaust memory or the stack.
func TestMalformedMessagesAreRejected(t *testing.T) {
	deep := make([]byte, 1<<20)
	for i := range deep {
		deep[i] = 0x91 // an array of one element
	}
	for name, b := range map[string][]byte{
		"empty":              {},
		"nested too deep":    deep,
		"huge array":         {0xdd, 0xff, 0xff, 0xff, 0xff},
		"huge map":           {0xdf, 0xff, 0xff, 0xff, 0xff},
		"truncated string":   {0xdb, 0x00, 0x00, 0x10, 0x00, 'a'},
		"truncated number":   {0xcf, 0x00},
		"reserved type":      {0xc1},
		"trailing bytes":     {0x80, 0x80},
		"missing map values": {0x82, 0xa1, 'a', 0x01},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m Heartbeat
			var malformed *MalformedMessageError
			is.True(errors.As(encoding{}.Unmarshal(b, &m), &malformed))
		})
	}
}

// fuzzMessage checks that decoding never panics, and that a decoded message does not
// change when it is encoded and decoded again.
func fuzzMessage[M any](f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		var first, second M
		if encoding.Unmarshal(encoding{}, b, &first) != nil {
			return
		}
		reencoded, err := encoding{}.Marshal(&first)
		if err != nil {
			t.Fatal(err)
		}
		if err := (encoding{}).Unmarshal(reencoded, &second); err != nil {
			t.Fatal(err)
		}
		// Compared as text, because a NaN does not equal itself.
		if a, b := fmt.Sprintf("%+v", first), fmt.Sprintf("%+v", second); a != b {
			t.Fatalf("decoded again as\n%s\ninstead of\n%s", b, a)
		}
	})
}

// The fuzz targets guard against panics and altered values when messages of a peer are
// decoded.

func FuzzHeartbeat(f *testing.F)       { fuzzMessage[Heartbeat](f) }
func FuzzHeartbeatAnswer(f *testing.F) { fuzzMessage[HeartbeatAnswer](f) }
func FuzzForwardRequest(f *testing.F)  { fuzzMessage[ForwardRequest](f) }
func FuzzForwardAnswer(f *testing.F)   { fuzzMessage[ForwardAnswer](f) }
func FuzzJobSpec(f *testing.F)         { fuzzMessage[scheduler.JobSpec](f) }
func FuzzJobList(f *testing.F)         { fuzzMessage[jobList](f) }
func FuzzRecord(f *testing.F)          { fuzzMessage[configurator.Record](f) }

// fuzzSeeds has one message with many fields set for each fuzz target.
var fuzzSeeds = map[string]any{
	"FuzzHeartbeat": Heartbeat{
		Identity: Identity{Host: "e1", FailureDomain: "malolos", Incarnation: "e1-1", Generation: 4, InEffectFor: time.Second, Notices: []HostNotice{{Host: "w1", Source: SourcePlatform, Leaving: true, Version: 3}}},
		Claims:   []ShardClaim{{Shard: "malolos/a", Epoch: 2, Kinds: []LeaseKind{LeasePlacing, LeaseRunning}}},
		Demand:   []SlotDemand{{Instance: "quotes-1", InUse: 1, Wanted: 3}},
	},
	"FuzzHeartbeatAnswer": HeartbeatAnswer{
		Identity:  Identity{Host: "e2", Leaving: true},
		Promises:  []Promise{{Shard: "malolos/a", Epoch: 2, Kind: LeaseRunning}},
		Grants:    []SlotGrant{{Instance: "quotes-1", Slots: 2, For: 3 * time.Second, Epoch: 2}},
		Endpoints: []Endpoint{{Instance: "quotes-1", Address: "127.0.0.1:9000", Slots: 8, Connections: 64, Slowdown: 1.25}},
		Free:      map[string]int{"quotes": 5},
	},
	"FuzzForwardRequest": ForwardRequest{Request: "r1", Service: "quotes", Path: "/a?b=c", Method: "POST", Timeout: time.Second,
		Headers: map[string]string{"Content-Type": "text/plain"}, Body: []byte("body")},
	"FuzzForwardAnswer": ForwardAnswer{Request: "r1", Outcome: "answered", Status: 200, Body: []byte("body")},
	"FuzzJobSpec":       scheduler.JobSpec{Name: "j1", Class: "die", Team: "t", Urgent: true, Declared: configurator.Resources{Cores: 1.5, Memory: 1 << 30, Accelerators: 1}, Duration: time.Hour},
	"FuzzJobList":       jobList{[]scheduler.JobStatus{{Spec: scheduler.JobSpec{Name: "j1"}, State: scheduler.JobRunning, Submitted: time.Unix(1, 2), Attempt: 3}}},
	"FuzzRecord":        configurator.Record{Generation: 3, Text: "[Configuration]\n", Signature: []byte{1, 2}, Key: "k", AppliedAt: time.Unix(7, 0)},
}

// Guards against an unintended change of the message format: the committed seeds must equal
// the current encoding. Set WRITE_SEEDS=1 to rewrite them after an intended change.
func TestSeedsAreCurrentEncoding(t *testing.T) {
	for name, m := range fuzzSeeds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := encoding{}.Marshal(m)
			is.NoErr(err)
			text := fmt.Sprintf("go test fuzz v1\n[]byte(%q)\n", b)
			path := filepath.Join("testdata", "fuzz", name, "full")
			if os.Getenv("WRITE_SEEDS") == "1" {
				is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
				is.NoErr(os.WriteFile(path, []byte(text), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			is.Equal(text, string(want))
		})
	}
}
