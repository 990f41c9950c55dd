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

// maxFoundTokens bounds the tokens of one Find reply, so that it stays below
// the largest message. The rest is read with Adopt.
const maxFoundTokens = 400_000

// server answers the calls of other processes.
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

// noEngine answers what only a process beside an engine can do.
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
		reply.Attempts = append(reply.Attempts, fromFound(&found[i]))
	}
	return reply, nil
}

func fromFound(f *attempt.FoundAttempt) *peerpb.FoundAttempt {
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

// Cancel ends attempts of a request. An epoch that is fenced gets
// FailedPrecondition.
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

// noService answers what only a process beside a plain service can do.
func noService() error {
	return status.Error(codes.Unimplemented, "this target is a model engine")
}

// Call gives a call to the plain service.
func (s *server) Call(ctx context.Context, req *peerpb.CallRequest) (*peerpb.CallReply, error) {
	if s.p.caller == nil {
		return nil, noService()
	}
	return s.reply(s.p.caller.call(ctx, req)), nil
}

// FenceCall forbids a call that has not run and tells what became of one that
// has.
func (s *server) FenceCall(ctx context.Context, req *peerpb.FenceCallRequest) (*peerpb.CallReply, error) {
	if s.p.caller == nil {
		return nil, noService()
	}
	word := s.p.caller.fence(ctx, id.Request(req.GetRequest()), id.Incarnation(req.GetClaimedIncarnation()))
	return s.reply(word), nil
}

func (s *server) reply(word call.Result) *peerpb.CallReply {
	reply := &peerpb.CallReply{}
	if word.Reply != nil {
		reply = peer.FromCallReply(word.Reply)
	}
	reply.Stamp, reply.Load = s.p.stamp(), s.p.reporter.load()
	reply.Outcome, reply.Detail = string(word.Outcome), word.Detail
	return reply
}

// Order carries out an order of the leader.
func (s *server) Order(ctx context.Context, req *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	if s.p.orders == nil {
		return nil, noEngine()
	}
	refusal, highest := s.p.orders.apply(ctx, req)
	return &peerpb.OrderReply{
		Stamp: s.p.stamp(), Applied: refusal == "", Refusal: refusal, Fence: int64(highest),
	}, nil
}

// Swap answers a round of spreading news; without a hook it tells this
// target's load.
func (s *server) Swap(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	if s.p.deps.Swap != nil {
		return s.p.deps.Swap(ctx, req)
	}
	return &peerpb.ExchangeReply{Stamp: s.p.stamp(), Loads: []*peerpb.Load{s.p.reporter.load()}}, nil
}
