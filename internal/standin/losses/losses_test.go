package losses_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/standin/losses"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// TestMain leaves out the one goroutine that go-metrics keeps for all meters.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// options run 60 answers and 12 deaths in about a second.
func options(prefer losses.Prefer) losses.Options {
	return losses.Options{
		Engines: 6, Requests: 60, Kills: 12, Seed: 3, Prefer: prefer, Tokens: 60, Concurrency: 8, MostDeaths: 1,
		Costs: engine.Costs{Step: time.Millisecond, Prefill: 10 * time.Microsecond},
		Down:  losses.Span{Min: 50 * time.Millisecond, Max: 100 * time.Millisecond},
	}
}

// Every answer is exact, and what is computed again is at most the prompt and
// the tokens held of each answer that a death met.
func TestRun(t *testing.T) {
	for _, prefer := range []losses.Prefer{losses.Latency, losses.Cost, losses.Naive} {
		t.Run(string(prefer), func(t *testing.T) {
			is := is.New(t)
			r, err := losses.Run(t.Context(), options(prefer))
			is.NoErr(err)
			is.Equal(r.FirstError, "")
			is.Equal(r.Exact, 60)
			is.True(r.Kills > 0)
			is.True(r.ExtraRatio > 0)
			if prefer != losses.Naive {
				// Only what had not left a dead engine is decoded again: at most
				// one event of its stream for each hit.
				is.True(r.DecodeExtra*float64(r.UsefulTokens) <= float64(engine.DefaultChunkTokens*r.Hits))
			}
		})
	}
}

// Recovery that prefers cost takes at least five times less engine time for
// each answer that a death met than starting anew.
func TestRunCost(t *testing.T) {
	is := is.New(t)
	cost, err := losses.Run(t.Context(), options(losses.Cost))
	is.NoErr(err)
	naive, err := losses.Run(t.Context(), options(losses.Naive))
	is.NoErr(err)
	is.True(cost.Hits > 0 && naive.Hits > 0)
	is.True(5*cost.ComputeExtra/float64(cost.Hits) <= naive.ComputeExtra/float64(naive.Hits))
}

func TestOptionsValidate(t *testing.T) {
	for i, change := range []func(*losses.Options){
		func(o *losses.Options) { o.Engines = 1 },
		func(o *losses.Options) { o.Requests = -1 },
		func(o *losses.Options) { o.Kills = 61 },
		func(o *losses.Options) { o.Concurrency = -1 },
		func(o *losses.Options) { o.Tokens = 1 },
		func(o *losses.Options) { o.PromptTokens = 1 },
		func(o *losses.Options) { o.MostDeaths = 3 },
		func(o *losses.Options) { o.Down.Min = o.Down.Max + 1 },
		func(o *losses.Options) { o.Prefer = "speed" },
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			o := options(losses.Latency)
			o.Defaults()
			change(&o)
			is.New(t).True(fault.Is(o.Validate(), losses.Invalid))
		})
	}
}
