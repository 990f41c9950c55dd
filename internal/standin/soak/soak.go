// Package soak runs entries as processes of their own on one machine and brings
// faults upon them from outside: links through loopback proxies that are delayed,
// reset, cut one way or silenced; signals that stop, pause, kill and restart the
// processes; a key-value service and targets that fail. What clients got and
// what targets ran is compared while it goes on.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Program: "target/foxtailward", Dir: dir, Seed: 7})
//	for _, b := range report.Broken { fmt.Println(b) }
//
// The faults and their times follow from the seed. What runs at those times
// depends on the machine, so that two runs of a seed are alike but not equal.
package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
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

// Options says what runs and for how long.
type Options struct {
	// Program is the path of foxtailward.
	Program string
	// Dir takes the entries' settings and logs.
	Dir     string
	Seed    uint64
	Entries int
	Engines int
	Clients int
	// Duration is how long faults are brought about.
	Duration time.Duration
	// SafetyOnly leaves out what depends on the machine's speed: that requests are
	// served, and changes are in force, outside of faults.
	SafetyOnly bool
}

// Limits of a run.
const (
	maxEntries = 60
	maxEngines = 120
	maxClients = 400
)

// SetDefaults fills in what o leaves out.
func (o *Options) SetDefaults() {
	o.Entries = cmp.Or(o.Entries, 4)
	o.Engines = cmp.Or(o.Engines, 9)
	o.Clients = cmp.Or(o.Clients, 30)
	o.Duration = cmp.Or(o.Duration, 40*time.Second)
}

// Validate returns an Invalid error for the first option that breaks a rule.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	switch {
	case o.Program == "":
		return fault.New(op, Invalid, "no program is named")
	case o.Entries < 1 || o.Entries > maxEntries:
		return fault.New(op, Invalid, "entries is %d, want 1 to %d", o.Entries, maxEntries)
	case o.Engines < 1 || o.Engines > maxEngines:
		return fault.New(op, Invalid, "engines is %d, want 1 to %d", o.Engines, maxEngines)
	case o.Clients < 1 || o.Clients > maxClients:
		return fault.New(op, Invalid, "clients is %d, want 1 to %d", o.Clients, maxClients)
	case o.Duration < 0:
		return fault.New(op, Invalid, "the time is %v, want more than 0", o.Duration)
	}
	return nil
}

// Run carries out one seed. Broken promises are in the report; the error is for
// a run that could not be carried out.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts.SetDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(opts.Dir, 0o755); err != nil {
		return nil, fault.Wrap("soak.Run", Failed, err)
	}
	w, err := newWorld(opts)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.start(ctx); err != nil {
		return nil, err
	}
	w.play(ctx)
	return w.report(), nil
}

// play lets clients ask while the plan is carried out, and then sees that all are
// served again.
func (w *world) play(ctx context.Context) {
	asking, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range w.opts.Clients {
		c := newClient(w, i)
		clients.Go(func() { c.run(asking) })
	}
	w.carryOut(ctx, newPlan(w.opts, rand.New(rand.NewPCG(w.opts.Seed, planStream))))
	stop()
	clients.Wait()
	w.recover(ctx)
}

// Streams of random numbers of one seed.
const (
	planStream   = 1
	clientStream = 1000
)
