// Package soak tests real entry processes under faults. The entries run on one
// machine, and the faults are injected from outside: proxies on the loopback network
// delay, reset or block links, in one direction or both; signals stop, pause, kill
// and restart the processes; a stand-in key-value service and stand-in targets fail.
// During the run, the answers that clients receive are compared with what the
// targets ran.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Program: "target/foxtailward", Dir: dir, Seed: 7})
//	for _, v := range report.Violations { fmt.Println(v) }
//
// The seed determines the faults and their times. Which requests are in progress at
// these times also depends on the machine, so two runs of a seed are similar but not
// equal.
package soak

import (
	"cmp"
	"context"
	"os"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind classifies this package's errors.
type Kind string

// Kinds of errors.
const (
	// Invalid means that an option is not valid.
	Invalid Kind = "invalid"
	// Failed means that the run could not be started.
	Failed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Options configures a run.
type Options struct {
	// Program is the path of the foxtailward binary.
	Program string
	// Dir is the directory for the settings and logs of the entries.
	Dir     string
	Seed    uint64
	Entries int
	Engines int
	Clients int
	// Duration is the time during which faults are started.
	Duration time.Duration
	// Crashing adds requests that crash the targets that run them.
	Crashing bool
	// StoreReturns adds returns of the key-value service from older copies of its state.
	StoreReturns bool
	// TargetLimits adds targets that name limits of the requests that they take.
	TargetLimits bool
	// CrashingParts adds requests with a part of their prompts that crashes targets.
	CrashingParts bool
	// CrashingPlain adds requests of the plain service that crash its targets, several at
	// once, with runs that end in nothing and ends of engines beside.
	CrashingPlain bool
	// LargeConfigs makes every other configuration large, and the key-value service's
	// answers to half of the entries slow.
	LargeConfigs bool
	// Releases adds releases of engines, so that several versions serve.
	Releases bool
	// Rests adds targets that request rests, and records that lapse meanwhile.
	Rests bool
	// Stops adds stops of whole entries in series, beside signals and configuration changes,
	// and clients that keep using their connections.
	Stops bool
	// AnswerEnds adds answers that end early, with a connection that is closed as at the end of
	// a whole one: engines that are replaced in place, and living ones that break answers off.
	// Clients take broken streams up at other entries, of which some are paused.
	AnswerEnds bool
	// Unrecorded adds releases in place after a time in which one version alone serves. The
	// records of the new processes are late, and entries that began streams there are killed,
	// cut off or paused.
	Unrecorded bool
	// AllKilled adds moments, after a time in which one version alone serves, at which another version begins streams,
	// all entries are killed within a second, and the processes of that version end too.
	AllKilled bool
	// ProcessEnds adds targets that are told to stop: they end their unframed answers early, still
	// serve for a while without saying that they are leaving, and end.
	ProcessEnds bool
	// LeavingEnds adds engines that say that they are leaving. Some then end their chunked streams early with their last
	// chunks, live on for a while, and end.
	LeavingEnds bool
	// LatePlainEnds lets these targets also break off plain answers of which nothing tells entries: by
	// processes that end later than entries wait, or that are replaced before entries ask.
	LatePlainEnds bool
	// HTTP10 sends some of the attempts at streams over HTTP/1.0, where a plain close ends an
	// answer.
	HTTP10 bool
	// PageShapes adds what the users' pages allow of the bytes of streams and of clients that resume: events
	// cut anywhere, resumptions beside the first connection, equal bodies.
	PageShapes bool
	// Rollouts adds the operator's orders to move the plain service to new versions, good and bad ones, and entries
	// that are killed meanwhile.
	Rollouts bool
	// Uneven lets targets share their hosts with others: work takes longer in spells, and in one
	// zone at all times. They say so, at times wrongly.
	Uneven bool
	// Calm leaves out the faults and the planned work that the other options do not add.
	Calm bool
	// SafetyOnly leaves out the checks that depend on the machine's speed, for
	// instance that requests are served and configuration changes are applied in time
	// while no fault is active.
	SafetyOnly bool
}

// resumesElsewhere reports whether clients resume a stream at another entry than the one that broke it
// off.
func (o *Options) resumesElsewhere() bool {
	return o.AnswerEnds || o.resumesOften() || o.ProcessEnds || o.LeavingEnds || o.PageShapes
}

// resumesOften reports whether most requests are streams, which clients resume many times.
func (o *Options) resumesOften() bool { return o.Unrecorded || o.AllKilled }

// hasResidents reports whether clients keep connections to all entries.
func (o *Options) hasResidents() bool {
	return o.Stops || o.AnswerEnds || o.ProcessEnds || o.LeavingEnds
}

// Limits of a run.
const (
	maxEntries = 60
	maxEngines = 120
	maxClients = 400
)

// SetDefaults sets unset options to their defaults.
func (o *Options) SetDefaults() {
	o.Entries = cmp.Or(o.Entries, 4)
	o.Engines = cmp.Or(o.Engines, 9)
	o.Clients = cmp.Or(o.Clients, 30)
	o.Duration = cmp.Or(o.Duration, 40*time.Second)
}

// Validate returns an Invalid error for the first invalid option.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	switch {
	case o.Program == "":
		return fault.New(op, Invalid, "program is empty, want the path of foxtailward")
	case o.Entries < 1 || o.Entries > maxEntries:
		return fault.New(op, Invalid, "entries is %d, want 1 to %d", o.Entries, maxEntries)
	case o.Engines < 1 || o.Engines > maxEngines:
		return fault.New(op, Invalid, "engines is %d, want 1 to %d", o.Engines, maxEngines)
	case o.Clients < 1 || o.Clients > maxClients:
		return fault.New(op, Invalid, "clients is %d, want 1 to %d", o.Clients, maxClients)
	case o.Duration < 0:
		return fault.New(op, Invalid, "duration is %v, want 0 or more", o.Duration)
	}
	return nil
}

