// Package operator implements the HTTP endpoints that each process offers to
// operators: health checks, metrics, status and explanations of requests. Client
// queries these endpoints of entries.
//
// # Usage
//
//	s := operator.New(operator.Options{
//		Ready:   func() error { … },
//		Status:  func() any { return status },
//		Metrics: registry,
//	})
//	err := s.Run(ctx, "127.0.0.1:8702")
//
//	GET /healthz              200 while the process runs
//	GET /readyz               200 while it accepts work, otherwise 503 with the reason
//	GET /metrics              the metrics as JSON
//	GET /metrics?format=text  the metrics as text, one "name value" line per figure
//	GET /status               the status as this process sees it, as JSON
//	GET /explain/{id}         the decisions about a request, as JSON
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/inbound"
)

// Kind classifies this package's errors.
type Kind string

// Kinds of errors.
const (
	// ListenFailed means that the server could not listen on its address.
	ListenFailed Kind = "address"
	// ServeFailed means that the server stopped with an error.
	ServeFailed Kind = "serving"
)

// Error is the type of this package's errors.
type Error = fault.Error[Kind]

// Timeouts and limits of the HTTP server.
const (
	readTimeout     = 5 * time.Second
	writeTimeout    = 30 * time.Second
	idleTimeout     = time.Minute
	shutdownTimeout = time.Second
	maxHeaderBytes  = 16 << 10
)

// Options provides the data that a Server serves.
type Options struct {
	// Ready returns nil if the process accepts work, otherwise the reason why it
	// does not. If Ready is nil, the process is always ready.
	Ready func() error
	// Status returns the value served as JSON at /status. It must not contain
	// secrets. If Status is nil, the response is 404.
	Status func() any
	// Explain returns the decisions about a request, or false if the process does
	// not know the request. If Explain is nil, the process knows no requests.
	Explain func(ctx context.Context, request id.Request) (*status.Explanation, bool)
	// Metrics is the process's metrics registry.
	Metrics metrics.Registry
	// Guard bounds what clients make the server hold. If it is nil, only the server's own
	// limits apply.
	Guard *inbound.Guard
}

// Server is the HTTP server for operators of one process.
type Server struct {
	opts     Options
	listener net.Listener
}

// New returns a server that serves the data of opts.
func New(opts Options) *Server {
	return &Server{opts: opts}
}

// Listen starts listening on the address. Run calls it if the caller has not.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap("Server.Listen", ListenFailed, err)
	}
	s.listener = listener
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends and then shuts down. It returns nil after a shutdown
// and an *Error if it cannot listen or serve. The address is ignored if the server
// already listens.
func (s *Server) Run(ctx context.Context, address string) error {
	if s.listener == nil {
		if err := s.Listen(address); err != nil {
			return err
		}
	}
	server := &http.Server{
		Handler:           s.Handler(),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	listener := s.opts.Guard.Protect(server, s.listener, inbound.Listener{
		Name: "operators", Conns: s.opts.Guard.Limits().InternalConns, HeadBytes: func() int { return maxHeaderBytes },
	})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fault.Wrap("Server.Run", ServeFailed, err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap("Server.Run", ServeFailed, err)
	}
	return nil
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	r.Get("/readyz", s.ready)
	r.Get("/metrics", s.metrics)
	r.Get(status.PathStatus, s.status)
	r.Get(status.PathExplain+"{request}", s.explain)
	return r
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.opts.Ready != nil {
		if err := s.opts.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if s.opts.Status == nil {
		writeText(w, http.StatusNotFound, "this process has no status")
		return
	}
	writeJSON(w, s.opts.Status())
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	if s.opts.Explain != nil {
		explanation, ok := s.opts.Explain(r.Context(), id.Request(chi.URLParam(r, "request")))
		if ok {
			writeJSON(w, explanation)
			return
		}
	}
	writeText(w, http.StatusNotFound, "this process knows no such request")
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	registry := s.opts.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	if r.URL.Query().Get("format") == "text" {
		writeText(w, http.StatusOK, strings.Join(FormatMetrics(registry), "\n"))
		return
	}
	writeJSON(w, registry)
}

// FormatMetrics returns one line per figure of a registry, sorted. A figure is named
// "metric.figure", or just "metric" if the metric has only one figure.
func FormatMetrics(registry metrics.Registry) []string {
	var lines []string
	for name, values := range registry.GetAll() {
		for figure, value := range values {
			if len(values) == 1 {
				lines = append(lines, fmt.Sprintf("%s %v", name, value))
				continue
			}
			lines = append(lines, fmt.Sprintf("%s.%s %v", name, figure, value))
		}
	}
	slices.Sort(lines)
	return lines
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected, so there is nobody to
	// report the error to.
	_, _ = fmt.Fprintln(w, text)
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		writeText(w, http.StatusInternalServerError, "the status can't be written as JSON")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}
