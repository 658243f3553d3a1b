// Command evaluate compares the product's policies with baseline policies in a simulation
// on virtual time, and prints a table. The same flags always print the same table.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"peridotpitch/internal/evaluator"
)

func main() {
	seeds := flag.String("seed", "101", "comma-separated seeds; 1 to 20 are for tuning, 101 to 105 for the final comparison")
	firm := flag.String("firm", "", "firm (dimasalang or vitosha); empty: both")
	scenario := flag.String("scenario", "", "comma-separated scenarios; empty: all")
	minutes := flag.Float64("minutes", 10, "measured minutes of virtual time in each run")
	scale := flag.Float64("scale", 1, "share of the firm's hosts that are simulated")
	broken := flag.Bool("broken", false, "print the first violation of each guarantee")
	flag.Parse()
	if err := run(*seeds, *firm, *scenario, *minutes, *scale, *broken); err != nil {
		fmt.Fprintln(os.Stderr, "evaluate:", err)
		os.Exit(1)
	}
}

func run(seedList, firm, scenario string, minutes, scale float64, broken bool) error {
	var seeds []uint64
	for s := range strings.SplitSeq(seedList, ",") {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return fmt.Errorf("seed %q is not a number", s)
		}
		seeds = append(seeds, n)
	}
	var firms []evaluator.Firm
	for _, f := range evaluator.Firms() {
		if firm == "" || firm == f.Name {
			firms = append(firms, f.Scaled(scale))
		}
	}
	var scenarios []evaluator.Scenario
	for _, s := range evaluator.Scenarios() {
		if scenario == "" || strings.Contains(","+scenario+",", ","+s.Name+",") {
			scenarios = append(scenarios, s)
		}
	}
	if len(firms) == 0 || len(scenarios) == 0 || !(minutes > 0) {
		return fmt.Errorf("nothing to run: firm %q or scenario %q does not exist, or minutes %g are not above 0", firm, scenario, minutes)
	}
	policies := append([]evaluator.Policies{evaluator.ProductPolicies}, evaluator.BaselinePolicies()...)
	rows := evaluator.Evaluate(firms, scenarios, policies, seeds, time.Duration(minutes*float64(time.Minute)), 0)
	if err := evaluator.Print(os.Stdout, rows); err != nil {
		return err
	}
	for _, r := range rows {
		for g := 1; broken && g <= 9; g++ {
			if e := r.FirstViolation[g]; e != "" {
				fmt.Printf("%s %s %s seed %d: guarantee %d, %d violations, first %s\n", r.Firm, r.Scenario, r.Policies, r.Seed, g, r.Violations[g], e)
			}
		}
	}
	return nil
}
