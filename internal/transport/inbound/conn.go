package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/clientlimit"
)

const (
	// refuseTimeout bounds the writing of a refusal.
	refuseTimeout = 100 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read from a refused client, so that the
	// answer is not lost by a reset of the connection.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// errRefused ends the reading of a request. net/http gives no answer after an error of this
// operation.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// conn is a connection of a client. Only one goroutine of net/http reads from it at a time.
type conn struct {
	net.Conn
	listener *listener
	handle   *clientlimit.Conn
	head     head
	// reading is set while the head of a request is read. Bytes that are read beyond it, and
	// during the request, belong to a body.
	reading bool
	// serving is set from the complete head to the end of the request.
	serving atomic.Bool
	refused bool
}

// NetConn returns the connection that is guarded.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It refuses the request if its head is too large.
func (c *conn) Read(p []byte) (int, error) {
	if c.serving.Load() {
		return c.Conn.Read(p)
	}
	if c.refused {
		return 0, errRefused
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.reading {
		c.reading = true
		c.handle.Read(c.listener.guard.opts.Clock.Now())
	}
	c.head.add(p[:n])
	switch {
	case c.listener.cfg.HeadBytes == nil:
		c.readPreface()
		return n, err
	case c.head.bytes > c.listener.cfg.HeadBytes()+headSlop:
		return 0, c.refuse(HeadTooLong, p)
	case !c.charge(c.head.cost()):
		return 0, c.refuse(HeadsFull, p)
	}
	return n, err
}

// prefaceBytes is the length of the text that begins a connection of HTTP/2.
const prefaceBytes = 24

// receive returns the request with a body that tells when it is complete. net/http keeps the request itself.
func (c *conn) receive(r *http.Request) *http.Request {
	c.handle.Receive(c.listener.guard.opts.Clock.Now())
	received := *r
	received.Body = &body{r.Body, c.handle}
	return &received
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	handle *clientlimit.Conn
}

// Read implements io.Reader. A body whose connection was closed before its end has no end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.handle.Serve() {
		return n, errRefused
	}
	return n, err
}

// readPreface records that a connection which does not speak HTTP/1 is in use once it has
// begun.
func (c *conn) readPreface() {
	if c.head.bytes >= prefaceBytes || c.head.complete {
		c.serving.Store(true)
		c.handle.Serve()
	}
}

// charge charges the cost of a head, and returns false if there is no room for it.
func (c *conn) charge(cost clientlimit.Bytes) bool {
	evicted, ok := c.handle.Charge(cost)
	c.listener.guard.evict(c.listener, evicted...)
	return ok
}

// refuse answers the request whose head is being read, and reads a little of what the client
// still sends. All earlier answers on the connection have been sent. buf is for reading.
func (c *conn) refuse(reason Reason, buf []byte) error {
	c.refused = true
	c.listener.guard.report.add(c.listener.cfg.Name, reason)
	now := c.listener.guard.opts.Clock.Now()
	// The client may have closed the connection already.
	_ = c.Conn.SetWriteDeadline(now.Add(refuseTimeout))
	_, _ = c.Conn.Write(reason.answer())
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(now.Add(lingerTimeout))
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			break
		}
		read += n
	}
	return errRefused
}

// CloseWrite ends the sending side, as net/http does after some refusals.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.handle.Close()
	c.listener.guard.mu.Lock()
	delete(c.listener.guard.conns, c.handle)
	c.listener.guard.mu.Unlock()
	return c.Conn.Close()
}

// stateChanged follows the states that net/http reports, on the goroutine that reads heads.
func (c *conn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.reading = false
		c.serving.Store(true)
		c.handle.Serve()
	case http.StateIdle:
		c.head = head{}
		c.serving.Store(false)
		c.handle.Rest(c.listener.guard.opts.Clock.Now())
	case http.StateNew, http.StateHijacked, http.StateClosed:
		// A new connection reads already, and Close removes closed ones.
	}
}
