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

// sink takes a response and keeps nothing.
type sink struct{ header http.Header }

func (s *sink) Header() http.Header               { return s.header }
func (s *sink) Write(p []byte) (int, error)       { return len(p), nil }
func (s *sink) WriteHeader(int)                   {}
func (s *sink) Flush()                            {}
func (s *sink) SetWriteDeadline(time.Time) error  { return nil }
func (s *sink) SetReadDeadline(_ time.Time) error { return nil }

// streamTokens streams an answer of n tokens to a sink.
func streamTokens(h http.Handler, n *int, tokens int, path, body string) {
	*n = tokens
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	h.ServeHTTP(&sink{header: http.Header{}}, r)
}

// endless returns a handler whose answers have *n tokens, one a part.
func endless(n *int) http.Handler {
	f := newFakeDesk()
	desk := f.desk()
	token := []generation.Token{{ID: 7, Text: " Hydraulik\n"}}
	desk.Open = func(_ context.Context, ask answer.GenerationRequest) (*answer.Reader, error) {
		next, sum := id.TokenIndex(0), generation.Checksum(0)
		return &answer.Reader{
			Request: "ans-00000001-0a", Lineage: testLineage, Spec: ask.Spec, Close: func() {},
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
	return caller.NewHandler(testConfig(), desk, caller.Dependencies{})
}

var streamCases = []struct{ name, path, body string }{
	{"completion", "/v1/completions", `{"model":"report","prompt":"x","stream":true}`},
	{"chat", "/v1/chat/completions", `{"model":"report","messages":[{"role":"user","content":"x"}],"stream":true}`},
}

func BenchmarkStreamToken(b *testing.B) {
	for _, tt := range streamCases {
		b.Run(tt.name, func(b *testing.B) {
			var n int
			h := endless(&n)
			b.ReportAllocs()
			b.ResetTimer()
			streamTokens(h, &n, b.N, tt.path, tt.body)
		})
	}
}
