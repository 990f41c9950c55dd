package main

import (
	"net"
	"sync"
)

// proxy passes channels on to another address. The channels that are open may go silent for good, without a
// reset, while new ones work.
type proxy struct {
	to       string
	listener net.Listener

	mu sync.Mutex
	// generation numbers the channels that may go silent together.
	generation int
	conns      map[net.Conn]bool
}

// newProxy starts a proxy to an address.
func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = true, true
		generation := p.generation
		p.mu.Unlock()
		go p.pass(near, far, generation)
		go p.pass(far, near, generation)
	}
}

// pass copies one direction of a channel until it ends or has gone silent.
func (p *proxy) pass(from, to net.Conn, generation int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.isSilent(generation) {
			// Nothing passes any more, not even the end of the channel.
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

func (p *proxy) isSilent(generation int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return generation != p.generation
}

// silence has all open channels go silent.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}
