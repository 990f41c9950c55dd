package inbound_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/clientlimit"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/transport/inbound"
)

// headBytes limits the heads of the tests.
const headBytes = 16 << 10

// server is a guarded server with memory for one head of many lines.
type server struct {
	is      *is.I
	address string
	// held is sent to when a request to /held arrives, which ends when release is closed.
	held, release chan struct{}
	mu            sync.Mutex
	refused       map[inbound.Reason]int
}

func newServer(t *testing.T, conns int) *server {
	s := &server{is: is.New(t), held: make(chan struct{}, 10), release: make(chan struct{}), refused: map[inbound.Reason]int{}}
	guard := inbound.New(inbound.Options{
		Clock: clockwork.NewRealClock(), Log: event.NewLogfmtLog(t.Output(), clockwork.NewRealClock()), Limits: clientlimit.Limits{HeadMemory: 1 << 20},
		OnRefuse: func(_ string, reason inbound.Reason) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.refused[reason]++
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	s.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			s.held <- struct{}{}
			<-s.release
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})}
	l = guard.Protect(server, l, inbound.Listener{Name: "test", Conns: conns, HeadBytes: func() int { return headBytes }})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// dial opens a connection that sends the text.
func (s *server) dial(text string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.address)
	s.is.NoErr(err)
	_, err = io.WriteString(conn, text)
	s.is.NoErr(err)
	return conn, bufio.NewReader(conn)
}

// status reads an answer and returns its status, 0 for none.
func status(r *bufio.Reader) int {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// request returns a request with header lines and a body.
func request(path, lines, body string) string {
	length := ""
	if body != "" {
		length = "Transfer-Encoding: chunked\r\n"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + length + lines + "\r\n" + body
}

// many has the lines of a head of legal size that is made of short lines.
var many = strings.Repeat("a:\r\n", headBytes/4-20)

// The bytes of bodies and of later requests on a connection don't count as one head.
func TestKeptConnection(t *testing.T) {
	s := newServer(t, 10)
	body := "20000\r\n" + strings.Repeat("\n\r\n", 0x20000)[:0x20000] + "\r\n0\r\n\r\n"
	conn, r := s.dial("")
	defer conn.Close()
	for range 5 {
		_, err := io.WriteString(conn, request("/", many, body))
		s.is.NoErr(err)
		s.is.Equal(status(r), http.StatusOK)
	}
	_, err := io.WriteString(conn, strings.Repeat(request("/", "a: b\r\n", ""), 500)) // pipelined
	s.is.NoErr(err)
	for range 500 {
		s.is.Equal(status(r), http.StatusOK)
	}
	s.is.Equal(len(s.refused), 0)
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name, text string
		status     int
		reason     inbound.Reason
	}{
		{"oneLine", request("/", "a: "+strings.Repeat("b", 2*headBytes), ""), http.StatusRequestHeaderFieldsTooLarge, inbound.HeadTooLong},
		{"manyLines", request("/", many+many, ""), http.StatusRequestHeaderFieldsTooLarge, inbound.HeadTooLong},
		{"afterRequest", request("/", "", "") + request("/", many+many, ""), http.StatusRequestHeaderFieldsTooLarge, inbound.HeadTooLong},
		{"whileFull", request("/", many, ""), http.StatusServiceUnavailable, inbound.HeadsFull},
		{"smallWhileFull", request("/", "a: b\r\n", ""), http.StatusOK, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t, 10)
			if strings.HasSuffix(tt.name, "hileFull") {
				held, _ := s.dial(request("/held", many, ""))
				defer held.Close()
				<-s.held
			}
			conn, r := s.dial(tt.text)
			defer conn.Close()
			got := status(r)
			if tt.name == "afterRequest" {
				s.is.Equal(got, http.StatusOK)
				got = status(r)
			}
			s.is.Equal(got, tt.status)
			close(s.release)
			if tt.reason != "" {
				s.is.Equal(s.refused, map[inbound.Reason]int{tt.reason: 1})
			}
		})
	}
}

// A connection without a request makes room for another one; connections that are being
// served don't, and the next one is refused.
func TestConnections(t *testing.T) {
	s := newServer(t, 2)
	silent, silentReader := s.dial("GET /")
	defer silent.Close()
	for range 2 {
		conn, _ := s.dial(request("/held", "", ""))
		defer conn.Close()
		<-s.held
	}
	_, err := silentReader.ReadByte()
	s.is.True(err != nil) // closed
	conn, r := s.dial("")
	defer conn.Close()
	s.is.Equal(status(r), http.StatusServiceUnavailable)
	close(s.release)
	s.is.Equal(s.refused, map[inbound.Reason]int{inbound.Evicted: 1, inbound.TooManyConns: 1})
}

// TestStalledBodies guards against new connections that are refused because others keep back the bodies of their requests.
func TestStalledBodies(t *testing.T) {
	for _, framing := range []string{"Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 1000\r\nExpect: 100-continue\r\n"} {
		t.Run(framing, func(t *testing.T) {
			s := newServer(t, 2)
			for range 2 {
				stalled, _ := s.dial("POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n")
				defer stalled.Close()
			}
			for range 4 {
				conn, r := s.dial(request("/", "", "3\r\nabc\r\n0\r\n\r\n"))
				s.is.Equal(status(r), http.StatusOK)
				_ = conn.Close()
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.is.True(s.refused[inbound.Evicted] > 0)
			s.is.Equal(s.refused[inbound.TooManyConns], 0)
		})
	}
}

// TestBodyThatMadeRoom guards against a request that is served though its connection was closed before it was complete.
func TestBodyThatMadeRoom(t *testing.T) {
	s := newServer(t, 1)
	stalled, r := s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab")
	defer stalled.Close()
	_, other := s.dial(request("/", "", ""))
	s.is.Equal(status(other), http.StatusOK)
	_, _ = io.WriteString(stalled, "c")
	s.is.Equal(status(r), 0)
}
