package server

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Raw is a server that answers each request with given bytes and then ends the connection, for
// answers that break off at any byte.
type Raw struct {
	listener net.Listener
	wires    chan string
	reset    bool
	done     chan struct{}
}

// NewRaw starts a Raw on a loopback address. It resets its connections at their end if reset is set,
// and closes them otherwise.
func NewRaw(reset bool) (*Raw, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap("server.NewRaw", ListenFailed, err)
	}
	s := &Raw{listener: listener, wires: make(chan string, 1), reset: reset, done: make(chan struct{})}
	go s.serve()
	return s, nil
}

// Address returns the host and port of the server.
func (s *Raw) Address() string { return s.listener.Addr().String() }

// AnswerNext sets the bytes of the next answer. It waits until those of the one before have been
// sent.
func (s *Raw) AnswerNext(wire string) { s.wires <- wire }

// Close stops the server.
func (s *Raw) Close() {
	// The listener is discarded, so an error doesn't matter.
	_ = s.listener.Close()
	<-s.done
}

func (s *Raw) serve() {
	defer close(s.done)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.answer(conn)
	}
}

func (s *Raw) answer(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// The client notices an error of its connection itself.
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, <-s.wires)
	if tcp, ok := conn.(*net.TCPConn); ok && s.reset {
		_ = tcp.SetLinger(0)
	}
}
