package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/operator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestHandler(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("target.attempts.started", registry).Inc(3)
	var notReady error
	server := operator.New(operator.Options{
		Ready:   func() error { return notReady },
		Status:  func() any { return struct{ Name string }{"t1"} },
		Explain: func(_ context.Context, r id.Request) (*status.Explanation, bool) { return nil, r == "ans-1" },
		Metrics: registry,
	})
	tests := []struct {
		name, path string
		notReady   error
		status     int
		body       string
	}{
		{"health", "/healthz", nil, 200, "ok\n"},
		{"ready", "/readyz", nil, 200, "ready\n"},
		{"not ready", "/readyz", errors.New("the engine does not answer"), 503, "the engine does not answer\n"},
		{"status", "/status", nil, 200, "{\n  \"Name\": \"t1\"\n}\n"},
		{"metrics as text", "/metrics?format=text", nil, 200, "target.attempts.started 3\n"},
		{"explained", "/explain/ans-1", nil, 200, "null\n"},
		{"not explained", "/explain/ans-2", nil, 404, "this process knows no such request\n"},
		{"unknown", "/other", nil, 404, "404 page not found\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			notReady = tt.notReady
			w := httptest.NewRecorder()
			server.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, tt.path, nil))
			is.Equal(w.Code, tt.status)
			is.Equal(w.Body.String(), tt.body)
		})
	}
}

func TestMetricsJSON(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("a", registry).Inc(2)
	w := httptest.NewRecorder()
	operator.New(operator.Options{Metrics: registry}).Handler().
		ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var got map[string]map[string]float64
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
	is.Equal(got["a"]["count"], 2.0)
}

func TestRun(t *testing.T) {
	is := is.New(t)
	server := operator.New(operator.Options{})
	is.NoErr(server.Listen("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx, "") }()
	resp, err := http.Get("http://" + server.Address() + "/healthz")
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, 200)
	cancel()
	is.NoErr(<-done) // a cancelled context is not an error
	http.DefaultClient.CloseIdleConnections()
}
