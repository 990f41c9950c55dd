package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/transport/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t testing.TB, handler http.HandlerFunc) *engine.Client {
	server := httptest.NewServer(handler)
	client := engine.NewClient(server.URL)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

var testRequest = engine.GenerationRequest{ID: "a", Spec: &generation.Spec{Model: "report", Prompt: "p", MaxTokens: 9}}

// readStream reads a stream to its end.
func readStream(ctx context.Context, c *engine.Client) ([]generation.Token, *engine.Stream, error) {
	stream, err := c.Generate(ctx, testRequest)
	if err != nil {
		return nil, nil, err
	}
	defer stream.Close()
	var all []generation.Token
	for {
		tokens, err := stream.Next()
		if err != nil {
			return all, stream, err
		}
		all = append(all, tokens...)
	}
}

const (
	firstEvent  = `data: {"id":"x","model":"m","choices":[{"index":0,"text":"a","token_ids":[7],"token_texts":["a"],"finish_reason":null}]}` + "\n\n"
	secondEvent = `data: {"choices":[{"token_ids":[8,9],"token_texts":["b","\u00e7\n"]}]}` + "\n\n"
	lastEvent   = `data: {"choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":3,"cached_tokens":1}}` + "\n\n"
	endMarker   = "data: [DONE]\n\n"
)

func TestStream(t *testing.T) {
	tests := []struct {
		name, text string
		tokens     int
		kind       engine.Kind
	}{
		{"complete", firstEvent + secondEvent + lastEvent + endMarker, 3, ""},
		{"comments and other fields", ": ping\n\nevent: x\n" + firstEvent + secondEvent + lastEvent + endMarker, 3, ""},
		{"carriage returns", strings.ReplaceAll(firstEvent+secondEvent+lastEvent+endMarker, "\n", "\r\n"), 3, ""},
		{"a long event", firstEvent + secondEvent + strings.Replace(lastEvent, "{", `{"id":"`+strings.Repeat("x", 9000)+`",`, 1) + endMarker, 3, ""},
		{"no end", firstEvent + secondEvent + lastEvent, 3, engine.StreamTruncated},
		{"cut in an event", firstEvent + secondEvent[:30], 1, engine.StreamTruncated},
		{"empty", "", 0, engine.StreamTruncated},
		{"no reason", firstEvent + secondEvent + endMarker, 3, engine.Malformed},
		{"no usage", firstEvent + strings.Split(lastEvent, `,"usage"`)[0] + "}\n\n" + endMarker, 1, engine.Malformed},
		{"not JSON", firstEvent + "data: {\n\n" + endMarker, 1, engine.Malformed},
		{"an empty event", "data:\n\n" + endMarker, 0, engine.Malformed},
		{"an empty event in place of the end", firstEvent + secondEvent + lastEvent + "data: \n\n", 3, engine.Malformed},
		{"two values", firstEvent + "data: {} {}\n\n" + endMarker, 1, engine.Malformed},
		{"ids without texts", `data: {"choices":[{"token_ids":[8,9],"token_texts":["b"]}]}` + "\n\n" + endMarker, 0, engine.Malformed},
		{"an endless event", "data: " + strings.Repeat("x", 2<<20), 0, engine.Malformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tokens, stream, err := readStream(t.Context(), newClient(t, respondWith(tt.text)))
			want := []generation.Token{{ID: 7, Text: "a"}, {ID: 8, Text: "b"}, {ID: 9, Text: "ç\n"}}
			is.Equal(append([]generation.Token{}, tokens...), want[:tt.tokens])
			if tt.kind != "" {
				is.True(fault.Is(err, tt.kind))
				is.True(!errors.Is(err, io.EOF)) // io.EOF alone means complete
				return
			}
			is.True(errors.Is(err, io.EOF))
			is.Equal(stream.Reason, generation.Stop)
			is.Equal(stream.Usage, protocol.Usage{PromptTokens: 4, CompletionTokens: 3, CachedTokens: 1})
		})
	}
}

