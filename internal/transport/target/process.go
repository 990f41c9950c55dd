// Package target is the process beside a target: the only road to a model
// engine or a plain service. It serves peerpb.Target and peerpb.Exchange.
//
// # Usage
//
//	p := target.New(settings, target.Deps{Clock: clock, Log: log})
//	if err := p.Listen(); err != nil { … }
//	err := p.Run(ctx) // returns once ctx has ended and all work is done
//	names := p.Cut()  // ends Run at once; names is what was cut
//
// # Duties
//
// One goroutine for each duty: a listener, a sweep of what has lasted too long,
// a poll of the engine's health and load, one for each running generation, and
// two for each stream of an entry. A stream reads its attempt's log by index,
// so a slow reader holds one batch of tokens and no queue.
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
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// ListenFailed means that the process can't listen.
	ListenFailed Kind = "address"
	// FenceUnknown means that something can't be known now.
	FenceUnknown Kind = "unknown"
	// WorkAborted means that work was cut by a forced stop.
	WorkAborted Kind = "workCut"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// flushTimeout is how long the last messages may take to leave.
const flushTimeout = 3 * time.Second

// sweepEvery is the time between two looks for what has lasted too long.
const sweepEvery = 250 * time.Millisecond

// Deps is what a process works with. Clock must be set.
type Deps struct {
	Clock clockwork.Clock
	Log   *event.Log
	// Metrics is where the process counts; nil means a registry of its own.
	Metrics metrics.Registry
	// Snapshot returns the configuration in force; nil means the defaults.
	Snapshot func() *conf.Snapshot
	// MinFence returns the lowest fencing number that a leader may hold now,
	// read from the key-value service. It is asked for each order beside an
	// engine that checks no numbers; nil refuses all of them.
	MinFence func(ctx context.Context) (id.Fence, error)
	// OnCacheUpdate takes the changes of the engine's prefix cache, which come late
	// and with gaps. It must not block; nil reads none.
	OnCacheUpdate func(news CacheUpdate)
	// Gossip is set when the process reports to entries by itself.
	Gossip *GossipConfig
	// Linger is how long a process without work still answers once it is told
	// to stop. An entry that has not heard of it then gets a refusal in place
	// of a broken connection, which proves nothing.
	Linger time.Duration
	// Swap serves Exchange.Swap; nil answers with the process's own load.
	Swap func(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
}

// Process is the process beside one target.
type Process struct {
	settings settings.Target
	deps     Deps
	meters   *meters
	reporter *reporter
	// runner is set beside an engine, caller beside a plain service.
	runner *runner
	caller *caller
	orders *orders

	listener net.Listener
	server   *grpc.Server
	// life ends when the process has nothing more to do, or is cut.
	life context.Context
	end  context.CancelFunc

	mu       sync.Mutex
	draining bool
	cut      []string
}

// New returns a process for settings that have been completed and checked.
func New(s settings.Target, deps Deps) *Process {
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	if deps.Snapshot == nil {
		empty := conf.Empty()
		deps.Snapshot = func() *conf.Snapshot { return empty }
	}
	p := &Process{settings: s, deps: deps, meters: newMeters(deps.Metrics)}
	p.life, p.end = context.WithCancel(context.Background())
	p.reporter = newReporter(s, deps.Clock, p.counts)
	if s.Engine != nil {
		p.runner = newRunner(p)
		p.orders = newOrders(p)
	} else {
		p.caller = newCaller(p)
	}
	p.server = newServer(p)
	return p
}

// counts returns the figures of a report.
func (p *Process) counts() counts {
	if p.runner != nil {
		return p.runner.counts()
	}
	return p.caller.counts()
}

// Listen opens the address for other processes. Run does it when it has not
// been done.
func (p *Process) Listen() error {
	listener, err := net.Listen("tcp", p.settings.PeerAddress)
	if err != nil {
		return fault.Wrap("Process.Listen", ListenFailed, err)
	}
	p.listener = listener
	p.reporter.setAddress(listener.Addr().String())
	return nil
}

// Address returns where other processes reach this one, once it listens.
func (p *Process) Address() string { return p.reporter.address() }

// Incarnation returns the number of this start. Beside a plain service it
// rises when the ledger of calls is full.
func (p *Process) Incarnation() id.Incarnation { return p.reporter.served().Incarnation }

// Report returns what the process says of its target now.
func (p *Process) Report() *member.TargetReport { return p.reporter.report() }

// Run serves until ctx ends, then drains: it takes no new work and returns
// once the running work is done, however long that takes, or once Cut was
// called. It returns an *Error when it can't listen or when work was cut.
func (p *Process) Run(ctx context.Context) error {
	if p.listener == nil {
		if err := p.Listen(); err != nil {
			return err
		}
	}
	p.emit(event.ProcessStarted, "address", p.Address(), "incarnation", p.Incarnation())
	var duties sync.WaitGroup
	if p.deps.Gossip != nil {
		exchanger := p.startNews()
		p.deps.Swap = exchanger.Serve
		duties.Go(func() { exchanger.Run(p.life); exchanger.Pool.Close() })
	}
	duties.Go(func() { p.serve() })
	duties.Go(func() { p.sweep() })
	duties.Go(func() { p.poll() })
	select {
	case <-ctx.Done():
	case <-p.life.Done():
	}
	p.drain(context.WithoutCancel(ctx))
	p.end()
	p.stopServer()
	duties.Wait()
	p.stopWork()
	p.emit(event.DrainEnded)
	return p.cutError()
}

// stopServer lets the last messages of ended streams leave before it closes
// the connections.
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

// stopWork waits for the engine's or the service's work to end.
func (p *Process) stopWork() {
	if p.runner != nil {
		p.runner.close()
	} else {
		p.caller.close()
	}
}

func (p *Process) serve() {
	if err := p.server.Serve(p.listener); err != nil {
		p.emit(event.TaskFailed, "duty", "serve", "error", err)
		p.end()
	}
}

func (p *Process) sweep() {
	ticker := p.deps.Clock.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-p.life.Done():
			return
		case <-ticker.Chan():
		}
		if p.runner != nil {
			p.runner.sweep()
		} else {
			p.caller.sweep()
		}
	}
}

func (p *Process) emit(e event.Event, fields ...any) {
	p.deps.Log.Emit(e, append([]any{"target", p.settings.Name}, fields...)...)
}

// stamp returns what goes with every message.
func (p *Process) stamp() *peerpb.Stamp {
	return &peerpb.Stamp{
		Sender:         string(p.settings.Name),
		ConfigRevision: int64(p.deps.Snapshot().Revision),
		Incarnation:    int64(p.Incarnation()),
	}
}
