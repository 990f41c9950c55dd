// Package direct is the shell of an entry that reaches its targets directly,
// without target processes: it takes clients' requests of any method, path and
// body, and passes each on to a target of its route.
//
// # Usage
//
//	s := direct.New(cfg, deps)
//	if err := s.Listen(); err != nil { … }
//	err := s.Run(ctx) // until ctx ends and what runs is finished
//
// Decisions are taken elsewhere: coordination/directory says what is believed,
// coordination/balance which target is asked, coordination/retry whether a
// request is sent again, coordination/detect when a stream counts as stalled.
package direct

import (
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
	"foxtailward.example/foxtailward/internal/coordination/pace"
	"foxtailward.example/foxtailward/internal/coordination/roster"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// ListenFailed means that the entry can't listen.
	ListenFailed Kind = "address"
	// DrainIncomplete means that the grace time ended before the requests did.
	DrainIncomplete Kind = "unfinished"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Codec decodes what the key-value service holds.
type Codec struct {
	// ConfigPrefix and TargetPrefix are watched; ConfigKey is below the first.
	ConfigPrefix  string
	ConfigKey     string
	TargetPrefix  string
	DecodeConfig  func(data []byte) (*catalog.Config, error)
	DecodeTarget  func(i store.Item, now time.Time) (*catalog.Target, error)
	ParseTargetID func(key string) (id.Target, bool)
}

// Deps are what an entry uses. All are set but for the last three.
type Deps struct {
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics metrics.Registry
	Store   *store.Store
	Codec   Codec
	Dialect direct.Dialect
	// Random draws from [0, 1).
	Random func() float64
	// SinceBoot returns the time since the host's start, with the times in which
	// it was suspended; nil where it is not known.
	SinceBoot func() time.Duration
	// Listen opens an address, as host:port, and Dial connects to one; nil
	// means TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

// Entry is an entry that reaches its targets directly.
type Entry struct {
	cfg  settings.Direct
	deps Deps

	directory *directory.Directory
	follower  *follower
	roster    *roster.Roster
	// exchange is nil where no address is set for other entries.
	exchange *exchange
	balancer *balance.Balancer
	handover *handover.Registry
	pool     *upstream.Pool
	meters   *meters

	retries *retries
	killers *killers
	// standstill notices when the process or its host stood still.
	standstill standstill
	startedAt  time.Time
	// searches looks for the targets that take the places of lost ones.
	searches *searches
	pacesMu  sync.Mutex
	paces    map[id.Service]*pace.Estimator

	clients   net.Listener
	readiness net.Listener
	// scrapes is where metrics are read; nil for nowhere.
	scrapes net.Listener
	server  *http.Server
	idle    *idleConns

	// listed says that the targets have been read once; configured is closed when
	// the configuration is known besides.
	listed     atomic.Bool
	configured chan struct{}
	configure  sync.Once
	draining   atomic.Bool
	// drainStart is when the entry was told to stop, or nil.
	drainStart atomic.Pointer[time.Time]
	// closing says that the entry takes no request any more.
	closing atomic.Bool
	// active counts the requests in hand, streams those that are streams.
	active  atomic.Int64
	streams atomic.Int64
}

// New returns an entry that does not listen yet.
func New(cfg settings.Direct, deps Deps) *Entry {
	if deps.Listen == nil {
		deps.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	e := &Entry{
		cfg: cfg, deps: deps,
		startedAt:  deps.Clock.Now(),
		directory:  directory.New(),
		balancer:   balance.New(cfg.Place.Zone, deps.Random),
		handover:   handover.New(),
		retries:    newRetries(retryConfig(cfg.Retries)),
		killers:    newKillers(),
		paces:      map[id.Service]*pace.Estimator{},
		idle:       newIdleConns(deps.Clock),
		configured: make(chan struct{}),
		roster:     roster.New(cfg.PeerAddress, seedPeers(cfg.PeerAddress, cfg.SeedAddresses)),
	}
	e.follower = newFollower(e)
	e.searches = newSearches(e)
	e.meters = newMeters(e)
	e.pool = upstream.NewPool(upstream.Options{Dial: deps.Dial, Clock: deps.Clock, OnConnect: e.meters.connected})
	e.server = &http.Server{
		Handler:           http.HandlerFunc(e.serve),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         e.idle.changed,
	}
	return e
}

// finished notes a whole stream of a service.
func (e *Entry) finished(service id.Service, events int, took time.Duration) {
	e.pacesMu.Lock()
	defer e.pacesMu.Unlock()
	e.pace(service).Observe(events, took)
}

// leastTime returns the least time in which a stream can be finished.
func (e *Entry) leastTime(service id.Service, ask *direct.RequestMetadata) time.Duration {
	last := eventstream.Event{ID: string(ask.LastEventID)}
	// An id that is no number says nothing of how much is done.
	done, _ := last.Number()
	e.pacesMu.Lock()
	defer e.pacesMu.Unlock()
	return e.pace(service).MinRemaining(ask.PromptTokens, int(done))
}

func (e *Entry) pace(service id.Service) *pace.Estimator {
	p := e.paces[service]
	if p == nil {
		p = pace.New()
		e.paces[service] = p
	}
	return p
}
