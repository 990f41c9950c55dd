// Package server serves a stand-in on a port that it keeps while it is down.
//
// A stand-in that dies closes its listener, so that connections are refused.
// Without a hold on the port, the kernel could give it to somebody's outgoing
// connection meanwhile, and the stand-in could not come back.
//
// # Usage
//
//	s, err := server.New("127.0.0.1:0", handler)
//	defer s.Close()
//	s.Stop()  // connections are cut, new ones refused
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

// ListenFailed means that an address could not be listened on.
const ListenFailed Kind = "unreachable"

// Error is this package's error.
type Error = fault.Error[Kind]

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

// Server serves HTTP on one address. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	address string
	// hold is a socket that is bound to the address and does not listen.
	hold int

	mu       sync.Mutex
	http     *http.Server
	listener net.Listener
	stopped  *atomic.Bool
	closed   bool
	serving  sync.WaitGroup
}

// New holds addr and serves it; port 0 takes a free port.
func New(addr string, handler http.Handler) (*Server, error) {
	hold, address, err := holdAddress(addr)
	if err != nil {
		return nil, fault.Wrap("server.New", ListenFailed, err)
	}
	s := &Server{handler: handler, address: address, hold: hold}
	if err := s.Start(); err != nil {
		_ = syscall.Close(hold)
		return nil, err
	}
	return s, nil
}

// Address returns the address as host:port.
func (s *Server) Address() string { return s.address }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Start listens again; it does nothing while the server listens, and fails once
// it is closed.
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
		// A connection that was accepted while the server stopped is one that
		// its Close may have missed.
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

// Bounds of the tries to listen again.
const (
	listenTries = 400
	listenPause = 5 * time.Millisecond
)

// listen listens at the held address. Programs that this process starts hold its
// sockets for a moment, also the one that was just closed.
func (s *Server) listen() (net.Listener, error) {
	for try := 1; ; try++ {
		listener, err := net.Listen("tcp", s.address)
		if !errors.Is(err, syscall.EADDRINUSE) || try == listenTries {
			return listener, err
		}
		time.Sleep(listenPause)
	}
}

// Stop closes the listener and all connections at once.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
}

func (s *Server) stop() {
	if s.http != nil {
		// The listener is closed apart, as the server does not know it until its
		// goroutine runs. Both are closed whatever the calls return.
		s.stopped.Store(true)
		_ = s.listener.Close()
		_ = s.http.Close()
		s.http = nil
	}
}

// Close stops the server for good and lets go of the address. It may be called
// more than once.
func (s *Server) Close() {
	s.mu.Lock()
	first := !s.closed
	s.stop()
	s.closed = true
	s.mu.Unlock()
	s.serving.Wait()
	if first {
		_ = syscall.Close(s.hold)
	}
}

// holdAddress binds a socket to addr without listening. Listeners may bind to
// the address as well, as long as no other one listens there.
func holdAddress(addr string) (fd int, address string, err error) {
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
