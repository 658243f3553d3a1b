package keeper_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpitch/internal/keeper"
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

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// Guards against an owner that counts on a renewal or on some of the promises for longer
// than its successors wait.
func TestTenure(t *testing.T) {
	is := is.New(t)
	o := keeper.NewTenure(ttl, []string{"b", "c"}, at(0))
	end := ttl - keeper.Margin(ttl)
	is.Equal(o.Until(), at(end))
	is.True(o.Holds(at(end - 1)))
	is.True(!o.Holds(at(end)))
	o.Promised("b", at(2*time.Second))
	o.Promised("stranger", at(2*time.Second))
	is.Equal(o.Until(), at(end)) // one of two promises is not enough
	o.Promised("c", at(time.Second))
	is.Equal(o.Until(), at(time.Second+end)) // the earliest counts
	o.Renewed(at(5 * time.Second))
	o.Renewed(at(4 * time.Second)) // an overtaken answer
	is.Equal(o.Until(), at(5*time.Second+end))
	o.SetSuccessors([]string{"b", "c", "d"})
	o.Promised("b", at(9*time.Second))
	o.Promised("c", at(9*time.Second))
	is.Equal(o.Until(), at(5*time.Second+end)) // d has not promised
	is.True(keeper.NewTenure(ttl, nil, time.Time{}).Until().IsZero())
	alone := keeper.NewTenure(ttl, nil, at(0))
	alone.Promised("b", at(9*time.Second))
	is.Equal(alone.Until(), at(end)) // without successors only the store renews
}

// Guards against a successor that claims although one of the four conditions fails.
func TestSuccessor(t *testing.T) {
	is := is.New(t)
	s := keeper.NewSuccessor(ttl, at(0))
	is.True(!s.MayClaim("x", at(time.Hour))) // nothing read yet
	v := keeper.Version{Epoch: 4, Renewal: 7}
	s.Seen("x", v, at(time.Second))
	is.True(!s.MayClaim("x", at(3*time.Second)))
	s.Seen("x", v, at(3*time.Second)) // unchanged: the first reading counts
	is.True(s.MayClaim("x", at(4*time.Second)))
	is.True(!s.Promise("x", 3, at(4*time.Second))) // an epoch that is over
	is.True(s.Promise("x", 4, at(4*time.Second)))
	is.True(!s.MayClaim("x", at(7*time.Second-1)))
	is.True(s.MayClaim("x", at(7*time.Second)))
	s.Claiming("x")
	is.True(!s.Promise("x", 5, at(7*time.Second))) // the claim may take effect
	is.True(!s.MayClaim("x", at(8*time.Second)))
	s.Resolved("x")
	is.True(s.Promise("x", 5, at(8*time.Second)))
	young := keeper.NewSuccessor(ttl, at(10*time.Second))
	young.Seen("x", v, at(9*time.Second))
	is.True(!young.MayClaim("x", at(13*time.Second-1))) // an earlier process may have promised
	is.True(young.MayClaim("x", at(13*time.Second)))
}

// message is a heartbeat on its way: received by the successor at arrives, answered to
// the owner at answered.
type message struct{ sent, arrives, answered int }

// Guards against two owners that act at the same time, whatever the delays of heartbeats
// and reads, the store's availability and the clocks' drift within 1%.
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
		owner := keeper.NewTenure(ttl, names[1:], local(0, 0))
		version := keeper.Version{Epoch: 1}
		var successors [hosts]*keeper.Successor
		var flying [hosts]map[int][]message
		for i := 1; i < hosts; i++ {
			successors[i] = keeper.NewSuccessor(ttl, local(i, 0))
			flying[i] = make(map[int][]message)
		}
		answers := make(map[int][]func())
		partition := rapid.IntRange(0, steps).Draw(rt, "partition") // from then on the owner reaches only some
		reach := [hosts]bool{}
		for i := range reach {
			reach[i] = rapid.Bool().Draw(rt, "reach")
		}
		store := rapid.IntRange(0, 3).Draw(rt, "store") // host that loses the store, 3: none
		for n := 1; n < steps; n++ {
			cut := n >= partition
			if n%20 == 0 && !(cut && store == 0) {
				version.Renewal++
				owner.Renewed(local(0, n))
			}
			for i := 1; i < hosts; i++ {
				if n%10 == 0 && (!cut || reach[i]) {
					m := message{n, n + rapid.IntRange(0, 30).Draw(rt, "there"), 0}
					m.answered = m.arrives + rapid.IntRange(0, 30).Draw(rt, "back")
					flying[i][m.arrives] = append(flying[i][m.arrives], m)
				}
				for _, m := range flying[i][n] {
					if successors[i].Promise("x", 1, local(i, n)) {
						answers[m.answered] = append(answers[m.answered], func() { owner.Promised(names[i], local(0, m.sent)) })
					}
				}
				if !(cut && store == i) && rapid.IntRange(0, 4).Draw(rt, "read") == 0 {
					successors[i].Seen("x", version, local(i, n))
				}
			}
			for _, f := range answers[n] {
				f()
			}
			for i := 1; i < hosts; i++ {
				current := version
				if successors[i].MayClaim("x", local(i, n)) && owner.Holds(local(0, n)) {
					// The compare-and-swap still fails if the owner has renewed unseen.
					successors[i].Seen("x", current, local(i, n))
					if successors[i].MayClaim("x", local(i, n)) {
						rt.Fatalf("step %d: host %d may claim while the owner's tenure holds", n, i)
					}
				}
			}
		}
	})
}

func ExampleTenure() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t := keeper.NewTenure(3*time.Second, []string{"b"}, start)
	t.Promised("b", start.Add(time.Second))
	fmt.Println(t.Until().Sub(start), t.Holds(start.Add(3*time.Second)))
	// Output: 3.92s true
}

func ExampleSuccessor() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := keeper.NewSuccessor(3*time.Second, start)
	s.Seen("malolos/0", keeper.Version{Epoch: 1}, start)
	fmt.Println(s.Promise("malolos/0", 1, start.Add(time.Second)))
	fmt.Println(s.MayClaim("malolos/0", start.Add(3*time.Second)), s.MayClaim("malolos/0", start.Add(4*time.Second)))
	// Output:
	// true
	// false true
}
