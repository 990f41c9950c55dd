// Package direct implements an entry that forwards client requests straight to
// the targets of a route, without target processes in between. It accepts
// requests with any method, path and body.
//
// # Usage
//
//	s := direct.New(cfg, deps)
//	if err := s.Listen(); err != nil { … }
//	err := s.Run(ctx) // returns after ctx ends and the running requests have finished
//
// The package does the I/O. Decisions are made in other packages:
// coordination/directory holds the current configuration and targets,
// coordination/balance chooses the target of a request, coordination/retry
// decides whether a request may be sent again, and coordination/detect decides
// when a stream has stalled.
package direct

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/directory"
	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/coordination/pace"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/roster"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/coordination/withdrawal"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/inbound"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// ListenFailed means that an address of the entry can't be listened on.
	ListenFailed Kind = "address"
	// DrainIncomplete means that requests were still running at the end of the
	// grace time.
	DrainIncomplete Kind = "unfinished"
	// PeerFailed means that another entry can't be read from.
	PeerFailed Kind = "peer"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Codec decodes the items of the key-value service.
type Codec struct {
	// ConfigPrefix and TargetPrefix are the watched key prefixes. ConfigKey starts
	// with ConfigPrefix.
	ConfigPrefix  string
	ConfigKey     string
	TargetPrefix  string
	DecodeConfig  func(data []byte) (*catalog.Config, error)
	DecodeTarget  func(i store.Item, now time.Time) (*catalog.Target, error)
	ParseTargetID func(key string) (id.Target, bool)
	// RolloutPrefix begins with ConfigPrefix and is followed by a service. It, DecodeRollout
	// and EncodeRolloutStatus are needed only if roll-outs are served.
	RolloutPrefix       string
	DecodeRollout       func(i store.Item) (catalog.RolloutOrder, error)
	EncodeRolloutStatus func(service id.Service, state catalog.RolloutState, to id.SoftwareVersion) (key string, value []byte)
}

// Deps are the dependencies of an entry. All fields but the last four
// are required.
type Deps struct {
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics metrics.Registry
	Store   *store.Store
	Codec   Codec
	Dialect direct.Dialect
	// Random returns a random number in [0, 1).
	Random func() float64
	// SinceBoot returns the time since the host booted, including the time during
	// which it was suspended. It is nil where this time is not available.
	SinceBoot func() time.Duration
	// Listen opens a listener on a host:port address, ListenPacket a socket for
	// datagrams, and Dial connects to such an address. Where they are nil, TCP and
	// UDP are used.
	Listen       func(address string) (net.Listener, error)
	ListenPacket func(address string) (net.PacketConn, error)
	Dial         func(ctx context.Context, address string) (net.Conn, error)
}

// Entry forwards client requests directly to targets.
type Entry struct {
	cfg  settings.Direct
	deps Deps

	directory    *directory.Directory
	storeWatcher *storeWatcher
	roster       *roster.Roster
	// peerExchange and configReader are nil if no address for other entries is
	// configured.
	peerExchange *peerExchange
	configReader *configReader
	balancer     *balance.Balancer
	handover     *handover.Registry
	// streams and versions tell at which version of its target's software a stream goes on,
	// and reports whether a target is still the process that its record describes.
	streams  *origin.Registry
	versions *origin.Versions
	reports  *reportReader
	// rollouts is nil if roll-outs are not served.
	rollouts *rollouts
	// versionSaves has the versions saved at which streams begin, and saver saves them.
	versionSaves *versionSaves
	saver        *stateSaver
	// startsNamed is set once a record of a target has named its start.
	startsNamed atomic.Bool
	pool        *upstream.Pool
	metrics     *entryMetrics
	ownLoad     *ownLoad

	retryBudgets *retryBudgets
	limits       *targetLimits
	places       *targetPlaces
	lines        *waitingLines
	withdrawn    *withdrawal.Tracker
	// buffers holds the answers of targets, and bodies the bodies of requests.
	buffers, bodies *bodyBuffers
	quarantine      *quarantine.Shared
	// pauses detects when the process or its host was paused.
	pauses    pauseDetector
	startedAt time.Time
	// successors searches for the targets that replace lost ones.
	successors *successorFinder
	// moves has runs leave lost zones.
	moves *zoneMoves
	// signs asks silent targets whether they live.
	signs        *signsOfLife
	estimatorsMu sync.Mutex
	estimators   map[id.Service]*pace.Estimator

	clientListener    net.Listener
	readinessListener net.Listener
	// metricsListener serves the metrics. It is nil if metrics are disabled.
	metricsListener net.Listener
	server          *http.Server
	idle            *idleConns
	inbound         *inbound.Guard

	// targetsListed is set once the targets have been read. configured is closed
	// once the configuration has been read too.
	targetsListed   atomic.Bool
	configured      chan struct{}
	closeConfigured sync.Once
	draining        atomic.Bool
	// drainStart is when the entry was told to stop, or nil before that.
	drainStart atomic.Pointer[time.Time]
	// closing is set once the entry refuses all new requests.
	closing atomic.Bool
	// stopping ends when the entry is told to stop, and working when it aborts the
	// requests that are still running.
	stopping, working       context.Context
	endStopping, endWorking context.CancelFunc
	// activeRequests counts the requests in progress, activeStreams those of them
	// that are streams.
	activeRequests atomic.Int64
	activeStreams  atomic.Int64
}

