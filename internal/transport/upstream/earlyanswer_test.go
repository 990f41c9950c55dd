package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// writeWatcher says when a write to a connection has failed.
type writeWatcher struct {
	net.Conn
	failed chan struct{}
}

func (w *writeWatcher) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	if err != nil {
		close(w.failed)
	}
	return n, err
}

// earlyAnswer answers as soon as a request's head begins to arrive, reads no more of it, and ends
// the connection when it is told to.
func earlyAnswer(t *testing.T, wire string, end func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return
		}
		if write(c, wire) {
			end(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// TestEarlyAnswerReset guards against a part of an answer that counts as a whole one: the target
// answers a long upload at once with an answer that has no length, sends a part of it, and resets
// the connection while the upload is still being written. The write then takes the error of
// the reset, and the next read returns the end of the connection.
func TestEarlyAnswerReset(t *testing.T) {
	is := is.New(t)
	partRead := make(chan struct{})
	address := earlyAnswer(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) {
		<-partRead
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	failed := make(chan struct{})
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return &writeWatcher{c, failed}, err
	}
	pool := upstream.NewPool(upstream.Options{Dial: dial, DialTimeout: time.Minute})
	upload := make([]byte, 64<<20)
	a, err := pool.Do(t.Context(), address, &upstream.Request{Method: http.MethodPost, URI: "/", Host: "h", Body: upload}, farFuture())
	is.NoErr(err)
	defer a.Close()
	is.Equal(a.Framing, completion.Connection)
	_, err = io.ReadFull(a.Body, make([]byte, len("part")))
	is.NoErr(err)
	close(partRead)
	<-failed
	_, err = io.ReadAll(a.Body)
	is.True(fault.Is(err, upstream.ConnectionLost)) // the answer was cut
}

// TestInvalidStatus guards against answers whose status is none: the client got them as answers.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(c net.Conn, _ int64) bool {
				return write(c, "HTTP/1.1 "+status+" Odd\r\n\r\n") && write(c, completeAnswer)
			})
			a, err := upstream.NewPool(upstream.Options{DialTimeout: time.Minute}).Do(t.Context(), s.address, &upstream.Request{Method: http.MethodGet, URI: "/", Host: "h"}, farFuture())
			if err == nil {
				a.Close()
			}
			is.True(fault.Is(err, upstream.InvalidAnswer))
		})
	}
}
