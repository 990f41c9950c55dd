// Package caller serves the callers' API over HTTP: the OpenAI-compatible
// endpoints, existing answers, and plain services.
//
// It authenticates the caller, validates the request, passes it to
// answer.Handlers, and writes what the returned reader delivers. It does not buffer
// answers for slow callers, because the entry keeps the tokens in its log. A caller
// that accepts no bytes for Config.WriteTimeout is disconnected.
//
// # Usage
//
//	var cfg caller.Config
//	cfg.SetDefaults()
//	cfg.Address = "127.0.0.1:8700"
//	server := caller.NewServer(cfg, handlers, caller.Dependencies{Clock: clock, Log: log, Metrics: registry})
//	err := server.ListenAndServe()
//
// A caller sends "Authorization: Bearer KEY" and may add
//
//	Idempotency-Key: KEY           all requests with this key share one generation
//	Foxtailward-Timeout: 30s       how long the caller waits for the answer
//	Foxtailward-Restart: allow     allows a new text if the old one cannot continue
//	Foxtailward-Repeatable: false  runs this call to a plain service at most once
//	Last-Event-ID: LINEAGE:INDEX   where to resume a stream, by answer id or by key
package caller

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/event"
)

// Dependencies are the server's dependencies. Fields that are nil get defaults; a
// nil Log discards all events.
type Dependencies struct {
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics metrics.Registry
	// NewSeed chooses the sampling seed of a request that has none.
	NewSeed func() int64
}

func (d *Dependencies) setDefaults() {
	if d.Clock == nil {
		d.Clock = clockwork.NewRealClock()
	}
	if d.Metrics == nil {
		d.Metrics = metrics.NewRegistry()
	}
	if d.NewSeed == nil {
		d.NewSeed = rand.Int64
	}
}

// api holds the state shared by all HTTP handlers.
type api struct {
	cfg        Config
	handlers   *answer.Handlers
	deps       Dependencies
	metrics    *apiMetrics
	bodyMemory budget
}

// NewServer returns the server of the callers' API. The server does not listen
// yet.
func NewServer(cfg Config, handlers *answer.Handlers, deps Dependencies) *http.Server {
	return &http.Server{
		Addr:              cfg.Address,
		Handler:           NewHandler(cfg, handlers, deps),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
	}
}

// NewHandler returns the HTTP handler of the callers' API. The server that uses it
// must limit the size and the read time of headers, as NewServer does.
func NewHandler(cfg Config, handlers *answer.Handlers, deps Dependencies) http.Handler {
	deps.setDefaults()
	a := &api{cfg: cfg, handlers: handlers, deps: deps, metrics: newMetrics(deps.Metrics)}
	a.bodyMemory.limit = cfg.MaxBodyMemory
	r := chi.NewRouter()
	r.Use(a.resetDeadlines)
	r.NotFound(a.notFound)
	r.MethodNotAllowed(a.methodNotAllowed)
	r.Group(func(r chi.Router) {
		r.Use(a.authenticate)
		r.Post("/v1/completions", a.createCompletion)
		r.Post("/v1/chat/completions", a.createChat)
		r.Get("/v1/models", a.listModels)
		r.Get("/v1/models/{model}", a.getModel)
		r.Get("/v1/answers/{id}", a.getAnswer)
		r.HandleFunc("/v1/services/{service}", a.callService)
		r.HandleFunc("/v1/services/{service}/*", a.callService)
	})
	return r
}

// resetDeadlines replaces the deadlines that remain from the connection's previous
// request. Each later write sets its own deadline. The read deadline also limits the
// time in which the rest of a refused request's body is read. A request without a
// body gets no read deadline, because the server reads from the connection to notice
// when the caller disconnects.
func (a *api) resetDeadlines(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.setWriteDeadline(w)
		if r.ContentLength != 0 {
			a.setReadDeadline(w)
		}
		next.ServeHTTP(w, r)
	})
}

// setWriteDeadline sets the deadline of the next write to the caller.
func (a *api) setWriteDeadline(w http.ResponseWriter) {
	// Response recorders in tests do not support deadlines and need none.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.cfg.WriteTimeout))
}

// setReadDeadline sets the deadline for reading a body.
func (a *api) setReadDeadline(w http.ResponseWriter) {
	// Response recorders in tests do not support deadlines and need none.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(a.cfg.BodyTimeout))
}

// clearReadDeadline removes the read deadline, which must not end the connection
// while the answer is written.
func (a *api) clearReadDeadline(w http.ResponseWriter) {
	// Response recorders in tests do not support deadlines and need none.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}
