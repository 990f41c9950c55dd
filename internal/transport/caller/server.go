// Package caller serves the callers' API over HTTP: the OpenAI-compatible
// endpoints, the answers that already exist, and the plain services.
//
// It checks who calls and what is asked, hands the request to an answer.Desk
// and writes what the desk's reader gives. It keeps nothing of an answer: a
// slow caller's text stays in the log of the entry, and a caller that takes
// no byte for Config.WriteTimeout is cut off.
//
// # Usage
//
//	var cfg caller.Config
//	cfg.Defaults()
//	cfg.Address = "127.0.0.1:8700"
//	server := caller.NewServer(cfg, desk, caller.Tools{Clock: clock, Log: log, Metrics: registry})
//	err := server.ListenAndServe()
//
// A caller sends "Authorization: Bearer KEY" and may add
//
//	Idempotency-Key: KEY           one generation for all requests with it
//	Foxtailward-Timeout: 30s       when the caller gives up
//	Foxtailward-Restart: allow     a new text is welcome if the old cannot go on
//	Foxtailward-Repeatable: false  this call to a plain service runs at most once
//	Last-Event-ID: LINEAGE:INDEX   where to go on with a stream, by id or key
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

// Dependencies is what the server uses of its process. Fields that are nil get the
// standard ones.
type Dependencies struct {
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics metrics.Registry
	// NewSeed chooses the seed of a generation whose caller names none.
	NewSeed func() int64
}

func (t *Dependencies) defaults() {
	if t.Clock == nil {
		t.Clock = clockwork.NewRealClock()
	}
	if t.Metrics == nil {
		t.Metrics = metrics.NewRegistry()
	}
	if t.NewSeed == nil {
		t.NewSeed = rand.Int64
	}
}

// api holds what all handlers share.
type api struct {
	cfg    Config
	desk   *answer.Handlers
	tools  Dependencies
	gauges *gauges
	bodies budget
}

// NewServer returns the server of the callers' API. It does not listen yet.
func NewServer(cfg Config, desk *answer.Handlers, tools Dependencies) *http.Server {
	return &http.Server{
		Addr:              cfg.Address,
		Handler:           NewHandler(cfg, desk, tools),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
	}
}

// NewHandler returns the handler of the callers' API. Its server must set the
// limits on headers, as NewServer does.
func NewHandler(cfg Config, desk *answer.Handlers, tools Dependencies) http.Handler {
	tools.defaults()
	a := &api{cfg: cfg, desk: desk, tools: tools, gauges: newGauges(tools.Metrics)}
	a.bodies.limit = cfg.MaxBodyMemory
	r := chi.NewRouter()
	r.Use(a.freshDeadlines)
	r.NotFound(a.notFound)
	r.MethodNotAllowed(a.methodNotAllowed)
	r.Group(func(r chi.Router) {
		r.Use(a.authenticate)
		r.Post("/v1/completions", a.completion)
		r.Post("/v1/chat/completions", a.chat)
		r.Get("/v1/models", a.models)
		r.Get("/v1/models/{model}", a.model)
		r.Get("/v1/answers/{id}", a.answer)
		r.HandleFunc("/v1/services/{service}", a.service)
		r.HandleFunc("/v1/services/{service}/*", a.service)
	})
	return r
}

// freshDeadlines replaces the deadlines that the connection's last request has
// left behind. Each later write sets its own. The one for reading also bounds
// the time in which the rest of a refused request's body is read; a request
// without a body needs none, and its connection is watched for its end.
func (a *api) freshDeadlines(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.allowWrite(w)
		if r.ContentLength != 0 {
			a.allowRead(w)
		}
		next.ServeHTTP(w, r)
	})
}

// allowWrite gives the next write to the caller its time.
func (a *api) allowWrite(w http.ResponseWriter) {
	// A recorder in a test has no deadlines, and none are needed there.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(a.cfg.WriteTimeout))
}

// allowRead gives the reading of a body its time.
func (a *api) allowRead(w http.ResponseWriter) {
	// A recorder in a test has no deadlines, and none are needed there.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(a.cfg.BodyTimeout))
}

// endRead lifts the deadline, which must not end the connection while the
// answer is written.
func (a *api) endRead(w http.ResponseWriter) {
	// A recorder in a test has no deadlines, and none are needed there.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}
