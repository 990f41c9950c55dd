// Package peer connects foxtailward's own processes over gRPC: the client side
// of target processes and entries, and the server side of entries.
//
// # Usage
//
//	pool := peer.NewPool(stamp)
//	defer pool.Close()
//	targets := peer.NewTargetClient(pool, clock, hooks)
//	entries := peer.NewEntryClient(pool, addressOf, onStamp)
package peer

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Unreachable means that no connection could be made.
	Unreachable Kind = "unreachable"
	// Closed means that the pool was closed.
	Closed Kind = "closed"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Keepalive pings detect connections whose other side has gone. The sum of
// both values is below the 6 s within which an interrupted answer must
// resume.
const (
	keepaliveInterval = 2 * time.Second
	keepaliveTimeout  = 2 * time.Second
)

// minKeepalive is the shortest interval between pings that servers accept.
const minKeepalive = time.Second

// maxMessageBytes limits the size of a message. The longest possible answer
// fits in one message.
const maxMessageBytes = 16 << 20

// ServerOptions returns the options of every process's server.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepalive, PermitWithoutStream: true}),
	}
}

// Pool holds one connection per address.
type Pool struct {
	// Stamp returns the stamp of each message to be sent.
	Stamp func() *peerpb.Stamp

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(stamp func() *peerpb.Stamp) *Pool {
	return &Pool{Stamp: stamp, conns: map[string]*grpc.ClientConn{}}
}

// Conn returns the connection to an address. It connects on first use.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New("Pool.Conn", Closed, "the pool is closed")
	}
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))
	if err != nil {
		return nil, fault.Wrap("Pool.Conn", Unreachable, err)
	}
	p.conns[address] = c
	return c, nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, c := range p.conns {
		// Close fails only if the connection is already closed.
		_ = c.Close()
		delete(p.conns, address)
	}
}
