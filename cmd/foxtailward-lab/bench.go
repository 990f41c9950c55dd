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

const usageBench = `bench reads many answers at once, checks each of them against the text that it
must have, and prints JSON: the time to the first token (50th and 95th
percentile, in microseconds), tokens a second, and errors.

With --direct and --through the rounds alternate between the engine and the
entry before it, and the report has the ratio of the two:
  foxtailward-lab bench --direct http://127.0.0.1:9000 \
    --through http://127.0.0.1:8700 --key dev-staplerdienst --streams 1000

With --local an engine, its target process and an entry run in this process, and
both ways are measured:
  foxtailward-lab bench --local --streams 1000 --tokens 100 --step-cost 31ms

It fails when an answer was not whole and exact.`

// benchFlags are the flags of bench.
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
		Short: "Measure an engine and the entry before it",
		Long:  usageBench,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.direct, "direct", "", "base URL of an engine")
	f.StringVar(&flags.through, "through", "", "base URL of an entry's callers' API")
	f.StringVar(&flags.key, "key", "", "bearer key for the entry")
	f.BoolVar(&flags.local, "local", false, "run an engine and an entry in this process")
	f.DurationVar(&flags.costs.Step, "step-cost", 0, "with --local, time of one decode step")
	f.DurationVar(&flags.costs.Prefill, "prefill-cost", 0, "with --local, time for one uncached prompt token")
	f.StringVar(&flags.opts.Model, "model", "report", "the model to ask")
	f.StringVar(&flags.opts.Version, "version", "v1", "the version that the expected text is computed for")
	f.IntVar(&flags.opts.Streams, "streams", 1, "how many answers are read at once")
	f.IntVar(&flags.opts.Tokens, "tokens", 100, "the length of each answer, in tokens")
	f.IntVar(&flags.opts.Rounds, "rounds", 3, "how often each is asked, after one round that is not counted")
	f.Uint64Var(&flags.opts.Seed, "seed", 1, "makes the prompts differ from those of other runs")
	f.DurationVar(&flags.opts.Timeout, "timeout", time.Minute, "the longest time for one answer")
	return cmd
}

func (f *benchFlags) run(cmd *cobra.Command) error {
	if f.local {
		if f.direct != "" || f.through != "" {
			return usageError{errors.New("--local stands alone")}
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
		return usageError{errors.New("--direct, --through or --local must be given")}
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
			return fmt.Errorf("%s: %d answers failed: %s", m.Name, m.Errors, m.FirstError)
		}
	}
	return nil
}
