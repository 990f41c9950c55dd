// Package network is a stand-in for the network between hosts whose links have a
// limited bandwidth. Connections and datagrams of a host share its link, in each
// direction, and a peer that does not read blocks the writer.
//
// It takes its time from the standard library's clock, so tests run it in a synctest
// bubble, where a slow transfer takes no real time.
//
// # Usage
//
//	n := network.New()
//	server := n.AddHost("10.0.0.1", network.Link{BytesPerSecond: 1_250_000, Latency: time.Millisecond})
//	l, err := server.Listen("10.0.0.1:80")
//	conn, err := n.AddHost("10.0.0.2", link).Dial(ctx, "10.0.0.1:80")
//	received := server.Traffic().Received
package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that an address is not one of the host that uses it.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

const (
	// windowBytes is what a connection holds, in one direction, that has not been
	// read.
	windowBytes = 64 << 10
	// segmentBytes is what a connection sends before others have their turn.
	segmentBytes = 4 << 10
	// maxQueueDelay is how long datagrams wait for a link; further ones are dropped.
	maxQueueDelay = 500 * time.Millisecond
	// datagramsPerSocket is the number of datagrams that wait to be read.
	datagramsPerSocket = 1024
	// firstFreePort is the first port that is given to connections and sockets that
	// name none.
	firstFreePort = 40000
)

// Link describes how a host is connected. A rate of 0 is unlimited.
type Link struct {
	// BytesPerSecond is the bandwidth in each direction.
	BytesPerSecond int64
	// Latency is the time that a byte takes from this host to any other.
	Latency time.Duration
}

// Traffic counts the bytes of a host.
type Traffic struct {
	Sent     int64
	Received int64
}

// Network holds the hosts. It is safe for concurrent use, as are all parts of it.
type Network struct {
	mu        sync.Mutex
	hosts     map[netip.Addr]*Host
	listeners map[netip.AddrPort]*listener
	sockets   map[netip.AddrPort]*socket
	nextPort  uint16

	// linksMu guards the links of all hosts.
	linksMu sync.Mutex
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		hosts: map[netip.Addr]*Host{}, listeners: map[netip.AddrPort]*listener{},
		sockets: map[netip.AddrPort]*socket{}, nextPort: firstFreePort,
	}
}

// Host is one host with its link.
type Host struct {
	network *Network
	address netip.Addr
	link    Link

	// outFree and inFree are when each direction of the link is free again. The
	// network's linksMu guards them and the traffic.
	outFree, inFree time.Time
	traffic         Traffic
}

// AddHost adds a host with an IP address. It panics if the address is malformed.
func (n *Network) AddHost(address string, link Link) *Host {
	h := &Host{network: n, address: netip.MustParseAddr(address), link: link}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[h.address] = h
	return h
}

// Traffic returns what the host has sent and received so far.
func (h *Host) Traffic() Traffic {
	h.network.linksMu.Lock()
	defer h.network.linksMu.Unlock()
	return h.traffic
}

func (l Link) transferTime(bytes int) time.Duration {
	if l.BytesPerSecond == 0 {
		return 0
	}
	return time.Duration(int64(bytes) * int64(time.Second) / l.BytesPerSecond)
}

// reserve reserves both links for bytes sent from one host to another, and returns
// when they arrive. If they would wait for longer than maxWait, it reserves nothing
// and returns false.
func reserve(from, to *Host, bytes int, maxWait time.Duration) (time.Time, bool) {
	now := time.Now()
	if from == to {
		return now, true
	}
	links := &from.network.linksMu
	links.Lock()
	defer links.Unlock()
	sent := later(now, from.outFree).Add(from.link.transferTime(bytes))
	arrived := later(sent.Add(from.link.Latency), to.inFree).Add(to.link.transferTime(bytes))
	if maxWait > 0 && arrived.Sub(now) > maxWait {
		return time.Time{}, false
	}
	from.outFree, to.inFree = sent, arrived
	from.traffic.Sent += int64(bytes)
	to.traffic.Received += int64(bytes)
	return arrived, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Occupy makes the host receive bytes that no program of it reads, as other traffic
// on its link.
func (h *Host) Occupy(bytes int) {
	h.network.linksMu.Lock()
	defer h.network.linksMu.Unlock()
	h.inFree = later(time.Now(), h.inFree).Add(h.link.transferTime(bytes))
}

// Listen opens a listener at an address of the host.
func (h *Host) Listen(address string) (net.Listener, error) {
	at, err := h.own("Host.Listen", address)
	if err != nil {
		return nil, err
	}
	l := &listener{host: h, address: at, accepted: make(chan net.Conn), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[at] != nil {
		return nil, syscall.EADDRINUSE
	}
	h.network.listeners[at] = l
	return l, nil
}

// own parses an address of the host, and chooses a port if it names none.
func (h *Host) own(op, address string) (netip.AddrPort, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Addr() != h.address {
		return at, fault.New(op, Invalid, "address %q is not one of %s", address, h.address)
	}
	if at.Port() == 0 {
		at = netip.AddrPortFrom(h.address, h.network.freePort())
	}
	return at, nil
}

func (n *Network) freePort() uint16 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextPort++
	return n.nextPort
}

// Dial connects to an address of any host.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.Wrap("Host.Dial", Invalid, err)
	}
	from := netip.AddrPortFrom(h.address, h.network.freePort())
	h.network.mu.Lock()
	l := h.network.listeners[to]
	h.network.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	dialed, accepted := newConnPair(h, l.host, from, to)
	select {
	case l.accepted <- accepted:
		return dialed, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener accepts the connections to one address.
type listener struct {
	host     *Host
	address  netip.AddrPort
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.network.mu.Lock()
		defer l.host.network.mu.Unlock()
		delete(l.host.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
