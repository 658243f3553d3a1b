package estimator

import (
	"bytes"
	"fmt"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Sample is one measurement. Fields that were not measured are 0.
type Sample struct {
	Size   float64 // size of the input, in units of Series.Per
	Time   float64 // processor time of one operation in microseconds
	Bytes  float64 // encoded size, heap in use or bytes sent, see Series.Bytes
	Allocs float64 // heap allocations of one operation
	Count  float64 // see Series.Counted
}

// Series is a measurement at several sizes.
type Series struct {
	Name    string
	Per     string // unit of Sample.Size
	Bytes   string // meaning of Sample.Bytes, empty if not measured
	Counted string // meaning of Sample.Count, empty if not measured
	Samples []Sample
}

// Line estimates a figure as a linear function of the size. Base is its value at size 0.
type Line struct{ Base, Slope float64 }

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the least squares line through a field of the samples.
func (s Series) Fit(field func(Sample) float64) Line {
	n := float64(len(s.Samples))
	var sx, sy, sxx, sxy float64
	for _, m := range s.Samples {
		x, y := m.Size, field(m)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Base: sy / max(1, n)}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Base: (sy - slope*sx) / n, Slope: slope}
}

// Functions that return a field of Sample, for Series.Fit.
func timeOf(s Sample) float64   { return s.Time }
func bytesOf(s Sample) float64  { return s.Bytes }
func allocsOf(s Sample) float64 { return s.Allocs }
func countOf(s Sample) float64  { return s.Count }

// tableRow is a field of a series that is printed as a row of the table.
type tableRow struct {
	name  string
	field func(Sample) float64
}

func (s Series) tableRows() []tableRow {
	var rows []tableRow
	for _, c := range []tableRow{{"time/us", timeOf}, {"allocations", allocsOf}, {s.Bytes, bytesOf}, {s.Counted, countOf}} {
		measured := slices.ContainsFunc(s.Samples, func(m Sample) bool { return c.field(m) != 0 })
		if c.name != "" && measured {
			rows = append(rows, c)
		}
	}
	return rows
}

// writeTable writes the series as a Markdown table with one row for each measured field, one
// column for each size, and the base and slope of the fitted line.
func (s Series) writeTable(w *bytes.Buffer) {
	fmt.Fprintf(w, "\n%s, by %s\n\n| figure |", s.Name, s.Per)
	for _, m := range s.Samples {
		fmt.Fprintf(w, " %s |", formatNumber(m.Size))
	}
	fmt.Fprintf(w, " at 0 | per unit |\n|---|")
	for range len(s.Samples) + 2 {
		fmt.Fprint(w, "---:|")
	}
	fmt.Fprintln(w)
	for _, c := range s.tableRows() {
		fmt.Fprintf(w, "| %s |", c.name)
		for _, m := range s.Samples {
			fmt.Fprintf(w, " %s |", formatNumber(c.field(m)))
		}
		l := s.Fit(c.field)
		fmt.Fprintf(w, " %s | %s |\n", formatNumber(l.Base), formatNumber(l.Slope))
	}
}

// formatNumber formats a number with three significant digits and without an exponent.
func formatNumber(x float64) string {
	if x == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(x))))
	if digits > 0 {
		return fmt.Sprintf("%.*f", min(digits, 6), x)
	}
	unit := math.Pow10(-digits)
	return fmt.Sprintf("%.0f", math.Round(x/unit)*unit)
}

// processorTime returns the processor time used by this process. It depends less on other
// processes of the machine than wall-clock time.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0 // unreachable: the arguments are valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// costMeter measures the cost of operations.
type costMeter struct {
	budget      time.Duration // processor time of one repetition
	repetitions int           // the result is their median
}

// cost returns the processor time and allocations of one call of f.
func (m costMeter) cost(f func()) Sample {
	f() // the first call is not measured, because it fills caches
	// n is doubled until n calls take a quarter of the budget, at most to 1<<22, and then scaled
	// to the whole budget.
	n := 1
	for {
		began := processorTime()
		for range n {
			f()
		}
		if took := processorTime() - began; took >= m.budget/4 || n >= 1<<22 {
			n = max(1, int(float64(n)*float64(m.budget)/float64(max(took, time.Microsecond))))
			break
		}
		n *= 2
	}
	var times, allocs []float64
	for range m.repetitions {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := processorTime()
		for range n {
			f()
		}
		took := processorTime() - began
		runtime.ReadMemStats(&after)
		times = append(times, float64(took)/float64(time.Microsecond)/float64(n))
		allocs = append(allocs, float64(after.Mallocs-before.Mallocs)/float64(n))
	}
	return Sample{Time: median(times), Allocs: median(allocs)}
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[len(xs)/2]
}

// heapInUse returns the bytes of heap that stay in use through the value built by f.
func heapInUse(f func() any) float64 {
	runtime.GC()
	runtime.GC() // the first collection keeps the victim caches of sync.Pool
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	runtime.KeepAlive(f) // its captured variables were in use before
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
