package peer_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

var (
	accepted = &peerpb.Accepted{Attempt: 1, Lineage: "l1"}
	oneToken = &peerpb.Tokens{Attempt: 1, Tokens: []*peerpb.Token{{Id: 7, Text: "a"}}}
)

// truncatingTarget ends each stream without an error after its replies.
type truncatingTarget struct {
	peerpb.UnimplementedTargetServer
	replies []*peerpb.RunReply
}

func (s *truncatingTarget) Run(stream grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunReply]) error {
	for _, reply := range s.replies {
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
	return nil
}

// truncatingEntry ends each stream without an error after its replies, and returns an empty reply to calls.
type truncatingEntry struct {
	peerpb.UnimplementedEntryServer
	replies []*peerpb.RelayReply
}

func (s *truncatingEntry) Relay(_ *peerpb.RelayRequest, stream grpc.ServerStreamingServer[peerpb.RelayReply]) error {
	for _, reply := range s.replies {
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
	return nil
}

func (s *truncatingEntry) RelayCall(context.Context, *peerpb.RelayCallRequest) (*peerpb.CallReply, error) {
	return &peerpb.CallReply{}, nil
}

// serve runs a server and returns its address and a pool for its clients.
func serve(t *testing.T, register func(*grpc.Server)) (string, *peer.Pool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := grpc.NewServer(peer.ServerOptions()...)
	register(server)
	go func() { _ = server.Serve(listener) }()
	pool := peer.NewPool(func() *peerpb.Stamp { return &peerpb.Stamp{Sender: "e1"} })
	t.Cleanup(func() {
		pool.Close()
		server.Stop()
	})
	return listener.Addr().String(), pool
}

func newEntryClient(address string, pool *peer.Pool) *peer.EntryClient {
	return peer.NewEntryClient(pool, func(id.Entry) (string, bool) { return address, true }, func(*peerpb.Stamp) {})
}

// TestRunEndWithoutFinish guards against the end of a target's stream taken for the end of the attempt.
func TestRunEndWithoutFinish(t *testing.T) {
	replies := []*peerpb.RunReply{
		{Message: &peerpb.RunReply_Accepted{Accepted: accepted}},
		{Message: &peerpb.RunReply_Tokens{Tokens: oneToken}},
	}
	for n := range len(replies) + 1 {
		t.Run(fmt.Sprintf("%d messages", n), func(t *testing.T) {
			is := is.New(t)
			address, pool := serve(t, func(s *grpc.Server) {
				peerpb.RegisterTargetServer(s, &truncatingTarget{replies: replies[:n]})
			})
			hooks := peer.ReplyHooks{
				OnLoad: func(*member.TargetReport) {}, OnStamp: func(*peerpb.Stamp) {}, OnConnectionLost: func(id.Target) {},
			}
			client := peer.NewTargetClient(pool, clockwork.NewRealClock(), hooks)
			stream, err := client.Start(t.Context(), &member.TargetReport{Target: "t1", Address: address},
				request.StartRequest{Spec: &generation.Spec{Model: "report", MaxTokens: 9}, Epoch: 1, Attempt: 1})
			is.NoErr(err)
			defer stream.Close()
			frame, err := stream.Next()
			for err == nil {
				is.Equal(frame.Finish, nil)
				frame, err = stream.Next()
			}
			is.True(fault.Is(err, request.Lost))
		})
	}
}

// TestRelayEndWithoutFinish guards against the end of an entry's stream taken for the end of the answer.
func TestRelayEndWithoutFinish(t *testing.T) {
	replies := []*peerpb.RelayReply{
		{Message: &peerpb.RelayReply_Accepted{Accepted: accepted}},
		{Message: &peerpb.RelayReply_Tokens{Tokens: oneToken}},
	}
	for n := range len(replies) + 1 {
		t.Run(fmt.Sprintf("%d messages", n), func(t *testing.T) {
			is := is.New(t)
			address, pool := serve(t, func(s *grpc.Server) {
				peerpb.RegisterEntryServer(s, &truncatingEntry{replies: replies[:n]})
			})
			reader, err := newEntryClient(address, pool).Open(t.Context(), "e2", request.RelayRequest{Request: "ans-00000000-01"})
			if err == nil {
				defer reader.Close()
			}
			for err == nil {
				var part answer.Part
				part, err = reader.Next(t.Context())
				is.Equal(part.Finish, nil)
			}
			is.True(fault.Is(err, request.Lost))
		})
	}
}

// TestCallReplyWithoutOutcome guards against an entry's empty reply taken for the service's answer.
func TestCallReplyWithoutOutcome(t *testing.T) {
	is := is.New(t)
	address, pool := serve(t, func(s *grpc.Server) { peerpb.RegisterEntryServer(s, &truncatingEntry{}) })
	_, err := newEntryClient(address, pool).Call(t.Context(), "e2", answer.Call{Contract: &contract.Contract{}}, nil)
	is.True(fault.Is(err, request.Lost))
}
