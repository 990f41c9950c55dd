// Package service is a stand-in for a plain service: it takes any call, counts
// how often each request ran, and fails on command before, during or after a
// run.
//
// # Usage
//
//	s, err := service.Listen("127.0.0.1:0", service.Options{Name: "floor"})
//	defer s.Close()
//	s.Fail(service.DieDuring)
//	…
//	s.Runs("ans-…")
//
// Typical calls are POST /orders, GET /parts/{id} and GET /status. GET /health
// and GET /stats are not counted; POST /faults takes a Command.
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

// RequestIDHeader names the request that a call belongs to.
const RequestIDHeader = "Foxtailward-Request"

// maxBody bounds a request's body, in bytes.
const maxBody = 8 << 20

// Failure is how the next call fails.
type Failure string

// Failures, each of one call.
const (
	// CrashBefore ends the service before the call runs.
	CrashBefore Failure = "dieBefore"
	// CrashDuring ends it after the run began and before it is complete.
	CrashDuring Failure = "dieDuring"
	// CrashAfter ends it after the run, before the answer.
	CrashAfter Failure = "dieAfter"
	// DropReply cuts the connection after the run; the service lives on.
	DropReply Failure = "loseReply"
	// Refuse answers 503 without a run.
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

// Options sets up a service.
type Options struct {
	Name id.Service
	// Clock is the time; the real one when nil.
	Clock clockwork.Clock
	// CallDuration is the time of one run.
	CallDuration time.Duration
}

// Reply is the answer to a call.
type Reply struct {
	Service id.Service `json:"service"`
	Method  string     `json:"method"`
	Path    string     `json:"path"`
	// Result is a hash of method, path and body, in hexadecimal digits.
	Result string `json:"result"`
}

// Stats are the service's counters.
type Stats struct {
	// Started and Completed count runs.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Crashes   int `json:"deaths"`
	// RunsByRequest and Bodies count the runs that began, by the request's id and
	// by the body.
	RunsByRequest map[string]int `json:"requests"`
	RunsByBody    map[string]int `json:"bodies"`
}

// Service is a stand-in plain service. It is safe for concurrent use.
type Service struct {
	opts   Options
	router http.Handler

	mu    sync.Mutex
	next  Failure
	cost  time.Duration
	dead  bool
	stats Stats
	// onDeath and onRevival are set by a Server.
	onDeath   func()
	onRevival func() error
}

// New returns a service that runs until it dies.
func New(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	s := &Service{
		opts:  opts,
		cost:  opts.CallDuration,
		stats: Stats{RunsByRequest: map[string]int{}, RunsByBody: map[string]int{}},
	}
	r := chi.NewRouter()
	r.Get("/health", func(w http.ResponseWriter, _ *http.Request) {
		s.cutWhenDead()
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/stats", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, s.Stats()) })
	r.Post("/faults", s.serveFault)
	r.NotFound(s.serveCall)
	r.MethodNotAllowed(s.serveCall)
	s.router = r
	return s
}

// ServeHTTP serves calls and fault commands.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// FailNext makes the next call fail.
func (s *Service) FailNext(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = f
}

// SetCallDuration sets the time of one run.
func (s *Service) SetCallDuration(cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cost = cost
}

// Crash cuts all connections and refuses new ones.
func (s *Service) Crash() {
	s.mu.Lock()
	died := !s.dead
	s.dead = true
	if died {
		s.stats.Crashes++
	}
	onDeath := s.onDeath
	s.mu.Unlock()
	if died && onDeath != nil {
		onDeath()
	}
}

// Restart starts a dead service again; its counters go on. It fails when a
// Server's address is taken.
func (s *Service) Restart() error {
	s.mu.Lock()
	revived := s.dead
	s.dead = false
	onRevival := s.onRevival
	s.mu.Unlock()
	if revived && onRevival != nil {
		return onRevival()
	}
	return nil
}

// Stats returns the counters as they stand.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.RunsByRequest = maps.Clone(stats.RunsByRequest)
	stats.RunsByBody = maps.Clone(stats.RunsByBody)
	return stats
}

// RunsOfRequest returns how often a request's run began.
func (s *Service) RunsOfRequest(request id.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats.RunsByRequest[string(request)]
}

// RunsOfBody returns how often a run with the body began.
func (s *Service) RunsOfBody(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats.RunsByBody[body]
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	s.cutWhenDead()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	failure, cost := s.begin(r.Header.Get(RequestIDHeader), string(body))
	switch failure {
	case Refuse:
		http.Error(w, "the service takes no calls", http.StatusServiceUnavailable)
		return
	case CrashBefore, CrashDuring:
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	// A run that began goes on when the caller has left.
	s.opts.Clock.Sleep(cost)
	s.complete()
	switch failure {
	case CrashAfter:
		s.Crash()
		panic(http.ErrAbortHandler)
	case DropReply:
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, Reply{
		Service: s.opts.Name,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Result:  ExpectedResult(r.Method, r.URL.RequestURI(), string(body)),
	})
}

// ExpectedResult returns the result of the right answer to a call.
func ExpectedResult(method, path, body string) string {
	return id.Fingerprint(xxhash.Sum64String(method + " " + path + "\n" + body)).String()
}

// begin counts a run, unless the next failure comes before it.
func (s *Service) begin(request, body string) (Failure, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failure := s.next
	s.next = ""
	if failure != CrashBefore && failure != Refuse {
		s.stats.Started++
		s.stats.RunsByRequest[request]++
		s.stats.RunsByBody[body]++
	}
	return failure, s.cost
}

// complete counts the end of a run. A run that a death has cut does not end.
func (s *Service) complete() {
	s.cutWhenDead()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Completed++
}

func (s *Service) cutWhenDead() {
	s.mu.Lock()
	dead := s.dead
	s.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
}

// Command is a fault command, as POST /faults takes it.
type Command struct {
	// Kind is a Failure, "die", or "slow".
	Kind string `json:"kind"`
	// Millis is the time of a run, for "slow".
	Millis int64 `json:"millis,omitempty"`
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case Failure(c.Kind).Valid():
		s.FailNext(Failure(c.Kind))
	case c.Kind == "slow":
		s.SetCallDuration(time.Duration(c.Millis) * time.Millisecond)
	case c.Kind == "die":
		// The answer goes out first; death closes its connection too.
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

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer is gone when this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// Server is a service on an address of its own. Its death closes the listener
// and all connections.
type Server struct {
	*Service
	http *server.Server
}

// Listen starts a service that serves addr; port 0 takes a free one.
func Listen(addr string, opts Options) (*Server, error) {
	s := New(opts)
	http, err := server.New(addr, s)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.onDeath, s.onRevival = http.Stop, http.Start
	s.mu.Unlock()
	return &Server{Service: s, http: http}, nil
}

// Address returns the service's address as host:port.
func (s *Server) Address() string { return s.http.Address() }

// URL returns the service's base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close closes the listener and all connections.
func (s *Server) Close() { s.http.Close() }
