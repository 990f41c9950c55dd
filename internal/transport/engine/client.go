// Package engine is the HTTP client for the model engine that runs beside a
// target process.
//
// # Usage
//
//	c := engine.NewClient("http://127.0.0.1:8000")
//	stream, err := c.Generate(ctx, engine.GenerationRequest{ID: "…", Spec: spec, Prefix: ids})
//	if err != nil { … }
//	defer stream.Close()
//	tokens, err := stream.Next()
//	for err == nil {
//		… // use tokens; they are valid until the next call of Next
//		tokens, err = stream.Next()
//	}
//	if errors.Is(err, io.EOF) {
//		// The answer is complete; stream.Reason and stream.Usage are set.
//	}
//
// Closing a stream or cancelling its context cancels the generation.
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

	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Unreachable means that the engine certainly did not receive the request.
	Unreachable Kind = "unreachable"
	// Busy means that the engine temporarily refuses requests.
	Busy Kind = "busy"
	// Refused means that the engine rejected the request as invalid.
	Refused Kind = "refused"
	// NotServed means that the engine does not serve the requested model.
	NotServed Kind = "notServed"
	// Fenced means that the engine refused an order with an old fencing number.
	Fenced Kind = "fenced"
	// Failed means that the request failed after the engine may have received
	// it.
	Failed Kind = "failed"
	// StreamTruncated means that the stream ended without an end marker.
	StreamTruncated Kind = "cut"
	// Malformed means that the engine's response violates its protocol.
	Malformed Kind = "malformed"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Time-outs and limits of the connections to an engine.
const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	maxIdle          = 64
	maxFailureBytes  = 4 << 10
	maxDocumentBytes = 8 << 20
	maxEventBytes    = 1 << 20
	// readBufferBytes is small because each running stream has a buffer of its
	// own.
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

// GenerationRequest describes a generation to start.
type GenerationRequest struct {
	// ID identifies the generation at the engine and must be unique.
	ID   string
	Spec *generation.Spec
	// Prefix holds the ids of the answer's tokens that were already generated.
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

// Generate starts a generation. The error is an *Error or wraps ctx's error.
func (c *Client) Generate(ctx context.Context, g GenerationRequest) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.post(ctx, g.path(), g.completion())
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(resp.Body, cancel), nil
}

// post sends a message as JSON and returns the response if its status is 200.
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
	return nil, responseError(resp)
}

// sendKind returns Unreachable if the request was certainly not sent because
// no connection was made, and Failed otherwise.
func sendKind(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreachable
	}
	return Failed
}

func responseError(resp *http.Response) error {
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

// get returns the body of a GET request, up to maxDocumentBytes.
func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	body, _, err := c.getFramed(ctx, path)
	return body, err
}

// getFramed returns the body of a GET request, up to maxDocumentBytes, and what marks its end.
func (c *Client) getFramed(ctx context.Context, path string) ([]byte, completion.Framing, error) {
	const op = "Client.getFramed"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, "", fault.Wrap(op, Unreachable, err)
	}
	resp, err := c.do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDocumentBytes))
	return body, completion.FramingOf(resp), fault.Wrap(op, Failed, err)
}
