package readmitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a wait for an outage where the reason of the refusal passes sooner, and against a retry before the
// time that the store asked for.
func TestOtherCausesPassSoon(t *testing.T) {
	is := is.New(t)
	for _, c := range []Cause{CauseRateLimit, CauseLeaderChange, CauseNotConfigured} {
		is.Equal(RetryAfter(Refusal{Cause: c, StoreSilence: time.Minute, Waiting: 900, Hosts: 9, ReturnRate: 10}), MinWait)
	}
	is.Equal(RetryAfter(Refusal{Cause: CauseRateLimit, Limited: 1100 * time.Millisecond}), 2*time.Second)
}

// All callers are refused in the same instant. Guards against two priorities that may return in the same earliest
// second, against a second in which more callers return than the rate allows, and against waits that no caller
// waits out.
func TestWaveIsSpread(t *testing.T) {
	is := is.New(t)
	for _, priorities := range [][]int{{0}, {0, 1}, {0, 1, 1, 2}, {4, 0, 0, 9}} {
		for _, hosts := range []int{0, 1, 35} {
			for _, silence := range []time.Duration{0, 900 * time.Millisecond, 5 * time.Second, time.Hour} {
				const rate, callers = 300, 700
				r := Refusal{Cause: CauseOutage, Priorities: priorities, StoreSilence: silence, Hosts: hosts, Waiting: callers / max(hosts, 1), ReturnRate: rate}
				earliest, perSecond := map[int]time.Duration{}, map[time.Duration]int{}
				for i := range callers {
					r.ID, r.Priority = fmt.Sprintf("%016x", i), priorities[i%len(priorities)]
					wait := RetryAfter(r)
					is.True(wait >= MinWait && wait <= MaxWait && wait%time.Second == 0)
					is.Equal(wait, RetryAfter(r))
					perSecond[wait]++
					if e, ok := earliest[r.Priority]; !ok || wait < e {
						earliest[r.Priority] = wait
					}
				}
				taken := map[time.Duration]bool{}
				for p, e := range earliest {
					is.True(!taken[e])
					is.True(e >= earliest[0] || p == 0) // the most urgent come first
					taken[e] = true
				}
				for s, n := range perSecond {
					if n > rate*11/10 { // the hashes of so few IDs are not quite even
						t.Errorf("priorities %v, %d hosts, silent for %s: %d callers return after %s", priorities, hosts, silence, n, s)
					}
				}
			}
		}
	}
}

// Guards against a wait that stays the same for callers of a long outage, who use up their tries.
func TestWaitGrowsWithOutage(t *testing.T) {
	is := is.New(t)
	is.True(reach(RetryAfter) >= 5500*time.Millisecond)
	is.True(reach(func(Refusal) time.Duration { return time.Second }) < 5500*time.Millisecond) // the load tests it
}

// reach returns the mean silence at which an urgent caller makes its fifth try, if few others are refused.
func reach(wait func(Refusal) time.Duration) time.Duration {
	var sum time.Duration
	for i := range 100 {
		r := Refusal{Cause: CauseOutage, ID: fmt.Sprintf("%016x", i), Priorities: []int{0, 1}, StoreSilence: 800 * time.Millisecond, ReturnRate: 100}
		for range 4 {
			r.StoreSilence += wait(r)
		}
		sum += r.StoreSilence
	}
	return sum / 100
}

// Guards against returns that are counted after they were due, or not until then.
func TestReturnsEnd(t *testing.T) {
	is := is.New(t)
	var r Returns
	now := time.Unix(1000, 0)
	for i := range 60 {
		r.Add(now, time.Duration(1+i%6)*time.Second)
	}
	for s := range 8 {
		is.Equal(r.Waiting(now.Add(time.Duration(s)*time.Second)), max(0, 60-10*s))
	}
	r.Add(now.Add(7*time.Second), time.Hour)
	is.Equal(r.Waiting(now.Add(7*time.Second)), 1)
	is.Equal(r.Waiting(now.Add(7*time.Second+MaxWait)), 0)
}

// caller is a caller of the simulated outage.
type caller struct {
	id       string
	priority int
	obeys    bool
	tries    int
	at       time.Duration // of the next try
}

// outage simulates 1,000 callers who arrive within an outage of 5 s at 35 hosts, and returns the submissions in each
// quarter of a second after it by obeying callers, the callers who do not obey and are served after it, and the mean
// time after the outage at which the callers of each priority are served.
func outage(wait func(Refusal) time.Duration) (served []int, disobeying int, means map[int]time.Duration) {
	const hosts, end = 35, 5 * time.Second
	random := rand.New(rand.NewPCG(7, 7))
	lastServed, returns := make([]time.Duration, hosts), make([]Returns, hosts)
	for h := range hosts {
		lastServed[h] = -time.Duration(random.IntN(300)) * time.Millisecond
	}
	callers := make([]caller, 1000)
	for i := range callers {
		callers[i] = caller{id: fmt.Sprintf("%016x", random.Uint64()), priority: []int{0, 1, 1, 2}[i%4], obeys: i%10 != 0, at: time.Duration(random.Int64N(int64(end)))}
	}
	served, means = make([]int, 4*20), make(map[int]time.Duration)
	counts := make(map[int]int)
	start := time.Unix(1e6, 0)
	for now := time.Duration(0); now < end+15*time.Second; now += 5 * time.Millisecond {
		for i := range callers {
			c := &callers[i]
			if c.at > now || c.tries < 0 {
				continue
			}
			if now >= end {
				c.tries = -1
				if !c.obeys {
					disobeying++
					continue
				}
				served[(now-end)/(250*time.Millisecond)]++
				means[c.priority] += now - end
				counts[c.priority]++
				continue
			}
			h := random.IntN(hosts)
			refusal := Refusal{Cause: CauseOutage, ID: c.id, Priority: c.priority, Priorities: []int{0, 1, 1, 2}, StoreSilence: now - lastServed[h],
				Waiting: returns[h].Waiting(start.Add(now)) + 1, Hosts: hosts, ReturnRate: 300}
			d := wait(refusal)
			returns[h].Add(start.Add(now), d)
			c.tries++
			switch {
			case c.obeys:
				c.at = now + d
			case c.tries < 5:
				c.at = now + 100*time.Millisecond // at once, after the refusal has arrived
			default:
				c.tries = -1
			}
		}
	}
	for p, n := range counts {
		means[p] /= time.Duration(n)
	}
	return served, disobeying, means
}

// Guards against a burst of submissions after an outage: all who were refused return in the same second, the store
// then limits the rate, and urgent callers wait behind others.
func TestReturnsAfterOutage(t *testing.T) {
	const rate = 300
	worst := func(served []int) int {
		n := 0
		for i := range served[:len(served)-3] {
			n = max(n, served[i]+served[i+1]+served[i+2]+served[i+3])
		}
		return n
	}
	served, disobeying, means := outage(RetryAfter)
	t.Logf("in the worst second %d and %d who do not obey; mean times %v", worst(served), disobeying, means)
	if n := worst(served); n > rate {
		t.Errorf("%d submissions in one second, %d are wanted", n, rate)
	}
	if means[0] >= means[1] || means[1] >= means[2] {
		t.Errorf("the mean times until callers return are not in the order of priorities: %v", means)
	}
	if served, _, _ := outage(func(Refusal) time.Duration { return time.Second }); worst(served) <= rate {
		t.Errorf("a wait of one second keeps the bound (%d): the load does not test it", worst(served))
	}
}
