package entry

import (
	"context"

	"google.golang.org/grpc"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

// setUpPeerServer sets up the gRPC server for other processes.
func (p *Process) setUpPeerServer() {
	p.grpcServer = grpc.NewServer(peer.ServerOptions()...)
	peerpb.RegisterEntryServer(p.grpcServer, &peer.EntryServer{
		Stamp:     p.stamp,
		OnStamp:   p.observeStamp,
		Open:      p.openForwarded,
		Call:      p.callForwarded,
		Grant:     p.limits.serveShares,
		Decisions: p.decisions,
	})
	peerpb.RegisterExchangeServer(p.grpcServer, &exchangeServer{process: p})
}

func (p *Process) openForwarded(ctx context.Context, relay request.RelayRequest) (*answer.Reader, error) {
	return p.coordinator.ServePeer(ctx, relay)
}

// callForwarded runs a call that another entry forwarded.
func (p *Process) callForwarded(ctx context.Context, m *peerpb.RelayCallRequest) (*peerpb.CallReply, error) {
	call, via := peer.ToForwardedCall(m)
	c, ok := p.deps.Current.Snapshot().Contracts[id.Contract(m.GetCall().GetContract())]
	if !ok {
		return peer.FromCallResult(nil, answer.NewRefusal(answer.CauseForbidden, "the contract is not in force at the home entry"))
	}
	call.Contract = c
	return peer.FromCallResult(p.callCoordinator.ServePeer(ctx, call, via))
}
