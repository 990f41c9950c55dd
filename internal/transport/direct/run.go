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
	"foxtailward.example/foxtailward/internal/transport/operator"
)

// Times of a process's end.
const (
	// rotationTime is how long clients may still be sent to an entry after it
	// has said that it is not ready.
	rotationTime = 2500 * time.Millisecond
	// graceMargin is left of the grace time when what still runs is cut.
	graceMargin = 400 * time.Millisecond
	// streamTime and plainTime are how long requests take at most, as a rule.
	streamTime = 6 * time.Second
	plainTime  = time.Second
	// startWait is how long a request waits for the first configuration and list
	// of targets.
	startWait = 400 * time.Millisecond
	// lookEvery is the time between two looks whether requests still run.
	lookEvery = 50 * time.Millisecond
	// sweepEvery is the time between two looks for connections idle too long.
	sweepEvery = time.Second
	// defaultIdleTimeout closes clients' idle connections before a
	// configuration is known.
	defaultIdleTimeout = time.Minute
	readinessTimeout   = 5 * time.Second
	// watchPauseEach is the part of WatchPause for each entry. maxWatchPause is
	// well within the time in which changes must be in force.
	watchPauseEach = 50 * time.Millisecond
	maxWatchPause  = time.Second
)

// Listen opens the entry's addresses.
func (e *Entry) Listen() error {
	clients, err := e.deps.Listen(e.cfg.ClientAddress)
	if err != nil {
		return fault.Wrap("Entry.Listen", ListenFailed, err)
	}
	readiness, err := e.deps.Listen(e.cfg.ReadinessAddress)
	if err != nil {
		return fault.Wrap("Entry.Listen", ListenFailed, err)
	}
	e.clients, e.readiness = clients, readiness
	e.listenForScrapes()
	if e.cfg.PeerAddress != "" {
		e.exchange, err = openExchange(e, e.follower)
		if err != nil {
			return err
		}
	}
	e.deps.Log.Emit(event.ProcessStarted, "name", e.cfg.Name, "zone", e.cfg.Place.Zone, "clients", clients.Addr())
	return nil
}

// listenForScrapes opens the address for metrics. An entry serves without one.
func (e *Entry) listenForScrapes() {
	if e.cfg.MetricsAddress == "" {
		return
	}
	l, err := e.deps.Listen(e.cfg.MetricsAddress)
	if err != nil {
		e.deps.Log.Emit(event.TaskFailed, "duty", "metrics", "address", e.cfg.MetricsAddress, "error", err)
		return
	}
	e.scrapes = l
}

// Run serves until ctx ends, then finishes what runs within the grace time.
func (e *Entry) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var duties sync.WaitGroup
	defer duties.Wait()
	defer stop()
	ready := e.readinessServer()
	duties.Go(func() { e.serveOn(ready, e.readiness) })
	duties.Go(func() { e.serveOn(e.server, e.clients) })
	duties.Go(func() { e.follower.run(serving) })
	if e.exchange != nil {
		duties.Go(func() { e.exchange.run(serving) })
	}
	duties.Go(func() { (&keeper{e: e}).run(serving) })
	duties.Go(func() { e.sweep(serving) })
	duties.Go(func() { e.watchClocks(serving) })
	if e.cfg.OperatorAddress != "" {
		duties.Go(func() { e.serveOperators(serving) })
	}
	scraped := e.metricsServer()
	if e.scrapes != nil {
		duties.Go(func() { e.serveOn(scraped, e.scrapes) })
	}
	<-ctx.Done()
	err := e.drain()
	// The process ends, so nothing is left to be done about these errors.
	_ = e.server.Close()
	_ = ready.Close()
	_ = scraped.Close()
	return err
}

func (e *Entry) serveOn(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		e.deps.Log.Emit(event.TaskFailed, "duty", "serve", "address", l.Addr(), "error", err)
	}
}

