package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/timing"
	"foxtailward.example/foxtailward/internal/transport/operator"
)

const (
	// defaultStreamTime is the time within which streams are expected to finish while few
	// have been observed, and expectedPlainTime the same for other requests.
	defaultStreamTime = 6 * time.Second
	expectedPlainTime = time.Second
	// configWait is how long a request waits for the first configuration and list
	// of targets.
	configWait = 400 * time.Millisecond
	// idleCheckInterval is how often idle connections are checked for their
	// timeout.
	idleCheckInterval = time.Second
	// defaultIdleTimeout is the idle timeout of client connections until a
	// configuration is known.
	defaultIdleTimeout = time.Minute
	readinessTimeout   = 5 * time.Second
)

// Listen opens the entry's listeners.
func (e *Entry) Listen() error {
	clients, err := e.deps.Listen(e.cfg.ClientAddress)
	if err != nil {
		return fault.Wrap("Entry.Listen", ListenFailed, err)
	}
	readiness, err := e.deps.Listen(e.cfg.ReadinessAddress)
	if err != nil {
		return fault.Wrap("Entry.Listen", ListenFailed, err)
	}
	e.clientListener, e.readinessListener = clients, readiness
	e.listenForMetrics()
	if e.cfg.PeerAddress != "" {
		e.peerExchange, err = openPeerExchange(e, e.storeWatcher)
		if err != nil {
			return err
		}
		e.configReader = e.peerExchange.configs
	}
	e.deps.Log.Emit(event.ProcessStarted, "name", e.cfg.Name, "zone", e.cfg.Place.Zone, "clients", clients.Addr())
	return nil
}

// listenForMetrics opens the metrics listener. The entry also serves without it.
func (e *Entry) listenForMetrics() {
	if e.cfg.MetricsAddress == "" {
		return
	}
	l, err := e.deps.Listen(e.cfg.MetricsAddress)
	if err != nil {
		e.deps.Log.Emit(event.TaskFailed, "duty", "metrics", "address", e.cfg.MetricsAddress, "error", err)
		return
	}
	e.metricsListener = l
}

// Run serves until ctx ends, then waits up to the grace time for running
// requests.
func (e *Entry) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	ready := e.readinessServer()
	wg.Go(func() { e.serveOn(readinessName, ready, e.readinessListener) })
	wg.Go(func() { e.serveOn(clientsName, e.server, e.clientListener) })
	wg.Go(func() { e.storeWatcher.run(serving) })
	if e.peerExchange != nil {
		wg.Go(func() { e.peerExchange.run(serving) })
	}
	wg.Go(func() { e.saver.run(serving) })
	if e.rollouts != nil {
		wg.Go(func() { e.rollouts.run(serving) })
	}
	wg.Go(func() { e.closeIdleConns(serving) })
	wg.Go(func() { e.watchClocks(serving) })
	if e.cfg.OperatorAddress != "" {
		wg.Go(func() { e.serveOperators(serving) })
	}
	metricsServer := e.metricsServer()
	if e.metricsListener != nil {
		wg.Go(func() { e.serveOn(metricsName, metricsServer, e.metricsListener) })
	}
	<-ctx.Done()
	err := e.drain()
	e.closeServer()
	// The process is ending, so errors of closing don't matter.
	_ = ready.Close()
	_ = metricsServer.Close()
	return err
}

func (e *Entry) serveOn(name string, s *http.Server, l net.Listener) {
	if err := s.Serve(e.protect(name, s, l)); !errors.Is(err, http.ErrServerClosed) {
		e.deps.Log.Emit(event.TaskFailed, "duty", "serve", "address", l.Addr(), "error", err)
	}
}

func (e *Entry) serveOperators(ctx context.Context) {
	s := operator.New(operator.Options{
		Ready:   e.ready,
		Status:  func() any { return e.status() },
		Metrics: e.deps.Metrics,
		Guard:   e.inbound,
	})
	if err := s.Run(ctx, e.cfg.OperatorAddress); err != nil {
		e.deps.Log.Emit(event.TaskFailed, "duty", "operators", "error", err)
	}
}

// readinessServer returns a server that answers whether the entry accepts
// requests.
func (e *Entry) readinessServer() *http.Server {
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != e.deps.Dialect.ReadyPath:
			w.WriteHeader(http.StatusNotFound)
		case e.ready() != nil:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
	}
	return &http.Server{Handler: http.HandlerFunc(handler), ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout}
}

var (
	errDraining  = errors.New("the entry is stopping")
	errNoConfig  = errors.New("no configuration is known")
	errNoTargets = errors.New("the targets are not known")
)

// awaitConfig waits up to configWait for the first configuration. A process that
// has just started usually receives it sooner than a refused client could retry.
func (e *Entry) awaitConfig(ctx context.Context) {
	select {
	case <-e.configured:
		return
	default:
	}
	select {
	case <-e.configured:
	case <-ctx.Done():
	case <-e.deps.Clock.After(configWait):
	}
}

// ready returns nil if the entry accepts requests, or the reason why it does
// not.
func (e *Entry) ready() error {
	switch {
	case e.draining.Load():
		return errDraining
	case e.directory.View().Config == nil:
		return errNoConfig
	case !e.targetsListed.Load():
		return errNoTargets
	case e.ownLoad.away.Load():
		return errChoked
	}
	return nil
}

// closeIdleConns closes connections that exceed their idle timeout, until ctx
// ends.
func (e *Entry) closeIdleConns(ctx context.Context) {
	timing.Every(ctx, e.deps.Clock, idleCheckInterval, func() {
		e.pool.CloseExpired()
		e.idle.closeExpired(e.idleTimeout())
	})
}

func (e *Entry) idleTimeout() time.Duration {
	cfg := e.directory.View().Config
	if cfg == nil || cfg.Limits.IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return cfg.Limits.IdleTimeout
}

// Status is the status that an entry reports to operators.
type Status struct {
	Name    string         `json:"name"`
	Version int64          `json:"version"`
	Active  int64          `json:"active"`
	Targets map[string]int `json:"targets"`
}

func (e *Entry) status() Status {
	view := e.directory.View()
	s := Status{Name: string(e.cfg.Name), Active: e.activeRequests.Load(), Targets: map[string]int{}}
	if view.Config != nil {
		s.Version = int64(view.Config.Version)
	}
	for service, targets := range view.Targets {
		s.Targets[string(service)] = len(targets.Ready())
	}
	return s
}
