package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/losses"
	"foxtailward.example/foxtailward/internal/state/fault"
)

const usageRecover = `recover reads many answers through entries and target processes that run in this
process, while their stand-in engines are killed at tokens drawn from a seed and
restarted, and compares each answer with the expected text:

  foxtailward-lab recover --engines 12 --requests 1000 --kills 200 --seed 1 \
    --prefer latency --json

--prefer naive sends requests directly to the engines, without foxtailward, and
starts an answer over when its engine fails. With --stall the tokens of a request
stop instead of its engine being killed; with --headroom scarce the engines have
no more slots than the answers need. With --plot FILE all settings run with the
same seed, and a PNG shows the 95th percentile of the resume latency of each over
its extra work.

It fails if any answer is incomplete or differs from the expected text.`

// Values of --headroom.
const (
	headroomAmple  = "ample"
	headroomScarce = "scarce"
)

type recoverFlags struct {
	opts                       losses.Options
	preference, headroom, plot string
	json                       bool
	retryShare, hedgeShare     float64
}

func newRecover() *cobra.Command {
	flags := &recoverFlags{}
	cmd := &cobra.Command{
		Use:   "recover",
		Short: "Measure recovery from engine failures",
		Long:  usageRecover,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	f := cmd.Flags()
	f.IntVar(&flags.opts.Engines, "engines", 12, "number of engines")
	f.IntVar(&flags.opts.Requests, "requests", 200, "number of answers to read")
	f.IntVar(&flags.opts.Failures, "kills", 40, "number of engine failures")
	f.Uint64Var(&flags.opts.Seed, "seed", 1, "seed of the requests and the failures")
	f.StringVar(&flags.preference, "prefer", string(losses.PreferLatency), "what recovery optimizes: latency or cost; or naive, a client without foxtailward")
	f.IntVar(&flags.opts.Concurrency, "concurrency", 0, "number of answers read concurrently; 0 for twice the number of engines")
	f.IntVar(&flags.opts.Tokens, "tokens", 200, "length of each answer, in tokens")
	f.IntVar(&flags.opts.PromptTokens, "prompt-tokens", 100, "maximum length of a prompt, in tokens")
	f.IntVar(&flags.opts.MaxFailuresPerRequest, "most-deaths", 2, "maximum number of failures that one request may be hit by, 1 or 2")
	f.DurationVar(&flags.opts.Costs.Step, "step-cost", 2*time.Millisecond, "duration of one decode step")
	f.DurationVar(&flags.opts.Costs.Prefill, "prefill-cost", 20*time.Microsecond, "prefill time per uncached prompt token")
	f.DurationVar(&flags.opts.DownTime.Min, "down-min", 0, "minimum time until a failed engine is back")
	f.DurationVar(&flags.opts.DownTime.Max, "down-max", 0, "maximum time until a failed engine is back; 0 for the default")
	f.BoolVar(&flags.opts.Stall, "stall", false, "stop the tokens of a request instead of killing its engine")
	f.StringVar(&flags.headroom, "headroom", headroomAmple, "free slots of the engines: ample or scarce")
	f.Float64Var(&flags.retryShare, "retry-share", -1, "recovery.retryShare of the configuration; below 0 for the default")
	f.Float64Var(&flags.hedgeShare, "hedge-share", -1, "recovery.hedgeShare of the configuration; below 0 for the default")
	f.StringVar(&flags.plot, "plot", "", "run all settings and plot them to this PNG file")
	f.BoolVar(&flags.json, "json", false, "print JSON")
	return cmd
}

func (f *recoverFlags) run(cmd *cobra.Command) error {
	f.opts.Mode = losses.Mode(f.preference)
	switch f.headroom {
	case headroomAmple:
	case headroomScarce:
		f.opts.FewSlots = true
	default:
		return usageError{fmt.Errorf("--headroom is %q, want ample or scarce", f.headroom)}
	}
	f.opts.RetryShare, f.opts.HedgeShare = optionalShare(f.retryShare), optionalShare(f.hedgeShare)
	if f.plot != "" {
		return f.runAll(cmd)
	}
	report, err := f.measure(cmd, f.opts)
	if err != nil {
		return err
	}
	return checkExact(report)
}

// optionalShare returns nil, which means the default, for a value below 0.
func optionalShare(value float64) *float64 {
	if value < 0 {
		return nil
	}
	return &value
}

// measure runs one setting and prints its report.
func (f *recoverFlags) measure(cmd *cobra.Command, opts losses.Options) (*losses.Report, error) {
	report, err := losses.Run(cmd.Context(), opts)
	if fault.Is(err, losses.Invalid) {
		return nil, usageError{err}
	}
	if err != nil {
		return nil, err
	}
	return report, f.print(cmd, report)
}

func (f *recoverFlags) print(cmd *cobra.Command, r *losses.Report) error {
	if f.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(r)
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(),
		"%s: %d of %d exact, %d kills, %d answers hit; resume p50 %.1f ms, p95 %.1f ms, max %.1f ms; extra tokens %.4f (prefill %.4f, decode %.4f, races %.4f), extra engine time %.4f\n",
		r.Mode, r.Exact, r.Answers, r.Failures, r.Interruptions, r.ResumeMsP50, r.ResumeMsP95, r.ResumeMsMax,
		r.ExtraRatio, r.PrefillExtra, r.DecodeExtra, r.HedgeExtra, r.ComputeExtra)
	return err
}

// checkExact returns an error if any answer differs from the expected text.
func checkExact(r *losses.Report) error {
	if r.Exact == r.Answers {
		return nil
	}
	return fmt.Errorf("%s: %d of %d answers are not exact, for instance: %s", r.Mode, r.Answers-r.Exact, r.Answers, r.FirstError)
}
