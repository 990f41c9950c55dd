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

// maxBody bounds a request's body, in bytes.
const maxBody = 16 << 20

// Types of failures.
const (
	failInvalid  = "invalid_request"
	failNotFound = "not_found"
	failRefused  = "overloaded"
)

// ServeHTTP serves the engine's interface and its fault commands.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
}

func (e *Engine) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/faults", e.serveFault)
	r.Get("/stats", e.serveStats)
	r.Group(func(r chi.Router) {
		r.Use(e.alive)
		r.Post("/v1/completions", e.serveCompletion)
		r.Post("/v1/chat/completions", e.serveCompletion)
		r.Get("/health", e.serveHealth)
		r.Get("/metrics", e.serveMetrics)
		r.Get("/cache_events", e.serveCacheEvents)
		r.Post("/orders", e.serveOrder)
	})
	return r
}

// alive cuts the connection of a dead engine and holds back what a paused one
// does not answer.
func (e *Engine) alive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.gate.wait(r.Context()) != nil || e.Crashed() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Stats())
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	refuses := e.faults.refuse
	e.mu.Unlock()
	if refuses {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c, err := readCompletion(w, r)
	if err != nil {
		fail(w, http.StatusBadRequest, failInvalid, err.Error())
		return
	}
	life := e.life.Load()
	s, refusal := e.open(c)
	if refusal != nil {
		fail(w, refusal.status, refusal.kind, refusal.message)
		return
	}
	if !e.enqueue(s) {
		panic(http.ErrAbortHandler)
	}
	defer e.remove(s)
	out := &sender{
		engine: e,
		stream: s,
		life:   life,
		chat:   strings.HasSuffix(r.URL.Path, "/chat/completions"),
		model:  c.Model,
	}
	if c.Stream {
		out.streamTo(w, r)
		return
	}
	out.replyTo(w, r)
}

func readCompletion(w http.ResponseWriter, r *http.Request) (*protocol.CompletionRequest, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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

// refusal is an answer that is not 200.
type refusal struct {
	status  int
	kind    string
	message string
}

// open checks what c asks for against what the engine serves.
func (e *Engine) open(c *protocol.CompletionRequest) (*stream, *refusal) {
	prompt := c.Prompt
	if len(c.Messages) != 0 {
		flat, err := Flatten(c.Messages)
		if err != nil {
			return nil, &refusal{http.StatusBadRequest, failInvalid, err.Error()}
		}
		prompt = flat
	}
	e.mu.Lock()
	model, version := e.model, e.version
	hasAdapter := c.Adapter == "" || e.adapters[c.Adapter]
	refuses := e.faults.refuse
	e.mu.Unlock()
	switch {
	case refuses:
		e.counts.refused.Add(1)
		return nil, &refusal{http.StatusServiceUnavailable, failRefused, "the engine takes no work"}
	case c.Model != model:
		return nil, &refusal{http.StatusNotFound, failNotFound, fmt.Sprintf("model %q is not loaded", c.Model)}
	case c.Version != "" && c.Version != version:
		return nil, &refusal{http.StatusNotFound, failNotFound, fmt.Sprintf("version %q of %q is not loaded", c.Version, c.Model)}
	case !hasAdapter:
		return nil, &refusal{http.StatusNotFound, failNotFound, fmt.Sprintf("adapter %q is not loaded", c.Adapter)}
	}
	return newStream(c, model, version, prompt, e.opts.Length), nil
}

func fail(w http.ResponseWriter, status int, kind, message string) {
	reply(w, status, protocol.ErrorResponse{Error: protocol.ErrorDetail{Message: message, Type: kind}})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer is gone when this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}
