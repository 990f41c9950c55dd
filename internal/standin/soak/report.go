package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Report says what a run saw.
type Report struct {
	Seed     uint64 `json:"seed"`
	Attempts int    `json:"attempts"`
	Runs     int    `json:"runs"`
	// Outcomes counts what became of requests, Faults what was brought about.
	Outcomes map[string]int `json:"answers"`
	Faults   map[string]int `json:"faults"`
	// Violations are the promises that did not hold, in the order of time.
	Violations []Violation `json:"broken"`
}

// report checks what can be told only at the end.
func (w *world) report() *Report {
	w.ledger.audit(w.windows.overlap)
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	r := &Report{
		Seed: w.opts.Seed, Attempts: len(w.ledger.sent), Outcomes: maps.Clone(w.ledger.counts),
		Faults: w.faults.all(), Violations: slices.Clone(w.ledger.broken),
	}
	for _, runs := range w.ledger.runs {
		r.Runs += len(runs)
	}
	return r
}

// Add adds another run to r, for a summary of several seeds.
func (r *Report) Add(o *Report) {
	r.Attempts += o.Attempts
	r.Runs += o.Runs
	r.Violations = append(r.Violations, o.Violations...)
	r.Outcomes, r.Faults = addCounts(r.Outcomes, o.Outcomes), addCounts(r.Faults, o.Faults)
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
	fmt.Fprintf(w, "%d attempts, %d runs, %d broken promises\n", r.Attempts, r.Runs, len(r.Violations))
	for _, counts := range []map[string]int{r.Outcomes, r.Faults} {
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(w, "  %-24s %d\n", name, counts[name])
		}
	}
	for _, b := range r.Violations {
		fmt.Fprintln(w, b)
	}
}
