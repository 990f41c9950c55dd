package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/soak"
	"foxtailward.example/foxtailward/internal/state/fault"
)

const usageSoak = `soak runs entries as separate processes on this machine's loopback addresses, with
stand-in targets and a stand-in store, and injects faults drawn from a seed: links
are delayed, reset, cut in one direction or silenced; processes are stopped,
paused, killed and restarted; the store and targets fail. It compares what clients
received with what targets executed.

  foxtailward-lab soak --program target/foxtailward --seed 1 --seeds 50 --jobs 4

The settings and logs of each seed are kept in a directory of its own below --dir.
soak fails if a guarantee did not hold (a "violation" in its output). It ends only
the processes that it started.`

type soakFlags struct {
	opts  soak.Options
	seeds int
	jobs  int
	json  bool
}

func newSoak() *cobra.Command {
	flags := &soakFlags{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Inject faults into running entries and check their guarantees",
		Long:  usageSoak,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.opts.Program, "program", "target/foxtailward", "path of the foxtailward program")
	f.StringVar(&flags.opts.Dir, "dir", "soak", "directory for settings and logs")
	f.Uint64Var(&flags.opts.Seed, "seed", 1, "first seed")
	f.IntVar(&flags.seeds, "seeds", 1, "number of seeds to run")
	f.IntVar(&flags.jobs, "jobs", 1, "number of seeds run concurrently")
	f.IntVar(&flags.opts.Entries, "entries", 0, "number of entries; 0 for the default")
	f.IntVar(&flags.opts.Engines, "engines", 0, "number of engines; 0 for the default")
	f.IntVar(&flags.opts.Clients, "clients", 0, "number of clients; 0 for the default")
	f.DurationVar(&flags.opts.Duration, "lasts", 40*time.Second, "how long faults are injected")
	f.BoolVar(&flags.opts.Crashing, "crashing", true, "send requests that crash the targets that run them")
	f.BoolVar(&flags.opts.StoreReturns, "store-returns", true, "make the key-value service return from older copies of its state")
	f.BoolVar(&flags.opts.CrashingPlain, "crashing-plain", true, "send requests that crash targets of the plain service, several at once")
	f.BoolVar(&flags.opts.CrashingParts, "crashing-parts", true, "send requests with a part of their prompts that crashes targets")
	f.BoolVar(&flags.opts.LargeConfigs, "large-configs", true, "make every other configuration large, and the key-value service's answers to half of the entries slow")
	f.BoolVar(&flags.opts.TargetLimits, "target-limits", true, "let targets name limits of the requests that they take")
	f.BoolVar(&flags.opts.Releases, "releases", true, "replace engines by ones of other software versions, under new and under the same names")
	f.BoolVar(&flags.opts.Rests, "rests", true, "let targets ask entries for rests, and their records lapse meanwhile")
	f.BoolVar(&flags.opts.Stops, "stops", true, "stop whole entries in series, beside signals and configuration changes, while clients keep using their connections")
	f.BoolVar(&flags.opts.AnswerEnds, "answer-ends", true, "end answers early as if they were whole: engines replaced in place, living ones that break answers off")
	f.BoolVar(&flags.opts.Unrecorded, "unrecorded", false, "release engines in place whose records are late, after a time in which one version alone serves")
	f.BoolVar(&flags.opts.AllKilled, "all-killed", false, "kill all entries within a second after another version has begun streams, after a time in which one version alone serves")
	f.BoolVar(&flags.opts.ProcessEnds, "process-ends", false, "tell targets to stop, which end their unframed answers early and serve for a while")
	f.BoolVar(&flags.opts.LeavingEnds, "leaving-ends", false, "let engines say that they are leaving and end their chunked streams early with their last chunks")
	f.BoolVar(&flags.opts.LatePlainEnds, "late-plain-ends", false, "let --process-ends also break off plain answers of processes that end later than entries wait, or are replaced before they ask")
	f.BoolVar(&flags.opts.HTTP10, "http10", false, "send some attempts at streams over HTTP/1.0")
	f.BoolVar(&flags.opts.PageShapes, "page-shapes", false, "cut the bytes of streams anywhere, resume them beside their first connection, send equal bodies")
	f.BoolVar(&flags.opts.Rollouts, "rollouts", false, "order new versions of the plain service, good and bad ones, and kill entries meanwhile")
	f.BoolVar(&flags.opts.Uneven, "uneven", false, "let targets share their hosts with others, work at changing paces, and say so, at times wrongly")
	f.BoolVar(&flags.opts.Calm, "calm", false, "leave out the faults and the planned work that the other options do not add")
	f.BoolVar(&flags.opts.SafetyOnly, "safety-only", false, "skip the checks that depend on the machine's speed")
	f.BoolVar(&flags.json, "json", false, "print JSON")
	return cmd
}

// run runs the seeds, up to --jobs of them concurrently.
func (f *soakFlags) run(cmd *cobra.Command) error {
	if f.seeds < 1 || f.jobs < 1 {
		return usageError{fmt.Errorf("--seeds is %d and --jobs %d, want 1 or more", f.seeds, f.jobs)}
	}
	var mu sync.Mutex
	var total soak.Report
	var lastErr error
	seeds := make(chan uint64)
	var jobs sync.WaitGroup
	for range f.jobs {
		jobs.Go(func() {
			for seed := range seeds {
				opts := f.opts
				opts.Seed = seed
				opts.Dir = filepath.Join(f.opts.Dir, fmt.Sprintf("seed-%d", seed))
				r, err := soak.Run(cmd.Context(), opts)
				mu.Lock()
				if err != nil {
					lastErr = err
				} else {
					fmt.Fprintf(cmd.ErrOrStderr(), "seed %d: %d attempts, %d violations\n", seed, r.Attempts, len(r.Violations))
					for _, violation := range r.Violations {
						fmt.Fprintf(cmd.ErrOrStderr(), "seed %d: %v\n", seed, violation)
					}
					total.Add(r)
				}
				mu.Unlock()
			}
		})
	}
	for i := range f.seeds {
		seeds <- f.opts.Seed + uint64(i)
	}
	close(seeds)
	jobs.Wait()
	if fault.Is(lastErr, soak.Invalid) {
		return usageError{lastErr}
	}
	if lastErr != nil {
		return lastErr
	}
	return f.print(cmd, &total)
}

func (f *soakFlags) print(cmd *cobra.Command, r *soak.Report) error {
	if f.json {
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(r); err != nil {
			return err
		}
	} else {
		r.Print(cmd.OutOrStdout())
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d violations of guarantees", len(r.Violations))
	}
	return nil
}
