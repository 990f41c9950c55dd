package target

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"foxtailward.example/foxtailward/internal/coordination/attempt"
	"foxtailward.example/foxtailward/internal/coordination/call"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
	peertransport "foxtailward.example/foxtailward/internal/transport/peer"
)

// maxFoundTokens limits the tokens in one Find reply to keep it below the
// maximum message size. The remaining tokens are read with Adopt.
const maxFoundTokens = 400_000

// server implements the gRPC services for other processes.
type server struct {
	peerpb.UnimplementedTargetServer
	peerpb.UnimplementedExchangeServer
	p *Process
}

func newServer(p *Process) *grpc.Server {
	s := grpc.NewServer(peertransport.ServerOptions()...)
	peerpb.RegisterTargetServer(s, &server{p: p})
	peerpb.RegisterExchangeServer(s, &server{p: p})
	return s
}

// noEngine is the error of methods that need a model engine.
func noEngine() error {
	return status.Error(codes.Unimplemented, "this target is a plain service")
}

// Find returns the attempts of a request that this process holds.
func (s *server) Find(_ context.Context, req *peerpb.FindRequest) (*peerpb.FindReply, error) {
	if s.p.runner == nil {
		return nil, noEngine()
	}
	found, epoch := s.p.runner.find(id.Request(req.GetRequest()), id.Epoch(req.GetEpoch()))
	reply := &peerpb.FindReply{Stamp: s.p.stamp(), Epoch: uint64(epoch)}
	for i := range found {
		reply.Attempts = append(reply.Attempts, fromFoundAttempt(&found[i]))
	}
	return reply, nil
}

func fromFoundAttempt(f *attempt.FoundAttempt) *peerpb.FoundAttempt {
	return &peerpb.FoundAttempt{
		Spec:    peer.FromSpec(f.Spec),
		Epoch:   uint64(f.Epoch),
		Attempt: uint32(f.Attempt),
		State:   string(f.State),
		Next:    uint32(f.Next),
		Tokens:  peer.FromTokens(f.Tokens),
		Finish:  peer.FromFinish(f.Attempt, f.Finish),
	}
}

// Cancel ends attempts of a request. A fenced epoch gets FailedPrecondition.
func (s *server) Cancel(_ context.Context, req *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	if s.p.runner == nil {
		return nil, noEngine()
	}
	n, err := s.p.runner.cancel(id.Request(req.GetRequest()), id.Epoch(req.GetEpoch()), id.Attempt(req.GetBelow()))
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerpb.CancelReply{Stamp: s.p.stamp(), Cancelled: uint32(n)}, nil
}

// noService is the error of methods that need a plain service.
func noService() error {
	return status.Error(codes.Unimplemented, "this target is a model engine")
}

// Call sends a call to the plain service.
func (s *server) Call(ctx context.Context, req *peerpb.CallRequest) (*peerpb.CallReply, error) {
	if s.p.callRunner == nil {
		return nil, noService()
	}
	return s.reply(s.p.callRunner.call(ctx, req)), nil
}

// FenceCall prevents a call that has not run from running, and returns the
// outcome of a call that has.
func (s *server) FenceCall(ctx context.Context, req *peerpb.FenceCallRequest) (*peerpb.CallReply, error) {
	if s.p.callRunner == nil {
		return nil, noService()
	}
	result := s.p.callRunner.fence(ctx, id.Request(req.GetRequest()), id.Incarnation(req.GetClaimedIncarnation()))
	return s.reply(result), nil
}

func (s *server) reply(result call.Result) *peerpb.CallReply {
	reply := &peerpb.CallReply{}
	if result.Reply != nil {
		reply = peer.FromCallReply(result.Reply)
	}
	reply.Stamp, reply.Load = s.p.stamp(), s.p.reporter.load()
	reply.Outcome, reply.Detail = string(result.Outcome), result.Detail
	return reply
}

// Order applies an order of the leader.
func (s *server) Order(ctx context.Context, req *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	if s.p.orders == nil {
		return nil, noEngine()
	}
	refusal, highest := s.p.orders.apply(ctx, req)
	return &peerpb.OrderReply{
		Stamp: s.p.stamp(), Applied: refusal == "", Refusal: refusal, Fence: int64(highest),
	}, nil
}

// Swap exchanges state with another process. Without a Swap function in Deps,
// it answers with this target's load.
func (s *server) Swap(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	if s.p.deps.Swap != nil {
		return s.p.deps.Swap(ctx, req)
	}
	return &peerpb.ExchangeReply{Stamp: s.p.stamp(), Loads: []*peerpb.Load{s.p.reporter.load()}}, nil
}
