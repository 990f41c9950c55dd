package direct

import (
	"net"
	"net/http"

	"foxtailward.example/foxtailward/internal/coordination/clientlimit"
	"foxtailward.example/foxtailward/internal/transport/inbound"
)

// Names of the entry's listeners.
const (
	clientsName   = "clients"
	readinessName = "readiness"
	metricsName   = "metrics"
	peersName     = "peers"
)

const (
	// defaultHeadBytes limits the head of a client's request if the configuration sets no
	// limit.
	defaultHeadBytes = 64 << 10
	// internalHeadBytes limits the heads of requests of other programs than clients.
	internalHeadBytes = 16 << 10
)

func newInboundGuard(e *Entry) *inbound.Guard {
	return inbound.New(inbound.Options{
		Clock: e.deps.Clock, Log: e.deps.Log, Limits: e.clientLimits(),
		OnRefuse: func(listener string, reason inbound.Reason) { e.metrics.clientRefused(listener, string(reason)) },
	})
}

// clientLimits returns the limits for what clients make the entry hold.
func (e *Entry) clientLimits() clientlimit.Limits {
	return clientlimit.LimitsOf(clientlimit.Bytes(e.cfg.Limits.MemoryMB*(1<<20)), e.cfg.Limits.MaxFDs)
}

// protect returns a listener for the server that bounds what its clients make the entry hold.
func (e *Entry) protect(name string, s *http.Server, l net.Listener) net.Listener {
	limits := e.clientLimits()
	cfg := inbound.Listener{Name: name, Conns: limits.InternalConns, HeadBytes: func() int { return internalHeadBytes }}
	if name == clientsName {
		cfg.Conns, cfg.HeadBytes = limits.ClientConns, e.maxHeadBytes
	}
	return e.inbound.Protect(s, l, cfg)
}

// maxHeadBytes returns the largest size of the head of a client's request.
func (e *Entry) maxHeadBytes() int {
	if cfg := e.directory.View().Config; cfg != nil && cfg.Limits.HeaderBytes > 0 {
		return cfg.Limits.HeaderBytes
	}
	return defaultHeadBytes
}
