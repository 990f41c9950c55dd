package target_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/transport/target"
)

// TestRunWithoutProofOfEnd guards against an attempt counted complete though its stream does not show it.
func TestRunWithoutProofOfEnd(t *testing.T) {
	const (
		token  = `data: {"choices":[{"token_ids":[1000],"token_texts":["t0 "]}]}` + "\n\n"
		stop   = `data: {"choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\n"
		length = `data: {"choices":[{"finish_reason":"length"}],"usage":{"completion_tokens":1}}` + "\n\n"
		done   = "data: [DONE]\n\n"
	)
	tests := []struct {
		name, stream string
		complete     bool
	}{
		{"whole", token + stop + done, true},
		{"no end marker", token + stop, false},
		{"no reason", token + done, false},
		{"end marker alone", done, false},
		{"empty event alone", "data:\n\n", false},
		{"empty event in place of the end marker", token + stop + "data:\n\n", false},
		{"fewer tokens than counted", stop + done, false},
		{"fewer tokens than asked", token + length + done, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newFakeEngine(t, nil)
			e.stream = tt.stream
			h := newHarness(t, engineSettings(e.URL), target.Deps{})
			got := readAll(t, h.run(t.Context(), start(1, 1, testSpec(10))))
			is.Equal(got.finish != nil, tt.complete)
			if !tt.complete {
				is.Equal(got.refused.Kind, "engine")
				is.True(got.refused.Started)
			}
		})
	}
}

// TestCallWithoutProofOfEnd guards against a call counted as done though nothing shows the end of its answer.
func TestCallWithoutProofOfEnd(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, nil)
	s.answer = func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		is.NoErr(err)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nha")
		_ = conn.Close()
	}
	h := newHarness(t, serviceSettings(s.URL), target.Deps{})
	is.Equal(h.call(t.Context(), nil), "unknown")
	is.Equal(h.call(t.Context(), nil), "unknown")
	is.Equal(s.runs.Load(), int64(1)) // the call still runs at most once
}
