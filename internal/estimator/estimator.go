package estimator

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"
)

// repetitions is the number of repetitions of a measurement. The result is their median.
const repetitions = 5

// Run measures all series and prints them and the estimates from them to stdout as Markdown.
// It returns the exit code of the process: 1 after an error or if a series was not measured, 2
// for invalid arguments.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	size := PlannedDeployment()
	f := flag.NewFlagSet("measure", flag.ContinueOnError)
	f.SetOutput(stderr)
	seed := f.Uint64("seed", 1, "seed of the inputs")
	hosts := f.String("hosts", "12,24", "comma-separated numbers of entry hosts for which the needs are estimated")
	budget := f.Duration("budget", 100*time.Millisecond, "processor time of one repetition of a measurement")
	f.IntVar(&size.ShardWorkers, "shard-workers", size.ShardWorkers, "largest number of workers in a shard")
	f.Float64Var(&size.RequestsPerHost, "requests", size.RequestsPerHost, "requests per second at each entry host")
	if err := f.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	counts, err := hostCounts(*hosts, size.Domains)
	if err != nil || size.ShardWorkers < 1 || *budget <= 0 {
		err = cmp.Or(err, errors.New("shard-workers and budget must be greater than 0"))
		_, _ = fmt.Fprintln(stderr, "measure:", err)
		return 2
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	ms := measurer{costMeter: costMeter{*budget, repetitions}, seed: *seed}
	all, err := ms.measureAll()
	if err == nil {
		var calls []Series
		calls, err = ms.measureStoreCalls(ctx)
		all = append(all, calls...)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "measure:", err)
		return 1
	}
	var page bytes.Buffer
	printEnvironment(&page, *seed)
	m := newModel(size, all)
	page.WriteString("\n## Slopes\n")
	for _, x := range all {
		x.writeTable(&page)
	}
	for _, n := range counts {
		printEstimates(&page, m, n)
		printOptimizations(&page, m, n)
	}
	if _, err := stdout.Write(page.Bytes()); err != nil {
		_, _ = fmt.Fprintln(stderr, "measure:", err)
		return 1
	}
	if len(m.missing) > 0 {
		_, _ = fmt.Fprintln(stderr, "measure: series not measured, counted as 0:", slices.Sorted(maps.Keys(m.missing)))
		return 1
	}
	return 0
}

// hostCounts parses comma-separated numbers of entry hosts. Each must be a multiple of the
// number of failure domains, with at least two hosts in each.
func hostCounts(text string, domains int) ([]int, error) {
	var counts []int
	for _, x := range strings.Split(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(x))
		if err != nil || n < 2*domains || n%domains != 0 {
			return nil, fmt.Errorf("hosts: %q is not a multiple of %d failure domains with at least 2 hosts in each", x, domains)
		}
		counts = append(counts, n)
	}
	return counts, nil
}

// printEnvironment prints the conditions of the measurements.
func printEnvironment(w *bytes.Buffer, seed uint64) {
	fmt.Fprintf(w, "Run on %s with %s on %s/%s, %d processors, seed %d. Times are processor time, the median of %d repetitions.\n",
		time.Now().UTC().Format("2006-01-02 15:04 UTC"), runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), seed, repetitions)
}

