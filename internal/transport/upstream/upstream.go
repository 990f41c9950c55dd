// Package upstream sends HTTP/1.1 requests to targets over pooled connections.
//
// Unlike the transport of net/http, it never sends a request twice, it
// distinguishes requests that were certainly not sent from those that may have
// been, and it reuses a connection only after a complete answer that is followed
// by no further bytes.
//
// # Usage
//
//	pool := upstream.NewPool(upstream.Options{})
//	answer, err := pool.Do(ctx, "10.1.0.9:8080", &upstream.Request{Method: "GET", URI: "/x"}, deadline)
//	if fault.Is(err, upstream.NotSent) { … }
//	defer answer.Close()
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// NotSent means that the target received nothing of the request.
	NotSent Kind = "notSent"
	// ConnectionLost means that the target may have received the request, but the
	// connection was lost before the answer was complete.
	ConnectionLost Kind = "lost"
	// InvalidAnswer means that the received bytes are not a valid answer.
	InvalidAnswer Kind = "foreign"
	// ReadTimeout means that the deadline passed before the answer was read.
	ReadTimeout Kind = "silent"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// maxInlineWriteBytes is the size up to which a request is written before its
// answer is read. It fits into the socket's send buffer, so the write does not
// block.
const maxInlineWriteBytes = 32 << 10

// Request is a request as it is sent to the target.
type Request struct {
	Method string
	// URI is the path and query, escaped as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh sends the request on a new connection. A request that is sent to a target
	// again needs that: on a kept connection, the answer to the first sending may arrive
	// once more, and nothing tells it from the answer to the second one.
	Fresh bool
	// Run restricts the connection to requests with the same value. An answer that does not
	// name its request needs that: an earlier answer may arrive once more in its place, and is
	// then about the same run.
	Run string
}

// encode returns the request's bytes, in two parts if the body is long, so that it is not
// copied. The framing headers are set here and not taken from the client.
func (r *Request) encode() net.Buffers {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer can't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		_ = http.Header{"Content-Length": {itoa(len(r.Body))}}.Write(&b)
	}
	b.WriteString("\r\n")
	if len(r.Body) > maxInlineWriteBytes {
		return net.Buffers{b.Bytes(), r.Body}
	}
	b.Write(r.Body)
	return net.Buffers{b.Bytes()}
}

// Answer is an answer whose head has been read and whose body has not.
type Answer struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after a complete body.
	Body io.Reader
	// Framing says what marks the end of the body. The end of the connection does not show
	// whether the target meant it.
	Framing completion.Framing

	conn     *conn
	pool     *Pool
	res      *http.Response
	complete bool
	stop     func() bool
	closed   bool
}

// Do sends a request and reads the head of its answer until the deadline. When
// ctx ends, Do resets the connection, which cancels the request at the target.
func (p *Pool) Do(ctx context.Context, address string, r *Request, deadline time.Time) (*Answer, error) {
	const op = "Pool.Do"
	c, err := p.get(ctx, poolKey{address, r.Run}, r.Fresh)
	if err != nil {
		return nil, fault.Wrap(op, NotSent, err)
	}
	stop := context.AfterFunc(ctx, c.abort)
	a, err := p.roundTrip(c, r, deadline)
	if err != nil {
		stop()
		c.abort()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) roundTrip(c *conn, r *Request, deadline time.Time) (*Answer, error) {
	const op = "Pool.roundTrip"
	if err := c.send(r.encode(), deadline); err != nil {
		return nil, err
	}
	c.setReadDeadline(deadline)
	res, err := c.readHead(r.Method)
	if err != nil {
		return nil, fault.Wrap(op, errorKind(err), err)
	}
	a := &Answer{Status: res.StatusCode, Header: res.Header, Framing: completion.FramingOf(res), conn: c, pool: p, res: res}
	a.Body = &bodyReader{a: a}
	return a, nil
}

// errorKind distinguishes timeouts, lost connections and invalid answers.
func errorKind(err error) Kind {
	var network net.Error
	switch {
	case errors.As(err, &network) && network.Timeout():
		return ReadTimeout
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return ConnectionLost
	default:
		return InvalidAnswer
	}
}

// SetReadDeadline sets a new deadline for reading the body.
func (a *Answer) SetReadDeadline(deadline time.Time) { a.conn.setReadDeadline(deadline) }

// OpenSince returns when the connection was opened on which the answer came. If that was before another request to the same address was
// sent, the process that has answered is the one that had that request.
func (a *Answer) OpenSince() time.Time { return a.conn.openSince }

// Close releases the answer. The connection is returned to the pool if the
// answer is complete and no bytes follow it. Otherwise it is closed; if the answer is not complete, or the request has not
// been written, it is reset, which cancels the request at the target.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	stopped := a.stop()
	switch {
	case !stopped || !a.complete || !a.conn.reusable():
		a.conn.abort()
	case a.res.Close:
		a.conn.close()
	default:
		a.pool.putIdle(a.conn, keepAliveTimeout(a.Header))
	}
}

// errEndsEarly means that the connection ended the answer while the request was being written.
var errEndsEarly = errors.New("the connection ended before the request was written")

// bodyReader records when the body has been read to its end.
type bodyReader struct{ a *Answer }

// Read reads the body. All errors but io.EOF are of type Error.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.a.res.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF) && b.a.Framing == completion.Connection && !b.a.conn.requestWritten():
		return n, fault.Wrap("Answer.Read", ConnectionLost, errEndsEarly)
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.a.complete = true
		return n, io.EOF
	case err != nil:
		return n, fault.Wrap("Answer.Read", errorKind(err), err)
	}
	return n, nil
}
