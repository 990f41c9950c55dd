package engine

import (
	"foxtailward.example/foxtailward/internal/standin/server"
)

// Server is an engine on an address of its own. Its death closes the listener
// and all connections; its revival listens on the same address again.
type Server struct {
	*Engine
	http *server.Server
}

// Listen starts an engine that serves addr; port 0 takes a free one.
func Listen(addr string, opts Options) (*Server, error) {
	e, err := New(opts)
	if err != nil {
		return nil, err
	}
	http, err := server.New(addr, e)
	if err != nil {
		e.Close()
		return nil, err
	}
	e.mu.Lock()
	e.onDeath, e.onRevival = http.Stop, http.Start
	e.mu.Unlock()
	return &Server{Engine: e, http: http}, nil
}

// Address returns the engine's address as host:port.
func (s *Server) Address() string { return s.http.Address() }

// URL returns the engine's base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close ends the engine and closes the listener.
func (s *Server) Close() {
	s.Engine.Close()
	s.http.Close()
}
