// Package entry is the entry process: the callers' API, the owner of requests,
// and the exchange with other processes.
//
// # Usage
//
//	p := entry.New(settings, entry.Deps{Clock: clock, Log: log, …})
//	if err := p.Listen(); err != nil { … }
//	err := p.Run(ctx) // returns once ctx has ended and all work is done
//	names := p.Cut()  // ends Run at once; names is what was cut
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
	"foxtailward.example/foxtailward/internal/transport/caller"
	"foxtailward.example/foxtailward/internal/transport/operator"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// ListenFailed means that the process cannot listen.
	ListenFailed Kind = "address"
	// NotReady means that the process takes no work.
	NotReady Kind = "notReady"
	// WorkAborted means that work was cut by a forced stop.
	WorkAborted Kind = "workCut"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// retainedTokens bounds the tokens of ended answers that an entry keeps.
const retainedTokens = 500_000

// Deps is what a process works with. Clock must be set.
type Deps struct {
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics metrics.Registry
	// Current holds the configuration in force.
	Current *conf.Current
	// Seeds returns the addresses of processes that may be asked for news.
	Seeds func() []string
	// Store is the key-value service; without it, calls that may not be
	// repeated are refused when they carry a key.
	Store *store.Store
	// WatchHostList reads the host list until its context ends; nil when there is none.
	WatchHostList func(ctx context.Context, take func(member.HostList))
	// Random is the source of the process's choices, which owns it.
	Random *rand.Rand
}

// Process is one entry process.
type Process struct {
	settings    settings.Entry
	deps        Deps
	incarnation id.Incarnation
	leaving     atomic.Bool

	random  *rand.Rand
	view    *member.View
	history *history
	router  *route.Router
	policy  *policy.Policy
	pool    *peer.Pool
	limits  *limits
	relays  *peer.EntryClient
	calls   *peer.ServiceClient
	// spreader and exchanger are made once the process listens.
	spreader  *spread.Spreader
	exchanger *peer.Exchanger
	desk      *request.Coordinator
	counter   *request.CallCoordinator

	peersListener     net.Listener
	callersListener   net.Listener
	operatorsListener *operator.Server
	grpcServer        *grpc.Server
	callers           *http.Server

	// life ends when the process has nothing more to do, or is cut.
	life context.Context
	end  context.CancelFunc

	mu  sync.Mutex
	cut []string
	// leftAt is when the process was told to leave.
	leftAt time.Time
	// stored are the addresses of entries in the key-value service.
	stored      []string
	storeDown   bool
	storeAnswer time.Time
	// confRefused says that a newer revision could not be put in force.
	confRefused bool
}

// New returns a process for settings that have been completed and checked.
func New(s settings.Entry, deps Deps) *Process {
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	p := &Process{settings: s, deps: deps, incarnation: id.Incarnation(deps.Clock.Now().UnixMilli())}
	p.life, p.end = context.WithCancel(context.Background())
	// The spreader and the policy draw at the same time, each from its own.
	p.random = rand.New(rand.NewPCG(deps.Random.Uint64(), deps.Random.Uint64()))
	p.view = member.NewView(member.Config{}, s.Name)
	p.history = newHistory(s.Name)
	p.router = route.New(route.Config{Zone: s.Place.Zone, Region: s.Place.Region}, p.view)
	p.pool = peer.NewPool(p.stamp)
	reports := peer.ReplyHooks{OnLoad: p.takeLoad, OnStamp: p.takeStamp, OnConnectionLost: p.takeBroken}
	link := peer.NewTargetClient(p.pool, deps.Clock, reports)
	relays := peer.NewEntryClient(p.pool, p.addressOf, p.takeStamp)
	owner := policy.New(policy.Dependencies{
		View: p.view, Router: p.router, Clock: deps.Clock, Conf: deps.Current.Snapshot,
		Random: deps.Random, Log: deps.Log.With("entry", s.Name),
		OnQuarantine: func() { p.exchanger.Flush(p.life) },
	})
	p.policy = owner
	p.relays = relays
	p.limits = newLimits(p, relays)
	p.desk = request.NewCoordinator(request.Config{
		Self: s.Name, Clock: deps.Clock, Log: deps.Log.With("entry", s.Name),
		Metrics: request.NewMetrics(deps.Metrics), MaxRetainedTokens: retainedTokens,
	}, link, p.peers(relays), owner.RequestPolicy(), p.gate())
	p.calls = peer.NewServiceClient(p.pool, deps.Clock, reports)
	p.counter = request.NewCallCoordinator(p.desk, p.services(owner, p.calls))
	p.serveEntries()
	p.serveCallers()
	return p
}

