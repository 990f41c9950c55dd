package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/answer"
)

// sendHTTP10 sends a request over HTTP/1.0, which has no chunks, and returns the response's head.
func sendHTTP10(t *testing.T, server *httptest.Server, method, path, body string) *http.Response {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, testKey, len(body), body)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	return response
}

// TestTruncatedBodyTold guards against a body that is cut short and looks whole to an HTTP/1.0 caller.
func TestTruncatedBodyTold(t *testing.T) {
	const bodyBytes = 32 << 20
	large := strings.Repeat("x", bodyBytes)
	cfg := testConfig()
	cfg.WriteTimeout = 500 * time.Millisecond
	tests := []struct{ name, method, path, body string }{
		{"service", "GET", "/v1/services/parts/a", ""},
		{"completion", "POST", "/v1/completions", promptBody},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeHandlers(large)
			f.replyTail = large
			response := sendHTTP10(t, startServer(t, cfg, f), tt.method, tt.path, tt.body)
			time.Sleep(3 * cfg.WriteTimeout) // the server gives up a caller that does not read
			data, err := io.ReadAll(response.Body)
			is.True(len(data) < bodyBytes)
			is.True(err != nil) // the caller notices
		})
	}
}

// TestTruncatedStreamTold guards against a stream that is cut short and looks whole to an HTTP/1.0 caller.
func TestTruncatedStreamTold(t *testing.T) {
	tests := []struct {
		name      string
		failAfter int
		end       string
	}{
		{"whole", -1, "data: [DONE]\n\n"},
		{"at its first token", 0, ""},
		{"after two tokens", 2, ""},
		{"before its end", 3, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeHandlers("a", "b", "c")
			f.failAfter, f.failure = tt.failAfter, &answer.Refusal{Outcome: answer.Failed, Cause: answer.CauseLost}
			response := sendHTTP10(t, startServer(t, testConfig(), f), "POST", "/v1/completions", streamBody)
			data, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(strings.HasSuffix(string(data), "data: [DONE]\n\n"), tt.end != "")
			is.Equal(strings.Contains(string(data), "event: error\n"), tt.end == "")
			is.Equal(strings.Contains(string(data), `"finish_reason":"stop"`), tt.end != "")
		})
	}
}
