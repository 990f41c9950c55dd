package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/server"
	"foxtailward.example/foxtailward/internal/transport/engine"
)

// newRawServer starts a server of raw answers and a client of it.
func newRawServer(t *testing.T, reset bool) (*server.Raw, *engine.Client) {
	raw, err := server.NewRaw(reset)
	is.New(t).NoErr(err)
	client := engine.NewClient("http://" + raw.Address())
	t.Cleanup(func() {
		client.Close()
		raw.Close()
	})
	return raw, client
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
	raw, client := newRawServer(t, reset)
	for cut := range len(wire) + 1 {
		raw.AnswerNext(wire[:cut])
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
