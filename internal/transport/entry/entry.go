// Package entry implements the entry process. It serves the callers' API, owns
// requests, and exchanges state with the other processes.
//
// # Usage
//
//	p := entry.New(settings, entry.Deps{Clock: clock, Log: log, …})
//	if err := p.Listen(); err != nil { … }
//	err := p.Run(ctx) // returns once ctx has ended and all work is done
//	ids := p.Abort()  // ends Run at once; ids lists the aborted requests
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/policy"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/coordination/route"
	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/coordination/store"
	peermsg "foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/protocol/problem"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/state/timing"
	"foxtailward.example/foxtailward/internal/transport/caller"
	"foxtailward.example/foxtailward/internal/transport/inbound"
	"foxtailward.example/foxtailward/internal/transport/operator"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// ListenFailed means that the process cannot listen on one of its addresses.
	ListenFailed Kind = "address"
	// NotReady means that the process does not accept work.
	NotReady Kind = "notReady"
	// WorkAborted means that a forced stop aborted unfinished requests.
	WorkAborted Kind = "workCut"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// retainedTokens limits the tokens of finished answers that an entry keeps in
// memory.
const retainedTokens = 500_000

// Deps are the dependencies of a process. Clock, Current, Seeds and Random must
// be set.
type Deps struct {
	// Guard bounds what clients make the process hold; nil for no bound.
	Guard   *inbound.Guard
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics metrics.Registry
	// Current holds the configuration in force.
	Current *conf.Current
	// Seeds returns the addresses of processes to contact when joining.
	Seeds func() []string
	// Store is the key-value service. Without it, calls that carry a key and
	// must not be repeated are refused.
	Store *store.Store
	// WatchHostList reads the host list until ctx ends, and calls onRead with each
	// reading. It is nil if there is no host list.
	WatchHostList func(ctx context.Context, onRead func(member.HostList))
	// Random is the source of the process's random choices. Nothing else may use
	// it.
	Random *rand.Rand
}

// Process is one entry process.
type Process struct {
	settings    settings.Entry
	deps        Deps
	incarnation id.Incarnation
	leaving     atomic.Bool

	random        *rand.Rand
	view          *member.View
	history       *history
	router        *route.Router
	policy        *policy.Policy
	pool          *peer.Pool
	limits        *limits
	entryClient   *peer.EntryClient
	serviceClient *peer.ServiceClient
	// spreader and exchanger are set when the process listens, since they need
	// its address.
	spreader  *spread.Spreader
	exchanger *peer.Exchanger

	coordinator     *request.Coordinator
	callCoordinator *request.CallCoordinator

	peerListener   net.Listener
	callerListener net.Listener
	operatorServer *operator.Server
	grpcServer     *grpc.Server
	callerServer   *http.Server

	// runCtx ends when the drain is complete, when Abort is called, or when a
	// listener fails.
	runCtx    context.Context
	cancelRun context.CancelFunc

	mu      sync.Mutex
	aborted []string
	// drainStartedAt is when the process was told to leave.
	drainStartedAt time.Time
	// seedsFromStore are the addresses of entries last read from the key-value
	// service.
	seedsFromStore    []string
	storeDown         bool
	lastStoreResponse time.Time
	// configRejected is set if a newer revision could not be put in force.
	configRejected bool
}

// New returns a process. The settings must be complete and valid.
func New(s settings.Entry, deps Deps) *Process {
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	p := &Process{settings: s, deps: deps, incarnation: id.Incarnation(deps.Clock.Now().UnixMilli())}
	p.runCtx, p.cancelRun = context.WithCancel(context.Background())
	// The spreader and the policy run concurrently, so each needs a random source
	// of its own.
	p.random = rand.New(rand.NewPCG(deps.Random.Uint64(), deps.Random.Uint64()))
	p.view = member.NewView(member.Config{}, s.Name)
	p.history = newHistory(s.Name)
	p.router = route.New(route.Config{Zone: s.Place.Zone, Region: s.Place.Region}, p.view)
	p.pool = peer.NewPool(p.stamp)
	hooks := peer.ReplyHooks{OnLoad: p.updateTarget, OnStamp: p.observeStamp, OnConnectionLost: p.markTargetUnreachable}
	targetClient := peer.NewTargetClient(p.pool, deps.Clock, hooks)
	entryClient := peer.NewEntryClient(p.pool, p.addressOf, p.observeStamp)
	pol := policy.New(policy.Dependencies{
		View: p.view, Router: p.router, Clock: deps.Clock, Conf: deps.Current.Snapshot,
		Random: deps.Random, Log: deps.Log.With("entry", s.Name),
		OnQuarantine: func() { p.exchanger.Flush(p.runCtx) },
	})
	p.policy = pol
	p.entryClient = entryClient
	p.limits = newLimits(p, entryClient)
	p.coordinator = request.NewCoordinator(request.Config{
		Self: s.Name, Clock: deps.Clock, Log: deps.Log.With("entry", s.Name),
		Metrics: request.NewMetrics(deps.Metrics), MaxRetainedTokens: retainedTokens,
	}, targetClient, p.peers(entryClient), pol.RequestPolicy(), p.admissionControl())
	p.serviceClient = peer.NewServiceClient(p.pool, deps.Clock, hooks)
	p.callCoordinator = request.NewCallCoordinator(p.coordinator, p.services(pol, p.serviceClient))
	p.setUpPeerServer()
	p.setUpCallerServer()
	return p
}