func (p *Process) peers(relays *peer.EntryClient) request.Peers {
	return request.Peers{
		Live:              func() []id.Entry { return p.view.Snapshot().LiveEntries() },
		PreviousOwner:     p.previous,
		Relay:             relays.Open,
		Call:              relays.Call,
		ReportUnreachable: func(e id.Entry) { p.view.MarkEntryUnreachable(e, p.deps.Clock.Now()) },
	}
}

// previous returns the entry that owned r before the changes within the
// retention, and whether it may still be asked.
func (p *Process) previous(r id.Request) (id.Entry, bool) {
	retention := p.deps.Current.Snapshot().Deployment.Retention.Std()
	before := p.history.previous(r, p.deps.Clock.Now(), retention)
	for _, e := range p.view.Entries() {
		if e.Report.Entry == before {
			return before, true
		}
	}
	return before, false
}

func (p *Process) gate() request.AdmissionControl {
	return request.AdmissionControl{
		Admit:           p.limits.admit,
		CheckQuarantine: p.screen,
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

func (p *Process) takeLoad(r *member.TargetReport) {
	now := p.deps.Clock.Now()
	p.view.UpdateTarget(*r, now)
	p.view.MarkTargetReachable(r.Target, now)
}

// takeStamp learns from any message that a newer configuration is in force.
func (p *Process) takeStamp(m *peerpb.Stamp) {
	if p.spreader != nil && m != nil {
		p.spreader.ObserveSender(peermsg.ToSender(m))
	}
}

func (p *Process) takeHosts(doc member.HostList) { p.view.UpdateHostList(doc, p.deps.Clock.Now()) }

func (p *Process) takeBroken(t id.Target) { p.view.MarkTargetUnreachable(t, p.deps.Clock.Now()) }

// addressOf returns where an entry listens for other processes.
func (p *Process) addressOf(e id.Entry) (string, bool) {
	for _, known := range p.view.Entries() {
		if known.Report.Entry == e {
			return known.Report.Address, true
		}
	}
	return "", false
}

func (p *Process) serveCallers() {
	cfg := caller.Config{}
	cfg.SetDefaults()
	tools := caller.Dependencies{Clock: p.deps.Clock, Log: p.deps.Log, Metrics: p.deps.Metrics}
	p.callers = caller.NewServer(cfg, &answer.Handlers{
		Authenticate: p.authenticate,
		Models:       p.models,
		Open:         p.desk.Open,
		Resume:       p.desk.Resume,
		Call:         p.counter.Open,
	}, tools)
	p.callers.Handler = p.whileConfigured(p.callers.Handler)
}

// startingRetry is when a caller that met a starting entry may come back.
const startingRetry = time.Second

// whileConfigured refuses requests before this entry knows any contract; a key
// would be taken for a wrong one.
func (p *Process) whileConfigured(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.deps.Current.Revision() > 0 {
			next.ServeHTTP(w, r)
			return
		}
		refusal := answer.NewRefusal(answer.CauseStarting, "this entry has no configuration yet")
		refusal.RetryAfter = startingRetry
		// A caller that is gone gets no answer.
		_ = problem.From(refusal).Write(w)
	})
}

