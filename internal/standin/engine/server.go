package engine

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

// Server is an engine on a listener of its own. Its death closes the listener
// and all connections; its revival listens on the same address again.
type Server struct {
	*Engine
	address string

	mu      sync.Mutex
	http    *http.Server
	serving sync.WaitGroup
}

// Listen starts an engine that serves addr; port 0 takes a free one.
func Listen(addr string, opts Options) (*Server, error) {
	e, err := New(opts)
	if err != nil {
		return nil, err
	}
	s := &Server{Engine: e, address: addr}
	e.onDeath, e.onRevival = s.stop, s.start
	if err := s.start(); err != nil {
		e.Close()
		return nil, err
	}
	return s, nil
}

// Address returns the engine's address as host:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the engine's base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close ends the engine and closes the listener.
func (s *Server) Close() {
	s.stop()
	s.Engine.Close()
	s.serving.Wait()
}

func (s *Server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fault.Wrap("Server.start", Unreachable, err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{
		Handler:           s.Engine,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	s.http = server
	s.serving.Go(func() { _ = server.Serve(listener) })
	return nil
}

func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	// The listener and the connections are closed whatever this returns.
	_ = s.http.Close()
	s.http = nil
}
