package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// server answers requests over real sockets by a script and counts the requests
// and connections.
type server struct {
	address     string
	requests    atomic.Int64
	connections atomic.Int64
}

// script writes the answer to the n-th request and reports whether the
// connection stays open.
type script func(c net.Conn, n int64) bool

func serve(t *testing.T, answer script) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.handle(c, answer)
		}
	}()
	return s
}

func (s *server) handle(c net.Conn, answer script) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !answer(c, s.requests.Add(1)) {
			return
		}
	}
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// farFuture is a deadline that no test reaches.
func farFuture() time.Time { return time.Now().Add(time.Minute) }

func do(p *upstream.Pool, address, method string) (string, error) {
	a, err := p.Do(context.Background(), address, &upstream.Request{Method: method, URI: "/x", Host: "h", Header: http.Header{}}, farFuture())
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// A request must never be sent twice. net/http would repeat some of them, such as
// a GET, if a reused connection is closed after the target has read the request.
func TestDoNeverRepeats(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(c net.Conn, n int64) bool {
				if n > 1 {
					return false
				}
				if method == "HEAD" {
					return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
				}
				return write(c, completeAnswer)
			})
			p := upstream.NewPool(upstream.Options{})
			_, err := do(p, s.address, method)
			is.NoErr(err)
			_, err = do(p, s.address, method)
			is.True(fault.Is(err, upstream.ConnectionLost))
			is.Equal(s.requests.Load(), int64(2))
			is.Equal(s.connections.Load(), int64(1)) // the connection was reused
		})
	}
}

func TestDo(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		body   string
		// fails is set if the answer is incomplete.
		fails bool
		// reused is set if the next request uses the same connection.
		reused bool
	}{
		{"a content length", completeAnswer, "ok", false, true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false, true},
		{"an informational answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeAnswer, "ok", false, true},
		{"the target closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"bytes after the answer", completeAnswer + "HTTP/1.1 200 OK\r\n", "ok", false, false},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", "", true, false},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", "", true, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", "ok", false, true},
		{"HTTP/1.0 with chunks", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "", true, false},
		{"HTTP/1.0 with chunks after an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n", "", true, false},
		{"not HTTP", "\x00\x01garbage\r\n\r\n", "", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(c net.Conn, n int64) bool {
				if n > 1 {
					return write(c, completeAnswer)
				}
				return write(c, tt.answer) && !tt.fails
			})
			p := upstream.NewPool(upstream.Options{})
			body, err := do(p, s.address, "GET")
			is.Equal(err != nil, tt.fails)
			if !tt.fails {
				is.Equal(body, tt.body)
			}
			body, err = do(p, s.address, "GET")
			is.NoErr(err)
			is.Equal(body, "ok")
			is.Equal(s.connections.Load() == 1, tt.reused)
		})
	}
}

func TestDoErrors(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = do(upstream.NewPool(upstream.Options{}), address, "POST")
	is.True(fault.Is(err, upstream.NotSent)) // nothing listens at the address

	silent := serve(t, func(net.Conn, int64) bool { select {} })
	p := upstream.NewPool(upstream.Options{})
	_, err = p.Do(context.Background(), silent.address, &upstream.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}, time.Now().Add(20*time.Millisecond))
	is.True(fault.Is(err, upstream.ReadTimeout))

	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err = p.Do(ctx, silent.address, &upstream.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}, farFuture())
	is.True(fault.Is(err, upstream.ConnectionLost)) // a cancelled request may have run
}

// A target may answer before it has read a long request. The answer must be
// returned, and the connection must not be reused.
func TestDoEarlyAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.ReadFull(c, make([]byte, 10))
	}()
	p := upstream.NewPool(upstream.Options{})
	body := []byte(strings.Repeat("x", 8<<20))
	a, err := p.Do(context.Background(), l.Addr().String(), &upstream.Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: body}, farFuture())
	is.NoErr(err)
	is.Equal(a.Status, 413)
	a.Close()
}

// The framing headers must be set by the connection and not by the client.
func TestDoFraming(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			got <- err.Error()
			return
		}
		body, err := io.ReadAll(req.Body)
		got <- fmt.Sprint(req.Method, " ", req.RequestURI, " ", req.Host, " ", req.ContentLength, " ", req.TransferEncoding, " ", string(body), " ", err)
		write(c, completeAnswer)
	}()
	p := upstream.NewPool(upstream.Options{})
	a, err := p.Do(context.Background(), l.Addr().String(), &upstream.Request{Method: "POST", URI: "/a%2Fb?c", Host: "shop", Header: http.Header{"X": {"1"}}, Body: []byte("hello")}, farFuture())
	is.NoErr(err)
	a.Close()
	is.Equal(<-got, "POST /a%2Fb?c shop 5 [] hello <nil>")
	is.True(!errors.Is(err, io.EOF))
}

// TestFreshConnection guards against an earlier answer to the same request, written once
// more on a kept connection, that is taken for the answer to a second sending.
func TestFreshConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"
	for _, fresh := range []bool{true, false} {
		t.Run(fmt.Sprint("fresh ", fresh), func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(c net.Conn, n int64) bool {
				if n == 1 {
					return write(c, refusal)
				}
				// On the first connection, the refusal comes first.
				return write(c, refusal) && write(c, completeAnswer)
			})
			pool := upstream.NewPool(upstream.Options{})
			request := &upstream.Request{Method: "POST", URI: "/", Host: "h"}
			send := func() int {
				answer, err := pool.Do(t.Context(), s.address, request, farFuture())
				is.NoErr(err)
				defer answer.Close()
				_, err = io.Copy(io.Discard, answer.Body)
				is.NoErr(err)
				return answer.Status
			}
			is.Equal(send(), http.StatusServiceUnavailable)
			request.Fresh = fresh
			send()
			if fresh {
				is.Equal(s.connections.Load(), int64(2))
			} else {
				is.Equal(s.connections.Load(), int64(1))
			}
		})
	}
}

// TestConnectionOfRun checks that only requests for the same run share a connection.
func TestConnectionOfRun(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(c net.Conn, _ int64) bool { return write(c, completeAnswer) })
	pool := upstream.NewPool(upstream.Options{})
	for i, want := range []struct {
		run         string
		connections int64
	}{{"", 1}, {"a", 2}, {"b", 3}, {"a", 3}, {"", 3}} {
		answer, err := pool.Do(t.Context(), s.address, &upstream.Request{Method: "POST", URI: "/", Host: "h", Run: want.run}, farFuture())
		is.NoErr(err)
		_, err = io.Copy(io.Discard, answer.Body)
		is.NoErr(err)
		answer.Close()
		if got := s.connections.Load(); got != want.connections {
			t.Errorf("request %d: %d connections, want %d", i, got, want.connections)
		}
	}
}
