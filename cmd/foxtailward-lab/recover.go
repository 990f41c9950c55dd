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
process, while their stand-in engines die at seeded tokens and are revived, and
compares each answer with the text that it must have:

  foxtailward-lab recover --engines 12 --requests 1000 --kills 200 --seed 1 \
    --prefer latency --json

--prefer naive asks the engines without foxtailward and starts anew after a
death. With --stall the tokens of a request stop in place of its engine's death;
with --headroom scarce the engines have no more slots than the answers need.
With --plot FILE all settings run at the same seed, and their 95th percentile of
the resume latency is drawn against their extra work, as PNG.

It fails when an answer was not whole and exact.`

// headrooms of the engines.
const (
	headroomAmple  = "ample"
	headroomScarce = "scarce"
)

// recoverFlags are the flags of recover.
type recoverFlags struct {
	opts                   losses.Options
	prefer, headroom, plot string
	json                   bool
	retryShare, hedgeShare float64
}

func newRecover() *cobra.Command {
	flags := &recoverFlags{}
	cmd := &cobra.Command{
		Use:   "recover",
		Short: "Measure recovery while engines die",
		Long:  usageRecover,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	f := cmd.Flags()
	f.IntVar(&flags.opts.Engines, "engines", 12, "how many engines run")
	f.IntVar(&flags.opts.Requests, "requests", 200, "how many answers are read")
	f.IntVar(&flags.opts.Failures, "kills", 40, "how many engines die")
	f.Uint64Var(&flags.opts.Seed, "seed", 1, "draws the requests and the deaths")
	f.StringVar(&flags.prefer, "prefer", string(losses.PreferLatency), "latency, cost or naive")
	f.IntVar(&flags.opts.Concurrency, "concurrency", 0, "how many answers are read at once; 0 for twice the engines")
	f.IntVar(&flags.opts.Tokens, "tokens", 200, "the length of each answer, in tokens")
	f.IntVar(&flags.opts.PromptTokens, "prompt-tokens", 100, "the longest prompt, in tokens")
	f.IntVar(&flags.opts.MaxFailuresPerRequest, "most-deaths", 2, "how many deaths one request may meet, 1 or 2")
	f.DurationVar(&flags.opts.Costs.Step, "step-cost", 2*time.Millisecond, "time of one decode step")
	f.DurationVar(&flags.opts.Costs.Prefill, "prefill-cost", 20*time.Microsecond, "time for one uncached prompt token")
	f.DurationVar(&flags.opts.DownTime.Min, "down-min", 0, "the shortest time until an engine is back")
	f.DurationVar(&flags.opts.DownTime.Max, "down-max", 0, "the longest time until an engine is back; 0 for the default")
	f.BoolVar(&flags.opts.Stall, "stall", false, "stop a request's tokens in place of killing its engine")
	f.StringVar(&flags.headroom, "headroom", headroomAmple, "ample or scarce: the engines' free slots")
	f.Float64Var(&flags.retryShare, "retry-share", -1, "the configuration's recovery.retryShare; below 0 for its default")
	f.Float64Var(&flags.hedgeShare, "hedge-share", -1, "the configuration's recovery.hedgeShare; below 0 for its default")
	f.StringVar(&flags.plot, "plot", "", "draw all settings to this PNG file")
	f.BoolVar(&flags.json, "json", false, "print JSON")
	return cmd
}

func (f *recoverFlags) run(cmd *cobra.Command) error {
	f.opts.Mode = losses.Mode(f.prefer)
	switch f.headroom {
	case headroomAmple:
	case headroomScarce:
		f.opts.FewSlots = true
	default:
		return usageError{fmt.Errorf("--headroom is %q, want ample or scarce", f.headroom)}
	}
	f.opts.RetryShare, f.opts.HedgeShare = share(f.retryShare), share(f.hedgeShare)
	if f.plot != "" {
		return f.runAll(cmd)
	}
	report, err := f.measure(cmd, f.opts)
	if err != nil {
		return err
	}
	return inexact(report)
}

func share(value float64) *float64 {
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

func inexact(r *losses.Report) error {
	if r.Exact == r.Answers {
		return nil
	}
	return fmt.Errorf("%s: %d of %d answers are not exact: %s", r.Mode, r.Answers-r.Exact, r.Answers, r.FirstError)
}
