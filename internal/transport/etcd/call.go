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

// maxAnswer bounds the body of an answer, in bytes.
const maxAnswer = 64 << 20

// fate says what became of one attempt at one endpoint.
type fate int

const (
	// answered attempts have a whole answer.
	answered fate = iota
	// refused attempts were checked by the service and had no effect.
	refused
	// unsent attempts never reached the service.
	unsent
	// lost attempts were sent, and no whole answer came.
	lost
)

// errTimeout is the cause of an attempt that took longer than Timeout.
var errTimeout = errors.New("no answer came in time")

// refusedError is the service's refusal of a call.
type refusedError struct{ status etcd.Status }

func (e *refusedError) Error() string {
	return fmt.Sprintf("%s (code %d)", e.status.Message, e.status.Code)
}

// kind returns the store's kind of the refusal.
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

// read carries out a call without effect; it tries all endpoints.
func (c *Client) read(ctx context.Context, op, path string, req, resp any) error {
	return c.meter(c.call(ctx, op, path, req, resp, c.reads, store.Unavailable))
}

// write carries out a call with an effect; it tries the next endpoint only
// after one that the call did not reach.
func (c *Client) write(ctx context.Context, op, path string, req, resp any) error {
	return c.meter(c.call(ctx, op, path, req, resp, c.writes, store.Unknown))
}

func (c *Client) meter(err error) error {
	if err != nil {
		c.meters.failed(err)
	}
	return err
}

// call carries out a call within the budget and the backoff. whenLost is the
// kind of the error when the answer did not come.
func (c *Client) call(ctx context.Context, op, path string, req, resp any, b *budget, whenLost store.Kind) error {
	if ctx.Err() != nil {
		return fault.Wrap(op, store.Unavailable, ctx.Err())
	}
	if !c.backoff.admit() {
		c.meters.inBackoff.Inc(1)
		return fault.New(op, store.Unavailable, "no endpoint answers; the next probe waits")
	}
	if err := b.take(ctx, op); err != nil {
		c.backoff.givenUp()
		return err
	}
	body, err := json.Marshal(req)
	if err != nil {
		c.backoff.givenUp()
		return fault.Wrap(op, store.Invalid, err)
	}
	return c.tryAll(ctx, op, path, body, resp, whenLost)
}

// tryAll tries the endpoints in order, from the one that answered last.
func (c *Client) tryAll(ctx context.Context, op, path string, body []byte, resp any, whenLost store.Kind) error {
	var last error
	sent := false
	first := int(c.preferred.Load())
	for i := range c.opts.Endpoints {
		n := (first + i) % len(c.opts.Endpoints)
		outcome, err := c.attempt(ctx, c.opts.Endpoints[n]+path, path, body, resp)
		if outcome == answered || outcome == refused {
			c.preferred.Store(int64(n))
			c.backoff.answered()
			return wrapRefusal(op, err)
		}
		last = err
		sent = sent || outcome == lost
		if ctx.Err() != nil || (outcome == lost && whenLost == store.Unknown) {
			break
		}
	}
	switch {
	case ctx.Err() != nil:
		c.backoff.givenUp()
	case sent:
		c.backoff.lostAnswer(last)
	default:
		c.backoff.unreachable(last)
	}
	if sent {
		return fault.Wrap(op, whenLost, last)
	}
	return fault.Wrap(op, store.Unavailable, last)
}

func wrapRefusal(op string, err error) error {
	var r *refusedError
	if errors.As(err, &r) {
		return fault.Wrap(op, r.kind(), err)
	}
	return nil
}

// attempt makes one attempt at one endpoint and reads its answer into resp.
func (c *Client) attempt(ctx context.Context, url, path string, body []byte, resp any) (fate, error) {
	// The context has no deadline of its own, as the dialer would hold one of
	// an injected clock against the real time.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.opts.Clock.AfterFunc(c.opts.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	answer, outcome, err := c.post(ctx, url, path, body)
	if err != nil {
		return outcome, err
	}
	defer answer.Body.Close()
	// The gateway answers a renewal with a stream; its first message counts.
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswer)).Decode(resp); err != nil {
		return lost, err
	}
	return answered, nil
}

// post sends one call and returns its answer when the status is 200.
func (c *Client) post(ctx context.Context, url, path string, body []byte) (*http.Response, fate, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, unsent, err
	}
	req.Header.Set("Content-Type", "application/json")
	c.meters.sent(path)
	answer, err := c.http.Do(req)
	if err != nil {
		return nil, fateOf(err, connected.Load()), err
	}
	if answer.StatusCode == http.StatusOK {
		return answer, answered, nil
	}
	defer answer.Body.Close()
	outcome, err := readRefusal(answer)
	return nil, outcome, err
}

// fateOf says whether a call that failed with err may have been sent. A failed
// dial after a connection means that the connection was found closed with
// nothing written, as net/http sends a POST again in that case alone.
func fateOf(err error, connected bool) fate {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unsent
	}
	if !connected {
		return unsent
	}
	return lost
}

// readRefusal reads an answer that is not 200. Only codes of calls that were
// checked and refused prove that there was no effect.
func readRefusal(answer *http.Response) (fate, error) {
	var status etcd.Status
	err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswer)).Decode(&status)
	if err != nil || !status.Code.Refused() {
		return lost, fmt.Errorf("status %d: %s", answer.StatusCode, status.Message)
	}
	return refused, &refusedError{status: status}
}
