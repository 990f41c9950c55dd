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

const usageSoak = `soak runs entries as processes of their own on this machine's loopback addresses,
with stand-in targets and a stand-in store, and brings faults upon them that are
drawn from a seed: links that are delayed, reset, cut one way or silenced;
programs that are stopped, paused, killed and restarted; a store and targets
that fail. It compares what clients got with what targets ran.

  foxtailward-lab soak --program target/foxtailward --seed 1 --seeds 50 --jobs 4

Each seed's settings and logs are kept in a directory of its own below --dir. It
fails when a promise did not hold. It ends only the processes that it started.`

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
		Short: "Bring faults upon real entries and check what they promise",
		Long:  usageSoak,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.opts.Program, "program", "target/foxtailward", "the foxtailward to run")
	f.StringVar(&flags.opts.Dir, "dir", "soak", "where settings and logs go")
	f.Uint64Var(&flags.opts.Seed, "seed", 1, "the first seed")
	f.IntVar(&flags.seeds, "seeds", 1, "how many seeds are run")
	f.IntVar(&flags.jobs, "jobs", 1, "how many of them at once")
	f.IntVar(&flags.opts.Entries, "entries", 0, "how many entries run; 0 for the default")
	f.IntVar(&flags.opts.Engines, "engines", 0, "how many engines run; 0 for the default")
	f.IntVar(&flags.opts.Clients, "clients", 0, "how many clients ask; 0 for the default")
	f.DurationVar(&flags.opts.Duration, "lasts", 40*time.Second, "how long faults are brought about")
	f.BoolVar(&flags.opts.SafetyOnly, "safety-only", false, "leave out what depends on the machine's speed")
	f.BoolVar(&flags.json, "json", false, "print JSON")
	return cmd
}

// run runs the seeds, as many at once as there are jobs.
func (f *soakFlags) run(cmd *cobra.Command) error {
	if f.seeds < 1 || f.jobs < 1 {
		return usageError{fmt.Errorf("--seeds is %d and --jobs %d, want 1 or more", f.seeds, f.jobs)}
	}
	var mu sync.Mutex
	var sum soak.Report
	var failed error
	next := make(chan uint64)
	var jobs sync.WaitGroup
	for range f.jobs {
		jobs.Go(func() {
			for seed := range next {
				opts := f.opts
				opts.Seed = seed
				opts.Dir = filepath.Join(f.opts.Dir, fmt.Sprintf("seed-%d", seed))
				r, err := soak.Run(cmd.Context(), opts)
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					fmt.Fprintf(cmd.ErrOrStderr(), "seed %d: %d attempts, %d broken promises\n", seed, r.Attempts, len(r.Violations))
					for _, b := range r.Violations {
						fmt.Fprintf(cmd.ErrOrStderr(), "seed %d: %v\n", seed, b)
					}
					sum.Add(r)
				}
				mu.Unlock()
			}
		})
	}
	for i := range f.seeds {
		next <- f.opts.Seed + uint64(i)
	}
	close(next)
	jobs.Wait()
	if fault.Is(failed, soak.Invalid) {
		return usageError{failed}
	}
	if failed != nil {
		return failed
	}
	return f.print(cmd, &sum)
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
		return fmt.Errorf("%d promises did not hold", len(r.Violations))
	}
	return nil
}
