package upstream_test

import (
	"bufio"
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

// An answer without length or chunks is complete if its connection is closed, and lost if it
// is reset.
func TestAnswerEndsWithConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(map[bool]string{false: "closed", true: "reset"}[reset], func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			read := make(chan struct{})
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
				<-read
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}()
			a, err := upstream.NewPool(upstream.Options{}).Do(t.Context(), l.Addr().String(), &upstream.Request{Method: "GET", URI: "/", Host: "h"}, time.Now().Add(time.Minute))
			is.NoErr(err)
			defer a.Close()
			is.Equal(a.Framing, completion.Connection)
			first := make([]byte, 4)
			_, err = io.ReadFull(a.Body, first)
			is.NoErr(err)
			close(read)
			_, err = io.ReadAll(a.Body)
			is.Equal(fault.Is(err, upstream.ConnectionLost), reset)
			is.Equal(err == nil, !reset)
		})
	}
}
