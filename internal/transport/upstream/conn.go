package upstream

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	key     poolKey
	limiter *headLimiter
	reader  *bufio.Reader
	// openSince is when the connection was known to be open.
	openSince time.Time
	// writeDone is closed when the request has been written. writeErr is the error
	// of the write and may be read only after that.
	writeDone chan struct{}
	writeErr  error
	// idleSince and idleTimeout limit how long an idle connection may be reused.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c net.Conn, key poolKey, openSince time.Time) *conn {
	limiter := &headLimiter{r: c, left: -1}
	return &conn{Conn: c, key: key, openSince: openSince, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}
}

// send writes a request. A long request is written while its answer is read,
// because a target may answer before it has read the whole request.
func (c *conn) send(request net.Buffers, deadline time.Time) error {
	// If the connection is closed already, the write reports it.
	_ = c.SetWriteDeadline(deadline)
	c.writeDone = make(chan struct{})
	if len(request) > 1 || len(request[0]) > maxInlineWriteBytes {
		go c.write(request)
		return nil
	}
	n := c.write(request)
	if c.writeErr == nil {
		return nil
	}
	kind := ConnectionLost
	if n == 0 {
		kind = NotSent
	}
	return fault.Wrap("conn.send", kind, c.writeErr)
}

func (c *conn) write(request net.Buffers) int64 {
	defer close(c.writeDone)
	n, err := request.WriteTo(c.Conn)
	c.writeErr = err
	return n
}

// setReadDeadline sets the read deadline. If the connection is closed already,
// the next read reports it.
func (c *conn) setReadDeadline(deadline time.Time) { _ = c.SetReadDeadline(deadline) }

// abort resets the connection, which makes the target cancel the request. What has not been delivered is lost. If the connection
// were closed, the host would go on to deliver it: a request that was held up on the way would reach the target long after it was given up.
func (c *conn) abort() {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// If the connection is closed already, there is nothing left to reset.
		_ = socket.SetLinger(0)
	}
	c.close()
}

// close closes a connection on which nothing is under way.
func (c *conn) close() {
	// The connection is discarded, so an error doesn't matter.
	_ = c.Close()
}

// reusable reports whether the request was written completely and no unread
// bytes are buffered.
func (c *conn) reusable() bool {
	select {
	case <-c.writeDone:
		return c.writeErr == nil && c.reader.Buffered() == 0
	default:
		return false
	}
}

// requestWritten reports whether the whole request was written, once the connection has ended. It
// stops the write if not. A reset reports its error to the write or to the read, and only once,
// so a read that returns the end of the connection does not show that there was no reset.
func (c *conn) requestWritten() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	<-c.writeDone
	return c.writeErr == nil
}

// stillOpen reports whether an idle connection has not expired, is open, and has
// received no bytes.
func (c *conn) stillOpen(now time.Time) bool {
	if now.Sub(c.idleSince) > c.idleTimeout {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		// Without the socket, the connection can't be checked without consuming
		// bytes.
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(errno, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

func itoa(n int) string { return strconv.Itoa(n) }