func (p *Process) peers(client *peer.EntryClient) request.Peers {
	return request.Peers{
		Joined:            func() bool { return p.state() != member.Joining },
		Live:              func() []id.Entry { return p.view.Snapshot().LiveEntries() },
		PreviousOwner:     p.previousOwner,
		Relay:             client.Open,
		Call:              client.Call,
		ReportUnreachable: func(e id.Entry) { p.view.MarkEntryUnreachable(e, p.deps.Clock.Now()) },
	}
}

// previousOwner returns the entry that owned r before the changes of membership
// within the retention period, and whether that entry is still in the view.
func (p *Process) previousOwner(r id.Request) (id.Entry, bool) {
	retention := p.deps.Current.Snapshot().Deployment.Retention.Std()
	owner := p.history.previousOwner(r, p.deps.Clock.Now(), retention)
	for _, e := range p.view.Entries() {
		if e.Report.Entry == owner {
			return owner, true
		}
	}
	return owner, false
}

func (p *Process) admissionControl() request.AdmissionControl {
	return request.AdmissionControl{
		Admit:           p.limits.admit,
		CheckQuarantine: p.checkQuarantine,
		Conf:            p.deps.Current.Snapshot,
	}
}

func (p *Process) stamp() *peerpb.Stamp {
	return &peerpb.Stamp{
		Sender:         string(p.settings.Name),
		ConfigRevision: int64(p.deps.Current.Revision()),
		Incarnation:    int64(p.incarnation),
	}
}

func (p *Process) updateTarget(r *member.TargetReport) {
	now := p.deps.Clock.Now()
	p.view.UpdateTarget(*r, now)
	p.view.MarkTargetReachable(r.Target, now)
}

// observeStamp passes the sender of a peer's message to the spreader, which may
// learn that a newer configuration is in force.
func (p *Process) observeStamp(m *peerpb.Stamp) {
	if p.spreader != nil && m != nil {
		p.spreader.ObserveSender(peermsg.ToSender(m))
	}
}

func (p *Process) updateHostList(l member.HostList) { p.view.UpdateHostList(l, p.deps.Clock.Now()) }

func (p *Process) markTargetUnreachable(t id.Target) {
	p.view.MarkTargetUnreachable(t, p.deps.Clock.Now())
}

// addressOf returns the address at which an entry listens for other processes.
func (p *Process) addressOf(e id.Entry) (string, bool) {
	for _, known := range p.view.Entries() {
		if known.Report.Entry == e {
			return known.Report.Address, true
		}
	}
	return "", false
}

func (p *Process) setUpCallerServer() {
	cfg := caller.Config{}
	cfg.SetDefaults()
	deps := caller.Dependencies{Clock: p.deps.Clock, Log: p.deps.Log, Metrics: p.deps.Metrics}
	p.callerServer = caller.NewServer(cfg, &answer.Handlers{
		Authenticate: p.authenticate,
		Models:       p.models,
		Open:         p.coordinator.Open,
		Resume:       p.coordinator.Resume,
		Call:         p.callCoordinator.Open,
	}, deps)
	p.callerServer.Handler = p.requireConfig(p.callerServer.Handler)
}

// startingRetryAfter is how long a caller should wait when the entry has no
// configuration yet.
const startingRetryAfter = time.Second

// requireConfig refuses all requests until this entry has a configuration.
// Before that, it knows no contract and would reject valid keys.
func (p *Process) requireConfig(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.deps.Current.Revision() > 0 {
			next.ServeHTTP(w, r)
			return
		}
		refusal := answer.NewRefusal(answer.CauseStarting, "this entry has no configuration yet")
		refusal.RetryAfter = startingRetryAfter
		// A write error means that the caller has disconnected.
		_ = problem.From(refusal).Write(w)
	})
}

func (p *Process) authenticate(key string) (*contract.Contract, bool) {
	return p.deps.Current.Snapshot().ContractOfKey(contract.HashKey(key))
}

