package evaluator

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Row is one line of the table.
type Row struct {
	Firm, Scenario, Policies string
	Seed                     uint64
	Result
}

// Evaluate runs every combination of the arguments and returns one row for each, in the order
// of the arguments. length and warmUp set Config.Length and Config.WarmUp. Runs are
// independent, so their concurrency does not change the results.
func Evaluate(firms []Firm, scenarios []Scenario, policies []Policies, seeds []uint64, length, warmUp time.Duration) []Row {
	var rows []Row
	var configs []Config
	for _, f := range firms {
		for _, s := range scenarios {
			for _, seed := range seeds {
				for _, p := range policies {
					rows = append(rows, Row{Firm: f.Name, Scenario: s.Name, Policies: p.Name, Seed: seed})
					configs = append(configs, Config{Firm: f, Scenario: s, Policies: p, Seed: seed, Length: length, WarmUp: warmUp})
				}
			}
		}
	}
	var g errgroup.Group
	g.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i := range rows {
		g.Go(func() error {
			rows[i].Result = Run(configs[i])
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		panic(err) // no run returns an error
	}
	return rows
}

// Print writes rows as a table with aligned columns. P50, P99 and P99.9 are in milliseconds,
// Goodput in answers per second, Batch (Result.Throughput) in core hours.
func Print(w io.Writer, rows []Row) error {
	const head = "%-11s %-13s %-25s %4s %6s %6s %6s %8s %7s %7s %7s %6s %6s %6s %6s %8s %9s %s\n"
	if _, err := fmt.Fprintf(w, head, "Firm", "Scenario", "Policies", "Seed", "P50", "P99", "P99.9", "Answered", "NotRun", "Unknown", "Goodput", "Evict", "Killed", "Lost", "Jobs", "Batch", "Urgent", "Broken"); err != nil {
		return err
	}
	for _, r := range rows {
		_, err := fmt.Fprintf(w, "%-11s %-13s %-25s %4d %6d %6d %6d %8d %7d %7d %7.1f %6d %6d %6d %6d %8.1f %9s %s\n",
			r.Firm, r.Scenario, r.Policies, r.Seed, r.P50.Milliseconds(), r.P99.Milliseconds(), r.P999.Milliseconds(),
			r.Answered, r.NotRun, r.Unknown, r.Goodput, r.Evictions, r.OutOfMemoryKills, r.Lost, r.Finished, r.Throughput,
			r.UrgentStart.Round(100*time.Millisecond), r.violations())
		if err != nil {
			return err
		}
	}
	return nil
}

// violations lists the violated guarantees with their numbers of violations.
func (r *Row) violations() string {
	var out []string
	for g := 1; g <= 9; g++ {
		if n := r.Violations[g]; n > 0 {
			out = append(out, fmt.Sprintf("%d:%d", g, n))
		}
	}
	if len(out) == 0 {
		return "0"
	}
	return strings.Join(out, ",")
}
