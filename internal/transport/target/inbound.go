package target

import (
	"net"

	"foxtailward.example/foxtailward/internal/transport/inbound"
)

// limitPeers returns the listener for other processes, bounded in the number of its
// connections.
func (p *Process) limitPeers() net.Listener {
	return p.deps.Guard.Limit(p.listener, inbound.Listener{Name: "peers", Conns: p.deps.Guard.Limits().ClientConns})
}
