package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

var ask = engine.GenerationRequest{ID: "a", Spec: &generation.Spec{Model: "report", Prompt: "p", MaxTokens: 9}}

// read reads a stream to its end.
func read(ctx context.Context, c *engine.Client) ([]generation.Token, *engine.Stream, error) {
	stream, err := c.Generate(ctx, ask)
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
	one  = `data: {"id":"x","model":"m","choices":[{"index":0,"text":"a","token_ids":[7],"token_texts":["a"],"finish_reason":null}]}` + "\n\n"
	two  = `data: {"choices":[{"token_ids":[8,9],"token_texts":["b","\u00e7\n"]}]}` + "\n\n"
	last = `data: {"choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":4,"completion_tokens":3,"cached_tokens":1}}` + "\n\n"
	end  = "data: [DONE]\n\n"
)

func TestStream(t *testing.T) {
	tests := []struct {
		name, text string
		tokens     int
		kind       engine.Kind
	}{
		{"whole", one + two + last + end, 3, ""},
		{"comments and other fields", ": ping\n\nevent: x\n" + one + two + last + end, 3, ""},
		{"carriage returns", strings.ReplaceAll(one+two+last+end, "\n", "\r\n"), 3, ""},
		{"a long event", one + two + strings.Replace(last, "{", `{"id":"`+strings.Repeat("x", 9000)+`",`, 1) + end, 3, ""},
		{"no end", one + two + last, 3, engine.StreamTruncated},
		{"cut in an event", one + two[:30], 1, engine.StreamTruncated},
		{"empty", "", 0, engine.StreamTruncated},
		{"no reason", one + two + end, 3, engine.Malformed},
		{"no usage", one + strings.Split(last, `,"usage"`)[0] + "}\n\n" + end, 1, engine.Malformed},
		{"not JSON", one + "data: {\n\n" + end, 1, engine.Malformed},
		{"two values", one + "data: {} {}\n\n" + end, 1, engine.Malformed},
		{"ids without texts", `data: {"choices":[{"token_ids":[8,9],"token_texts":["b"]}]}` + "\n\n" + end, 0, engine.Malformed},
		{"an endless event", "data: " + strings.Repeat("x", 2<<20), 0, engine.Malformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tokens, stream, err := read(t.Context(), newClient(t, answer(tt.text)))
			want := []generation.Token{{ID: 7, Text: "a"}, {ID: 8, Text: "b"}, {ID: 9, Text: "ç\n"}}
			is.Equal(append([]generation.Token{}, tokens...), want[:tt.tokens])
			if tt.kind != "" {
				is.True(fault.Is(err, tt.kind))
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
			}).Generate(t.Context(), ask)
			is.True(fault.Is(err, tt.kind))
			is.True(strings.Contains(err.Error(), "why not"))
		})
	}
	_, err := engine.NewClient("http://127.0.0.1:1").Generate(t.Context(), ask)
	is.New(t).True(fault.Is(err, engine.Unreachable)) // which proves that the engine did not get it
}

func TestStreamCloseCancels(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		// The server notices that the client has gone once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, one)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(gone)
	})
	stream, err := client.Generate(t.Context(), ask)
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	stream.Close()
	<-gone
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
	f.Add(one + two + last + end)
	f.Add("data: {\"choices\":[{}]}\n\n: x\n" + end)
	f.Fuzz(func(t *testing.T, text string) {
		tokens, _, err := read(t.Context(), newClient(t, answer(text)))
		if err == nil || len(tokens) > len(text) {
			t.Fatalf("%d tokens from %d bytes, error %v", len(tokens), len(text), err)
		}
	})
}
