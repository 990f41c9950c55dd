package target

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"foxtailward.example/foxtailward/internal/coordination/attempt"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Sizes of a batch of tokens. A batch starts small, because most messages
// hold one token, and grows for a reader that lags behind.
const (
	initialBatch = 8
	maxBatch     = 64
)

type runStream = grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunReply]

// relay sends the tokens of one attempt on a stream to an entry.
type relay struct {
	p      *Process
	stream runStream
	wake   chan struct{}
	class  generation.Class
	// reply, batch, tokens and backing are reused for each message, because a
	// message has been encoded once Send returns.
	reply   peerpb.RunReply
	batch   peerpb.Tokens
	tokens  peerpb.RunReply_Tokens
	backing []peerpb.Token
	buf     []generation.Token
	loadAt  time.Time
}

// Run starts or adopts an attempt and sends its tokens until it ends. Acks
// from the entry are read and ignored, because the log is kept for the
// retention time in any case.
func (s *server) Run(stream runStream) error {
	if s.p.runner == nil {
		return noEngine()
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	r := &relay{p: s.p, stream: stream, wake: make(chan struct{}, 1), buf: make([]generation.Token, 0, initialBatch)}
	r.reply.Stamp = s.p.stamp()
	reader, err := r.open(first)
	if err != nil {
		return r.refuse(r.refusal(err))
	}
	defer s.p.runner.detach(reader)
	if err := r.accept(reader); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go r.discardAcks(cancel)
	return r.run(ctx, reader)
}

// open starts or adopts the attempt that the first message names.
func (r *relay) open(first *peerpb.RunRequest) (*attempt.Reader, error) {
	if m := first.GetAdopt(); m != nil {
		r.p.counters.adopted.Inc(1)
		return r.p.runner.adopt(id.Request(m.Request), id.Epoch(m.Epoch), id.Attempt(m.Attempt), id.TokenIndex(m.From), r.signal)
	}
	m := first.GetStart()
	if m == nil {
		return nil, fault.New("relay.open", attempt.Invalid, "the first message is neither start nor adopt")
	}
	spec, err := peer.ToSpec(m.GetSpec())
	if err != nil {
		return nil, fault.Wrap("relay.open", attempt.Invalid, err)
	}
	r.class = spec.Class
	return r.p.runner.start(attempt.StartRequest{
		Spec: spec, Epoch: id.Epoch(m.Epoch), Attempt: id.Attempt(m.Attempt), Prefix: peer.ToTokens(m.Prefix),
	}, r.signal)
}

// signal wakes the stream without blocking.
func (r *relay) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// discardAcks reads the entry's messages so that its sends don't block. It
// ends when the entry closes its sending side, which leaves the stream to the
// entry open.
func (r *relay) discardAcks(cancel context.CancelFunc) {
	for {
		m, err := r.stream.Recv()
		if err != nil {
			return
		}
		if m.GetAck() == nil {
			// A second start or adopt on one stream violates the protocol.
			cancel()
			return
		}
	}
}

func (r *relay) run(ctx context.Context, reader *attempt.Reader) error {
	for {
		part := r.p.runner.read(reader, r.buf)
		if len(part.Tokens) > 0 {
			if err := r.sendTokens(reader, part); err != nil {
				return err
			}
		}
		switch {
		case part.Finish != nil:
			return r.finish(reader, part.Finish)
		case part.Refusal != nil:
			return r.refuse(part.Refusal)
		case len(part.Tokens) > 0:
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		}
	}
}

func (r *relay) accept(reader *attempt.Reader) error {
	rec := reader.Record()
	r.attachLoad()
	r.reply.Message = &peerpb.RunReply_Accepted{
		Accepted: &peerpb.Accepted{Attempt: uint32(rec.Attempt), Lineage: string(rec.Spec.Lineage)},
	}
	return r.stream.Send(&r.reply)
}

func (r *relay) sendTokens(reader *attempt.Reader, part attempt.Part) error {
	r.grow(len(part.Tokens))
	for i, token := range part.Tokens {
		r.backing[i].Id, r.backing[i].Text = token.ID, token.Text
	}
	r.batch.Tokens = r.batch.Tokens[:len(part.Tokens)]
	r.batch.Attempt = uint32(reader.Record().Attempt)
	r.batch.First = uint32(part.First)
	r.tokens.Tokens = &r.batch
	r.reply.Message = &r.tokens
	r.reply.Load = nil
	if r.p.deps.Clock.Since(r.loadAt) >= loadInterval {
		r.attachLoad()
	}
	r.p.counters.relayed.Inc(int64(len(part.Tokens)))
	return r.stream.Send(&r.reply)
}

// grow makes room for n tokens in the message, and doubles the buffer for the
// next read if this one was full.
func (r *relay) grow(n int) {
	if n > len(r.backing) {
		r.backing = make([]peerpb.Token, cap(r.buf))
		r.batch.Tokens = make([]*peerpb.Token, cap(r.buf))
		for i := range r.backing {
			r.batch.Tokens[i] = &r.backing[i]
		}
	}
	if n == cap(r.buf) && n < maxBatch {
		r.buf = make([]generation.Token, 0, min(2*n, maxBatch))
	}
}

func (r *relay) finish(reader *attempt.Reader, f *generation.Finish) error {
	r.attachLoad()
	r.reply.Message = &peerpb.RunReply_Finish{Finish: peer.FromFinish(reader.Record().Attempt, f)}
	return r.stream.Send(&r.reply)
}

// refuse ends the stream with a refusal.
func (r *relay) refuse(refusal *attempt.Refusal) error {
	r.p.counters.refused.Inc(1)
	if refusal.Kind == attempt.Fenced {
		r.p.emit(event.AttemptFenced, "detail", refusal.Detail)
	}
	r.attachLoad()
	r.reply.Message = &peerpb.RunReply_Refused{Refused: &peerpb.Refused{
		Kind:         string(refusal.Kind),
		Detail:       refusal.Detail,
		Started:      refusal.Started,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	}}
	return r.stream.Send(&r.reply)
}

// refusal returns the refusal for an attempt that could not be started or
// adopted.
func (r *relay) refusal(err error) *attempt.Refusal {
	refusal := attempt.RefusalOf(err)
	if refusal.Kind == attempt.Busy {
		refusal.RetryAfter = r.p.runner.retryAfter(r.class)
	}
	return refusal
}

// attachLoad adds the load report to the next message.
func (r *relay) attachLoad() {
	r.loadAt = r.p.deps.Clock.Now()
	r.reply.Load = r.p.reporter.load()
}
