package network

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// datagram is a datagram that has been sent.
type datagram struct {
	data []byte
	from netip.AddrPort
}

// socket sends and receives datagrams.
type socket struct {
	host     *Host
	address  netip.AddrPort
	arrived  chan datagram
	once     sync.Once
	closed   chan struct{}
	mu       sync.Mutex
	deadline time.Time
}

// ListenPacket opens a socket for datagrams at an address of the host.
func (h *Host) ListenPacket(address string) (net.PacketConn, error) {
	at, err := h.own("Host.ListenPacket", address)
	if err != nil {
		return nil, err
	}
	s := &socket{host: h, address: at, arrived: make(chan datagram, datagramsPerSocket), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.sockets[at] = s
	return s, nil
}

// ReadFrom implements net.PacketConn.
func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	s.mu.Lock()
	deadline := s.deadline
	s.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case d := <-s.arrived:
		return copy(p, d.data), net.UDPAddrFromAddrPort(d.from), nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	case <-expired:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// WriteTo implements net.PacketConn. A datagram to nobody, or on a link that is full,
// is lost.
func (s *socket) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError(to.String())
	}
	address := udp.AddrPort()
	s.host.network.mu.Lock()
	peer := s.host.network.sockets[netip.AddrPortFrom(address.Addr().Unmap(), address.Port())]
	s.host.network.mu.Unlock()
	if peer == nil {
		return len(p), nil
	}
	at, ok := reserve(s.host, peer.host, len(p), maxQueueDelay)
	if !ok {
		return len(p), nil
	}
	d := datagram{append([]byte(nil), p...), s.address}
	time.AfterFunc(time.Until(at), func() {
		select {
		case peer.arrived <- d:
		default:
		}
	})
	return len(p), nil
}

// Close implements net.PacketConn.
func (s *socket) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.host.network.mu.Lock()
		defer s.host.network.mu.Unlock()
		delete(s.host.network.sockets, s.address)
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.address) }

// SetDeadline implements net.PacketConn.
func (s *socket) SetDeadline(t time.Time) error { return s.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn. It applies to the reads that follow.
func (s *socket) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	return nil
}

// SetWriteDeadline implements net.PacketConn; writes never block.
func (*socket) SetWriteDeadline(time.Time) error { return nil }
