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
		Stamped:   p.takeStamp,
		Open:      p.openRelayed,
		Call:      p.callRelayed,
		Shares:    func(id.Entry, *peerpb.ShareRequest) *peerpb.ShareReply { return &peerpb.ShareReply{} },
		Decisions: p.decisions,
	})
	peerpb.RegisterExchangeServer(p.grpcServer, &swapServer{process: p})
}

func (p *Process) openRelayed(ctx context.Context, relay request.Relay) (*answer.Reader, error) {
	return p.desk.Serve(ctx, relay)
}

// callRelayed carries out a call that another entry passed on.
func (p *Process) callRelayed(ctx context.Context, m *peerpb.RelayCallRequest) (*peerpb.CallReply, error) {
	call, via := peer.CallOf(m)
	c, ok := p.deps.Current.Snapshot().Contracts[id.Contract(m.GetCall().GetContract())]
	if !ok {
		return peer.ReplyOf(nil, answer.Refuse(answer.CauseForbidden, "the contract is not in force at the home entry"))
	}
	call.Contract = c
	return peer.ReplyOf(p.counter.Serve(ctx, call, via))
}

// decisions tells another process what is known of a request.
func (p *Process) decisions(r id.Request) *peerpb.ExplainReply {
	a, ok := p.desk.Find(r)
	if !ok {
		return p.callDecisions(r)
	}
	reply := &peerpb.ExplainReply{Found: true, Contract: string(a.Spec().Contract), State: string(a.State())}
	for _, d := range a.Decisions() {
		reply.Decisions = append(reply.Decisions, &peerpb.Decision{
			AtUnixMs: d.At.UnixMilli(), Step: d.Step, Target: string(d.Target), Reason: d.Reason,
		})
	}
	return reply
}
