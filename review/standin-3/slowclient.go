package main

import (
	"net"
	"syscall"
	"time"
)

const (
	// readerBuffer is the size of the receive buffer of clients that read slowly.
	readerBuffer = 4096
	// segmentBytes is an ordinary segment size; loopback's own is larger than any link's.
	segmentBytes = 1400
)

// dialSlow opens a channel with small windows to an entry, as links have.
func dialSlow(e *entry) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Both only make the socket smaller, and no case needs either to be exact.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readerBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		})
	}}
	return dialer.Dial("tcp", e.clients)
}