// printEstimates prints the estimated usage, and the limits that apply, with a number of entry
// hosts.
func printEstimates(w *bytes.Buffer, m model, hosts int) {
	average, peak := m.estimate(hosts, false), m.estimate(hosts, true)
	fmt.Fprintf(w, "\n## With %d entry hosts and %d shards\n", hosts, average.Shards)
	for _, d := range []systemUsage{average, peak} {
		when := "On average over a day"
		if d.Peak {
			when = "At the peak of starts"
		}
		fmt.Fprintf(w, "\n%s (%s starts per second and shard), on each entry host:\n\n", when, formatNumber(d.StartsPerShard))
		fmt.Fprint(w, "| role | state/bytes | calls/s | bytes/s | % of a core | heap/bytes |\n|---|---:|---:|---:|---:|---:|\n")
		for _, u := range append([]roleUsage{d.Requests}, append(d.Control, d.total())...) {
			fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", u.Role, orDash(u.StateBytes), orDash(u.CallsPerSecond), orDash(u.BytesPerSecond), formatNumber(u.CorePercent), formatNumber(u.HeapBytes))
		}
		s := d.Store
		fmt.Fprintf(w, "\nStore: %s bytes held, %s writes/s, %s reads/s, %s bytes/s in, %s bytes/s out, largest value %s bytes. One worker: %s calls/s, %s bytes/s.\n",
			formatNumber(s.StateBytes), formatNumber(s.WritesPerSecond), formatNumber(s.ReadsPerSecond), formatNumber(s.InBytesPerSecond), formatNumber(s.OutBytesPerSecond), formatNumber(s.MaxValueBytes), formatNumber(d.Worker.CallsPerSecond), formatNumber(d.Worker.BytesPerSecond))
	}
	fmt.Fprintf(w, "\nHeartbeat %s bytes, endpoints and grants of one host %s bytes, journal %s bytes, configuration %s bytes.\n",
		formatNumber(average.HeartbeatBytes), formatNumber(average.AnswerBytes), formatNumber(average.JournalBytes), formatNumber(average.ConfigBytes))
	fmt.Fprint(w, "\nLimits, the first to break first:\n\n| figure | value | limit | unit | verdict | breaks at multiple of the size |\n|---|---:|---:|---|---|---:|\n")
	type row struct {
		limitCheck
		breaks float64
	}
	var rows []row
	for i, x := range m.limitChecks(hosts) {
		rows = append(rows, row{x, m.breakingMultiple(hosts, i)})
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.breaks, b.breaks), cmp.Compare(b.Value/b.Limit, a.Value/a.Limit))
	})
	for _, x := range rows {
		verdict, breaks := "within", formatNumber(x.breaks)
		if x.Value > x.Limit {
			verdict = "OVER"
		}
		switch x.breaks {
		case 0:
			breaks = "over at any size"
		case maxSizeMultiple:
			breaks = fmt.Sprintf("above %d", maxSizeMultiple)
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", x.Name, formatNumber(x.Value), formatNumber(x.Limit), x.Unit, verdict, breaks)
	}
}

// orDash formats a number, and 0 as a dash.
func orDash(x float64) string {
	if x == 0 {
		return "–"
	}
	return formatNumber(x)
}

// optimizationSteps are optimizations that are not implemented, in the order in which printOptimizations adds them.
var optimizationSteps = []struct {
	what  string
	apply func(c *optimizations)
}{
	{"today", func(*optimizations) {}},
	{"renewals in a small key, hosts watch only these", func(c *optimizations) { c.renewalKey = true }},
	{"journal writes carry only changes", func(c *optimizations) { c.journalLog = true }},
	{"reports list only changed tasks", func(c *optimizations) { c.reportDeltas = true }},
	{"one lease renewal for each worker", func(c *optimizations) { c.workerLeases = true }},
	{"endpoints are sent when changed", func(c *optimizations) { c.endpointDelta = true }},
	{"operators' lists in pages", func(c *optimizations) { c.listPages = true }},
	{"configuration read by generation", func(c *optimizations) { c.configKey = true }},
}

// printOptimizations prints the estimated usage of an entry host after each optimization, with all optimizations before
// it applied as well.
func printOptimizations(w *bytes.Buffer, m model, hosts int) {
	fmt.Fprint(w, "\nControl on an entry host after each change and those before it, none of which is made yet:\n\n")
	fmt.Fprint(w, "| change | bytes/s, average | bytes/s, peak | % of a core, average | % of a core, peak | store writes/s, peak |\n|---|---:|---:|---:|---:|---:|\n")
	for _, x := range optimizationSteps {
		x.apply(&m.optimizations)
		average, peak := m.estimate(hosts, false), m.estimate(hosts, true)
		a, p := average.total(), peak.total()
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", x.what, formatNumber(a.BytesPerSecond), formatNumber(p.BytesPerSecond), formatNumber(a.CorePercent), formatNumber(p.CorePercent), formatNumber(peak.Store.WritesPerSecond))
	}
}
