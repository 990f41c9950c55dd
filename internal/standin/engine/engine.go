// Package engine is a deterministic stand-in for a model engine. It implements the
// API of internal/protocol/engine with continuous batching, a prefix cache of
// limited size, priorities, and failures on command.
//
// Token i of an answer is a function of the model, its version, the adapter,
// the prompt and all tokens before it. A lost or repeated token, or one of another
// answer, therefore changes the rest of the text, and Expect computes the correct
// answer without an engine.
//
// # Usage
//
//	e, err := engine.New(engine.Options{Model: "report", Version: "v1"})
//	if err != nil { … }
//	defer e.Close()
//	server := httptest.NewServer(e)
//
//	want := engine.Expect("report", "v1", "", "Truck 14", 400)
//	e.CrashAfterTokens(100)
//
// Listen serves an engine on its own listener, so that a crash closes the
// listener as well:
//
//	s, err := engine.Listen("127.0.0.1:0", engine.Options{Model: "report"})
//	defer s.Close()
//	s.Crash()
//	s.Restart()
package engine

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind classifies this package's errors.
type Kind string

// Invalid means that an option or a message is not valid.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// DefaultChunkTokens is the largest number of tokens in one event of a stream.
const DefaultChunkTokens = 16

// Default options.
const (
	defaultModel        = "report"
	defaultVersion      = "v1"
	defaultSlots        = 64
	defaultCacheBlocks  = 4096
	defaultPrefillChunk = 2048
)

// Costs are the simulated durations of the engine's work. With the zero value, the
// engine answers as fast as the machine allows.
type Costs struct {
	// Prefill is the time for one prompt or prefix token that is not cached.
	Prefill time.Duration
	// Step is the time of one decode step.
	Step time.Duration
	// StepPerGeneration is added to a step for each running generation.
	StepPerGeneration time.Duration
	// Order is the time that the engine takes to apply an order.
	Order time.Duration
}

// Options configures an engine.
type Options struct {
	Model    string
	Version  string
	Adapters []string
	// Clock is the source of time; nil means the real clock.
	Clock clockwork.Clock
	Costs Costs
	// Slots is the number of generations that run concurrently; others are queued.
	Slots int
	// CacheBlocks is the size of the prefix cache in blocks; a negative size
	// disables it.
	CacheBlocks int
	// PrefillChunk is the largest number of tokens prefilled in one step.
	PrefillChunk int
	// ChunkTokens is the largest number of tokens in one event of a stream.
	ChunkTokens int
	// Length bounds the natural lengths of answers.
	Length LengthRange
	// CacheEventLag is the delay before readers see a cache event.
	CacheEventLag time.Duration
	// MetricsLag is the maximum age of served metrics.
	MetricsLag time.Duration
	// IgnoresFence makes the engine apply orders with an outdated fencing number.
	IgnoresFence bool
}

// SetDefaults sets unset options to their defaults.
func (o *Options) SetDefaults() {
	o.Model = cmp.Or(o.Model, defaultModel)
	o.Version = cmp.Or(o.Version, defaultVersion)
	o.Slots = cmp.Or(o.Slots, defaultSlots)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, defaultCacheBlocks)
	o.PrefillChunk = cmp.Or(o.PrefillChunk, defaultPrefillChunk)
	o.ChunkTokens = cmp.Or(o.ChunkTokens, DefaultChunkTokens)
	o.Length = cmp.Or(o.Length, DefaultLength)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
}

// Validate returns an error for the first invalid option.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	switch {
	case o.Slots < 1:
		return fault.New(op, Invalid, "slots is %d, want at least 1", o.Slots)
	case o.PrefillChunk < 1:
		return fault.New(op, Invalid, "prefillChunk is %d, want at least 1", o.PrefillChunk)
	case o.ChunkTokens < 1:
		return fault.New(op, Invalid, "chunkTokens is %d, want at least 1", o.ChunkTokens)
	case o.Length.Min < 1 || o.Length.Max < o.Length.Min:
		return fault.New(op, Invalid, "length is %d to %d, want a minimum of at least 1 and a maximum that is not smaller", o.Length.Min, o.Length.Max)
	case min(o.Costs.Prefill, o.Costs.Step, o.Costs.StepPerGeneration, o.Costs.Order) < 0:
		return fault.New(op, Invalid, "a cost is negative, want 0 or more for prefill, step, step per generation and order")
	}
	return nil
}

// Engine is a stand-in engine. It serves HTTP; all methods are safe for
// concurrent use.
type Engine struct {
	opts   Options
	router http.Handler
	clock  clockwork.Clock
	cancel context.CancelFunc
	done   chan struct{}
	// wake signals the scheduler that there may be work.
	wake   chan struct{}
	pauser pauser
	// sendBudget is the number of tokens that may still be sent before the
	// engine crashes; negative means no limit.
	sendBudget atomic.Int64
	// incarnation is incremented by each crash.
	incarnation atomic.Int64
	// orderMu is held while an order is applied, so that only one order at a time
	// loads weights.
	orderMu sync.Mutex
	counts  counters

	mu sync.Mutex
	// onCrash and onRestart are set by Listen.
	onCrash   func()
	onRestart func() error
	// model, version and adapters are used for new generations.
	model, version string
	adapters       map[string]bool
	role           string
	fence          int64
	orders         map[string]bool
	queue          queue
	nextSeq        uint64
	running        []*stream
	cache          *cache
	faults         faults
	lastStep       time.Duration
	metrics        metricsSnapshot
}

// New returns a running engine. Close stops it.
func New(opts Options) (*Engine, error) {
	opts.SetDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		opts:   opts,
		clock:  opts.Clock,
		cancel: cancel,
		done:   make(chan struct{}),
		wake:   make(chan struct{}, 1),
		cache:  newCache(opts.CacheBlocks, opts.Clock, opts.CacheEventLag),
	}
	e.reset()
	e.router = e.routes()
	go e.schedule(ctx)
	return e, nil
}

// reset sets the state that a new engine process starts with.
func (e *Engine) reset() {
	e.model, e.version, e.role = e.opts.Model, e.opts.Version, ""
	e.adapters = map[string]bool{}
	for _, a := range e.opts.Adapters {
		e.adapters[a] = true
	}
	e.fence, e.orders = 0, map[string]bool{}
	e.faults = newFaults(e.opts.IgnoresFence)
	e.cache.restart()
	e.sendBudget.Store(-1)
}

// Close stops the engine and aborts all its streams.
func (e *Engine) Close() {
	e.cancel()
	<-e.done
	e.pauser.resume()
	e.abortAll()
}

// Serving returns the model, version and adapters that are used for new
// generations.
func (e *Engine) Serving() (model, version string, adapters []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model, e.version, slices.Sorted(maps.Keys(e.adapters))
}

func (e *Engine) wakeScheduler() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