// models returns the models of a contract that are currently served.
func (p *Process) models(c *contract.Contract) []id.Model {
	now := p.deps.Clock.Now()
	var out []id.Model
	for _, m := range c.Models {
		if p.router.Serves(m, now) {
			out = append(out, m)
		}
	}
	return out
}

// Listen opens the process's listeners. Run calls it if needed.
func (p *Process) Listen() error {
	var err error
	if p.peerListener, err = net.Listen("tcp", p.settings.PeerAddress); err != nil {
		return fault.Wrap("Process.Listen", ListenFailed, err)
	}
	if p.callerListener, err = net.Listen("tcp", p.settings.CallerAddress); err != nil {
		return fault.Wrap("Process.Listen", ListenFailed, err)
	}
	p.operatorServer = operator.New(operator.Options{
		Ready: p.ready, Status: func() any { return p.status() }, Explain: p.explain, Metrics: p.deps.Metrics,
		Guard: p.deps.Guard,
	})
	return fault.Wrap("Process.Listen", ListenFailed, p.operatorServer.Listen(p.settings.OperatorAddress))
}

// PeerAddress returns the address for other processes. The process must listen.
func (p *Process) PeerAddress() string { return p.peerListener.Addr().String() }

// CallerAddress returns the address for callers. The process must listen.
func (p *Process) CallerAddress() string { return p.callerListener.Addr().String() }

// OperatorAddress returns the address for operators. The process must listen.
func (p *Process) OperatorAddress() string { return p.operatorServer.Address() }

// ready returns why the process does not accept work, or nil if it does.
func (p *Process) ready() error {
	switch {
	case p.leaving.Load():
		return fault.New("Process.ready", NotReady, "leaving")
	case p.deps.Current.Revision() == 0:
		return fault.New("Process.ready", NotReady, "no configuration yet")
	case p.state() != member.Ready:
		return fault.New("Process.ready", NotReady, "looking for other entries")
	}
	return nil
}

// Run serves until ctx ends and then drains: it accepts no new work and returns
// once the running work is done, however long that takes, or once Abort is called.
func (p *Process) Run(ctx context.Context) error {
	if p.peerListener == nil {
		if err := p.Listen(); err != nil {
			return err
		}
	}
	p.startExchange()
	p.emit(event.ProcessStarted, "callers", p.CallerAddress(), "peers", p.PeerAddress(), "operators", p.OperatorAddress())
	var tasks sync.WaitGroup
	tasks.Go(func() { p.runTask("peers", func() error { return p.grpcServer.Serve(p.limitPeers()) }) })
	tasks.Go(func() {
		p.runTask("callers", func() error { return ignoreServerClosed(p.callerServer.Serve(p.protectCallers())) })
	})
	tasks.Go(func() {
		p.runTask("operators", func() error { return p.operatorServer.Run(p.runCtx, p.settings.OperatorAddress) })
	})
	tasks.Go(p.tick)
	tasks.Go(func() { p.exchanger.Run(p.runCtx) })
	tasks.Go(func() { p.syncConfig(p.runCtx) })
	tasks.Go(func() { p.maintainSeeds(p.runCtx) })
	tasks.Go(func() { p.runPlacement(p.runCtx) })
	tasks.Go(func() { p.limits.run(p.runCtx) })
	if p.deps.WatchHostList != nil {
		tasks.Go(func() { p.deps.WatchHostList(p.runCtx, p.updateHostList) })
	}
	select {
	case <-ctx.Done():
	case <-p.runCtx.Done():
	}
	p.drain()
	p.cancelRun()
	p.stop()
	tasks.Wait()
	p.emit(event.DrainEnded)
	return p.abortError()
}

// runTask runs a listener and ends the process if it fails.
func (p *Process) runTask(name string, run func() error) {
	if err := run(); err != nil && p.runCtx.Err() == nil {
		p.emit(event.TaskFailed, "duty", name, "error", err)
		p.cancelRun()
	}
}

func ignoreServerClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// tickInterval is the time between two checks for members that stopped reporting.
const tickInterval = 200 * time.Millisecond

// tick periodically updates the states of members that stopped reporting, logs
// the changes, and removes old calls.
func (p *Process) tick() {
	timing.Every(p.runCtx, p.deps.Clock, tickInterval, func() {
		now := p.deps.Clock.Now()
		for _, c := range p.view.Tick(now) {
			p.logChange(&c)
		}
		p.history.record(p.view.Entries(), now)
		p.callCoordinator.Sweep(now, p.deps.Current.Snapshot().Deployment.Retention.Std())
	})
}

func (p *Process) emit(e event.Event, fields ...any) {
	p.deps.Log.Emit(e, append([]any{"entry", p.settings.Name}, fields...)...)
}