// New returns an entry that is not listening yet.
func New(cfg settings.Direct, deps Deps) *Entry {
	if deps.Listen == nil {
		deps.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if deps.ListenPacket == nil {
		deps.ListenPacket = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }
	}
	e := &Entry{
		cfg: cfg, deps: deps,
		startedAt:    deps.Clock.Now(),
		directory:    directory.New(),
		balancer:     balance.New(cfg.Place.Zone, deps.Random),
		handover:     handover.New(),
		streams:      origin.New(),
		versions:     origin.NewVersions(),
		retryBudgets: newRetryBudgets(retryConfig(cfg.Retries, deps.Random)),
		estimators:   map[id.Service]*pace.Estimator{},
		idle:         newIdleConns(deps.Clock),
		configured:   make(chan struct{}),
		roster:       roster.New(cfg.PeerAddress, seedPeers(cfg.PeerAddress, cfg.SeedAddresses)),
	}
	e.stopping, e.endStopping = context.WithCancel(context.Background())
	e.working, e.endWorking = context.WithCancel(context.Background())
	e.balancer.GroupSize, e.balancer.Ordered = e.targetsIn, cfg.Admission.Ordered
	e.balancer.ReportAge = func() time.Duration { return updateInterval(e.roster.CountAlive(deps.Clock.Now())) }
	e.quarantine = quarantine.NewShared(cfg.Name, quarantine.Activity{Target: e.balancer.HeardFrom, Zone: e.balancer.ZoneHeardFrom})
	e.quarantine.Entries = func() int { return e.roster.LimitSharers(deps.Clock.Now()) }
	e.limits = newTargetLimits(e)
	e.places = &targetPlaces{running: e.balancer.Running, reserved: map[id.Target]int{}}
	e.withdrawn = withdrawal.New()
	e.buffers, e.bodies = newBodyBuffers(cfg.Limits.MemoryMB), newBodyBuffers(cfg.Limits.MemoryMB)
	e.reports = newReportReader(e)
	e.versionSaves = newVersionSaves(e)
	e.saver = newStateSaver(e)
	e.storeWatcher = newStoreWatcher(e)
	if cfg.Rollouts.Enabled() {
		e.rollouts = newRollouts(e)
	}
	e.successors = newSuccessorFinder(e)
	e.inbound = newInboundGuard(e)
	e.moves = newZoneMoves(e)
	e.signs = newSignsOfLife(e)
	e.metrics, e.ownLoad = newEntryMetrics(e), newOwnLoad(e)
	e.registerOwnLoad()
	e.lines = newWaitingLines(e)
	e.pool = upstream.NewPool(upstream.Options{Dial: deps.Dial, Clock: deps.Clock, OnConnect: e.metrics.targetConnected})
	e.server = &http.Server{
		Handler:           http.HandlerFunc(e.serve),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         e.idle.stateChanged,
		ConnContext:       withClientConn,
	}
	return e
}

// targetsIn returns how many targets of a service are listed in a zone.
func (e *Entry) targetsIn(service id.Service, zone id.Zone) int {
	n := 0
	for _, t := range e.directory.View().Targets[service] {
		if t.Zone == zone {
			n++
		}
	}
	return n
}

// observeStream records a complete stream of a service: the time from its first event to
// its last, and from its request to its end.
func (e *Entry) observeStream(service id.Service, events int, took, whole time.Duration) {
	e.estimatorsMu.Lock()
	defer e.estimatorsMu.Unlock()
	e.estimator(service).Observe(events, took)
	e.estimator(service).ObserveWhole(whole)
}

// likelyStreamTime returns the time within which nearly all streams of a service end.
func (e *Entry) likelyStreamTime(service id.Service) time.Duration {
	e.estimatorsMu.Lock()
	defer e.estimatorsMu.Unlock()
	return cmp.Or(e.estimator(service).Likely(), defaultStreamTime)
}

// minStreamTime returns the shortest time in which the rest of a stream can be
// generated.
func (e *Entry) minStreamTime(service id.Service, meta *direct.RequestMetadata) time.Duration {
	last := eventstream.Event{ID: string(meta.LastEventID)}
	// An id that is not a number does not tell how much has been generated
	// already.
	generated, _ := last.Number()
	e.estimatorsMu.Lock()
	defer e.estimatorsMu.Unlock()
	return e.estimator(service).MinRemaining(meta.PromptTokens, int(generated))
}

func (e *Entry) estimator(service id.Service) *pace.Estimator {
	est := e.estimators[service]
	if est == nil {
		est = pace.New()
		e.estimators[service] = est
	}
	return est
}
