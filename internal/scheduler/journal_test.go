package scheduler_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpitch/internal/scheduler"
)

// Guards against a decoder that panics on a damaged journal or accepts one that cannot be
// encoded and decoded again, and against an encoding that loses fields.
func FuzzDecodeJournal(f *testing.F) {
	f.Add([]byte(`{"Version":1,"Shard":"a/0","Jobs":[{"Spec":{"Name":"x"},"State":"running","Worker":"w"}]}`))
	f.Add([]byte(`{"Version":2,"Shard":"a/0"}`))
	f.Add([]byte(`{"Version":1,"Shard":"a/0","Jobs":[{"Spec":{"Name":"x"},"State":"pending"},{"Spec":{"Name":"x"},"State":"pending"}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		j, err := scheduler.DecodeJournal("a/0", value)
		if err != nil {
			var rejected *scheduler.JournalError
			if !errors.As(err, &rejected) {
				t.Fatalf("error of type %T", err)
			}
			return
		}
		again, err := j.Encode()
		if err != nil {
			t.Fatal(err)
		}
		k, err := scheduler.DecodeJournal("a/0", again)
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprintf("%+v", j) != fmt.Sprintf("%+v", k) {
			t.Fatalf("decoded %+v, after encoding %+v", j, k)
		}
	})
}

// Guards against a journal value that is damaged, inconsistent or of another shard or
// version and is nevertheless put into effect.
func TestDecodeJournalRejects(t *testing.T) {
	for reason, value := range map[string]string{
		"truncated":                  `{"Version":1,"Sha`,
		"another shard":              `{"Version":1,"Shard":"a/1"}`,
		"another version":            `{"Version":9,"Shard":"a/0"}`,
		"unknown state":              `{"Version":1,"Shard":"a/0","Jobs":[{"Spec":{"Name":"x"},"State":"asleep"}]}`,
		"running job without worker": `{"Version":1,"Shard":"a/0","Jobs":[{"Spec":{"Name":"x"},"State":"running"}]}`,
		"negative attempt":           `{"Version":1,"Shard":"a/0","Jobs":[{"Spec":{"Name":"x"},"State":"pending","Attempt":-1}]}`,
		"job listed twice":           `{"Version":1,"Shard":"a/0","Jobs":[{"Spec":{"Name":"x"},"State":"pending"},{"Spec":{"Name":"x"},"State":"pending"}]}`,
		"instance without name":      `{"Version":1,"Shard":"a/0","Instances":[{"Service":"s"}]}`,
	} {
		t.Run(reason, func(t *testing.T) {
			is := is.New(t)
			_, err := scheduler.DecodeJournal("a/0", []byte(value))
			var rejected *scheduler.JournalError
			is.True(errors.As(err, &rejected))
			is.Equal(rejected.Shard, "a/0")
		})
	}
}

func ExampleDecodeJournal() {
	j := scheduler.Journal{Shard: "malolos/0", Owner: "m1", Epoch: 3}
	value, _ := j.Encode()
	k, err := scheduler.DecodeJournal("malolos/0", value)
	fmt.Println(k.Owner, k.Epoch, err)
	_, err = scheduler.DecodeJournal("malolos/0", value[:20])
	fmt.Println(err)
	// Output:
	// m1 3 <nil>
	// journal of shard "malolos/0" (20 bytes) is rejected: unexpected end of JSON input
}
