// Package server serves a stand-in over HTTP on a port that stays reserved while the
// stand-in is down.
//
// A stand-in that crashes closes its listener, so that connections are refused.
// Without the reservation the kernel could use the port for an outgoing connection of
// any process meanwhile, and the stand-in could not listen on it again.
//
// # Usage
//
//	s, err := server.New("127.0.0.1:0", handler)
//	defer s.Close()
//	s.Stop()  // connections are closed, new ones refused
//	s.Start() // the same address is served again
package server

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// ListenFailed means that the server can't listen on its address.
const ListenFailed Kind = "unreachable"

// Error is this package's error.
type Error = fault.Error[Kind]

// headerTimeout is the maximum time to read a request's header.
const headerTimeout = 10 * time.Second

// Server serves HTTP on one address. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	address string
	// reservation is the descriptor of a socket that is bound to the address and does
	// not listen.
	reservation int

	mu       sync.Mutex
	http     *http.Server
	listener net.Listener
	stopped  *atomic.Bool
	closed   bool
	serving  sync.WaitGroup
}

// New reserves addr and starts a server on it; port 0 chooses a free port.
func New(addr string, handler http.Handler) (*Server, error) {
	reservation, address, err := reserveAddress(addr)
	if err != nil {
		return nil, fault.Wrap("server.New", ListenFailed, err)
	}
	s := &Server{handler: handler, address: address, reservation: reservation}
	if err := s.Start(); err != nil {
		_ = syscall.Close(reservation)
		return nil, err
	}
	return s, nil
}

// Address returns the address as host:port.
func (s *Server) Address() string { return s.address }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Start starts the server, as New does and again after Stop. It does nothing while the
// server runs, and fails after Close.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return fault.New("Server.Start", ListenFailed, "the server is closed")
	}
	if s.http != nil {
		return nil
	}
	listener, err := s.listen()
	if err != nil {
		return fault.Wrap("Server.Start", ListenFailed, err)
	}
	stopped := &atomic.Bool{}
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		// Close may miss a connection that is accepted while the server stops, so
		// close it here.
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateNew && stopped.Load() {
				_ = c.Close()
			}
		},
	}
	s.http, s.listener, s.stopped = server, listener, stopped
	s.serving.Go(func() { _ = server.Serve(listener) })
	return nil
}

// Limits of the attempts to listen.
const (
	maxListenAttempts = 400
	listenRetryDelay  = 5 * time.Millisecond
)

// listen listens on the reserved address. It retries while the address is in use,
// because programs that this process starts hold its sockets between fork and exec,
// including a listener that was just closed.
func (s *Server) listen() (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := net.Listen("tcp", s.address)
		if !errors.Is(err, syscall.EADDRINUSE) || attempt == maxListenAttempts {
			return listener, err
		}
		time.Sleep(listenRetryDelay)
	}
}

// Stop closes the listener and all connections at once.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
}

func (s *Server) stopLocked() {
	if s.http != nil {
		// Close the listener too, because the http.Server does not know it before its
		// goroutine runs. Errors are ignored: both are closed in any case.
		s.stopped.Store(true)
		_ = s.listener.Close()
		_ = s.http.Close()
		s.http = nil
	}
}

// Close stops the server permanently and releases the address. It may be called more
// than once.
func (s *Server) Close() {
	s.mu.Lock()
	first := !s.closed
	s.stopLocked()
	s.closed = true
	s.mu.Unlock()
	s.serving.Wait()
	if first {
		_ = syscall.Close(s.reservation)
	}
}

// reserveAddress binds a socket to addr without listening. With SO_REUSEADDR a
// listener may bind to the same address, provided that no other socket listens on it.
func reserveAddress(addr string) (fd int, address string, err error) {
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return 0, "", err
	}
	family, to := socketAddress(tcp)
	fd, err = syscall.Socket(family, syscall.SOCK_STREAM, 0)
	if err != nil {
		return 0, "", err
	}
	syscall.CloseOnExec(fd)
	if err := bind(fd, to); err != nil {
		_ = syscall.Close(fd)
		return 0, "", err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		_ = syscall.Close(fd)
		return 0, "", err
	}
	tcp.Port = portOf(bound)
	return fd, tcp.String(), nil
}

func bind(fd int, to syscall.Sockaddr) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	return syscall.Bind(fd, to)
}

func socketAddress(a *net.TCPAddr) (family int, to syscall.Sockaddr) {
	if v4 := a.IP.To4(); v4 != nil || a.IP == nil {
		to := &syscall.SockaddrInet4{Port: a.Port}
		copy(to.Addr[:], v4)
		return syscall.AF_INET, to
	}
	v6 := &syscall.SockaddrInet6{Port: a.Port}
	copy(v6.Addr[:], a.IP.To16())
	return syscall.AF_INET6, v6
}

func portOf(a syscall.Sockaddr) int {
	switch a := a.(type) {
	case *syscall.SockaddrInet4:
		return a.Port
	case *syscall.SockaddrInet6:
		return a.Port
	}
	return 0
}
