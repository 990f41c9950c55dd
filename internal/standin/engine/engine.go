// Package engine is a deterministic stand-in for a model engine. It speaks
// internal/protocol/engine, batches continuously, keeps a prefix cache in
// limited memory, honours priorities, and fails on command.
//
// Token i of an answer is a function of the model, its version, the adapter,
// the prompt and all tokens before it. A lost, repeated or foreign token
// therefore changes the rest of the text, and Expect computes the right answer
// without an engine.
//
// # Usage
//
//	e, err := engine.New(engine.Options{Model: "report", Version: "v1"})
//	if err != nil { … }
//	defer e.Close()
//	server := httptest.NewServer(e)
//
//	want := engine.Expect("report", "v1", "", "Truck 14", 400)
//	e.DieAfter(100)
//
// Listen serves an engine on a listener of its own, so that its death closes
// the listener as well:
//
//	s, err := engine.Listen("127.0.0.1:0", engine.Options{Model: "report"})
//	defer s.Close()
//	s.Die()
//	s.Revive()
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

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that an option or a message breaks a rule.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// DefaultChunkTokens is the largest number of tokens in one event of a stream.
const DefaultChunkTokens = 16

// Defaults of the options.
const (
	defaultModel        = "report"
	defaultVersion      = "v1"
	defaultSlots        = 64
	defaultCacheBlocks  = 4096
	defaultPrefillChunk = 2048
)

// Costs are the engine's times. The zero value makes an engine that answers as
// fast as the machine can.
type Costs struct {
	// Prefill is the time for one prompt or prefix token not in the cache.
	Prefill time.Duration
	// Step is the time of one decode step.
	Step time.Duration
	// StepPerGeneration is added to a step for each running generation.
	StepPerGeneration time.Duration
	// Order is the time that an order takes.
	Order time.Duration
}

// Options sets up an engine.
type Options struct {
	Model    string
	Version  string
	Adapters []string
	// Clock is the time; the real one when nil.
	Clock clockwork.Clock
	Costs Costs
	// Slots is how many generations run at once; the others queue.
	Slots int
	// CacheBlocks is the size of the prefix cache; negative means no cache.
	CacheBlocks int
	// PrefillChunk is the largest number of tokens prefilled in one step.
	PrefillChunk int
	// ChunkTokens is the largest number of tokens in one event of a stream.
	ChunkTokens int
	// Length bounds the answers' natural lengths.
	Length LengthRange
	// CacheEventLag is how long a cache event stays hidden.
	CacheEventLag time.Duration
	// MetricsLag is the age that served metrics may reach.
	MetricsLag time.Duration
	// IgnoresFence makes the engine carry out orders with an old number.
	IgnoresFence bool
}

// SetDefaults fills in what o leaves out.
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

// Validate returns an error that names the first option that breaks a rule.
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
		return fault.New(op, Invalid, "length is %d to %d, want 1 or more, rising", o.Length.Min, o.Length.Max)
	case min(o.Costs.Prefill, o.Costs.Step, o.Costs.StepPerGeneration, o.Costs.Order) < 0:
		return fault.New(op, Invalid, "a cost is negative")
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
	// wake tells the scheduler that there is something to do.
	wake chan struct{}
	gate gate
	// sendBudget is the number of tokens that may still be sent before the
	// engine dies; negative means no limit.
	sendBudget atomic.Int64
	// life numbers the engine's starts.
	life atomic.Int64
	// loading lets one order at a time read weights.
	loading sync.Mutex
	counts  counters

	mu sync.Mutex
	// onDeath and onRevival are set by a Server.
	onDeath   func()
	onRevival func() error
	// serving is what new generations get.
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
	snapshot       metricsSnapshot
}

// New returns a running engine; Close ends it.
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
	e.boot()
	e.router = e.routes()
	go e.schedule(ctx)
	return e, nil
}

// boot sets what a new process of the engine starts with.
func (e *Engine) boot() {
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

// Close ends the engine and all its streams.
func (e *Engine) Close() {
	e.cancel()
	<-e.done
	e.gate.open()
	e.abortAll()
}

// Serving returns the model, version and adapters that new generations get.
func (e *Engine) Serving() (model, version string, adapters []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model, e.version, slices.Sorted(maps.Keys(e.adapters))
}

// signal wakes the scheduler.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
