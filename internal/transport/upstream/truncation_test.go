package upstream_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/completion"
	standin "foxtailward.example/foxtailward/internal/standin/server"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// TestAnswerCutAtEachByte guards against an answer cut in its head, or in a body that marks its end,
// that counts as complete.
func TestAnswerCutAtEachByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\n"
	answers := map[string]string{
		"length":        head + "Content-Length: 4\r\n\r\nbody",
		"chunks":        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"connection":    head + "\r\nbody",
		"informational": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
	}
	for name, wire := range answers {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				is := is.New(t)
				raw, err := standin.NewRaw(reset)
				is.NoErr(err)
				defer raw.Close()
				headEnd := strings.LastIndex(wire, "\r\n\r\n") + 4
				if name == "chunks" {
					headEnd = strings.Index(wire, "\r\n\r\n") + 4
				}
				for cut := range len(wire) + 1 {
					raw.AnswerNext(wire[:cut])
					whole := cut == len(wire) || (name == "connection" && cut >= headEnd)
					if complete := readsWhole(t, raw.Address()); complete && !whole || !complete && whole && !reset {
						t.Errorf("complete=%v with %d of %d bytes, head of %d", complete, cut, len(wire), headEnd)
					}
				}
			})
		}
	}
}

// readsWhole sends a request on a new connection, and reports whether its answer reads as complete. An
// answer that ends with its connection says so.
func readsWhole(t *testing.T, address string) bool {
	is := is.New(t)
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Minute})
	a, err := pool.Do(t.Context(), address, &upstream.Request{Method: "GET", URI: "/", Host: "h", Fresh: true}, time.Now().Add(time.Minute))
	if err != nil {
		return false
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	is.True(err != nil || a.Framing == completion.Connection || string(body) == "body")
	return err == nil
}
