package entry

import (
	"net"

	"foxtailward.example/foxtailward/internal/transport/inbound"
)

// protectCallers returns the listener for callers, bounded in what they make the process
// hold.
func (p *Process) protectCallers() net.Listener {
	headBytes := p.callerServer.MaxHeaderBytes
	return p.deps.Guard.Protect(p.callerServer, p.callerListener, inbound.Listener{
		Name: "callers", Conns: p.deps.Guard.Limits().ClientConns, HeadBytes: func() int { return headBytes },
	})
}

// limitPeers returns the listener for other processes, bounded in the number of its
// connections.
func (p *Process) limitPeers() net.Listener {
	return p.deps.Guard.Limit(p.peerListener, inbound.Listener{Name: "peers", Conns: p.deps.Guard.Limits().ClientConns})
}
