package caller_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/caller"
)

// discardWriter discards the response.
type discardWriter struct{ header http.Header }

func (s *discardWriter) Header() http.Header               { return s.header }
func (s *discardWriter) Write(p []byte) (int, error)       { return len(p), nil }
func (s *discardWriter) WriteHeader(int)                   {}
func (s *discardWriter) Flush()                            {}
func (s *discardWriter) SetWriteDeadline(time.Time) error  { return nil }
func (s *discardWriter) SetReadDeadline(_ time.Time) error { return nil }

// streamTokens streams an answer of the given number of tokens to a discardWriter.
// n must be the pointer that was passed to newStreamHandler.
func streamTokens(h http.Handler, n *int, tokens int, path, body string) {
	*n = tokens
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
}

// newStreamHandler returns a handler whose answers have *n tokens, one per part.
func newStreamHandler(n *int) http.Handler {
	f := newFakeHandlers()
	handlers := f.handlers()
	token := []generation.Token{{ID: 7, Text: " Hydraulik\n"}}
	handlers.Open = func(_ context.Context, request answer.GenerationRequest) (*answer.Reader, error) {
		next, sum := id.TokenIndex(0), generation.Checksum(0)
		return &answer.Reader{
			Request: "ans-00000001-0a", Lineage: testLineage, Spec: request.Spec, Close: func() {},
			Next: func(context.Context) (answer.Part, error) {
				part := answer.Part{Lineage: testLineage, First: next}
				if int(next) == *n {
					part.Finish = &generation.Finish{Reason: generation.Length, TokenCount: next, Checksum: sum}
					return part, nil
				}
				part.Tokens = token
				sum = sum.Add(token[0])
				next++
				return part, nil
			},
		}, nil
	}
	return caller.NewHandler(testConfig(), handlers, caller.Dependencies{})
}

var streamCases = []struct{ name, path, body string }{
	{"completion", "/v1/completions", `{"model":"report","prompt":"x","stream":true}`},
	{"chat", "/v1/chat/completions", `{"model":"report","messages":[{"role":"user","content":"x"}],"stream":true}`},
}

func BenchmarkStreamToken(b *testing.B) {
	for _, tt := range streamCases {
		b.Run(tt.name, func(b *testing.B) {
			var n int
			h := newStreamHandler(&n)
			b.ReportAllocs()
			b.ResetTimer()
			streamTokens(h, &n, b.N, tt.path, tt.body)
		})
	}
}
