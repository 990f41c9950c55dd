package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// TestGivenUpIsReset guards against a request that reaches its target long after it was given up, because its connection was closed
// and not reset, so that the host went on to deliver it once the link was whole again.
func TestGivenUpIsReset(t *testing.T) {
	get := func() *upstream.Request {
		return &upstream.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
	}
	tests := []struct {
		name string
		// answer is what the target sends before the request is given up.
		answer string
		giveUp func(t *testing.T, p *upstream.Pool, address string)
		reset  bool
	}{
		{"no answer until the deadline", "", func(_ *testing.T, p *upstream.Pool, address string) {
			_, _ = p.Do(context.Background(), address, get(), time.Now().Add(100*time.Millisecond))
		}, true},
		{"its caller has left", "", func(_ *testing.T, p *upstream.Pool, address string) {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, _ = p.Do(ctx, address, get(), time.Now().Add(time.Minute))
		}, true},
		{"a part of an answer", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", func(t *testing.T, p *upstream.Pool, address string) {
			a, err := p.Do(context.Background(), address, get(), time.Now().Add(time.Minute))
			is.New(t).NoErr(err)
			_, err = io.ReadFull(a.Body, make([]byte, 3))
			is.New(t).NoErr(err)
			a.Close()
		}, true},
		{"a whole answer, and the connection ends", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc", func(t *testing.T, p *upstream.Pool, address string) {
			a, err := p.Do(context.Background(), address, get(), time.Now().Add(time.Minute))
			is.New(t).NoErr(err)
			_, err = io.ReadAll(a.Body)
			is.New(t).NoErr(err)
			a.Close()
		}, false},
		{"an idle connection", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", func(t *testing.T, p *upstream.Pool, address string) {
			a, err := p.Do(context.Background(), address, get(), time.Now().Add(time.Minute))
			is.New(t).NoErr(err)
			_, err = io.ReadAll(a.Body)
			is.New(t).NoErr(err)
			a.Close()
			p.CloseIdle(address)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ends := make(chan error, 1)
			s := serve(t, func(c net.Conn, _ int64) bool {
				write(c, tt.answer)
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, err := io.Copy(io.Discard, c)
				ends <- err
				return false
			})
			tt.giveUp(t, upstream.NewPool(upstream.Options{}), s.address)
			err := <-ends
			is.Equal(errors.Is(err, syscall.ECONNRESET), tt.reset)
			if !tt.reset {
				is.NoErr(err)
			}
		})
	}
}