func TestGenerateRefused(t *testing.T) {
	tests := []struct {
		status int
		kind   engine.Kind
	}{
		{http.StatusTooManyRequests, engine.Busy},
		{http.StatusServiceUnavailable, engine.Busy},
		{http.StatusBadRequest, engine.Refused},
		{http.StatusNotFound, engine.NotServed},
		{http.StatusConflict, engine.Fenced},
		{http.StatusInternalServerError, engine.Failed},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.status), func(t *testing.T) {
			is := is.New(t)
			_, err := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, `{"error":{"message":"why not"}}`)
			}).Generate(t.Context(), testRequest)
			is.True(fault.Is(err, tt.kind))
			is.True(strings.Contains(err.Error(), "why not"))
		})
	}
	_, err := engine.NewClient("http://127.0.0.1:1").Generate(t.Context(), testRequest)
	is.New(t).True(fault.Is(err, engine.Unreachable)) // so the engine certainly did not receive the request
}

func TestStreamCloseCancels(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		// The server detects the disconnect only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, firstEvent)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	stream, err := client.Generate(t.Context(), testRequest)
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	stream.Close()
	<-cancelled
}

func TestParseMetrics(t *testing.T) {
	is := is.New(t)
	got := engine.ParseMetrics([]byte("# TYPE vllm:num_requests_running gauge\n" +
		"vllm:num_requests_running{model=\"a b\",x=\"1\"} 12\r\nvllm:num_requests_waiting 3 1700000000\n" +
		"vllm:num_prefill_tokens_waiting NaN\nvllm:inter_token_latency_seconds 0.031\nother 5\nbroken{\n\n" +
		"vllm:prefill_seconds_per_token 2.5e-4\n"))
	is.Equal(got, engine.Metrics{
		Running: 12, Waiting: 3, Pace: 31 * time.Millisecond, PrefillPerToken: 250 * time.Microsecond,
	})
}

// TestMetricsOfCutPage guards against load figures of which the last digits are missing.
func TestMetricsOfCutPage(t *testing.T) {
	const page = "vllm:num_requests_running 12\nvllm:num_requests_waiting 345\n"
	for _, framed := range []bool{false, true} {
		for n := range len(page) + 1 {
			t.Run(fmt.Sprintf("framed=%v, %d bytes", framed, n), func(t *testing.T) {
				client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Length", strconv.Itoa(len(page)))
					if !framed {
						w.Header().Del("Content-Length")
						w.Header().Set("Transfer-Encoding", "identity")
					}
					_, _ = io.WriteString(w, page[:n])
				})
				_, err := client.Metrics(t.Context())
				lineComplete := n > 0 && page[n-1] == '\n'
				is.New(t).Equal(err == nil, n == len(page) || (!framed && lineComplete))
			})
		}
	}
}

func TestCacheEvents(t *testing.T) {
	is := is.New(t)
	var query string
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.RawQuery
		_, _ = io.WriteString(w, `{"events":[{"number":8,"kind":"stored","block":5,"tokens":16}],"next":8}`)
	})
	events, err := client.CacheEvents(t.Context(), 7)
	is.NoErr(err)
	is.Equal(query, "after=7")
	is.Equal(events.Next, uint64(8))
	is.Equal(events.Events[0].Tokens, 16)
}

func FuzzStream(f *testing.F) {
	f.Add(firstEvent + secondEvent + lastEvent + endMarker)
	f.Add("data: {\"choices\":[{}]}\n\n: x\n" + endMarker)
	f.Fuzz(func(t *testing.T, text string) {
		tokens, _, err := readStream(t.Context(), newClient(t, respondWith(text)))
		if err == nil || len(tokens) > len(text) {
			t.Fatalf("%d tokens from %d bytes, error %v", len(tokens), len(text), err)
		}
	})
}
