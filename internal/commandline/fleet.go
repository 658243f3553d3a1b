package commandline

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/administrator"
	"peridotpitch/internal/admitter"
	"peridotpitch/internal/coordinator"
	"peridotpitch/internal/orchestrator"
)

// fleetTimeout limits the request to one entry host. The host answers within half a second, also
// when the leader does not answer it.
const fleetTimeout = 900 * time.Millisecond

// maxFleetStatusBytes limits the size of a status. That of 147 hosts takes 40 KB.
const maxFleetStatusBytes = 8 << 20

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, usagef("address %q is not accepted; allowed: IP address and port, for example 10.1.0.1:7403", t)
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}

// showFleet shows the status of the fleet from the first host that answers and knows the leader.
// If no host knows the leader, it shows what the first one that answers knows.
func (c *call) showFleet(addresses []netip.AddrPort) error {
	var first *coordinator.FleetStatus
	var errs []error
	for _, a := range addresses {
		s, err := fetchFleet(a, cmp.Or(c.FleetTimeout, fleetTimeout))
		if err != nil {
			errs = append(errs, &administrator.NoAnswerError{Address: a, Cause: err})
			continue
		}
		if first == nil || s.Leader != nil {
			first = &s
		}
		if s.Leader != nil {
			break
		}
	}
	if first == nil {
		return errors.Join(errs...)
	}
	return c.show(first, func(w io.Writer) { printFleet(w, *first) })
}

func fetchFleet(a netip.AddrPort, timeout time.Duration) (coordinator.FleetStatus, error) {
	client := fasthttp.Client{MaxResponseBodySize: maxFleetStatusBytes, NoDefaultUserAgentHeader: true}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + a.String() + coordinator.StatusPath)
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return coordinator.FleetStatus{}, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return coordinator.FleetStatus{}, fmt.Errorf("%s was answered with status %d", coordinator.StatusPath, response.StatusCode())
	}
	var s coordinator.FleetStatus
	if err := json.Unmarshal(response.Body(), &s); err != nil {
		return coordinator.FleetStatus{}, fmt.Errorf("unreadable status: %w", err)
	}
	return s, nil
}

// printFleet prints counts for all hosts and workers, and one row for each that an operator may
// have to look at.
func printFleet(w io.Writer, s coordinator.FleetStatus) {
	row(w, "Answered by", describeHost(s.Host))
	if s.Leader == nil {
		row(w, "Leader", "unknown: "+s.NoLeader)
		return
	}
	l := s.Leader
	loaded := ""
	if !l.Loaded {
		loaded = ", does not send orders"
	}
	row(w, "Leader", fmt.Sprintf("%s; leads for %s, epoch %d%s", describeHost(l.Host), formatAge(l.LeadingFor), l.Epoch, loaded))
	row(w, "Leader's load", fmt.Sprintf("%.2f of %.2f processors, %s behind, last write confirmed %s ago",
		l.Processors, l.Host.ProcessorShare, roundAge(l.Lag), roundAge(l.StoreSilence)))
	row(w, "Mechanisms off", l.DisabledMechanisms)
	all := append(slices.Clone(l.Hosts), l.Host)
	row(w, "Entry hosts", fmt.Sprintf("%d; program %s; configuration %s", len(all),
		countBy(all, func(h coordinator.HostStatus) string { return h.Program }),
		countBy(all, func(h coordinator.HostStatus) string { return fmt.Sprint(h.ConfigurationVersion) })))
	load := l.Workers.Load
	row(w, "Workers", fmt.Sprintf("%d usable with %d cores: %d counted, %d serving, %d filling, %d unused",
		load.Workers, load.Cores, load.Counted, load.Serving, load.Filling, load.Unused))
	row(w, "Work", fmt.Sprintf("%d jobs; %d tasks wait for %d cores; in the last second %d starts in %d passes, %d steps put off",
		load.Jobs, load.WaitingTasks, load.WaitingCores, load.Starts, load.Passes, load.PutOffSteps))
	_, _ = fmt.Fprintln(w)
	printOutlook(w, l.Outlook)
	printHostsToCheck(w, *l)
	printFailureDomains(w, l.Workers.FailureDomains)
	if len(l.Workers.Unusable) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w)
	row(w, "WORKER WITHOUT NEW WORK", "FAILURE DOMAIN", "ADDRESS", "ANSWERED", "RUNS", "REASON")
	for _, k := range l.Workers.Unusable {
		answered := "never"
		if k.AnsweredAgo > 0 {
			answered = roundAge(k.AnsweredAgo) + " ago"
		}
		row(w, k.ID, k.FailureDomain, k.Address, answered, k.Runs, k.Reason)
	}
	if l.Workers.Omitted > 0 {
		row(w, fmt.Sprintf("and %d more", l.Workers.Omitted))
	}
}

