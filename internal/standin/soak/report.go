package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Report is the result of a run.
type Report struct {
	Seed     uint64 `json:"seed"`
	Attempts int    `json:"attempts"`
	Runs     int    `json:"runs"`
	// Outcomes counts requests by outcome and path prefix. Faults counts the faults
	// and planned work of the run by kind.
	Outcomes map[string]int `json:"answers"`
	Faults   map[string]int `json:"faults"`
	// Violations lists the guarantees that did not hold, in the order of time.
	Violations []Violation `json:"broken"`
}

// report makes the checks that need the complete history and returns the result.
func (w *world) report() *Report {
	w.history.check(w.faultWindows.overlap)
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	r := &Report{
		Seed: w.opts.Seed, Attempts: len(w.history.sent), Outcomes: maps.Clone(w.history.counts),
		Faults: w.actionCounts.all(), Violations: slices.Clone(w.history.violations),
	}
	for _, runs := range w.history.runs {
		r.Runs += len(runs)
	}
	return r
}

// Add adds the result of another run to r, for a summary of several seeds.
func (r *Report) Add(other *Report) {
	r.Attempts += other.Attempts
	r.Runs += other.Runs
	r.Violations = append(r.Violations, other.Violations...)
	r.Outcomes, r.Faults = addCounts(r.Outcomes, other.Outcomes), addCounts(r.Faults, other.Faults)
}

func addCounts(sum, more map[string]int) map[string]int {
	if sum == nil {
		sum = map[string]int{}
	}
	for name, n := range more {
		sum[name] += n
	}
	return sum
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d attempts, %d runs, %d violations\n", r.Attempts, r.Runs, len(r.Violations))
	for _, counts := range []map[string]int{r.Outcomes, r.Faults} {
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(w, "  %-24s %d\n", name, counts[name])
		}
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, v)
	}
}
