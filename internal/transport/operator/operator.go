// Package operator serves the operators' HTTP address of a process: health,
// metrics, status and explanations. Its Client asks entries at that address.
//
// # Usage
//
//	s := operator.New(operator.Source{
//		Ready:   func() error { … },
//		Status:  func() any { return status },
//		Metrics: registry,
//	})
//	err := s.Run(ctx, "127.0.0.1:8702")
//
//	GET /healthz           200 while the process runs
//	GET /readyz            200 while it takes work, else 503 with the reason
//	GET /metrics           the metrics as JSON
//	GET /metrics?format=text  one line for each figure: name value
//	GET /status            the process's own view, as JSON
//	GET /explain/{id}      what was decided about a request, as JSON
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
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// ListenFailed means that the server can't listen.
	ListenFailed Kind = "address"
	// ServeFailed means that the server ended with an error.
	ServeFailed Kind = "serving"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Times and sizes of the operators' connections.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	stopTimeout    = time.Second
	maxHeaderBytes = 16 << 10
)

// Options is where the server takes its answers from.
type Options struct {
	// Ready returns why the process takes no work; nil when it does. A nil
	// Ready is always ready.
	Ready func() error
	// Status returns a value that is written as JSON; it holds no secret.
	Status func() any
	// Explain returns what was decided about a request, and false when the
	// process knows no such request. A nil Explain knows none.
	Explain func(ctx context.Context, request id.Request) (*status.Explanation, bool)
	// Metrics is the process's registry.
	Metrics metrics.Registry
}

// Server serves one process's operators' address.
type Server struct {
	source   Options
	listener net.Listener
}

// New returns a server of source.
func New(source Options) *Server {
	return &Server{source: source}
}

// Listen opens the address. Run does it when it has not been done.
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

// Run serves until ctx ends. It returns an *Error when it can't.
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
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return fault.Wrap("Server.Run", ServeFailed, err)
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if server.Shutdown(stopping) != nil {
		_ = server.Close()
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap("Server.Run", ServeFailed, err)
	}
	return nil
}

// Handler returns the server's handler.
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
	if s.source.Ready != nil {
		if err := s.source.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if s.source.Status == nil {
		writeText(w, http.StatusNotFound, "this process has no status")
		return
	}
	writeJSON(w, s.source.Status())
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	if s.source.Explain != nil {
		explanation, ok := s.source.Explain(r.Context(), id.Request(chi.URLParam(r, "request")))
		if ok {
			writeJSON(w, explanation)
			return
		}
	}
	writeText(w, http.StatusNotFound, "this process knows no such request")
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	registry := s.source.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	if r.URL.Query().Get("format") == "text" {
		writeText(w, http.StatusOK, strings.Join(FormatMetrics(registry), "\n"))
		return
	}
	writeJSON(w, registry)
}

// FormatMetrics returns one line for each figure of a registry, sorted. A metric of a
// single figure goes by its own name.
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
	// The reader may have gone; nobody is left to be told.
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
