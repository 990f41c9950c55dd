// Package losses reads many answers while engines die or stall, and measures
// what the callers saw and what the engines computed more than without
// failures. The answers come through the real entry and target code, or through
// a naive client that asks the engines and starts anew after a death.
//
// # Usage
//
//	report, err := losses.Run(ctx, losses.Options{
//		Engines: 12, Requests: 1000, Kills: 200, Seed: 1, Prefer: losses.Latency,
//	})
//
// The requests, their lengths and the moments of the failures follow from the
// seed. Which other requests run at a failing engine depends on the machine, so
// two runs at one seed are alike but not equal.
package losses

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Invalid means that an option breaks a rule.
	Invalid Kind = "invalid"
	// Failed means that the run could not be carried out.
	Failed Kind = "failed"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Mode says who recovers, and what is saved.
type Mode string

// Preferences.
const (
	PreferLatency = Mode(generation.PreferLatency)
	PreferCost    = Mode(generation.PreferCost)
	// NaiveClient is a client that starts anew after a death.
	NaiveClient Mode = "naive"
)

// Limits of a run.
const (
	maxRequests = 20_000
	maxEngines  = 64
	maxTokens   = 4000
	maxDeaths   = 2
	// readyTimeout bounds the start of the deployment.
	readyTimeout = 30 * time.Second
	// idleTimeout bounds the wait for work that nobody reads any more.
	idleTimeout = 60 * time.Second
	idleLook    = 20 * time.Millisecond
)

// Options says what to run.
type Options struct {
	Engines, Requests, Failures int
	Seed                        uint64
	Mode                        Mode
	// Concurrency is how many answers are read at once.
	Concurrency int
	// Stall stops the tokens of one request in place of killing its engine.
	Stall bool
	// FewSlots leaves each engine about as many slots as the answers need.
	FewSlots bool
	// MaxFailuresPerRequest is how many failures one request may meet. The run's
	// killThreshold is above all deaths of the run, so that chance quarantines
	// nobody.
	MaxFailuresPerRequest int
	// Tokens is the length of each answer, PromptTokens the longest prompt.
	Tokens, PromptTokens int
	Costs                engine.Costs
	// DownTime bounds how long an engine stays dead or stalled.
	DownTime DurationRange
	// RetryShare and HedgeShare replace the configuration's defaults; nil
	// leaves them.
	RetryShare, HedgeShare *float64
}

// DurationRange is a range of times.
type DurationRange struct{ Min, Max time.Duration }

// draw returns a time in the span.
func (s DurationRange) draw(rng *rand.Rand) time.Duration {
	return s.Min + time.Duration(rng.Int64N(int64(s.Max-s.Min)+1))
}

// SetDefaults fills in what o leaves out.
func (o *Options) SetDefaults() {
	o.Engines = cmp.Or(o.Engines, 12)
	o.Requests = cmp.Or(o.Requests, 200)
	o.Mode = cmp.Or(o.Mode, PreferLatency)
	o.Concurrency = cmp.Or(o.Concurrency, 2*o.Engines)
	o.MaxFailuresPerRequest = cmp.Or(o.MaxFailuresPerRequest, maxDeaths)
	o.Tokens = cmp.Or(o.Tokens, 200)
	o.PromptTokens = cmp.Or(o.PromptTokens, 100)
	o.Costs = cmp.Or(o.Costs, engine.Costs{Step: 2 * time.Millisecond, Prefill: 20 * time.Microsecond})
	if o.Stall {
		o.DownTime = cmp.Or(o.DownTime, DurationRange{6 * time.Second, 12 * time.Second})
	}
	o.DownTime = cmp.Or(o.DownTime, DurationRange{200 * time.Millisecond, 600 * time.Millisecond})
}

// Validate returns an error that names the first option that breaks a rule.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	switch {
	case o.Engines < 2 || o.Engines > maxEngines:
		return fault.New(op, Invalid, "engines is %d, want 2 to %d", o.Engines, maxEngines)
	case o.Requests < 1 || o.Requests > maxRequests:
		return fault.New(op, Invalid, "requests is %d, want 1 to %d", o.Requests, maxRequests)
	case o.Failures < 0 || o.Failures > o.Requests:
		return fault.New(op, Invalid, "kills is %d, want 0 to the number of requests", o.Failures)
	case o.Concurrency < 1 || o.Concurrency > maxRequests:
		return fault.New(op, Invalid, "concurrency is %d, want 1 to %d", o.Concurrency, maxRequests)
	case o.Tokens < 2 || o.Tokens > maxTokens:
		return fault.New(op, Invalid, "tokens is %d, want 2 to %d", o.Tokens, maxTokens)
	case o.PromptTokens < minPrompt || o.PromptTokens > maxTokens:
		return fault.New(op, Invalid, "promptTokens is %d, want %d to %d", o.PromptTokens, minPrompt, maxTokens)
	case o.MaxFailuresPerRequest < 1 || o.MaxFailuresPerRequest > maxDeaths:
		return fault.New(op, Invalid, "mostDeaths is %d, want 1 to %d", o.MaxFailuresPerRequest, maxDeaths)
	case o.DownTime.Min < 0 || o.DownTime.Max < o.DownTime.Min:
		return fault.New(op, Invalid, "down is %v to %v, want rising", o.DownTime.Min, o.DownTime.Max)
	case o.Mode != PreferLatency && o.Mode != PreferCost && o.Mode != NaiveClient:
		return fault.New(op, Invalid, "prefer is %q, want latency, cost or naive", o.Mode)
	}
	return nil
}

// run is one run.
type run struct {
	opts   Options
	tasks  []task
	d      *deployment.Deployment
	client *http.Client
	races  *raceLog
	killer *killer
}

// Run reads all answers. It returns an error when the options are wrong or the
// run could not be carried out; answers that failed are counted in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts.SetDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	r := &run{opts: opts, tasks: plan(&opts), races: newRaceLog()}
	d, err := deployment.Start(r.deployment())
	if err != nil {
		return nil, err
	}
	defer d.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.WaitReady(ready); err != nil {
		return nil, err
	}
	r.d = d
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: opts.Concurrency, DisableCompression: true}}
	defer r.client.CloseIdleConnections()
	r.killer = newKiller(d, &r.opts)
	callers := r.read(ctx)
	if err := r.killer.finish(); err != nil {
		return nil, fault.Wrap("losses.Run", Failed, err)
	}
	if err := r.idle(ctx); err != nil {
		return nil, err
	}
	return r.report(callers), nil
}

// read reads all answers, so many at once.
func (r *run) read(ctx context.Context) []*caller {
	callers := make([]*caller, len(r.tasks))
	next := make(chan int)
	var readers sync.WaitGroup
	for range r.opts.Concurrency {
		readers.Go(func() {
			for i := range next {
				callers[i] = newCaller(r, i)
				callers[i].read(ctx)
			}
		})
	}
	for i := range r.tasks {
		next <- i
	}
	close(next)
	readers.Wait()
	return callers
}

// idle waits until no engine computes any more, so that all work is counted.
func (r *run) idle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	for {
		busy := 0
		for _, e := range r.d.Engines {
			s := e.StandIn.Engine.Stats()
			busy += s.Running + s.Waiting
		}
		if busy == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New("run.idle", Failed, "%d generations run that nobody reads", busy)
		case <-time.After(idleLook):
		}
	}
}
