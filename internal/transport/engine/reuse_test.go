package engine_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	standin "foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/transport/engine"
)

// TestDrain checks that successive complete answers reuse one connection.
func TestDrain(t *testing.T) {
	is := is.New(t)
	e, err := standin.New(standin.Options{})
	is.NoErr(err)
	defer e.Close()
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(e)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := engine.NewClient(server.URL)
	defer c.Close()
	for range 5 {
		spec := &generation.Spec{Model: "report", Version: "v1", Prompt: "p", MaxTokens: 10}
		s, err := c.Generate(t.Context(), engine.GenerationRequest{ID: "g", Spec: spec})
		is.NoErr(err)
		for err == nil {
			_, err = s.Next()
		}
		is.True(errors.Is(err, io.EOF))
		s.Drain()
		s.Close()
	}
	is.Equal(opened.Load(), int64(1))
}
