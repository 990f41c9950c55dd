package engine

import (
	"foxtailward.example/foxtailward/internal/standin/server"
)

// Server is an engine with its own listener. Crash closes the listener and all
// connections, and Restart listens on the same address again.
type Server struct {
	*Engine
	http *server.Server
}

// Listen starts an engine that listens on addr. Port 0 chooses a free port.
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
	e.onCrash, e.onRestart = http.Stop, http.Start
	e.mu.Unlock()
	return &Server{Engine: e, http: http}, nil
}

// Address returns the engine's address as host:port.
func (s *Server) Address() string { return s.http.Address() }

// URL returns the engine's base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close stops the engine and closes the listener.
func (s *Server) Close() {
	s.Engine.Close()
	s.http.Close()
}
