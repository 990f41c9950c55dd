package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// cut says which way bytes of a link are held back.
type cut int

const (
	open cut = iota
	// silent links carry nothing.
	silent
	// noWay links carry nothing to the target; noWayBack links nothing from it.
	noWay
	noWayBack
)

const (
	chunkBytes = 16 << 10
	// holdCheck is the time between two looks whether a cut has ended.
	holdCheck   = 5 * time.Millisecond
	dialTimeout = time.Second
)

// proxy passes on the connections of one link, with faults. It is safe for
// concurrent use.
type proxy struct {
	target   string
	listener net.Listener
	serving  sync.WaitGroup

	mu     sync.Mutex
	cut    cut
	delay  time.Duration
	refuse bool
	closed bool
	conns  map[*net.TCPConn]struct{}
}

// newProxy listens at the address and passes connections on to the target.
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

// close ends the link for good.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.reset()
	p.serving.Wait()
}

// set brings a fault upon the link, or ends it.
func (p *proxy) set(c cut, delay time.Duration, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.delay, p.refuse = c, delay, refuse
}

// reset breaks all connections of the link.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		// A connection that has ended meanwhile needs no reset.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Too many files are open; the next try may do better.
			time.Sleep(holdCheck)
			continue
		}
		p.serving.Go(func() { p.serve(near.(*net.TCPConn)) })
	}
}

// serve passes on one connection until both of its ways have ended.
func (p *proxy) serve(near *net.TCPConn) {
	if !p.keep(near) {
		return
	}
	defer p.drop(near)
	p.hold(noWay)
	conn, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = near.SetLinger(0)
		return
	}
	far := conn.(*net.TCPConn)
	if !p.keep(far) {
		return
	}
	defer p.drop(far)
	var ways sync.WaitGroup
	ways.Go(func() { p.pump(near, far, noWay) })
	ways.Go(func() { p.pump(far, near, noWayBack) })
	ways.Wait()
}

// keep notes a connection, unless the link refuses it.
func (p *proxy) keep(c *net.TCPConn) bool {
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

func (p *proxy) drop(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// pump passes on the bytes of one way.
func (p *proxy) pump(from, to *net.TCPConn, way cut) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		p.hold(way)
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

// hold waits while the way is cut, and for the link's delay.
func (p *proxy) hold(way cut) {
	for {
		p.mu.Lock()
		held := !p.closed && (p.cut == silent || p.cut == way)
		delay := p.delay
		p.mu.Unlock()
		if !held {
			time.Sleep(delay)
			return
		}
		time.Sleep(holdCheck)
	}
}
