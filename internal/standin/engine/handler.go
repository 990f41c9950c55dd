package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// Error types, as sent in responses.
const (
	errorInvalidRequest = "invalid_request"
	errorNotFound       = "not_found"
	errorOverloaded     = "overloaded"
)

// ServeHTTP serves the engine's API, fault commands and counters.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
}

func (e *Engine) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/faults", e.serveFault)
	r.Get("/stats", e.serveStats)
	r.Group(func(r chi.Router) {
		r.Use(e.requireRunning)
		r.Post("/v1/completions", e.serveCompletion)
		r.Post("/v1/chat/completions", e.serveCompletion)
		r.Get("/health", e.serveHealth)
		r.Get("/metrics", e.serveMetrics)
		r.Get("/cache_events", e.serveCacheEvents)
		r.Post("/orders", e.serveOrder)
	})
	return r
}

// requireRunning blocks requests while the engine is paused and aborts them if it
// has crashed.
func (e *Engine) requireRunning(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.pauser.wait(r.Context()) != nil || e.Crashed() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Stats())
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	refusing := e.faults.refusing
	e.mu.Unlock()
	if refusing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCompletion(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, errorInvalidRequest, err.Error())
		return
	}
	incarnation := e.incarnation.Load()
	s, refusal := e.newGeneration(c)
	if refusal != nil {
		writeError(w, refusal.status, refusal.errorType, refusal.message)
		return
	}
	if !e.enqueue(s) {
		panic(http.ErrAbortHandler)
	}
	defer e.cancelStream(s)
	out := &sender{
		engine:      e,
		stream:      s,
		incarnation: incarnation,
		chat:        strings.HasSuffix(r.URL.Path, "/chat/completions"),
		model:       c.Model,
	}
	if c.Stream {
		out.writeStream(w, r)
		return
	}
	out.writeResponse(w, r)
}

func decodeCompletion(w http.ResponseWriter, r *http.Request) (*protocol.CompletionRequest, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	c := &protocol.CompletionRequest{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, err
	}
	for i, id := range c.PrefixTokenIDs {
		if !IsToken(id) {
			return nil, fmt.Errorf("prefix_token_ids[%d] is %d, which is no token", i, id)
		}
	}
	switch {
	case c.MaxTokens < 1:
		return nil, fmt.Errorf("max_tokens is %d, want at least 1", c.MaxTokens)
	case len(c.PrefixTokenIDs) > c.MaxTokens:
		return nil, errors.New("prefix_token_ids is longer than max_tokens")
	case (c.Prompt == "") == (len(c.Messages) == 0):
		return nil, errors.New("either prompt or messages must be set")
	}
	return c, nil
}

// refusal is an error response to a completion request.
type refusal struct {
	status    int
	errorType string
	message   string
}

// newGeneration returns a stream for c, or a refusal if the engine does not serve
// c's model, version or adapter, or refuses all requests.
func (e *Engine) newGeneration(c *protocol.CompletionRequest) (*stream, *refusal) {
	prompt := c.Prompt
	if len(c.Messages) != 0 {
		flat, err := Flatten(c.Messages)
		if err != nil {
			return nil, &refusal{http.StatusBadRequest, errorInvalidRequest, err.Error()}
		}
		prompt = flat
	}
	e.mu.Lock()
	model, version := e.model, e.version
	hasAdapter := c.Adapter == "" || e.adapters[c.Adapter]
	refusing := e.faults.refusing
	e.mu.Unlock()
	switch {
	case refusing:
		e.counts.refused.Add(1)
		return nil, &refusal{http.StatusServiceUnavailable, errorOverloaded, "the engine takes no work"}
	case c.Model != model:
		return nil, &refusal{http.StatusNotFound, errorNotFound, fmt.Sprintf("model %q is not loaded", c.Model)}
	case c.Version != "" && c.Version != version:
		return nil, &refusal{http.StatusNotFound, errorNotFound, fmt.Sprintf("version %q of %q is not loaded", c.Version, c.Model)}
	case !hasAdapter:
		return nil, &refusal{http.StatusNotFound, errorNotFound, fmt.Sprintf("adapter %q is not loaded", c.Adapter)}
	}
	return newStream(c, model, version, prompt, e.opts.Length), nil
}

func writeError(w http.ResponseWriter, status int, errorType, message string) {
	writeJSON(w, status, protocol.ErrorResponse{Error: protocol.ErrorDetail{Message: message, Type: errorType}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected, so it can't be reported.
	_ = json.NewEncoder(w).Encode(body)
}
