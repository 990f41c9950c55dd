package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/etcd"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// attemptOutcome is the outcome of one attempt at one endpoint.
type attemptOutcome int

const (
	// attemptAnswered means that a complete answer was received.
	attemptAnswered attemptOutcome = iota
	// attemptRefused means that the service checked the call, refused it and did
	// not carry it out.
	attemptRefused
	// attemptNotSent means that the call never reached the service.
	attemptNotSent
	// attemptLost means that the call was sent but no complete answer was
	// received, so it may have taken effect.
	attemptLost
)

// errTimeout is the cancellation cause of an attempt that exceeded
// Options.Timeout.
var errTimeout = errors.New("no answer came in time")

// refusedError is the error status with which the service refused a call.
type refusedError struct{ status etcd.Status }

func (e *refusedError) Error() string {
	return fmt.Sprintf("%s (code %d)", e.status.Message, e.status.Code)
}

// kind maps the status code to an error kind of package store.
func (e *refusedError) kind() store.Kind {
	switch e.status.Code {
	case etcd.OutOfRange:
		return store.Compacted
	case etcd.ResourceExhausted:
		return store.Unavailable
	default:
		return store.Invalid
	}
}

// read makes a call without side effects. It tries the endpoints until one
// answers.
func (c *Client) read(ctx context.Context, op, path string, req, resp any) error {
	return c.countError(c.call(ctx, op, path, req, resp, c.readLimiter, store.Unavailable))
}

// write makes a call with side effects. It tries the next endpoint only if the
// call did not reach the one before.
func (c *Client) write(ctx context.Context, op, path string, req, resp any) error {
	return c.countError(c.call(ctx, op, path, req, resp, c.writeLimiter, store.Unknown))
}

func (c *Client) countError(err error) error {
	if err != nil {
		c.metrics.countError(err)
	}
	return err
}

// call makes a call, subject to the rate limit and the backoff. lostKind is the
// kind of the error if the call was sent but not answered.
func (c *Client) call(ctx context.Context, op, path string, req, resp any, limiter *rateLimiter, lostKind store.Kind) error {
	if ctx.Err() != nil {
		return fault.Wrap(op, store.Unavailable, ctx.Err())
	}
	if !c.backoff.allow() {
		c.metrics.inBackoff.Inc(1)
		return fault.New(op, store.Unavailable, "no endpoint answers; the next probe waits")
	}
	if err := limiter.wait(ctx, op); err != nil {
		c.backoff.releaseProbe()
		return err
	}
	body, err := json.Marshal(req)
	if err != nil {
		c.backoff.releaseProbe()
		return fault.Wrap(op, store.Invalid, err)
	}
	return c.tryEndpoints(ctx, op, path, body, resp, lostKind)
}

// tryEndpoints tries the endpoints in order, starting with the one that answered
// last.
func (c *Client) tryEndpoints(ctx context.Context, op, path string, body []byte, resp any, lostKind store.Kind) error {
	var lastErr error
	sent := false
	first := int(c.preferred.Load())
	for i := range c.opts.Endpoints {
		n := (first + i) % len(c.opts.Endpoints)
		outcome, err := c.attempt(ctx, c.opts.Endpoints[n]+path, path, body, resp)
		if outcome == attemptAnswered || outcome == attemptRefused {
			c.preferred.Store(int64(n))
			c.backoff.recordSuccess()
			return wrapRefusal(op, err)
		}
		lastErr = err
		sent = sent || outcome == attemptLost
		if ctx.Err() != nil || (outcome == attemptLost && lostKind == store.Unknown) {
			break
		}
	}
	switch {
	case ctx.Err() != nil:
		c.backoff.releaseProbe()
	case sent:
		c.backoff.recordLostAnswer(lastErr)
	default:
		c.backoff.recordUnreachable(lastErr)
	}
	if sent {
		return fault.Wrap(op, lostKind, lastErr)
	}
	return fault.Wrap(op, store.Unavailable, lastErr)
}

// wrapRefusal wraps err if it is a refusal and returns nil otherwise.
func wrapRefusal(op string, err error) error {
	var r *refusedError
	if errors.As(err, &r) {
		return fault.Wrap(op, r.kind(), err)
	}
	return nil
}

// attempt makes one attempt at one endpoint and decodes the answer into resp.
func (c *Client) attempt(ctx context.Context, url, path string, body []byte, resp any) (attemptOutcome, error) {
	// This uses a timer on Options.Clock instead of a context deadline, because
	// the dialer would compare a deadline from an injected clock with the real
	// time.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.opts.Clock.AfterFunc(c.opts.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	httpResp, outcome, err := c.post(ctx, url, path, body)
	if err != nil {
		return outcome, err
	}
	defer httpResp.Body.Close()
	// The gateway answers a lease renewal with a stream. Only its first message
	// is read.
	if err := json.NewDecoder(io.LimitReader(httpResp.Body, maxResponseBytes)).Decode(resp); err != nil {
		return attemptLost, err
	}
	return attemptAnswered, nil
}

// post sends one call. It returns the HTTP response if its status is 200;
// otherwise it returns an error and closes the response body.
func (c *Client) post(ctx context.Context, url, path string, body []byte) (*http.Response, attemptOutcome, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, attemptNotSent, err
	}
	req.Header.Set("Content-Type", "application/json")
	c.metrics.countCall(path)
	httpResp, err := c.http.Do(req)
	if err != nil {
		return nil, failedOutcome(err, connected.Load()), err
	}
	if httpResp.StatusCode == http.StatusOK {
		return httpResp, attemptAnswered, nil
	}
	defer httpResp.Body.Close()
	outcome, err := decodeErrorResponse(httpResp)
	return nil, outcome, err
}

// failedOutcome returns whether a call that failed with err may have been sent.
// net/http resends a POST only if it finds a reused connection closed before it
// has written anything. So a dial error means that nothing was sent, even after
// a connection had been obtained.
func failedOutcome(err error, connected bool) attemptOutcome {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return attemptNotSent
	}
	if !connected {
		return attemptNotSent
	}
	return attemptLost
}

// decodeErrorResponse decodes a response whose status is not 200. Only the codes
// for which etcd.Code.Refused holds prove that the call had no effect.
func decodeErrorResponse(httpResp *http.Response) (attemptOutcome, error) {
	var status etcd.Status
	err := json.NewDecoder(io.LimitReader(httpResp.Body, maxResponseBytes)).Decode(&status)
	if err != nil || !status.Code.Refused() {
		return attemptLost, fmt.Errorf("status %d: %s", httpResp.StatusCode, status.Message)
	}
	return attemptRefused, &refusedError{status: status}
}
