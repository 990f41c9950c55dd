// Package upstream sends HTTP/1.1 requests to targets over kept connections.
//
// Unlike net/http's transport it never sends a request twice, it tells a
// request that surely never left from one whose fate is unknown, and it uses a
// connection again only after a whole answer with nothing behind it.
//
// # Usage
//
//	pool := upstream.NewPool(upstream.Options{})
//	answer, err := pool.Do(ctx, "10.1.0.9:8080", &upstream.Request{Method: "GET", URI: "/x"}, deadline)
//	if fault.Is(err, upstream.NotSent) { … }
//	defer answer.Close()
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// NotSent means that the target got nothing of the request.
	NotSent Kind = "notSent"
	// ConnectionLost means that the target may have got the request, and that no whole
	// answer came.
	ConnectionLost Kind = "lost"
	// InvalidAnswer means that bytes came that are no answer to the request.
	InvalidAnswer Kind = "foreign"
	// ReadTimeout means that nothing came in the time allowed.
	ReadTimeout Kind = "silent"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// inlineBytes is the size up to which a request is written before its answer
// is read. It fits into the socket's buffer, so the write does not block.
const inlineBytes = 32 << 10

// Request is a request as the target gets it.
type Request struct {
	Method string
	// URI is the path and query, as the client spelled them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// encode returns the request's bytes. Framing headers are the connection's own.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer can't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		_ = http.Header{"Content-Length": {itoa(len(r.Body))}}.Write(&b)
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Answer is the head of an answer, with its body still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only after a whole body.
	Body io.Reader

	conn   *conn
	pool   *Pool
	res    *http.Response
	whole  bool
	stop   func() bool
	closed bool
}

// Do sends a request and reads the head of its answer, until the deadline. When
// ctx ends the connection is closed, which cancels the request at the target.
func (p *Pool) Do(ctx context.Context, address string, r *Request, deadline time.Time) (*Answer, error) {
	const op = "Pool.Do"
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, fault.Wrap(op, NotSent, err)
	}
	stop := context.AfterFunc(ctx, c.abort)
	a, err := p.exchange(c, r, deadline)
	if err != nil {
		stop()
		c.abort()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *conn, r *Request, deadline time.Time) (*Answer, error) {
	const op = "Pool.exchange"
	if err := c.send(r.encode(), deadline); err != nil {
		return nil, err
	}
	c.readUntil(deadline)
	res, err := readHead(c.reader, r.Method)
	if err != nil {
		return nil, fault.Wrap(op, lossKind(err), err)
	}
	a := &Answer{Status: res.StatusCode, Header: res.Header, conn: c, pool: p, res: res}
	a.Body = &wholeReader{a: a}
	return a, nil
}

// readHead reads the head of the final answer.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

var errSwitched = errors.New("the target switched protocols unasked")

// lossKind tells silence, a lost connection and foreign bytes apart.
func lossKind(err error) Kind {
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

// SetReadDeadline bounds the reads of the body by a new deadline.
func (a *Answer) SetReadDeadline(deadline time.Time) { a.conn.readUntil(deadline) }

// Close ends the use of the answer. The connection is kept if the answer is
// whole and nothing follows it; otherwise it is closed, which cancels what the
// target still does.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	stopped := a.stop()
	if stopped && a.whole && !a.res.Close && a.conn.idle() {
		a.pool.put(a.conn, keepAlive(a.Header))
		return
	}
	a.conn.abort()
}

// wholeReader notes when the body has been read to its end.
type wholeReader struct{ a *Answer }

// Read reads the body. Its errors are of this package's kinds, but for io.EOF.
func (w *wholeReader) Read(p []byte) (int, error) {
	n, err := w.a.res.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		w.a.whole = true
		return n, io.EOF
	case err != nil:
		return n, fault.Wrap("Answer.Read", lossKind(err), err)
	}
	return n, nil
}