func (e *Entry) serveOperators(ctx context.Context) {
	s := operator.New(operator.Options{
		Ready:   e.ready,
		Status:  func() any { return e.status() },
		Metrics: e.deps.Metrics,
	})
	if err := s.Run(ctx, e.cfg.OperatorAddress); err != nil {
		e.deps.Log.Emit(event.TaskFailed, "duty", "operators", "error", err)
	}
}

// readinessServer answers whether the entry takes work.
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
	errDraining = errors.New("the entry is stopping")
	errNoConfig = errors.New("no configuration is known")
	errNoList   = errors.New("the targets are not known")
)

// awaitConfig waits a moment for the first configuration. A process that has
// just started usually has it before a client could come back.
func (e *Entry) awaitConfig(ctx context.Context) {
	select {
	case <-e.configured:
		return
	default:
	}
	select {
	case <-e.configured:
	case <-ctx.Done():
	case <-e.deps.Clock.After(startWait):
	}
}

// ready returns nil while the entry takes work.
func (e *Entry) ready() error {
	switch {
	case e.draining.Load():
		return errDraining
	case e.directory.View().Config == nil:
		return errNoConfig
	case !e.listed.Load():
		return errNoList
	}
	return nil
}

// drain waits until no stream runs and clients are no longer sent here, then
// takes no request any more and waits for the rest. It ends with the grace time.
func (e *Entry) drain() error {
	start := e.deps.Clock.Now()
	e.drainStart.Store(&start)
	e.draining.Store(true)
	e.deps.Log.Emit(event.DrainStarted, "active", e.active.Load(), "streams", e.streams.Load())
	end := e.drainEnd(start)
	for now := start; now.Before(end); now = e.deps.Clock.Now() {
		if now.Sub(start) >= rotationTime && e.streams.Load() == 0 {
			e.closing.Store(true)
		}
		if e.closing.Load() && e.active.Load() == 0 {
			break
		}
		e.deps.Clock.Sleep(lookEvery)
	}
	left := e.active.Load()
	if left == 0 {
		e.deps.Log.Emit(event.DrainEnded, "took", e.deps.Clock.Since(start))
		return nil
	}
	e.deps.Log.Emit(event.WorkAborted, "active", left)
	return fault.New("Entry.drain", DrainIncomplete, "%d requests were cut at the end of the grace time", left)
}

func (e *Entry) drainEnd(start time.Time) time.Time {
	return start.Add(e.cfg.Limits.Grace() - graceMargin)
}

// leavesBefore reports whether the entry stops before the time.
func (e *Entry) leavesBefore(t time.Time) bool {
	start := e.drainStart.Load()
	return start != nil && (e.closing.Load() || e.drainEnd(*start).Before(t))
}

// sweep closes connections that have been idle for too long, until ctx ends.
func (e *Entry) sweep(ctx context.Context) {
	ticker := e.deps.Clock.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.pool.CloseExpired()
			e.idle.closeOlder(e.idleTimeout())
		}
	}
}

// WatchPause returns how long to wait between a change in the key-value service
// and the next watch. It grows with the number of entries, which share the
// service's rate.
func (e *Entry) WatchPause() time.Duration {
	return min(watchPauseEach*time.Duration(e.roster.LimitSharers(e.deps.Clock.Now())), maxWatchPause)
}

func (e *Entry) idleTimeout() time.Duration {
	cfg := e.directory.View().Config
	if cfg == nil || cfg.Limits.IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return cfg.Limits.IdleTimeout
}

// Status is what an entry tells operators of itself.
type Status struct {
	Name    string         `json:"name"`
	Version int64          `json:"version"`
	Active  int64          `json:"active"`
	Targets map[string]int `json:"targets"`
}

func (e *Entry) status() Status {
	view := e.directory.View()
	s := Status{Name: string(e.cfg.Name), Active: e.active.Load(), Targets: map[string]int{}}
	if view.Config != nil {
		s.Version = int64(view.Config.Version)
	}
	for service, targets := range view.Targets {
		s.Targets[string(service)] = len(targets.Ready())
	}
	return s
}
