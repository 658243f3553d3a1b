package surveyor

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

// repetitions of a measurement.
const repetitions = 5

// Run measures, and prints the measurements and what follows from them to stdout as
// Markdown. It returns the process's exit code: 2 for wrong arguments.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	size := TwoYears()
	f := flag.NewFlagSet("measure", flag.ContinueOnError)
	f.SetOutput(stderr)
	seed := f.Uint64("seed", 1, "seed of the inputs")
	hosts := f.String("hosts", "12,24", "numbers of entry hosts to work out figures for")
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
		err = cmp.Or(err, errors.New("shard-workers and budget must be above 0"))
		_, _ = fmt.Fprintln(stderr, "measure:", err)
		return 2
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	s := survey{meter: meter{*budget, repetitions}, seed: *seed}
	all, err := s.all()
	if err == nil {
		var calls []Series
		calls, err = s.stores(ctx)
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
		x.print(&page)
	}
	for _, n := range counts {
		printDemands(&page, m, n)
		printChanges(&page, m, n)
	}
	if _, err := stdout.Write(page.Bytes()); err != nil {
		_, _ = fmt.Fprintln(stderr, "measure:", err)
		return 1
	}
	if len(m.missing) > 0 {
		_, _ = fmt.Fprintln(stderr, "measure: not measured, counted as 0:", slices.Sorted(maps.Keys(m.missing)))
		return 1
	}
	return 0
}

// hostCounts reads numbers of entry hosts: at least two in each failure domain.
func hostCounts(text string, domains int) ([]int, error) {
	var counts []int
	for _, x := range strings.Split(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(x))
		if err != nil || n < 2*domains || n%domains != 0 {
			return nil, fmt.Errorf("hosts: %q is not a multiple of the %d failure domains with at least 2 in each", x, domains)
		}
		counts = append(counts, n)
	}
	return counts, nil
}

func printEnvironment(w *bytes.Buffer, seed uint64) {
	fmt.Fprintf(w, "Run on %s with %s on %s/%s, %d processors, seed %d. Times are processor time, the median of %d repetitions.\n",
		time.Now().UTC().Format("2006-01-02 15:04 UTC"), runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), seed, repetitions)
}

func printDemands(w *bytes.Buffer, m model, hosts int) {
	average, peak := m.estimate(hosts, false), m.estimate(hosts, true)
	fmt.Fprintf(w, "\n## With %d entry hosts and %d shards\n", hosts, average.Shards)
	for _, d := range []demand{average, peak} {
		when := "On average over a day"
		if d.Peak {
			when = "At the peak of starts"
		}
		fmt.Fprintf(w, "\n%s (%s starts per second and shard), on each entry host:\n\n", when, number(d.StartsPerShard))
		fmt.Fprint(w, "| role | state/bytes | calls/s | bytes/s | % of a core | heap/bytes |\n|---|---:|---:|---:|---:|---:|\n")
		for _, u := range append([]usage{d.Requests}, append(d.Control, d.total())...) {
			fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", u.Role, orDash(u.State), orDash(u.Calls), orDash(u.Bytes), number(u.Core), number(u.Heap))
		}
		s := d.Store
		fmt.Fprintf(w, "\nStore: %s bytes held, %s writes/s, %s reads/s, %s bytes/s in, %s bytes/s out, largest value %s bytes. One worker: %s calls/s, %s bytes/s.\n",
			number(s.State), number(s.Writes), number(s.Reads), number(s.BytesIn), number(s.BytesOut), number(s.Largest), number(d.Worker.Calls), number(d.Worker.Bytes))
	}
	fmt.Fprintf(w, "\nHeartbeat %s bytes, endpoints and grants of one host %s bytes, journal %s bytes, configuration %s bytes.\n",
		number(average.HeartbeatSize), number(average.AnswerSize), number(average.JournalSize), number(average.ConfigSize))
	fmt.Fprint(w, "\nLimits, the first to break first:\n\n| figure | value | limit | unit | verdict | breaks at multiple of the size |\n|---|---:|---:|---|---|---:|\n")
	type row struct {
		figure
		breaks float64
	}
	var rows []row
	for i, x := range m.limits(hosts) {
		rows = append(rows, row{x, m.breaksAt(hosts, i)})
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.breaks, b.breaks), cmp.Compare(b.Value/b.Limit, a.Value/a.Limit))
	})
	for _, x := range rows {
		verdict, breaks := "within", number(x.breaks)
		if x.Value > x.Limit {
			verdict = "OVER"
		}
		switch x.breaks {
		case 0:
			breaks = "over at any size"
		case largestMultiple:
			breaks = fmt.Sprintf("above %d", largestMultiple)
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", x.What, number(x.Value), number(x.Limit), x.Unit, verdict, breaks)
	}
}

// orDash prints a figure that a role may lack.
func orDash(x float64) string {
	if x == 0 {
		return "–"
	}
	return number(x)
}

// steps are the changes in the order in which they are added up.
var steps = []struct {
	what  string
	apply func(c *changes)
}{
	{"today", func(*changes) {}},
	{"renewals in a small key, hosts watch only these", func(c *changes) { c.renewalKey = true }},
	{"journal writes carry only changes", func(c *changes) { c.journalLog = true }},
	{"reports list only changed tasks", func(c *changes) { c.reportDeltas = true }},
	{"one lease renewal for each worker", func(c *changes) { c.workerLeases = true }},
	{"endpoints are sent when changed", func(c *changes) { c.endpointDelta = true }},
	{"operators' lists in pages", func(c *changes) { c.listPages = true }},
	{"configuration read by generation", func(c *changes) { c.configKey = true }},
}

// printChanges prints what changes of the program would bring, each with all before it.
func printChanges(w *bytes.Buffer, m model, hosts int) {
	fmt.Fprint(w, "\nControl on an entry host after each change and those before it, none of which is made yet:\n\n")
	fmt.Fprint(w, "| change | bytes/s, average | bytes/s, peak | % of a core, average | % of a core, peak | store writes/s, peak |\n|---|---:|---:|---:|---:|---:|\n")
	for _, x := range steps {
		x.apply(&m.changes)
		average, peak := m.estimate(hosts, false), m.estimate(hosts, true)
		a, p := average.total(), peak.total()
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", x.what, number(a.Bytes), number(p.Bytes), number(a.Core), number(p.Core), number(peak.Store.Writes))
	}
}
