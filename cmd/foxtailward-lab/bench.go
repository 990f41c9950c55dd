package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/standin/load"
	"foxtailward.example/foxtailward/internal/state/fault"
)

const usageBench = `bench reads many answers concurrently, compares each with the expected text, and
prints JSON: the time to the first token (50th and 95th percentile, in
microseconds), tokens per second, and errors.

With --direct and --through the rounds alternate between the engine and the
entry in front of it, and the report includes the ratio of the two:
  foxtailward-lab bench --direct http://127.0.0.1:9000 \
    --through http://127.0.0.1:8700 --key dev-staplerdienst --streams 1000

With --local an engine, its target process and an entry run in this process, and
the engine is measured both directly and through the entry:
  foxtailward-lab bench --local --streams 1000 --tokens 100 --step-cost 31ms

It fails if any answer is incomplete or differs from the expected text.`

type benchFlags struct {
	direct, through, key string
	local                bool
	costs                engine.Costs
	opts                 load.Options
}

func newBench() *cobra.Command {
	flags := &benchFlags{}
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure an engine and the entry in front of it",
		Long:  usageBench,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.direct, "direct", "", "base URL of an engine")
	f.StringVar(&flags.through, "through", "", "base URL of an entry's callers' API")
	f.StringVar(&flags.key, "key", "", "bearer key for the entry")
	f.BoolVar(&flags.local, "local", false, "run an engine and an entry in this process")
	f.DurationVar(&flags.costs.Step, "step-cost", 0, "with --local, duration of one decode step")
	f.DurationVar(&flags.costs.Prefill, "prefill-cost", 0, "with --local, prefill time per uncached prompt token")
	f.StringVar(&flags.opts.Model, "model", "report", "model of the requests")
	f.StringVar(&flags.opts.Version, "version", "v1", "model version that the expected text is computed for")
	f.IntVar(&flags.opts.Streams, "streams", 1, "number of answers read concurrently")
	f.IntVar(&flags.opts.Tokens, "tokens", 100, "length of each answer, in tokens")
	f.IntVar(&flags.opts.Rounds, "rounds", 3, "number of measured rounds, after one warm-up round that is not counted")
	f.Uint64Var(&flags.opts.Seed, "seed", 1, "seed of the prompts; a different seed gives different prompts")
	f.DurationVar(&flags.opts.Timeout, "timeout", time.Minute, "time limit for one answer")
	return cmd
}

func (f *benchFlags) run(cmd *cobra.Command) error {
	if f.local {
		if f.direct != "" || f.through != "" {
			return usageError{errors.New("--local cannot be combined with --direct or --through")}
		}
		d, err := f.localDeployment(cmd.Context())
		if err != nil {
			return err
		}
		defer d.Close()
		f.direct, f.through, f.key = d.Engines[0].StandIn.URL(), d.Entries[0].URL(), localKey
	}
	if f.direct != "" {
		f.opts.Targets = append(f.opts.Targets, load.Target{Name: "direct", URL: f.direct})
	}
	if f.through != "" {
		f.opts.Targets = append(f.opts.Targets, load.Target{Name: "through", URL: f.through, Key: f.key})
	}
	if len(f.opts.Targets) == 0 {
		return usageError{errors.New("one of --direct, --through and --local is required")}
	}
	report, err := load.Run(cmd.Context(), f.opts)
	if fault.Is(err, load.Invalid) {
		return usageError{err}
	}
	if err != nil {
		return err
	}
	out := json.NewEncoder(cmd.OutOrStdout())
	out.SetIndent("", "  ")
	if err := out.Encode(report); err != nil {
		return err
	}
	for _, m := range report.Measurements {
		if m.Errors > 0 {
			return fmt.Errorf("%s: %d answers failed, for instance: %s", m.Name, m.Errors, m.FirstError)
		}
	}
	return nil
}
