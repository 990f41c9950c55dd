// Package engine is the HTTP client of the model engine beside a target
// process.
//
// # Usage
//
//	c := engine.NewClient("http://127.0.0.1:8000")
//	stream, err := c.Generate(ctx, engine.Generation{ID: "…", Spec: spec, Prefix: ids})
//	defer stream.Close()
//	for {
//		tokens, err := stream.Next()
//		if errors.Is(err, io.EOF) {
//			// The answer is whole; stream.Reason and stream.Usage are set.
//		}
//	}
//
// Closing a stream, or ending its context, cancels the generation.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Unreachable means that the engine surely did not get the request.
	Unreachable Kind = "unreachable"
	// Busy means that the engine refused the request for now.
	Busy Kind = "busy"
	// Refused means that the engine refused the request as wrong.
	Refused Kind = "refused"
	// NotServed means that the engine does not serve what was asked for.
	NotServed Kind = "notServed"
	// Fenced means that the engine refused an order with an old number.
	Fenced Kind = "fenced"
	// Failed means that the engine failed after it may have got the request.
	Failed Kind = "failed"
	// StreamTruncated means that a stream ended before its end.
	StreamTruncated Kind = "cut"
	// Malformed means that the engine broke its protocol.
	Malformed Kind = "malformed"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Times and sizes of the connections to an engine.
const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	maxIdle          = 64
	maxFailureBytes  = 4 << 10
	maxDocumentBytes = 8 << 20
	maxEventBytes    = 1 << 20
	// readBufferBytes is small because each running stream has a buffer.
	readBufferBytes = 2 << 10
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the engine at base, such as
// "http://127.0.0.1:8000".
func NewClient(base string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      readBufferBytes,
		WriteBufferSize:     readBufferBytes,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// GenerationRequest asks for a generation.
type GenerationRequest struct {
	// ID is the engine's name for it; no two generations share one.
	ID   string
	Spec *generation.Spec
	// Prefix holds the ids of the answer's tokens so far.
	Prefix []uint32
}

func (g *GenerationRequest) completion() *engine.CompletionRequest {
	return &engine.CompletionRequest{
		RequestID:      g.ID,
		Model:          string(g.Spec.Model),
		Version:        string(g.Spec.Version),
		Adapter:        string(g.Spec.Adapter),
		Prompt:         g.Spec.Prompt,
		Messages:       g.Spec.Messages,
		MaxTokens:      g.Spec.MaxTokens,
		Temperature:    g.Spec.Temperature,
		TopP:           g.Spec.TopP,
		Seed:           g.Spec.Seed,
		Stop:           g.Spec.Stop,
		Stream:         true,
		Priority:       g.Spec.Class.Priority(),
		PrefixTokenIDs: g.Prefix,
	}
}

func (g *GenerationRequest) path() string {
	if len(g.Spec.Messages) != 0 {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Generate starts a generation. The error is an *Error, or wraps ctx's error.
func (c *Client) Generate(ctx context.Context, g GenerationRequest) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.post(ctx, g.path(), g.completion())
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(resp.Body, cancel), nil
}

// post sends a message and returns the response if its status is 200.
func (c *Client) post(ctx context.Context, path string, message any) (*http.Response, error) {
	const op = "Client.post"
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(op, Refused, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(op, Unreachable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req)
}

func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Wrap("Client.do", sendKind(err), err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, failure(resp)
}

// sendKind tells a request that was never sent from one that may have been.
func sendKind(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreachable
	}
	return Failed
}

func failure(resp *http.Response) error {
	var f engine.ErrorResponse
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxFailureBytes))
	if json.Unmarshal(body, &f) != nil || f.Error.Message == "" {
		f.Error.Message = http.StatusText(resp.StatusCode)
	}
	return fault.New("Client.do", statusKind(resp.StatusCode), "the engine answered %s: %s",
		strconv.Itoa(resp.StatusCode), f.Error.Message)
}

func statusKind(status int) Kind {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Busy
	case http.StatusNotFound:
		return NotServed
	case http.StatusConflict:
		return Fenced
	}
	if status >= 400 && status < 500 {
		return Refused
	}
	return Failed
}

// get reads a small document.
func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fault.Wrap("Client.get", Unreachable, err)
	}
	resp, err := c.do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDocumentBytes))
	return body, fault.Wrap("Client.get", Failed, err)
}
