// Package deployment starts a complete small deployment in one process, on the
// loopback interface: stand-in engines and services, a target process for each
// of them, and entries. It is used by `foxtailward dev`, by the experiments of
// foxtailward-lab and by the end-to-end tests.
//
// # Usage
//
//	d, err := deployment.Start(deployment.Options{Engines: …, Entries: …})
//	defer d.Close()
//	d.Engines[0].StandIn.Engine.Crash()
//	url := d.Entries[0].URL()
package deployment

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/placement"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/entry"
	"foxtailward.example/foxtailward/internal/transport/target"
)

// Kind is the kind of this package's errors.
type Kind string

// NotStarted means that a component of the deployment could not be started.
const NotStarted Kind = "notStarted"

// Error is this package's error.
type Error = fault.Error[Kind]

// anyPort makes the operating system choose a free loopback port.
const anyPort = "127.0.0.1:0"

// Options describes the deployment to start.
type Options struct {
	Engines  []EngineOptions
	Services []ServiceOptions
	Entries  []EntryOptions
	// Store is the key-value service that entries and target processes use; nil
	// for none.
	Store *store.Store
	// Deployment and Contracts are the configuration that is in force at the
	// start.
	Deployment conf.Deployment
	Contracts  []contract.Contract
	Log        *event.Log
	Clock      clockwork.Clock
	// Seed seeds the random sources of the entries and target processes.
	Seed uint64
}

// EngineOptions configures one engine and its target process.
type EngineOptions struct {
	Name   id.Target
	Place  settings.Place
	Engine engine.Options
	Slots  int
}

// EntryOptions configures one entry.
type EntryOptions struct {
	Name  id.Entry
	Place settings.Place
	// CallerAddress is the listen address of the callers' API; empty means any
	// free loopback port.
	CallerAddress string
}

// Deployment is a running deployment.
type Deployment struct {
	Engines  []*Engine
	Services []*Service
	Entries  []*Entry
	Current  *conf.Current

	opts    Options
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex
	addresses []string
	// targetCount is the number of target processes created so far.
	targetCount int
}

// Engine is a stand-in engine with its target process.
type Engine struct {
	StandIn *engine.Server
	Process *target.Process
	stop    context.CancelFunc
	done    chan error
}

// Entry is a running entry.
type Entry struct {
	Process *entry.Process
	stop    context.CancelFunc
	done    chan error
}

// URL returns the base URL of the callers' API.
func (e *Entry) URL() string { return "http://" + e.Process.CallerAddress() }

// Stop drains the entry and waits until it has ended.
func (e *Entry) Stop() error {
	e.stop()
	return <-e.done
}

// Kill ends the entry at once and aborts its work.
func (e *Entry) Kill() {
	e.Process.Abort()
	<-e.done
}

// Stop drains the target process and waits until it has ended.
func (e *Engine) Stop() error {
	e.stop()
	return <-e.done
}

// Kill ends the target process and its engine at once and aborts their work.
func (e *Engine) Kill() {
	e.StandIn.Engine.Crash()
	e.Process.Abort()
	<-e.done
}

