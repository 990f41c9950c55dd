package main

import (
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/engine"
)

const usageEngine = `engine runs a deterministic stand-in for a model engine until it is interrupted.
The first line that it prints is "listening on ADDR".

Faults are injected over HTTP, for instance:
  curl -d '{"kind":"dieAfter","count":100}' http://ADDR/faults
Kinds: die, dieAfter (count), dieOn (marker), pause, resume, stall and unstall
(request; empty means all), slow (factor), refuse, accept, ignoreFence,
honourFence, loseCacheEvents (count), clearCache. GET /stats shows the counters.`

func newEngine() *cobra.Command {
	var opts engine.Options
	var listen string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in model engine",
		Long:  usageEngine,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := engine.Listen(listen, opts)
			if err != nil {
				return err
			}
			defer s.Close()
			return serveUntilDone(cmd, s.Address())
		},
	}
	f := cmd.Flags()
	addListen(cmd, &listen)
	f.StringVar(&opts.Model, "model", "report", "model to serve")
	f.StringVar(&opts.Version, "version", "v1", "version of the model")
	f.StringSliceVar(&opts.Adapters, "adapter", nil, "name of a loaded adapter; may be repeated")
	f.IntVar(&opts.Slots, "slots", 64, "maximum number of concurrent generations")
	f.IntVar(&opts.CacheBlocks, "cache-blocks", 4096, "size of the prefix cache in blocks of 16 tokens; -1 for none")
	f.IntVar(&opts.PrefillChunk, "prefill-chunk", 2048, "maximum number of tokens prefilled in one step")
	f.IntVar(&opts.ChunkTokens, "chunk-tokens", 16, "maximum number of tokens in one event")
	f.IntVar(&opts.Length.Min, "length-min", engine.DefaultLength.Min, "minimum natural length of an answer, in tokens")
	f.IntVar(&opts.Length.Max, "length-max", engine.DefaultLength.Max, "maximum natural length of an answer, in tokens")
	f.DurationVar(&opts.Costs.Prefill, "prefill-cost", 0, "prefill time per uncached prompt token")
	f.DurationVar(&opts.Costs.Step, "step-cost", 0, "duration of one decode step")
	f.DurationVar(&opts.Costs.StepPerGeneration, "step-cost-per-running", 0, "time added to a step per running generation")
	f.DurationVar(&opts.Costs.Order, "load-cost", 0, "time to apply an order")
	f.DurationVar(&opts.CacheEventLag, "cache-event-lag", 0, "delay until a cache event becomes visible")
	f.DurationVar(&opts.MetricsLag, "metrics-lag", 0, "maximum age of the served metrics")
	f.BoolVar(&opts.IgnoresFence, "ignores-fence", false, "apply orders that have an outdated fencing number")
	return cmd
}
