package commandline

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"peridotpitch/internal/admitter"
	"peridotpitch/internal/coordinator"
	"peridotpitch/internal/orchestrator"
)

// fleetStatus returns the fixed status of 147 hosts, of which one is silent, one has the
// previous program and configuration, one forwards submissions, and the leader has refused callers.
func fleetStatus() coordinator.FleetStatus {
	host := func(n int) coordinator.HostStatus {
		return coordinator.HostStatus{Name: fmt.Sprintf("sampaloc-%d", n), FailureDomain: "Sampaloc", Program: "1.2.3", ConfigurationVersion: 14,
			ProcessorShare: 0.8, Ready: true, HeardAgo: 120 * time.Millisecond}
	}
	leader := coordinator.LeaderStatus{
		Host: host(1), Epoch: 8812, LeadingFor: 12 * time.Minute, Loaded: true, Lag: 4 * time.Millisecond, StoreSilence: 90 * time.Millisecond,
		Processors: 0.41, DisabledMechanisms: "quarantine",
		Outlook: []admitter.Entry{
			{Class: admitter.Class{Service: "batch", Priority: 2}, Cores: 60, Work: 1200, Free: 4, Rate: 310, Ratio: 1.1},
			{Class: admitter.Class{Service: "batch", BestEffort: true}, Cores: 9000, Work: 30000, Ratio: 1},
		},
		Workers: orchestrator.Status{
			Load: orchestrator.Load{Workers: 1098, Cores: 40960, Counted: 9000, Serving: 21000, Filling: 10000, Unused: 960,
				Jobs: 1159, WaitingTasks: 24, WaitingCores: 60, Passes: 12, Starts: 2481, PutOffSteps: 3},
			FailureDomains: []orchestrator.FailureDomainStatus{
				{Name: "Malolos", Workers: 550, Usable: 550, Runs: 12000},
				{Name: "Sampaloc", Workers: 550, Usable: 548, Unreachable: 1, Runs: 11900},
				{Name: "Tarlac", Workers: 5, Runs: 7, EvacuatedFor: 3 * time.Minute},
			},
			Unusable: []orchestrator.WorkerStatus{
				{ID: "w-17", FailureDomain: "Sampaloc", Address: netip.MustParseAddrPort("10.1.1.17:9000"), Reason: "is draining", AnsweredAgo: 80 * time.Millisecond, Runs: 4},
				{ID: "w-18", FailureDomain: "Sampaloc", Address: netip.MustParseAddrPort("10.1.1.18:9000"), Reason: "has not answered this leader yet"},
			},
			Omitted: 2,
		},
	}
	for n := 2; n <= 147; n++ {
		leader.Hosts = append(leader.Hosts, host(n))
	}
	leader.Hosts[40].HeardAgo, leader.Hosts[40].Silent = 31*time.Second, true
	leader.Hosts[42].Ready, leader.Hosts[42].Forwarded, leader.Hosts[42].RefusedCallers = false, 17, 4
	leader.Host.RefusedCallers = 2
	leader.Hosts[41].Program, leader.Hosts[41].ConfigurationVersion, leader.Hosts[41].Ready = "1.2.2", 13, false
	return coordinator.FleetStatus{Host: host(5), Leader: &leader}
}

// serveFleetStatus answers like the MetricsAddress of an entry host.
func serveFleetStatus(s coordinator.FleetStatus) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+coordinator.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s)
	})
	return mux
}
