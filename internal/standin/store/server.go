package store

import (
	"foxtailward.example/foxtailward/internal/standin/server"
)

// Server serves a Service over HTTP. An outage closes the listener and all
// connections.
type Server struct {
	*Service
	http *server.Server
}

// Listen starts a service on addr; port 0 chooses a free port.
func Listen(addr string, opts Options) (*Server, error) {
	service := New(opts)
	http, err := server.New(addr, service.Handler())
	if err != nil {
		service.Close()
		return nil, err
	}
	service.faults.setOnOutage(func(on bool) error {
		if on {
			http.Stop()
			return nil
		}
		return http.Start()
	})
	return &Server{Service: service, http: http}, nil
}

// Address returns the service's address as host:port.
func (s *Server) Address() string { return s.http.Address() }

// URL returns the service's base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close ends the service, closes the listener and releases calls that hang.
func (s *Server) Close() {
	s.Service.Close()
	s.SetHang(false)
	s.http.Close()
}
