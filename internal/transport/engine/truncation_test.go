package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/transport/engine"
)

// rawServer answers each request with the next bytes of wires and ends the connection.
type rawServer struct {
	listener net.Listener
	wires    chan string
	reset    bool
}

func newRawServer(t testing.TB, reset bool) (*rawServer, *engine.Client) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: listener, wires: make(chan string, 1), reset: reset}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.serve()
	}()
	client := engine.NewClient("http://" + listener.Addr().String())
	t.Cleanup(func() {
		client.Close()
		_ = listener.Close()
		<-done
	})
	return s, client
}

func (s *rawServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.answer(conn.(*net.TCPConn))
	}
}

func (s *rawServer) answer(conn *net.TCPConn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, <-s.wires)
	if s.reset {
		_ = conn.SetLinger(0)
	}
}

// framings returns the bytes of one whole answer in each framing.
func framings(events ...string) map[string]string {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	body := strings.Join(events, "")
	chunks := ""
	for _, e := range events {
		chunks += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	return map[string]string{
		"length":     fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":     head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n",
		"connection": head + "Connection: close\r\n\r\n" + body,
	}
}

// TestStreamTruncatedAtEachByte guards against the end of a connection counted as the end of an answer.
func TestStreamTruncatedAtEachByte(t *testing.T) {
	for name, wire := range framings(firstEvent, secondEvent, lastEvent, endMarker) {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				checkTruncations(t, wire, reset)
			})
		}
	}
}

func checkTruncations(t *testing.T, wire string, reset bool) {
	is := is.New(t)
	endLine := strings.TrimSuffix(endMarker, "\n")
	whole := strings.Index(wire, endLine) + len(endLine)
	server, client := newRawServer(t, reset)
	for cut := range len(wire) + 1 {
		server.wires <- wire[:cut]
		ctx, cancel := context.WithCancel(t.Context())
		tokens, stream, err := readStream(ctx, client)
		cancel()
		switch complete := stream != nil && errors.Is(err, io.EOF); {
		case complete:
			if cut < whole || len(tokens) != 3 {
				t.Fatalf("complete with %d of %d bytes and %d tokens", cut, len(wire), len(tokens))
			}
		case cut == len(wire) && !reset:
			is.True(complete) // the whole answer must count
		}
	}
}
