// Package inbound guards the HTTP servers of a process against clients that it does not
// control. It bounds the heads of requests before net/http reads them, and the number of
// connections, for all listeners of the process together.
//
// # Usage
//
//	guard := inbound.New(inbound.Options{Clock: clock, Log: log, Limits: limits})
//	server := &http.Server{Handler: handler}
//	listener = guard.Protect(server, listener, inbound.Listener{Name: "clients", Conns: 500, HeadBytes: headBytes})
//	err := server.Serve(listener)
//
// A refused request gets 431 if its head is too long and 503 if the process has no memory for
// it, in both cases before it is read, so it was not run. A connection that makes room for
// another one is closed without an answer, because no complete request came on it: its head, or its body, had not arrived. The
// decisions are made by coordination/clientlimit.
package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/clientlimit"
	"foxtailward.example/foxtailward/internal/state/event"
)

// headSlop is the number of bytes that a head may have beyond its limit, for the request line.
const headSlop = 4 << 10

// Options configure a Guard.
type Options struct {
	Clock  clockwork.Clock
	Log    *event.Log
	Limits clientlimit.Limits
	// OnRefuse is called for each refused request and closed connection; nil for nothing.
	OnRefuse func(listener string, reason Reason)
}

// Guard bounds what the clients of a process make it hold.
type Guard struct {
	opts   Options
	ledger *clientlimit.Ledger
	report *report

	mu sync.Mutex
	// conns has the connection of each handle.
	conns map[*clientlimit.Conn]*conn
}

// New returns a guard without listeners.
func New(opts Options) *Guard {
	return &Guard{
		opts: opts, ledger: clientlimit.New(opts.Limits), conns: map[*clientlimit.Conn]*conn{},
		report: &report{opts: opts, counts: map[refused]int{}},
	}
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int { return g.ledger.Count() }

// HeadMemory returns the memory that heads take, except small ones.
func (g *Guard) HeadMemory() clientlimit.Bytes { return g.ledger.HeadMemory() }

// Listener describes a listener of a process.
type Listener struct {
	// Name identifies the listener in logs and metrics.
	Name string
	// Conns is the largest number of connections.
	Conns int
	// HeadBytes returns the largest size of a head. It is nil for a listener that does not
	// speak HTTP/1, of which only the connections are bounded.
	HeadBytes func() int
}

// Protect returns a listener for the server whose connections are bounded, and sets the
// server's callbacks. It must be called before the server serves. A guard that is nil
// protects nothing.
func (g *Guard) Protect(server *http.Server, inner net.Listener, l Listener) net.Listener {
	if g == nil {
		return inner
	}
	guarded := g.listen(inner, l)
	handler, connState, connContext := server.Handler, server.ConnState, server.ConnContext
	server.Handler = guarded.handler(handler)
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.stateChanged(state)
		}
		if connState != nil {
			connState(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	// The guard applies the limit, which may change.
	server.MaxHeaderBytes = 0
	return guarded
}

// Limit returns a listener whose connections are bounded. A guard that is nil limits nothing.
func (g *Guard) Limit(inner net.Listener, l Listener) net.Listener {
	if g == nil {
		return inner
	}
	return g.listen(inner, l)
}

func (g *Guard) listen(inner net.Listener, l Listener) *listener {
	return &listener{Listener: inner, guard: g, cfg: l, entries: g.ledger.NewListener(l.Conns)}
}

// Limits returns the limits of the guard, the zero value for none.
func (g *Guard) Limits() clientlimit.Limits {
	if g == nil {
		return clientlimit.Limits{}
	}
	return g.opts.Limits
}

// evict closes connections that make room for others.
func (g *Guard) evict(l *listener, handles ...*clientlimit.Conn) {
	for _, handle := range handles {
		g.mu.Lock()
		c := g.conns[handle]
		g.mu.Unlock()
		if c != nil {
			g.report.add(l.cfg.Name, Evicted)
			// The client may have closed the connection already.
			_ = c.Close()
		}
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// listener is a listener of a process with bounded connections.
type listener struct {
	net.Listener
	guard   *Guard
	cfg     Listener
	entries *clientlimit.Listener
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		handle, evicted, ok := l.entries.Open(l.guard.opts.Clock.Now())
		if !ok {
			l.refuseConn(inner)
			continue
		}
		if evicted != nil {
			l.guard.evict(l, evicted)
		}
		c := &conn{Conn: inner, listener: l, handle: handle, reading: true}
		l.guard.mu.Lock()
		l.guard.conns[handle] = c
		l.guard.mu.Unlock()
		return c, nil
	}
}

// refuseConn refuses a connection for which there is no room. Its request is not read.
func (l *listener) refuseConn(inner net.Conn) {
	l.guard.report.add(l.cfg.Name, TooManyConns)
	_ = inner.SetWriteDeadline(l.guard.opts.Clock.Now().Add(refuseTimeout))
	// The client may have closed the connection already.
	_, _ = inner.Write(TooManyConns.answer())
	_ = inner.Close()
}

// handler charges the heads of requests before they are served. They are charged while they
// arrive already, except the part of a request that arrived together with an earlier one.
func (l *listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && !c.charge(requestCost(r)) {
			l.guard.report.add(l.cfg.Name, HeadsFull)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfter)
			http.Error(w, string(HeadsFull), http.StatusServiceUnavailable)
			return
		}
		if ok && r.Body != nil && r.Body != http.NoBody {
			r = c.receive(r)
		}
		next.ServeHTTP(w, r)
	})
}
