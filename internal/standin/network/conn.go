package network

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	local, remote net.Addr
	in, out       *stream
}

func newConnPair(from, to *Host, fromAddress, toAddress netip.AddrPort) (dialed, accepted *conn) {
	there, back := newStream(from, to), newStream(to, from)
	a, b := net.TCPAddrFromAddrPort(fromAddress), net.TCPAddrFromAddrPort(toAddress)
	return &conn{local: a, remote: b, in: back, out: there}, &conn{local: b, remote: a, in: there, out: back}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn. What the peer has not read yet still arrives.
func (c *conn) Close() error {
	c.out.finish()
	c.in.abandon()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// segment holds bytes that arrive together.
type segment struct {
	data []byte
	at   time.Time
}

// stream is one direction of a connection.
type stream struct {
	from, to *Host

	mu            sync.Mutex
	segments      []segment
	unread        int
	readDeadline  time.Time
	writeDeadline time.Time
	// finished is set once nothing more is written, and abandoned once nothing more
	// is read.
	finished, abandoned bool
	// changed is closed and replaced when any of the above changes.
	changed chan struct{}
}

func newStream(from, to *Host) *stream {
	return &stream{from: from, to: to, changed: make(chan struct{})}
}

// notify wakes readers and writers up. The caller holds the lock.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.notify()
}

func (s *stream) finish()                      { s.update(func() { s.finished = true }) }
func (s *stream) setReadDeadline(t time.Time)  { s.update(func() { s.readDeadline = t }) }
func (s *stream) setWriteDeadline(t time.Time) { s.update(func() { s.writeDeadline = t }) }
func (s *stream) abandon() {
	s.update(func() { s.abandoned, s.segments, s.unread = true, nil, 0 })
}

// wait releases the lock until the stream changes or one of the times has come. Zero
// times never come.
func (s *stream) wait(times ...time.Time) {
	changed := s.changed
	var first <-chan time.Time
	var earliest time.Time
	for _, t := range times {
		if !t.IsZero() && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	if !earliest.IsZero() {
		timer := time.NewTimer(time.Until(earliest))
		defer timer.Stop()
		first = timer.C
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
	case <-first:
	}
}

func passed(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if s.abandoned {
			return 0, net.ErrClosed
		}
		if passed(s.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(s.segments) > 0 && !time.Now().Before(s.segments[0].at) {
			return s.take(p), nil
		}
		if len(s.segments) == 0 && s.finished {
			return 0, io.EOF
		}
		var arrival time.Time
		if len(s.segments) > 0 {
			arrival = s.segments[0].at
		}
		s.wait(arrival, s.readDeadline)
	}
}

// take copies what has arrived. The caller holds the lock.
func (s *stream) take(p []byte) int {
	n := copy(p, s.segments[0].data)
	s.segments[0].data = s.segments[0].data[n:]
	if len(s.segments[0].data) == 0 {
		s.segments = s.segments[1:]
	}
	s.unread -= n
	s.notify()
	return n
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for written < len(p) {
		if s.finished || s.abandoned {
			return written, syscall.EPIPE
		}
		if passed(s.writeDeadline) {
			return written, os.ErrDeadlineExceeded
		}
		room := min(windowBytes-s.unread, segmentBytes, len(p)-written)
		if room <= 0 {
			s.wait(s.writeDeadline)
			continue
		}
		at, _ := reserve(s.from, s.to, room, 0)
		s.segments = append(s.segments, segment{append([]byte(nil), p[written:written+room]...), at})
		s.unread += room
		written += room
		s.notify()
	}
	return written, nil
}
