// Package target implements the process that runs beside a target. All
// requests to a model engine or plain service go through it. It serves
// peerpb.Target and peerpb.Exchange.
//
// # Usage
//
//	p := target.New(settings, target.Deps{Clock: clock, Log: log})
//	if err := p.Listen(); err != nil { … }
//	err := p.Run(ctx) // returns once ctx has ended and all work is done
//	names := p.Abort() // ends Run at once; names lists the work that was lost
//
// # Goroutines
//
// There is one goroutine each for the listener, the sweep of expired records,
// the poll of the engine's health and load, and each running generation, and
// there are two for each stream of an entry. A stream reads its attempt's log
// by index, so a slow reader costs one batch of tokens and needs no queue.
package target

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/state/timing"
	"foxtailward.example/foxtailward/internal/transport/inbound"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// ListenFailed means that the process can't listen on its peer address.
	ListenFailed Kind = "address"
	// FenceUnknown means that the lowest valid fencing number can't be read.
	FenceUnknown Kind = "unknown"
	// WorkAborted means that a forced stop aborted work.
	WorkAborted Kind = "workCut"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// flushTimeout limits the time in which the server sends its last messages.
const flushTimeout = 3 * time.Second

// sweepInterval is the interval at which expired records are removed.
const sweepInterval = 250 * time.Millisecond

// Deps are the dependencies of a process. Clock must be set.
type Deps struct {
	// Guard bounds what clients make the process hold; nil for no bound.
	Guard *inbound.Guard
	Clock clockwork.Clock
	Log   *event.Log
	// Metrics is the registry of the process's metrics; nil means a private
	// registry.
	Metrics metrics.Registry
	// Snapshot returns the configuration in force; nil means the defaults.
	Snapshot func() *conf.Snapshot
	// MinFence reads the lowest fencing number that a leader may hold now from
	// the key-value service. It is called for each order if the engine does not
	// check fencing numbers; if it is nil, all such orders are refused.
	MinFence func(ctx context.Context) (id.Fence, error)
	// OnCacheUpdate receives the events of the engine's prefix cache, which
	// arrive late and with gaps. It must not block. If it is nil, no events are
	// read.
	OnCacheUpdate func(update CacheUpdate)
	// Gossip is set if the process reports to entries by itself.
	Gossip *GossipConfig
	// Linger is how long a process without work still answers after it was told
	// to stop. Until an entry knows that the target is leaving, its request then
	// gets a refusal instead of a broken connection, which would not prove that
	// the request was not run.
	Linger time.Duration
	// Swap handles Exchange.Swap; nil answers with the process's own load.
	Swap func(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
}

// Process is the process beside one target.
type Process struct {
	settings settings.Target
	deps     Deps
	counters *counters
	reporter *reporter
	// runner is set beside an engine, callRunner beside a plain service.
	runner     *runner
	callRunner *callRunner
	orders     *orders

	listener net.Listener
	server   *grpc.Server
	// ctx ends when the drain has finished or the process is aborted.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	draining bool
	aborted  []string
}

// New returns a process. The settings must have been completed with defaults
// and validated.
func New(s settings.Target, deps Deps) *Process {
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	if deps.Snapshot == nil {
		empty := conf.Empty()
		deps.Snapshot = func() *conf.Snapshot { return empty }
	}
	p := &Process{settings: s, deps: deps, counters: newCounters(deps.Metrics)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.reporter = newReporter(s, deps.Clock, p.counts)
	if s.Engine != nil {
		p.runner = newRunner(p)
		p.orders = newOrders(p)
	} else {
		p.callRunner = newCallRunner(p)
	}
	p.server = newServer(p)
	return p
}

// counts returns the load figures of a report.
func (p *Process) counts() loadCounts {
	if p.runner != nil {
		return p.runner.counts()
	}
	return p.callRunner.counts()
}

// Listen opens the address for other processes. Run calls it if the process
// does not listen yet.
func (p *Process) Listen() error {
	listener, err := net.Listen("tcp", p.settings.PeerAddress)
	if err != nil {
		return fault.Wrap("Process.Listen", ListenFailed, err)
	}
	p.listener = listener
	p.reporter.setAddress(listener.Addr().String())
	return nil
}

// Address returns the address at which other processes reach this one, once
// it listens.
func (p *Process) Address() string { return p.reporter.address() }

// Incarnation returns the process's incarnation number, which is higher after
// each start. Beside a plain service it also rises when the ledger of calls
// is full.
func (p *Process) Incarnation() id.Incarnation { return p.reporter.snapshot().Incarnation }

// Report returns the current report of the target.
func (p *Process) Report() *member.TargetReport { return p.reporter.report() }

// Run serves until ctx ends and then drains: it refuses new work and returns
// once the running work is done, however long that takes, or once Abort is
// called. It returns an *Error if it can't listen or if work was aborted.
func (p *Process) Run(ctx context.Context) error {
	if p.listener == nil {
		if err := p.Listen(); err != nil {
			return err
		}
	}
	p.emit(event.ProcessStarted, "address", p.Address(), "incarnation", p.Incarnation())
	var tasks sync.WaitGroup
	if p.deps.Gossip != nil {
		exchanger := p.newExchanger()
		p.deps.Swap = exchanger.Serve
		tasks.Go(func() { exchanger.Run(p.ctx); exchanger.Pool.Close() })
	}
	tasks.Go(func() { p.serve() })
	tasks.Go(func() { p.sweep() })
	tasks.Go(func() { p.poll() })
	select {
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	p.drain(context.WithoutCancel(ctx))
	p.cancel()
	p.stopServer()
	tasks.Wait()
	p.stopWork()
	p.emit(event.DrainEnded)
	return p.abortError()
}

// stopServer gives the server time to send the last messages of ended streams
// before it closes the connections.
func (p *Process) stopServer() {
	stopped := make(chan struct{})
	go func() {
		p.server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-p.deps.Clock.After(flushTimeout):
		p.server.Stop()
		<-stopped
	}
}

// stopWork waits for the work of the engine or service to end.
func (p *Process) stopWork() {
	if p.runner != nil {
		p.runner.close()
	} else {
		p.callRunner.close()
	}
}

func (p *Process) serve() {
	if err := p.server.Serve(p.limitPeers()); err != nil {
		p.emit(event.TaskFailed, "duty", "serve", "error", err)
		p.cancel()
	}
}

func (p *Process) sweep() {
	timing.Every(p.ctx, p.deps.Clock, sweepInterval, func() {
		if p.runner != nil {
			p.runner.sweep()
		} else {
			p.callRunner.sweep()
		}
	})
}

func (p *Process) emit(e event.Event, fields ...any) {
	p.deps.Log.Emit(e, append([]any{"target", p.settings.Name}, fields...)...)
}

// stamp returns the sender information of a message.
func (p *Process) stamp() *peerpb.Stamp {
	return &peerpb.Stamp{
		Sender:         string(p.settings.Name),
		ConfigRevision: int64(p.deps.Snapshot().Revision),
		Incarnation:    int64(p.Incarnation()),
	}
}
