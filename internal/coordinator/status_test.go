package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A rolling restart reaches the leader. Guards against a hand-over to a host that is to be restarted
// next: on the large deployment's day scale-2, three of eight plays had a second hand-over within 2 s.
func TestSuccessorHasBeenRestarted(t *testing.T) {
	now := time.Unix(1e9, 0)
	own := HostStatus{Name: "a", ProcessorShare: 0.8, Uptime: time.Hour}
	host := func(name string, uptime time.Duration) HostStatus {
		return HostStatus{Name: name, ProcessorShare: 0.8, Ready: true, Uptime: uptime}
	}
	unready, weak := host("u", time.Second), host("v", time.Second)
	unready.Ready, weak.ProcessorShare = false, 0.11
	for _, c := range []struct {
		name  string
		hosts []HostStatus
		want  string
	}{
		{"no host has been restarted", []HostStatus{host("b", 2*time.Hour)}, ""},
		{"two have", []HostStatus{host("b", 2*time.Hour), host("c", 9*time.Second), host("d", 4*time.Second)}, "d"},
		{"not ready or weak", []HostStatus{unready, weak, host("c", 9*time.Second)}, "c"},
		{"restarts often", []HostStatus{host("d", time.Minute), host("d", 5*time.Second), host("d", 2*time.Second), host("c", 9*time.Second)}, "c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var table hostTable
			table.record(host("s", time.Millisecond), now.Add(-time.Minute)) // silent since
			for _, h := range c.hosts {
				table.record(h, now)
			}
			is.Equal(table.preferredSuccessor(own, now), c.want)
		})
	}
}

// Guards against a status that shows hosts for ever that were removed, or counts silent ones as heard.
func TestSilentHostsAreShownAndForgotten(t *testing.T) {
	is := is.New(t)
	var table hostTable
	at := time.Unix(1e9, 0)
	table.record(HostStatus{Name: "b"}, at)
	table.record(HostStatus{Name: "a"}, at.Add(time.Second))
	hosts := table.list(at.Add(maxHostSilence))
	is.Equal(len(hosts), 2)
	is.Equal(hosts[0], HostStatus{Name: "a", HeardAgo: time.Second})
	is.Equal(hosts[1], HostStatus{Name: "b", HeardAgo: maxHostSilence, Silent: true})
	is.Equal(len(table.list(at.Add(hostRetention))), 1)
}
