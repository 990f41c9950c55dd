package direct

import (
	"context"
	"net"
)

// clientConnKey is the context key of the connection that a client's request came on.
type clientConnKey struct{}

// withClientConn is the ConnContext callback of the server.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	if guarded, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = guarded.NetConn()
	}
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// Values for net.TCPConn.SetLinger.
const (
	resetOnClose   = 0
	defaultOnClose = -1
)

// unframedAnswer guards an answer that ends with its client's connection, because clients of
// HTTP/1.0 get neither a length nor chunks. Until the whole answer has been written, the
// connection is reset when it is closed, also by the end of the process, so that the client
// can't take a part for the whole. The zero value does nothing.
type unframedAnswer struct {
	conn *net.TCPConn
}

// guardUnframed begins to guard the answer to the request if it needs that. It must be called
// before anything of the answer is sent.
func (c *call) guardUnframed() unframedAnswer {
	conn, ok := c.r.Context().Value(clientConnKey{}).(*net.TCPConn)
	if !ok || c.r.ProtoAtLeast(1, 1) {
		return unframedAnswer{}
	}
	// A connection that is closed is noticed by the writing.
	_ = conn.SetLinger(resetOnClose)
	return unframedAnswer{conn}
}

// end records that the whole answer has been written.
func (u unframedAnswer) end() {
	if u.conn != nil {
		_ = u.conn.SetLinger(defaultOnClose)
	}
}
