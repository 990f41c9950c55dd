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

// serveEntries sets up the server for other processes.
func (p *Process) serveEntries() {
	p.grpcServer = grpc.NewServer(peer.ServerOptions()...)
	peerpb.RegisterEntryServer(p.grpcServer, &peer.EntryServer{
		Stamp:     p.stamp,
		OnStamp:   p.takeStamp,
		Open:      p.openRelayed,
		Call:      p.callRelayed,
		Grant:     p.limits.serve,
		Decisions: p.decisions,
	})
	peerpb.RegisterExchangeServer(p.grpcServer, &swapServer{process: p})
}

func (p *Process) openRelayed(ctx context.Context, relay request.RelayRequest) (*answer.Reader, error) {
	return p.desk.ServePeer(ctx, relay)
}

// callRelayed carries out a call that another entry passed on.
func (p *Process) callRelayed(ctx context.Context, m *peerpb.RelayCallRequest) (*peerpb.CallReply, error) {
	call, via := peer.ToForwardedCall(m)
	c, ok := p.deps.Current.Snapshot().Contracts[id.Contract(m.GetCall().GetContract())]
	if !ok {
		return peer.FromCallResult(nil, answer.NewRefusal(answer.CauseForbidden, "the contract is not in force at the home entry"))
	}
	call.Contract = c
	return peer.FromCallResult(p.counter.ServePeer(ctx, call, via))
}
