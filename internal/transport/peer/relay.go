package peer

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// viaSeparator stands between the entries of a relayed request's way.
const viaSeparator = ">"

// EntryClient is the client of other entries.
type EntryClient struct {
	pool *Pool
	// Address returns where an entry listens.
	Address func(e id.Entry) (string, bool)
	// OnStamp takes the sender's stamp.
	OnStamp func(s *peerpb.Stamp)
}

// NewEntryClient returns a client over pool.
func NewEntryClient(pool *Pool, address func(id.Entry) (string, bool), stamp func(*peerpb.Stamp)) *EntryClient {
	return &EntryClient{pool: pool, Address: address, OnStamp: stamp}
}

func (r *EntryClient) client(e id.Entry) (peerpb.EntryClient, error) {
	address, ok := r.Address(e)
	if !ok {
		return nil, fault.New("Relays.client", request.Lost, "the address of entry %s is not known", e)
	}
	conn, err := r.pool.Conn(address)
	if err != nil {
		return nil, fault.Wrap("Relays.client", request.Lost, err)
	}
	return peerpb.NewEntryClient(conn), nil
}

// Open opens an answer at its home entry.
func (r *EntryClient) Open(ctx context.Context, e id.Entry, relay request.RelayRequest) (*answer.Reader, error) {
	client, err := r.client(e)
	if err != nil {
		return nil, err
	}
	// The stream outlives the call that opens it, and ends with the reader.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stream, err := client.Relay(ctx, fromRelay(r.pool.Stamp(), &relay))
	if err != nil {
		cancel()
		return nil, fault.Wrap("Relays.Open", request.Lost, err)
	}
	accepted, err := r.accept(stream)
	if err != nil {
		cancel()
		return nil, err
	}
	in := &incoming{stream: stream, parts: make(chan incomingPart, relayQueue), lineage: id.Lineage(accepted.GetLineage())}
	go in.receive()
	return &answer.Reader{Request: relay.Request, Lineage: in.lineage, Spec: specOf(&relay, accepted), Next: in.next, Close: cancel}, nil
}

// relayQueue bounds the parts that wait between two entries' streams.
const relayQueue = 16

// specOf returns what is being generated, as far as the home entry told.
func specOf(relay *request.RelayRequest, accepted *peerpb.Accepted) generation.Spec {
	if relay.Spec != nil {
		spec := *relay.Spec
		spec.Version = id.Version(accepted.GetVersion())
		return spec
	}
	spec := generation.Spec{
		Request: relay.Request, Contract: relay.Contract, Model: id.Model(accepted.GetModel()),
		Version: id.Version(accepted.GetVersion()), MaxTokens: int(accepted.GetMaxTokens()),
	}
	if accepted.GetChat() {
		spec.Messages = noMessages
	}
	return spec
}

// noMessages marks an answer as a chat's where its messages are not known.
var noMessages = []byte("[]")

func (r *EntryClient) accept(stream peerpb.Entry_RelayClient) (*peerpb.Accepted, error) {
	reply, err := stream.Recv()
	if err != nil {
		return nil, fault.Wrap("Relays.accept", request.Lost, err)
	}
	if s := reply.GetStamp(); s != nil {
		r.OnStamp(s)
	}
	if m := reply.GetRefused(); m != nil {
		return nil, toRefusal(m)
	}
	if reply.GetAccepted() == nil {
		return nil, fault.New("Relays.accept", request.Lost, "the home entry's first message is not an acceptance")
	}
	return reply.GetAccepted(), nil
}

// incoming reads an answer from another entry.
type incoming struct {
	stream  peerpb.Entry_RelayClient
	parts   chan incomingPart
	lineage id.Lineage
}

type incomingPart struct {
	part answer.Part
	err  error
}

// receive moves the stream's messages into the bounded queue.
func (in *incoming) receive() {
	for {
		part, err := in.read()
		select {
		case in.parts <- incomingPart{part, err}:
		case <-in.stream.Context().Done():
			return
		}
		if err != nil || part.Finish != nil {
			return
		}
	}
}

func (in *incoming) read() (answer.Part, error) {
	for {
		reply, err := in.stream.Recv()
		if errors.Is(err, io.EOF) || err != nil {
			return answer.Part{}, fault.Wrap("incoming.read", request.Lost, err)
		}
		switch m := reply.Message.(type) {
		case *peerpb.RelayReply_Accepted:
			in.lineage = id.Lineage(m.Accepted.Lineage)
		case *peerpb.RelayReply_Tokens:
			return answer.Part{Lineage: in.lineage, First: id.TokenIndex(m.Tokens.First), Tokens: peer.ToTokens(m.Tokens.Tokens)}, nil
		case *peerpb.RelayReply_Finish:
			finish, err := peer.ToFinish(m.Finish)
			if err != nil {
				return answer.Part{}, fault.Wrap("incoming.read", request.Lost, err)
			}
			return answer.Part{Lineage: in.lineage, First: finish.TokenCount, Finish: finish}, nil
		case *peerpb.RelayReply_Refused:
			return answer.Part{}, toRefusal(m.Refused)
		}
	}
}

func (in *incoming) next(ctx context.Context) (answer.Part, error) {
	select {
	case p := <-in.parts:
		return p.part, p.err
	case <-ctx.Done():
		return answer.Part{}, ctx.Err()
	}
}

func fromRelay(stamp *peerpb.Stamp, relay *request.RelayRequest) *peerpb.RelayRequest {
	m := &peerpb.RelayRequest{
		Stamp:    stamp,
		Contract: string(relay.Contract),
		Request:  string(relay.Request),
		Lineage:  string(relay.Lineage),
		From:     uint32(relay.From),
		ReadOnly: relay.Spec == nil,
		Via:      joinVia(relay.Via),
		Whole:    relay.Buffered,
		Pledge:   relay.AnnouncesOwnership,
	}
	if relay.Spec != nil {
		m.Spec = peer.FromSpec(relay.Spec)
	}
	return m
}

func toRelay(m *peerpb.RelayRequest) (request.RelayRequest, error) {
	relay := request.RelayRequest{
		Contract:           id.Contract(m.GetContract()),
		Request:            id.Request(m.GetRequest()),
		Lineage:            id.Lineage(m.GetLineage()),
		From:               id.TokenIndex(m.GetFrom()),
		Via:                splitVia(m.GetVia()),
		Buffered:           m.GetWhole(),
		AnnouncesOwnership: m.GetPledge(),
	}
	if m.GetReadOnly() {
		return relay, nil
	}
	spec, err := peer.ToSpec(m.GetSpec())
	relay.Spec = spec
	return relay, err
}

func joinVia(via request.Via) string {
	names := make([]string, len(via))
	for i, e := range via {
		names[i] = string(e)
	}
	return strings.Join(names, viaSeparator)
}

func splitVia(s string) request.Via {
	if s == "" {
		return nil
	}
	var via request.Via
	for name := range strings.SplitSeq(s, viaSeparator) {
		via = append(via, id.Entry(name))
	}
	return via
}

// fromRefusal returns the message for a refusal.
func fromRefusal(r *answer.Refusal) *peerpb.Refused {
	return &peerpb.Refused{
		Kind:         string(r.Cause),
		Detail:       r.Detail,
		Outcome:      string(r.Outcome),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Request:      string(r.Request),
	}
}

func toRefusal(m *peerpb.Refused) *answer.Refusal {
	return &answer.Refusal{
		Outcome:    answer.Outcome(m.GetOutcome()),
		Cause:      answer.Cause(m.GetKind()),
		Detail:     m.GetDetail(),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Request:    id.Request(m.GetRequest()),
	}
}