// Start starts a deployment.
func Start(opts Options) (*Deployment, error) {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	d := &Deployment{opts: opts, Current: conf.NewCurrent()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.configure(); err != nil {
		return nil, err
	}
	for _, o := range opts.Engines {
		if err := d.startEngine(o); err != nil {
			d.Close()
			return nil, err
		}
	}
	if err := d.startServices(); err != nil {
		d.Close()
		return nil, err
	}
	for _, o := range opts.Entries {
		current := conf.NewCurrent()
		current.Update(d.Current.Snapshot())
		if err := d.startEntry(o, current); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// configure makes the configuration in the options current.
func (d *Deployment) configure() error {
	s := conf.Empty()
	apply := func(object conf.Object, name id.Contract, value any) error {
		data, err := json.Marshal(value)
		if err != nil {
			return fault.Wrap("Deployment.configure", NotStarted, err)
		}
		s, err = s.Apply(conf.Change{Revision: s.Revision + 1, Object: object, Name: name, Value: data, At: d.opts.Clock.Now()})
		return fault.Wrap("Deployment.configure", NotStarted, err)
	}
	if err := apply(conf.DeploymentObject, "", &d.opts.Deployment); err != nil {
		return err
	}
	for i := range d.opts.Contracts {
		c := &d.opts.Contracts[i]
		if err := apply(conf.ContractObject, c.Name, c); err != nil {
			return err
		}
	}
	d.Current.Update(s)
	return nil
}

func (d *Deployment) startEngine(o EngineOptions) error {
	o.Engine.SetDefaults()
	if o.Slots != 0 {
		o.Engine.Slots = o.Slots
	}
	standIn, err := engine.Listen(anyPort, o.Engine)
	if err != nil {
		return fault.Wrap("Deployment.startEngine", NotStarted, err)
	}
	s := settings.Target{
		Name: o.Name, Place: o.Place, PeerAddress: anyPort, OperatorAddress: anyPort,
		Engine: &settings.Engine{
			URL: standIn.URL(), Slots: o.Engine.Slots, Model: id.Model(o.Engine.Model), Version: id.Version(o.Engine.Version),
			SupportsFencing: !o.Engine.IgnoresFence,
		},
	}
	s.SetDefaults()
	e := &Engine{StandIn: standIn, done: make(chan error, 1)}
	e.Process = target.New(s, d.targetDeps())
	if err := e.Process.Listen(); err != nil {
		return err
	}
	d.Engines = append(d.Engines, e)
	e.stop = d.run(e.Process.Run, e.done)
	return nil
}

// AddEntry starts an entry without configuration, as on a replaced host. The
// entry gets the configuration from the other entries or from the key-value
// service.
func (d *Deployment) AddEntry(o EntryOptions) (*Entry, error) {
	if err := d.startEntry(o, conf.NewCurrent()); err != nil {
		return nil, err
	}
	return d.Entries[len(d.Entries)-1], nil
}

func (d *Deployment) startEntry(o EntryOptions, current *conf.Current) error {
	s := settings.Entry{Name: o.Name, Place: o.Place, CallerAddress: o.CallerAddress, PeerAddress: anyPort, OperatorAddress: anyPort}
	if s.CallerAddress == "" {
		s.CallerAddress = anyPort
	}
	s.SetDefaults()
	e := &Entry{done: make(chan error, 1)}
	e.Process = entry.New(s, entry.Deps{
		Clock: d.opts.Clock, Log: d.opts.Log, Current: current, Seeds: d.entryAddresses, Store: d.opts.Store,
		Random: d.newRandom(entrySeedOffset + len(d.Entries)),
	})
	if err := e.Process.Listen(); err != nil {
		return err
	}
	d.Entries = append(d.Entries, e)
	d.addEntryAddress(e.Process.PeerAddress())
	e.stop = d.run(e.Process.Run, e.done)
	return nil
}

// run runs a process in the background until the returned function is called.
func (d *Deployment) run(run func(context.Context) error, done chan<- error) context.CancelFunc {
	ctx, cancel := context.WithCancel(d.ctx)
	d.running.Go(func() {
		defer cancel()
		done <- run(ctx)
	})
	return cancel
}

// entrySeedOffset separates the random streams of entries from those of target
// processes, which are numbered from 1.
const entrySeedOffset = 1 << 20

// newRandom returns the random source with stream number n.
func (d *Deployment) newRandom(n int) *rand.Rand {
	return rand.New(rand.NewPCG(d.opts.Seed, uint64(n)))
}

// targetDeps returns the dependencies of the next target process.
func (d *Deployment) targetDeps() target.Deps {
	current := conf.NewCurrent()
	d.mu.Lock()
	d.targetCount++
	n := d.targetCount
	d.mu.Unlock()
	deps := target.Deps{
		Clock: d.opts.Clock, Log: d.opts.Log, Snapshot: current.Snapshot,
		Gossip: &target.GossipConfig{Seeds: d.entryAddresses, Current: current, Random: d.newRandom(n)},
	}
	if d.opts.Store != nil {
		deps.MinFence = func(ctx context.Context) (id.Fence, error) { return placement.MinFence(ctx, d.opts.Store) }
	}
	return deps
}

// addEntryAddress adds an entry's peer address to the gossip seeds.
func (d *Deployment) addEntryAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = append(d.addresses, address)
}

// entryAddresses returns the peer addresses of all entries.
func (d *Deployment) entryAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.addresses)
}

// WaitReady waits until every entry sees all targets as available and all
// entries as live, or until ctx ends.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for {
		if d.allVisible() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Wrap("Deployment.WaitReady", NotStarted, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

// readyPollInterval is the time between two checks in WaitReady.
const readyPollInterval = 10 * time.Millisecond

func (d *Deployment) allVisible() bool {
	for _, e := range d.Entries {
		if e.Process.AvailableTargets() < len(d.Engines)+len(d.Services) || e.Process.LiveEntries() < len(d.Entries) {
			return false
		}
	}
	return true
}

// Close aborts all work, ends all processes and waits for them.
func (d *Deployment) Close() {
	for _, e := range d.Entries {
		e.Process.Abort()
	}
	for _, e := range d.Engines {
		e.Process.Abort()
	}
	for _, s := range d.Services {
		s.Process.Abort()
	}
	d.cancel()
	d.running.Wait()
	for _, e := range d.Engines {
		e.StandIn.Close()
	}
	for _, s := range d.Services {
		s.StandIn.Close()
	}
}