// Run runs one seed and reports violations of guarantees. It returns an error if the
// run could not be started.
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
	w.runLoad(ctx)
	return w.report(), nil
}

// runLoad runs clients during the plan, and then checks that requests are served
// again.
func (w *world) runLoad(ctx context.Context) {
	clientCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range w.opts.Clients {
		c := newClient(w, i)
		clients.Go(func() { c.run(clientCtx) })
	}
	for _, c := range w.residents() {
		clients.Go(func() { c.run(clientCtx) })
	}
	clients.Go(func() { w.runCrashingRequests(ctx) })
	w.runPlan(ctx, fullPlan(w.opts))
	stop()
	clients.Wait()
	w.restarts.Wait()
	w.checkCrashingRequests()
	w.checkTargetLimits()
	w.checkUnrecorded()
	w.checkAllKilled()
	w.checkProcessEnds()
	w.checkLeavingEnds()
	w.checkShares()
	w.checkRecovery(ctx)
	w.checkPageShapes()
}

// Streams of the random number generator, which make independent sequences from one
// seed. Client i uses stream clientRandomStream+i.
const (
	planRandomStream       = 1
	crashingRandomStream   = 2
	returnRandomStream     = 3
	limitRandomStream      = 4
	partRandomStream       = 5
	releaseRandomStream    = 6
	restRandomStream       = 7
	plainRandomStream      = 8
	stopRandomStream       = 9
	endRandomStream        = 10
	breakRandomStream      = 11
	unrecordedRandomStream = 12
	unrecordedFaultStream  = 13
	processEndRandomStream = 14
	allKilledRandomStream  = 15
	leavingEndRandomStream = 16
	pageShapeRandomStream  = 17
	rolloutRandomStream    = 18
	residentRandomStream   = 5000
	clientRandomStream     = 1000
)
