package lessor_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpitch/internal/lessor"
)

// TestMain fixes the seed unless the command line sets it, so that CI is deterministic.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

const ttl = 3 * time.Second

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return testStart.Add(d) }

// TestLease guards against a lease that lasts longer than the successors wait after a renewal, and
// against a lease that is extended by promises of only some successors.
func TestLease(t *testing.T) {
	is := is.New(t)
	o := lessor.NewLease(ttl, []string{"b", "c"}, at(0))
	end := ttl - lessor.Margin(ttl)
	is.Equal(o.Expiry(), at(end))
	is.True(o.Valid(at(end - 1)))
	is.True(!o.Valid(at(end)))
	o.RecordPromise("b", at(2*time.Second))
	o.RecordPromise("other", at(2*time.Second))
	is.Equal(o.Expiry(), at(end)) // one of two promises is not enough
	o.RecordPromise("c", at(time.Second))
	is.Equal(o.Expiry(), at(time.Second+end)) // the earliest promise counts
	o.RecordRenewal(at(5 * time.Second))
	o.RecordRenewal(at(4 * time.Second)) // the answer to an earlier renewal arrives late
	is.Equal(o.Expiry(), at(5*time.Second+end))
	o.SetSuccessors([]string{"b", "c", "d"})
	o.RecordPromise("b", at(9*time.Second))
	o.RecordPromise("c", at(9*time.Second))
	is.Equal(o.Expiry(), at(5*time.Second+end)) // d has not promised
	is.True(lessor.NewLease(ttl, nil, time.Time{}).Expiry().IsZero())
	single := lessor.NewLease(ttl, nil, at(0))
	single.RecordPromise("b", at(9*time.Second))
	is.Equal(single.Expiry(), at(end)) // without successors only renewals in the store count
}

// TestClaimConditions guards against a successor that claims a shard although one of the four
// conditions of MayClaim is not met.
func TestClaimConditions(t *testing.T) {
	is := is.New(t)
	s := lessor.NewSuccessor(ttl, at(0))
	is.True(!s.MayClaim("x", at(time.Hour))) // no version read yet
	v := lessor.Version{Epoch: 4, Renewal: 7}
	s.RecordVersion("x", v, at(time.Second))
	is.True(!s.MayClaim("x", at(3*time.Second)))
	s.RecordVersion("x", v, at(3*time.Second)) // unchanged: the first reading counts
	is.True(s.MayClaim("x", at(4*time.Second)))
	is.True(!s.Promise("x", 3, at(4*time.Second))) // a later epoch was read
	is.True(s.Promise("x", 4, at(4*time.Second)))
	is.True(!s.MayClaim("x", at(7*time.Second-1)))
	is.True(s.MayClaim("x", at(7*time.Second)))
	s.ClaimStarted("x")
	is.True(!s.Promise("x", 5, at(7*time.Second))) // the claim may still take effect
	is.True(!s.MayClaim("x", at(8*time.Second)))
	s.ClaimResolved("x")
	is.True(s.Promise("x", 5, at(8*time.Second)))
	restarted := lessor.NewSuccessor(ttl, at(10*time.Second))
	restarted.RecordVersion("x", v, at(9*time.Second))
	is.True(!restarted.MayClaim("x", at(13*time.Second-1))) // a promise of an earlier process may be in effect
	is.True(restarted.MayClaim("x", at(13*time.Second)))
}

// heartbeat is a heartbeat in transit. The fields are the steps at which it is sent, at which it
// arrives at the successor, and at which the answer arrives at the owner.
type heartbeat struct{ sent, arrives, answered int }

// TestOwnersNeverOverlap guards against a successor that may claim a shard while the owner may still
// act on it. It varies the delays of heartbeats and reads, the availability of the store and the
// drift between the clocks, which stays below 1%.
func TestOwnersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const step, steps, hosts = 50 * time.Millisecond, 400, 3
		drift := make([]float64, hosts)
		for i := range drift {
			drift[i] = rapid.Float64Range(-0.004, 0.004).Draw(rt, "drift")
		}
		local := func(host, n int) time.Time {
			return at(time.Duration(float64(step) * float64(n) * (1 + drift[host])))
		}
		names := []string{"0", "1", "2"}
		owner := lessor.NewLease(ttl, names[1:], local(0, 0))
		version := lessor.Version{Epoch: 1}
		var successors [hosts]*lessor.Successor
		var inTransit [hosts]map[int][]heartbeat
		for i := 1; i < hosts; i++ {
			successors[i] = lessor.NewSuccessor(ttl, local(i, 0))
			inTransit[i] = make(map[int][]heartbeat)
		}
		answers := make(map[int][]func())
		partitionStep := rapid.IntRange(0, steps).Draw(rt, "partition") // from this step on the owner reaches only some hosts
		reachable := [hosts]bool{}
		for i := range reachable {
			reachable[i] = rapid.Bool().Draw(rt, "reach")
		}
		withoutStore := rapid.IntRange(0, 3).Draw(rt, "store") // host that loses the store after the partition, 3: none
		for n := 1; n < steps; n++ {
			partitioned := n >= partitionStep
			if n%20 == 0 && !(partitioned && withoutStore == 0) {
				version.Renewal++
				owner.RecordRenewal(local(0, n))
			}
			for i := 1; i < hosts; i++ {
				if n%10 == 0 && (!partitioned || reachable[i]) {
					m := heartbeat{n, n + rapid.IntRange(0, 30).Draw(rt, "delay"), 0}
					m.answered = m.arrives + rapid.IntRange(0, 30).Draw(rt, "answer delay")
					inTransit[i][m.arrives] = append(inTransit[i][m.arrives], m)
				}
				for _, m := range inTransit[i][n] {
					if successors[i].Promise("x", 1, local(i, n)) {
						answers[m.answered] = append(answers[m.answered], func() { owner.RecordPromise(names[i], local(0, m.sent)) })
					}
				}
				if !(partitioned && withoutStore == i) && rapid.IntRange(0, 4).Draw(rt, "read") == 0 {
					successors[i].RecordVersion("x", version, local(i, n))
				}
			}
			for _, f := range answers[n] {
				f()
			}
			for i := 1; i < hosts; i++ {
				current := version
				if successors[i].MayClaim("x", local(i, n)) && owner.Valid(local(0, n)) {
					// The claim is a compare-and-swap, which fails if the owner has renewed since the
					// last read. Without such a renewal the claim would succeed.
					successors[i].RecordVersion("x", current, local(i, n))
					if successors[i].MayClaim("x", local(i, n)) {
						rt.Fatalf("step %d: host %d may claim while the owner's lease is valid", n, i)
					}
				}
			}
		}
	})
}

func ExampleLease() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t := lessor.NewLease(3*time.Second, []string{"b"}, start)
	t.RecordPromise("b", start.Add(time.Second))
	fmt.Println(t.Expiry().Sub(start), t.Valid(start.Add(3*time.Second)))
	// Output: 3.92s true
}

func ExampleSuccessor() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := lessor.NewSuccessor(3*time.Second, start)
	s.RecordVersion("malolos/0", lessor.Version{Epoch: 1}, start)
	fmt.Println(s.Promise("malolos/0", 1, start.Add(time.Second)))
	fmt.Println(s.MayClaim("malolos/0", start.Add(3*time.Second)), s.MayClaim("malolos/0", start.Add(4*time.Second)))
	// Output:
	// true
	// false true
}
