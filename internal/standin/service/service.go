// Package service is a stand-in for a plain service. It accepts any call, counts the
// runs of each request, and can be made to fail before, during or after a run.
//
// # Usage
//
//	s, err := service.Listen("127.0.0.1:0", service.Options{Name: "floor"})
//	defer s.Close()
//	s.FailNext(service.CrashDuring)
//	…
//	s.RunsOfRequest("ans-…")
//
// Typical calls are POST /orders, GET /parts/{id} and GET /status. GET /health and
// GET /stats are not counted as calls; POST /faults takes a Command.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/standin/server"
	"foxtailward.example/foxtailward/internal/state/id"
)

// RequestIDHeader is the header with the ID of the request that a call belongs to.
const RequestIDHeader = "Foxtailward-Request"

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

// Failure is the way in which the next call fails.
type Failure string

// Failures. Each affects one call.
const (
	// CrashBefore crashes the service before the run.
	CrashBefore Failure = "dieBefore"
	// CrashDuring crashes the service after the run has begun and before it completes.
	CrashDuring Failure = "dieDuring"
	// CrashAfter crashes the service after the run and before the reply.
	CrashAfter Failure = "dieAfter"
	// DropReply closes the connection after the run without a reply; the service keeps
	// running.
	DropReply Failure = "loseReply"
	// Refuse replies with status 503 and does not run the call.
	Refuse Failure = "refuse"
)

// Valid reports whether f is a known failure.
func (f Failure) Valid() bool {
	switch f {
	case CrashBefore, CrashDuring, CrashAfter, DropReply, Refuse:
		return true
	}
	return false
}

// Options configures a service.
type Options struct {
	Name id.Service
	// Clock is the clock; nil means the real one.
	Clock clockwork.Clock
	// CallDuration is the duration of one run.
	CallDuration time.Duration
}

// Reply is the reply to a call.
type Reply struct {
	Service id.Service `json:"service"`
	Method  string     `json:"method"`
	Path    string     `json:"path"`
	// Result is a hash of method, path and body, in hexadecimal digits.
	Result string `json:"result"`
}

// Stats are the service's counters.
type Stats struct {
	// Started and Completed are the numbers of runs that began and that completed.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Crashes   int `json:"deaths"`
	// RunsByRequest and RunsByBody are the numbers of runs that began, by request ID
	// and by body.
	RunsByRequest map[string]int `json:"requests"`
	RunsByBody    map[string]int `json:"bodies"`
}

// Service is a stand-in plain service. It is safe for concurrent use.
type Service struct {
	opts   Options
	router http.Handler

	mu           sync.Mutex
	nextFailure  Failure
	callDuration time.Duration
	crashed      bool
	stats        Stats
	// onCrash and onRestart are called at a crash and a restart; Server sets them.
	onCrash   func()
	onRestart func() error
}

// New returns a running service.
func New(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	s := &Service{
		opts:         opts,
		callDuration: opts.CallDuration,
		stats:        Stats{RunsByRequest: map[string]int{}, RunsByBody: map[string]int{}},
	}
	r := chi.NewRouter()
	r.Get("/health", func(w http.ResponseWriter, _ *http.Request) {
		s.abortIfCrashed()
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	r.Post("/faults", s.serveFault)
	r.NotFound(s.serveCall)
	r.MethodNotAllowed(s.serveCall)
	s.router = r
	return s
}

// ServeHTTP serves calls and fault commands.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// FailNext makes the next call fail with f.
func (s *Service) FailNext(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFailure = f
}

// SetCallDuration sets the duration of one run.
func (s *Service) SetCallDuration(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callDuration = d
}

// Crash makes the service abort calls without a reply until Restart. A Server also
// closes its listener and all connections.
func (s *Service) Crash() {
	s.mu.Lock()
	first := !s.crashed
	s.crashed = true
	if first {
		s.stats.Crashes++
	}
	onCrash := s.onCrash
	s.mu.Unlock()
	if first && onCrash != nil {
		onCrash()
	}
}

// Restart restarts a crashed service, which keeps its counters. It fails if the
// address of a Server is in use.
func (s *Service) Restart() error {
	s.mu.Lock()
	wasCrashed := s.crashed
	s.crashed = false
	onRestart := s.onRestart
	s.mu.Unlock()
	if wasCrashed && onRestart != nil {
		return onRestart()
	}
	return nil
}

// Stats returns the current counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.RunsByRequest = maps.Clone(stats.RunsByRequest)
	stats.RunsByBody = maps.Clone(stats.RunsByBody)
	return stats
}

// RunsOfRequest returns how many runs of a request began.
func (s *Service) RunsOfRequest(request id.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats.RunsByRequest[string(request)]
}

// RunsOfBody returns how many runs of calls with this body began.
func (s *Service) RunsOfBody(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats.RunsByBody[body]
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	s.abortIfCrashed()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	failure, duration := s.beginRun(r.Header.Get(RequestIDHeader), string(body))
	switch failure {
	case Refuse:
		http.Error(w, "the service takes no calls", http.StatusServiceUnavailable)
		return
	case CrashBefore, CrashDuring:
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	// A run that has begun continues even if the caller disconnects.
	s.opts.Clock.Sleep(duration)
	s.completeRun()
	switch failure {
	case CrashAfter:
		s.Crash()
		panic(http.ErrAbortHandler)
	case DropReply:
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, Reply{
		Service: s.opts.Name,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Result:  ExpectedResult(r.Method, r.URL.RequestURI(), string(body)),
	})
}

// ExpectedResult returns the result in the correct reply to a call.
func ExpectedResult(method, path, body string) string {
	return id.Fingerprint(xxhash.Sum64String(method + " " + path + "\n" + body)).String()
}

// beginRun counts a run unless the next failure prevents it.
func (s *Service) beginRun(request, body string) (Failure, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failure := s.nextFailure
	s.nextFailure = ""
	if failure != CrashBefore && failure != Refuse {
		s.stats.Started++
		s.stats.RunsByRequest[request]++
		s.stats.RunsByBody[body]++
	}
	return failure, s.callDuration
}

// completeRun counts a completed run. A run does not complete after a crash.
func (s *Service) completeRun() {
	s.abortIfCrashed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Completed++
}

func (s *Service) abortIfCrashed() {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
}

// Command is a fault command, the body of POST /faults.
type Command struct {
	// Kind is a Failure, "die", or "slow".
	Kind string `json:"kind"`
	// Millis is the duration of a run in milliseconds, for "slow".
	Millis int64 `json:"millis,omitempty"`
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case Failure(c.Kind).Valid():
		s.FailNext(Failure(c.Kind))
	case c.Kind == "slow":
		s.SetCallDuration(time.Duration(c.Millis) * time.Millisecond)
	case c.Kind == "die":
		// Send the response first, because the crash closes this connection too.
		defer s.Crash()
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		return
	default:
		http.Error(w, "the fault is not known", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected, so it can't be reported.
	_ = json.NewEncoder(w).Encode(body)
}

// Server serves a Service over HTTP. A crash closes the listener and all connections.
type Server struct {
	*Service
	http *server.Server
}

// Listen starts a service on addr; port 0 chooses a free port.
func Listen(addr string, opts Options) (*Server, error) {
	s := New(opts)
	http, err := server.New(addr, s)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.onCrash, s.onRestart = http.Stop, http.Start
	s.mu.Unlock()
	return &Server{Service: s, http: http}, nil
}

// Address returns the service's address as host:port.
func (s *Server) Address() string { return s.http.Address() }

// URL returns the service's base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close closes the listener and all connections.
func (s *Server) Close() { s.http.Close() }
