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

// viaSeparator separates the entries that forwarded a request.
const viaSeparator = ">"

// EntryClient is the client of other entries.
type EntryClient struct {
	pool *Pool
	// Address returns the address of an entry, if it is known.
	Address func(e id.Entry) (string, bool)
	// OnStamp receives the sender's stamp.
	OnStamp func(s *peerpb.Stamp)
}

// NewEntryClient returns a client that uses the connections of pool.
func NewEntryClient(pool *Pool, address func(id.Entry) (string, bool), onStamp func(*peerpb.Stamp)) *EntryClient {
	return &EntryClient{pool: pool, Address: address, OnStamp: onStamp}
}

func (c *EntryClient) client(e id.Entry) (peerpb.EntryClient, error) {
	address, ok := c.Address(e)
	if !ok {
		return nil, fault.New("EntryClient.client", request.Lost, "the address of entry %s is not known", e)
	}
	conn, err := c.pool.Conn(address)
	if err != nil {
		return nil, fault.Wrap("EntryClient.client", request.Lost, err)
	}
	return peerpb.NewEntryClient(conn), nil
}

// Open opens an answer at the entry that owns the request.
func (c *EntryClient) Open(ctx context.Context, e id.Entry, relay request.RelayRequest) (*answer.Reader, error) {
	client, err := c.client(e)
	if err != nil {
		return nil, err
	}
	// The stream outlives the context of the call that opens it; closing the
	// reader ends it.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stream, err := client.Relay(ctx, fromRelay(c.pool.Stamp(), &relay))
	if err != nil {
		cancel()
		return nil, fault.Wrap("EntryClient.Open", request.Lost, err)
	}
	accepted, err := c.accept(stream)
	if err != nil {
		cancel()
		return nil, err
	}
	reader := &relayReader{stream: stream, closed: ctx.Done(), parts: make(chan relayPart, relayQueueSize), lineage: id.Lineage(accepted.GetLineage())}
	go reader.receive()
	return &answer.Reader{Request: relay.Request, Lineage: reader.lineage, Spec: relayedSpec(&relay, accepted), Next: reader.next, Close: cancel}, nil
}

// relayQueueSize limits the number of received parts that wait for the
// reader.
const relayQueueSize = 16

// relayedSpec returns the spec of the answer. If the request did not contain
// one, it holds only the fields that the owner reported.
func relayedSpec(relay *request.RelayRequest, accepted *peerpb.Accepted) generation.Spec {
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
		spec.Messages = emptyMessages
	}
	return spec
}

// emptyMessages marks an answer to a chat request whose messages are not
// known.
var emptyMessages = []byte("[]")

func (c *EntryClient) accept(stream peerpb.Entry_RelayClient) (*peerpb.Accepted, error) {
	reply, err := stream.Recv()
	if err != nil {
		return nil, fault.Wrap("EntryClient.accept", request.Lost, err)
	}
	if s := reply.GetStamp(); s != nil {
		c.OnStamp(s)
	}
	if m := reply.GetRefused(); m != nil {
		return nil, toRefusal(m)
	}
	if reply.GetAccepted() == nil {
		return nil, fault.New("EntryClient.accept", request.Lost, "the first message of the answer's owner is neither accepted nor refused")
	}
	return reply.GetAccepted(), nil
}

// relayReader reads an answer from another entry.
type relayReader struct {
	stream peerpb.Entry_RelayClient
	// closed is closed by Close. The stream's own context also ends with the
	// stream, when its error must still be delivered.
	closed  <-chan struct{}
	parts   chan relayPart
	lineage id.Lineage
}

type relayPart struct {
	part answer.Part
	err  error
}

// receive moves the stream's messages to the bounded queue.
func (r *relayReader) receive() {
	for {
		part, err := r.read()
		select {
		case r.parts <- relayPart{part, err}:
		case <-r.closed:
			return
		}
		if err != nil || part.Finish != nil {
			return
		}
	}
}

func (r *relayReader) read() (answer.Part, error) {
	for {
		reply, err := r.stream.Recv()
		if errors.Is(err, io.EOF) || err != nil {
			return answer.Part{}, fault.Wrap("relayReader.read", request.Lost, err)
		}
		switch m := reply.Message.(type) {
		case *peerpb.RelayReply_Accepted:
			r.lineage = id.Lineage(m.Accepted.Lineage)
		case *peerpb.RelayReply_Tokens:
			return answer.Part{Lineage: r.lineage, First: id.TokenIndex(m.Tokens.First), Tokens: peer.ToTokens(m.Tokens.Tokens)}, nil
		case *peerpb.RelayReply_Finish:
			finish, err := peer.ToFinish(m.Finish)
			if err != nil {
				return answer.Part{}, fault.Wrap("relayReader.read", request.Lost, err)
			}
			return answer.Part{Lineage: r.lineage, First: finish.TokenCount, Finish: finish}, nil
		case *peerpb.RelayReply_Refused:
			return answer.Part{}, toRefusal(m.Refused)
		}
	}
}

func (r *relayReader) next(ctx context.Context) (answer.Part, error) {
	select {
	case p := <-r.parts:
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
