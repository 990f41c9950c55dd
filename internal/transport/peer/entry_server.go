package peer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
)

// EntryServer implements the gRPC service for other entries. Its fields must
// be set before it serves.
type EntryServer struct {
	peerpb.UnimplementedEntryServer

	// Stamp returns the stamp of each reply, and OnStamp receives the sender's.
	Stamp   func() *peerpb.Stamp
	OnStamp func(s *peerpb.Stamp)
	// Open opens an answer of a request that this entry owns.
	Open func(ctx context.Context, relay request.RelayRequest) (*answer.Reader, error)
	// Call runs a forwarded call.
	Call func(ctx context.Context, m *peerpb.RelayCallRequest) (*peerpb.CallReply, error)
	// Grant answers requests for shares of the limits that this entry owns.
	Grant func(from id.Entry, m *peerpb.ShareRequest) *peerpb.ShareReply
	// Decisions returns the decisions that this entry made about a request.
	Decisions func(r id.Request) *peerpb.ExplainReply
}

// Relay streams an answer to another entry.
func (s *EntryServer) Relay(m *peerpb.RelayRequest, stream peerpb.Entry_RelayServer) error {
	s.OnStamp(m.GetStamp())
	relay, err := toRelay(m)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	reader, err := s.Open(stream.Context(), relay)
	if err != nil {
		return s.refuse(stream, err)
	}
	defer reader.Close()
	if err := s.accept(stream, reader, reader.Lineage); err != nil {
		return err
	}
	lineage := reader.Lineage
	for {
		part, err := reader.Next(stream.Context())
		if err != nil {
			return s.refuse(stream, err)
		}
		if part.Lineage != lineage && part.Lineage != "" {
			lineage = part.Lineage
			if err := s.accept(stream, reader, lineage); err != nil {
				return err
			}
		}
		if err := s.send(stream, &part); err != nil || part.Finish != nil {
			return err
		}
	}
}

func (s *EntryServer) accept(stream peerpb.Entry_RelayServer, reader *answer.Reader, lineage id.Lineage) error {
	accepted := &peerpb.Accepted{
		Lineage: string(lineage), Model: string(reader.Spec.Model), Version: string(reader.Spec.Version),
		Chat: len(reader.Spec.Messages) > 0, MaxTokens: int64(reader.Spec.MaxTokens),
	}
	return stream.Send(&peerpb.RelayReply{
		Stamp:   s.Stamp(),
		Message: &peerpb.RelayReply_Accepted{Accepted: accepted},
	})
}

// send sends a part of an answer as one or two messages.
func (s *EntryServer) send(stream peerpb.Entry_RelayServer, part *answer.Part) error {
	if len(part.Tokens) > 0 {
		m := &peerpb.RelayReply{Message: &peerpb.RelayReply_Tokens{Tokens: newTokens(0, part.First, part.Tokens)}}
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	if part.Finish == nil {
		return nil
	}
	return stream.Send(&peerpb.RelayReply{
		Message: &peerpb.RelayReply_Finish{Finish: peer.FromFinish(0, part.Finish)},
	})
}

// refuse sends a refusal as a message and not as a gRPC error, so that the
// other entry does not take it for a lost connection.
func (s *EntryServer) refuse(stream peerpb.Entry_RelayServer, err error) error {
	refusal, ok := asRefusal(err)
	if !ok {
		return status.Error(codes.Unavailable, err.Error())
	}
	return stream.Send(&peerpb.RelayReply{
		Stamp:   s.Stamp(),
		Message: &peerpb.RelayReply_Refused{Refused: fromRefusal(refusal)},
	})
}

func asRefusal(err error) (*answer.Refusal, bool) {
	var refusal *answer.Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}

// RelayCall runs a call to a plain service for another entry.
func (s *EntryServer) RelayCall(ctx context.Context, m *peerpb.RelayCallRequest) (*peerpb.CallReply, error) {
	s.OnStamp(m.GetStamp())
	return s.Call(ctx, m)
}

// Share grants shares of limits to another entry.
func (s *EntryServer) Share(_ context.Context, m *peerpb.ShareRequest) (*peerpb.ShareReply, error) {
	s.OnStamp(m.GetStamp())
	reply := s.Grant(id.Entry(m.GetStamp().GetSender()), m)
	reply.Stamp = s.Stamp()
	return reply, nil
}

// Explain returns the decisions that this entry made about a request.
func (s *EntryServer) Explain(_ context.Context, m *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	reply := s.Decisions(id.Request(m.GetRequest()))
	reply.Stamp = s.Stamp()
	return reply, nil
}
