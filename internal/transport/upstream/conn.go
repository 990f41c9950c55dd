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

// readerBytes is the size of a connection's read buffer.
const readerBytes = 4 << 10

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// written is closed when the request has been written; wrote is then its
	// error.
	written chan struct{}
	wrote   error
	// since and life say from when and how long an idle connection may be used.
	since time.Time
	life  time.Duration
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readerBytes)}
}

// send writes a request. A long one is written while its answer is read, since
// a target may answer before it has read the whole request.
func (c *conn) send(request []byte, deadline time.Time) error {
	// A connection that is already closed says so when it is written to.
	_ = c.SetWriteDeadline(deadline)
	c.written = make(chan struct{})
	if len(request) > inlineBytes {
		go c.write(request)
		return nil
	}
	n := c.write(request)
	if c.wrote == nil {
		return nil
	}
	kind := ConnectionLost
	if n == 0 {
		kind = NotSent
	}
	return fault.Wrap("conn.send", kind, c.wrote)
}

func (c *conn) write(request []byte) int {
	defer close(c.written)
	n, err := c.Write(request)
	c.wrote = err
	return n
}

// readUntil sets the deadline of reads. A connection that is already closed
// says so when it is read.
func (c *conn) readUntil(deadline time.Time) { _ = c.SetReadDeadline(deadline) }

// abort closes the connection; its target cancels what it does for it.
func (c *conn) abort() {
	// Nothing is left to be done about an error here.
	_ = c.Close()
}

// idle reports whether the request was written whole and no byte is unread.
func (c *conn) idle() bool {
	select {
	case <-c.written:
		return c.wrote == nil && c.reader.Buffered() == 0
	default:
		return false
	}
}

// usable reports whether a kept connection is open and silent.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.since) > c.life {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		// There is no way to look without taking bytes.
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(peeked, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

func itoa(n int) string { return strconv.Itoa(n) }
