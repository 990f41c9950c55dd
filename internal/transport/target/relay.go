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

// Sizes of a batch of tokens. A batch starts small, as most hold one token,
// and grows for a reader that is behind.
const (
	firstBatch = 8
	maxBatch   = 64
)

type runStream = grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunReply]

// relay is one stream of an entry that reads one attempt.
type relay struct {
	p      *Process
	stream runStream
	wake   chan struct{}
	class  generation.Class
	// reply and tokens are used again for each message; a message that was
	// sent has been encoded already.
	reply  peerpb.RunReply
	batch  peerpb.Tokens
	tokens peerpb.RunReply_Tokens
	block  []peerpb.Token
	buf    []generation.Token
	loadAt time.Time
}

// Run starts or adopts an attempt and sends its tokens until its end. Acks
// that the entry sends are read and not needed: a log is kept for its
// retention either way.
func (s *server) Run(stream runStream) error {
	if s.p.runner == nil {
		return noEngine()
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	r := &relay{p: s.p, stream: stream, wake: make(chan struct{}, 1), buf: make([]generation.Token, 0, firstBatch)}
	r.reply.Stamp = s.p.stamp()
	reader, err := r.open(first)
	if err != nil {
		return r.refuse(r.refusal(err))
	}
	defer s.p.runner.leave(reader)
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
		r.p.meters.adopted.Inc(1)
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

// signal wakes the stream; it never blocks.
func (r *relay) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// discardAcks reads what the entry sends, so that its sends don't block. An
// entry that says no more still reads.
func (r *relay) discardAcks(cancel context.CancelFunc) {
	for {
		m, err := r.stream.Recv()
		if err != nil {
			return
		}
		if m.GetAck() == nil {
			// A second start on one stream breaks the protocol.
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
	r.withLoad()
	r.reply.Message = &peerpb.RunReply_Accepted{
		Accepted: &peerpb.Accepted{Attempt: uint32(rec.Attempt), Lineage: string(rec.Spec.Lineage)},
	}
	return r.stream.Send(&r.reply)
}

func (r *relay) sendTokens(reader *attempt.Reader, part attempt.Part) error {
	r.grow(len(part.Tokens))
	for i, token := range part.Tokens {
		r.block[i].Id, r.block[i].Text = token.ID, token.Text
	}
	r.batch.Tokens = r.batch.Tokens[:len(part.Tokens)]
	r.batch.Attempt = uint32(reader.Record().Attempt)
	r.batch.First = uint32(part.First)
	r.tokens.Tokens = &r.batch
	r.reply.Message = &r.tokens
	r.reply.Load = nil
	if r.p.deps.Clock.Since(r.loadAt) >= loadEvery {
		r.withLoad()
	}
	r.p.meters.relayed.Inc(int64(len(part.Tokens)))
	return r.stream.Send(&r.reply)
}

// grow makes room for n tokens of a message, and for more in the next read
// when this one was full.
func (r *relay) grow(n int) {
	if n > len(r.block) {
		r.block = make([]peerpb.Token, cap(r.buf))
		r.batch.Tokens = make([]*peerpb.Token, cap(r.buf))
		for i := range r.block {
			r.batch.Tokens[i] = &r.block[i]
		}
	}
	if n == cap(r.buf) && n < maxBatch {
		r.buf = make([]generation.Token, 0, min(2*n, maxBatch))
	}
}

func (r *relay) finish(reader *attempt.Reader, f *generation.Finish) error {
	r.withLoad()
	r.reply.Message = &peerpb.RunReply_Finish{Finish: peer.FromFinish(reader.Record().Attempt, f)}
	return r.stream.Send(&r.reply)
}

// refuse ends the stream with a refusal.
func (r *relay) refuse(refusal *attempt.Refusal) error {
	r.p.meters.refused.Inc(1)
	if refusal.Kind == attempt.Fenced {
		r.p.emit(event.AttemptFenced, "detail", refusal.Detail)
	}
	r.withLoad()
	r.reply.Message = &peerpb.RunReply_Refused{Refused: &peerpb.Refused{
		Kind:         string(refusal.Kind),
		Detail:       refusal.Detail,
		Started:      refusal.Started,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	}}
	return r.stream.Send(&r.reply)
}

// refusal returns the refusal of an attempt that was not begun.
func (r *relay) refusal(err error) *attempt.Refusal {
	refusal := attempt.RefusalOf(err)
	if refusal.Kind == attempt.Busy {
		refusal.RetryAfter = r.p.runner.retryAfter(r.class)
	}
	return refusal
}

// withLoad puts the load into the next message.
func (r *relay) withLoad() {
	r.loadAt = r.p.deps.Clock.Now()
	r.reply.Load = r.p.reporter.load()
}