func (p *Process) authenticate(key string) (*contract.Contract, bool) {
	return p.deps.Current.Snapshot().ContractOfKey(contract.HashKey(key))
}

// models returns the models that a contract includes and that are served.
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

// Listen opens the process's addresses. Run does it when it has not been done.
func (p *Process) Listen() error {
	var err error
	if p.peersListener, err = net.Listen("tcp", p.settings.PeerAddress); err != nil {
		return fault.Wrap("Process.Listen", ListenFailed, err)
	}
	if p.callersListener, err = net.Listen("tcp", p.settings.CallerAddress); err != nil {
		return fault.Wrap("Process.Listen", ListenFailed, err)
	}
	p.operatorsListener = operator.New(operator.Options{
		Ready: p.ready, Status: func() any { return p.status() }, Explain: p.explain, Metrics: p.deps.Metrics,
	})
	return fault.Wrap("Process.Listen", ListenFailed, p.operatorsListener.Listen(p.settings.OperatorAddress))
}

// PeerAddress returns where other processes reach this one, once it listens.
func (p *Process) PeerAddress() string { return p.peersListener.Addr().String() }

// CallerAddress returns where callers reach this process, once it listens.
func (p *Process) CallerAddress() string { return p.callersListener.Addr().String() }

// OperatorAddress returns where operators reach this process, once it listens.
func (p *Process) OperatorAddress() string { return p.operatorsListener.Address() }

// ready returns why the process takes no work; nil when it does.
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

// Run serves until ctx ends, then drains: it takes no new work and returns
// once the running work is done, however long that takes, or once Cut was
// called.
func (p *Process) Run(ctx context.Context) error {
	if p.peersListener == nil {
		if err := p.Listen(); err != nil {
			return err
		}
	}
	p.startExchange()
	p.emit(event.ProcessStarted, "callers", p.CallerAddress(), "peers", p.PeerAddress(), "operators", p.OperatorAddress())
	var duties sync.WaitGroup
	duties.Go(func() { p.serve("peers", func() error { return p.grpcServer.Serve(p.peersListener) }) })
	duties.Go(func() { p.serve("callers", func() error { return ignoreClosed(p.callers.Serve(p.callersListener)) }) })
	duties.Go(func() {
		p.serve("operators", func() error { return p.operatorsListener.Run(p.life, p.settings.OperatorAddress) })
	})
	duties.Go(p.tick)
	duties.Go(func() { p.exchanger.Run(p.life) })
	duties.Go(func() { p.configure(p.life) })
	duties.Go(func() { p.keepSeeds(p.life) })
	duties.Go(func() { p.place(p.life) })
	duties.Go(func() { p.limits.run(p.life) })
	if p.deps.WatchHostList != nil {
		duties.Go(func() { p.deps.WatchHostList(p.life, p.takeHosts) })
	}
	select {
	case <-ctx.Done():
	case <-p.life.Done():
	}
	p.drain()
	p.end()
	p.stop()
	duties.Wait()
	p.emit(event.DrainEnded)
	return p.cutError()
}

// serve runs a listener's duty and ends the process when it fails.
func (p *Process) serve(duty string, run func() error) {
	if err := run(); err != nil && p.life.Err() == nil {
		p.emit(event.TaskFailed, "duty", duty, "error", err)
		p.end()
	}
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// tickEvery is the time between two judgements of silence.
const tickEvery = 200 * time.Millisecond

// tick judges silence and tells of changes.
func (p *Process) tick() {
	ticker := p.deps.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-p.life.Done():
			return
		case <-ticker.Chan():
		}
		now := p.deps.Clock.Now()
		for _, c := range p.view.Tick(now) {
			p.tell(&c)
		}
		p.history.note(p.view.Entries(), now)
		p.counter.Sweep(now, p.deps.Current.Snapshot().Deployment.Retention.Std())
	}
}

func (p *Process) emit(e event.Event, fields ...any) {
	p.deps.Log.Emit(e, append([]any{"entry", p.settings.Name}, fields...)...)
}
