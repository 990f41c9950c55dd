package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// countedWriter counts what a peer has accepted.
type countedWriter struct {
	net.Conn
	bytes int
}

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.bytes += n
	return n, err
}

// TestEndlessHead guards against a target that sends bytes without end in place of an
// answer's head.
func TestEndlessHead(t *testing.T) {
	tests := []struct{ name, begin, repeat string }{
		{"other bytes", "", "x"},
		{"one line", "HTTP/1.1 200 ", strings.Repeat("x", 100)},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early\r\n\r\n"},
		{"nearly an answer", "HTTP/2", "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			entry, target := net.Pipe()
			sent := &countedWriter{Conn: target}
			done := make(chan struct{})
			go func() {
				defer close(done)
				// The request; its content does not matter.
				_, _ = target.Read(make([]byte, 4096))
				_, err := io.WriteString(sent, test.begin)
				for err == nil {
					_, err = io.WriteString(sent, test.repeat)
				}
			}()
			pool := upstream.NewPool(upstream.Options{Dial: func(context.Context, string) (net.Conn, error) { return entry, nil }})
			_, err := pool.Do(t.Context(), "t", &upstream.Request{Method: "GET", URI: "/", Host: "h"}, time.Now().Add(time.Minute))
			is.True(fault.Is(err, upstream.InvalidAnswer))
			<-done
			is.True(sent.bytes <= 64<<10)
		})
	}
}
