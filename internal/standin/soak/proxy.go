package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// blockMode says in which directions a link holds back its bytes.
type blockMode int

const (
	blockNone blockMode = iota
	// blockBoth holds back both directions.
	blockBoth
	// blockToTarget holds back bytes to the target, blockFromTarget those from it.
	blockToTarget
	blockFromTarget
)

const (
	bufferBytes = 16 << 10
	// pollInterval is the time between two checks whether a block has ended.
	pollInterval = 5 * time.Millisecond
	dialTimeout  = time.Second
)

// proxy is a TCP proxy that injects faults into a link between two processes. It is
// safe for concurrent use.
type proxy struct {
	target   string
	listener net.Listener
	serving  sync.WaitGroup

	mu        sync.Mutex
	blockMode blockMode
	latency   time.Duration
	refuse    bool
	closed    bool
	conns     map[*net.TCPConn]struct{}
}

// newProxy listens on address and forwards connections to target.
func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap("soak.newProxy", Failed, err)
	}
	p := &proxy{target: target, listener: listener, conns: map[*net.TCPConn]struct{}{}}
	p.serving.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close closes the listener and all connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.resetConns()
	p.serving.Wait()
}

// setFault sets or removes the faults of the link. refuse makes it close new
// connections.
func (p *proxy) setFault(mode blockMode, latency time.Duration, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockMode, p.latency, p.refuse = mode, latency, refuse
}

// faulty reports whether the link has a fault.
func (p *proxy) faulty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blockMode != blockNone || p.latency > 0 || p.refuse
}

// resetConns resets all connections of the link.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		// Errors are ignored because a connection that is already closed needs no reset.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		downstream, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Accept can fail because too many files are open, so it is retried.
			time.Sleep(pollInterval)
			continue
		}
		p.serving.Go(func() { p.serve(downstream.(*net.TCPConn)) })
	}
}

// serve forwards one connection until both directions have ended.
func (p *proxy) serve(downstream *net.TCPConn) {
	if !p.addConn(downstream) {
		return
	}
	defer p.removeConn(downstream)
	p.waitUnblocked(blockToTarget)
	conn, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = downstream.SetLinger(0)
		return
	}
	upstream := conn.(*net.TCPConn)
	if !p.addConn(upstream) {
		return
	}
	defer p.removeConn(upstream)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(downstream, upstream, blockToTarget) })
	directions.Go(func() { p.forward(upstream, downstream, blockFromTarget) })
	directions.Wait()
}

// addConn registers a connection. It closes the connection and returns false if the
// link refuses connections or is closed.
func (p *proxy) addConn(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.refuse {
		_ = c.SetLinger(0)
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *proxy) removeConn(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// forward copies bytes in one direction. direction is the mode that blocks only this
// direction.
func (p *proxy) forward(from, to *net.TCPConn, direction blockMode) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		p.waitUnblocked(direction)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// waitUnblocked waits while the direction is blocked, and then for the link's
// latency.
func (p *proxy) waitUnblocked(direction blockMode) {
	for {
		p.mu.Lock()
		blocked := !p.closed && (p.blockMode == blockBoth || p.blockMode == direction)
		latency := p.latency
		p.mu.Unlock()
		if !blocked {
			time.Sleep(latency)
			return
		}
		time.Sleep(pollInterval)
	}
}