// printFailureDomains prints a row for each failure domain, with a column for evacuations if there are any.
func printFailureDomains(w io.Writer, domains []orchestrator.FailureDomainStatus) {
	header := []any{"FAILURE DOMAIN", "WORKERS", "USABLE", "OUT OF REACH", "RUNS"}
	evacuated := slices.ContainsFunc(domains, func(d orchestrator.FailureDomainStatus) bool { return d.EvacuatedFor > 0 })
	if evacuated {
		header = append(header, "EVACUATED")
	}
	row(w, header...)
	for _, d := range domains {
		cells := []any{d.Name, d.Workers, d.Usable, d.Unreachable, d.Runs}
		switch {
		case d.EvacuatedFor > 0:
			cells = append(cells, "for "+formatAge(d.EvacuatedFor))
		case evacuated:
			cells = append(cells, "no")
		}
		row(w, cells...)
	}
}

// printOutlook prints the outlook by which hosts accept jobs, one row for each service, kind and priority.
func printOutlook(w io.Writer, entries []admitter.Entry) {
	if len(entries) == 0 {
		return
	}
	row(w, "SERVICE", "PRIORITY", "WAITING CORES", "CORE-SECONDS TO DO", "FREE CORES", "CORE-SECONDS PER SECOND", "RUN TIMES / ESTIMATES")
	for _, e := range entries {
		service, rate := e.Class.Service, "not measured"
		if e.Class.BestEffort {
			service += ", best-effort"
		}
		if e.Rate > 0 {
			rate = fmt.Sprintf("%.0f", e.Rate)
		}
		row(w, service, e.Class.Priority, fmt.Sprintf("%.0f", e.Cores), fmt.Sprintf("%.0f", e.TotalWork()), fmt.Sprintf("%.0f", e.Free), rate,
			fmt.Sprintf("%.2f", e.Ratio))
	}
	_, _ = fmt.Fprintln(w)
}

// printHostsToCheck prints the hosts that are silent or not ready, or whose program or
// configuration is not that of the leader, and those, the leader too, that have forwarded submissions or refused
// callers.
func printHostsToCheck(w io.Writer, l coordinator.LeaderStatus) {
	header := false
	// The row "Leader" says whether the leader is ready.
	leader := l.Host
	leader.Ready = true
	for _, h := range append(slices.Clone(l.Hosts), leader) {
		var reasons []string
		if h.Silent {
			reasons = append(reasons, "silent")
		}
		if !h.Ready {
			reasons = append(reasons, "not ready")
		}
		if h.Program != l.Host.Program {
			reasons = append(reasons, "program "+h.Program)
		}
		if h.ConfigurationVersion != l.Host.ConfigurationVersion {
			reasons = append(reasons, fmt.Sprintf("configuration %d", h.ConfigurationVersion))
		}
		if h.Forwarded > 0 {
			reasons = append(reasons, fmt.Sprintf("%d submissions forwarded in the last 10s", h.Forwarded))
		}
		if h.RefusedCallers > 0 {
			reasons = append(reasons, fmt.Sprintf("%d refused callers not due yet", h.RefusedCallers))
		}
		if h.UnknownSettings > 0 {
			reasons = append(reasons, fmt.Sprintf("%d unknown settings", h.UnknownSettings))
		}
		if len(reasons) == 0 {
			continue
		}
		if !header {
			row(w, "HOST TO CHECK", "FAILURE DOMAIN", "HEARD", "REASON")
			header = true
		}
		row(w, h.Name, h.FailureDomain, roundAge(h.HeardAgo)+" ago", strings.Join(reasons, ", "))
	}
	if header {
		_, _ = fmt.Fprintln(w)
	}
}

func describeHost(h coordinator.HostStatus) string {
	ready := "ready"
	if !h.Ready {
		ready = "not ready"
	}
	return fmt.Sprintf("%s (%s), %s", h.Name, h.FailureDomain, ready)
}

// countBy returns the values of hosts with their numbers, the most frequent first, for example
// "14 on 146, 13 on 1".
func countBy(hosts []coordinator.HostStatus, value func(coordinator.HostStatus) string) string {
	counts := make(map[string]int)
	var values []string
	for _, h := range hosts {
		v := value(h)
		if counts[v]++; counts[v] == 1 {
			values = append(values, v)
		}
	}
	slices.SortFunc(values, func(a, b string) int { return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b)) })
	for i, v := range values {
		values[i] = fmt.Sprintf("%s on %d", v, counts[v])
	}
	return strings.Join(values, ", ")
}

// roundAge formats a short duration in milliseconds.
func roundAge(d time.Duration) string { return d.Round(time.Millisecond).String() }
