// Package losses measures recovery from engine failures. It reads many answers while
// engines crash or stall, and measures the effect on callers and the work that
// engines do beyond that of a run without failures. The answers are read through the
// real entry and target code, or by a naive client that calls the engines directly
// and restarts the request after a failure.
//
// # Usage
//
//	report, err := losses.Run(ctx, losses.Options{
//		Engines: 12, Requests: 1000, Failures: 200, Seed: 1, Mode: losses.PreferLatency,
//	})
//
// The seed determines the requests, their lengths and the tokens at which engines
// fail. Which other requests run on a failing engine depends on the machine's timing,
// so two runs with the same seed are similar but not identical.
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
	// Invalid means that an option is invalid.
	Invalid Kind = "invalid"
	// Failed means that the run could not be completed.
	Failed Kind = "failed"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Mode selects the recovery that is measured.
type Mode string

// Modes.
const (
	// PreferLatency and PreferCost use foxtailward's recovery with this preference.
	PreferLatency = Mode(generation.PreferLatency)
	PreferCost    = Mode(generation.PreferCost)
	// NaiveClient calls engines directly and restarts the request after a failure.
	NaiveClient Mode = "naive"
)

// Limits of a run.
const (
	maxRequests             = 20_000
	maxEngines              = 64
	maxTokens               = 4000
	failuresPerRequestLimit = 2
	// readyTimeout is the maximum time that the deployment takes to get ready.
	readyTimeout = 30 * time.Second
	// idleTimeout is the maximum time to wait at the end for generations that have
	// no reader any more.
	idleTimeout      = 60 * time.Second
	idlePollInterval = 20 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Engines, Requests, Failures int
	Seed                        uint64
	Mode                        Mode
	// Concurrency is the number of answers that are read concurrently.
	Concurrency int
	// Stall makes a failure stop the tokens of one request instead of crashing its
	// engine.
	Stall bool
	// FewSlots gives each engine only about as many slots as the concurrent answers
	// need.
	FewSlots bool
	// MaxFailuresPerRequest is how many failures one request may have. The configured
	// QuarantineThreshold is above the number of failures in the run, so that no
	// request is quarantined by chance.
	MaxFailuresPerRequest int
	// Tokens is the length of each answer and PromptTokens the maximum length of a
	// prompt.
	Tokens, PromptTokens int
	Costs                engine.Costs
	// DownTime is the range of durations for which an engine stays down or stalled.
	DownTime DurationRange
	// RetryShare and HedgeShare override the configuration's defaults unless nil.
	RetryShare, HedgeShare *float64
}

// DurationRange is a range of durations.
type DurationRange struct{ Min, Max time.Duration }

// random returns a random duration in the range.
func (r DurationRange) random(rng *rand.Rand) time.Duration {
	return r.Min + time.Duration(rng.Int64N(int64(r.Max-r.Min)+1))
}

// SetDefaults sets the options that are zero to their defaults.
func (o *Options) SetDefaults() {
	o.Engines = cmp.Or(o.Engines, 12)
	o.Requests = cmp.Or(o.Requests, 200)
	o.Mode = cmp.Or(o.Mode, PreferLatency)
	o.Concurrency = cmp.Or(o.Concurrency, 2*o.Engines)
	o.MaxFailuresPerRequest = cmp.Or(o.MaxFailuresPerRequest, failuresPerRequestLimit)
	o.Tokens = cmp.Or(o.Tokens, 200)
	o.PromptTokens = cmp.Or(o.PromptTokens, 100)
	o.Costs = cmp.Or(o.Costs, engine.Costs{Step: 2 * time.Millisecond, Prefill: 20 * time.Microsecond})
	if o.Stall {
		o.DownTime = cmp.Or(o.DownTime, DurationRange{6 * time.Second, 12 * time.Second})
	}
	o.DownTime = cmp.Or(o.DownTime, DurationRange{200 * time.Millisecond, 600 * time.Millisecond})
}

// Validate returns an error that names the first invalid option.
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
	case o.PromptTokens < minPromptTokens || o.PromptTokens > maxTokens:
		return fault.New(op, Invalid, "promptTokens is %d, want %d to %d", o.PromptTokens, minPromptTokens, maxTokens)
	case o.MaxFailuresPerRequest < 1 || o.MaxFailuresPerRequest > failuresPerRequestLimit:
		return fault.New(op, Invalid, "maxFailuresPerRequest is %d, want 1 to %d", o.MaxFailuresPerRequest, failuresPerRequestLimit)
	case o.DownTime.Min < 0 || o.DownTime.Max < o.DownTime.Min:
		return fault.New(op, Invalid, "downTime is %v to %v, want 0 <= minimum <= maximum", o.DownTime.Min, o.DownTime.Max)
	case o.Mode != PreferLatency && o.Mode != PreferCost && o.Mode != NaiveClient:
		return fault.New(op, Invalid, "prefer is %q, want latency, cost or naive", o.Mode)
	}
	return nil
}

// run is the state of one run.
type run struct {
	opts     Options
	tasks    []task
	d        *deployment.Deployment
	client   *http.Client
	hedgeLog *hedgeLog
	injector *faultInjector
}

// Run reads all answers. It returns an error if the options are invalid or the run
// could not be completed. Failed answers are counted in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts.SetDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	r := &run{opts: opts, tasks: plan(&opts), hedgeLog: newHedgeLog()}
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
	r.injector = newFaultInjector(d, &r.opts)
	callers := r.readAll(ctx)
	if err := r.injector.wait(); err != nil {
		return nil, fault.Wrap("losses.Run", Failed, err)
	}
	if err := r.waitIdle(ctx); err != nil {
		return nil, err
	}
	return r.report(callers), nil
}

// readAll reads all answers, Options.Concurrency at a time.
func (r *run) readAll(ctx context.Context) []*caller {
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

// waitIdle waits until all engines are idle, so that the report counts all work.
func (r *run) waitIdle(ctx context.Context) error {
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
			return fault.New("run.waitIdle", Failed, "%d generations without a reader still run or wait", busy)
		case <-time.After(idlePollInterval):
		}
	}
}
