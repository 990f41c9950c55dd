package peer

import (
	"context"
	"errors"
	"io"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// ReplyHooks are called with the information that comes with the replies of
// target processes.
type ReplyHooks struct {
	// OnLoad receives a load report.
	OnLoad func(r *member.TargetReport)
	// OnStamp receives the sender's stamp.
	OnStamp func(s *peerpb.Stamp)
	// OnConnectionLost is called after the connection to a target process
	// failed.
	OnConnectionLost func(t id.Target)
}

// targetClient is the client of target processes.
type targetClient struct {
	pool  *Pool
	clock clockwork.Clock
	hooks ReplyHooks
}

// NewTargetClient returns an entry's client of target processes.
func NewTargetClient(pool *Pool, clock clockwork.Clock, hooks ReplyHooks) request.TargetClient {
	c := &targetClient{pool: pool, clock: clock, hooks: hooks}
	return request.TargetClient{Start: c.start, Adopt: c.adopt, Find: c.find, Cancel: c.cancel}
}

func (c *targetClient) client(t *member.TargetReport) (peerpb.TargetClient, error) {
	conn, err := c.pool.Conn(t.Address)
	if err != nil {
		return nil, fault.Wrap("targetClient.client", request.Lost, err)
	}
	return peerpb.NewTargetClient(conn), nil
}

func (c *targetClient) start(ctx context.Context, t *member.TargetReport, s request.StartRequest) (*request.Stream, error) {
	return c.open(ctx, t, &peerpb.RunRequest{Message: &peerpb.RunRequest_Start{Start: &peerpb.Start{
		Spec:    peer.FromSpec(s.Spec),
		Epoch:   uint64(s.Epoch),
		Attempt: uint32(s.Attempt),
		Prefix:  peer.FromTokens(s.Prefix),
	}}})
}

func (c *targetClient) adopt(ctx context.Context, t *member.TargetReport, a request.AdoptRequest) (*request.Stream, error) {
	return c.open(ctx, t, &peerpb.RunRequest{Message: &peerpb.RunRequest_Adopt{Adopt: &peerpb.Adopt{
		Request: string(a.Request),
		Epoch:   uint64(a.Epoch),
		Attempt: uint32(a.Attempt),
		From:    uint32(a.From),
	}}})
}

// open opens a stream and sends its first message. It does not wait for a
// reply, so a refusal to start or adopt the attempt is returned by the first call
// of Next.
func (c *targetClient) open(ctx context.Context, t *member.TargetReport, first *peerpb.RunRequest) (*request.Stream, error) {
	client, err := c.client(t)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := client.Run(ctx)
	if err != nil {
		cancel()
		c.hooks.OnConnectionLost(t.Target)
		return nil, fault.Wrap("targetClient.open", request.Lost, err)
	}
	first.Stamp = c.pool.Stamp()
	if err := stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		cancel()
		return nil, fault.Wrap("targetClient.open", request.Lost, err)
	}
	r := &runStream{client: c, target: t.Target, stream: stream}
	return &request.Stream{Next: r.next, Close: cancel}, nil
}

// runStream reads the replies of one Run stream.
type runStream struct {
	client *targetClient
	target id.Target
	stream peerpb.Target_RunClient
}

// next waits for a frame with tokens or with the end of the attempt.
func (r *runStream) next() (request.Frame, error) {
	for {
		reply, err := r.stream.Recv()
		if err != nil {
			return request.Frame{}, r.connectionLost(err)
		}
		r.client.handleReply(reply.GetStamp(), reply.GetLoad())
		switch m := reply.Message.(type) {
		case *peerpb.RunReply_Tokens:
			return request.Frame{
				Attempt: id.Attempt(m.Tokens.Attempt),
				First:   id.TokenIndex(m.Tokens.First),
				Tokens:  peer.ToTokens(m.Tokens.Tokens),
			}, nil
		case *peerpb.RunReply_Finish:
			finish, err := peer.ToFinish(m.Finish)
			if err != nil {
				return request.Frame{}, fault.Wrap("runStream.next", request.EngineFailed, err)
			}
			return request.Frame{Attempt: id.Attempt(m.Finish.Attempt), Finish: finish}, nil
		case *peerpb.RunReply_Refused:
			return request.Frame{}, refusedError(m.Refused)
		}
	}
}

func (r *runStream) connectionLost(err error) error {
	if !errors.Is(err, io.EOF) && r.stream.Context().Err() == nil {
		r.client.hooks.OnConnectionLost(r.target)
	}
	return fault.Wrap("runStream.next", request.Lost, err)
}

// handleReply passes the stamp and load report of a reply to the hooks.
func (c *targetClient) handleReply(stamp *peerpb.Stamp, load *peerpb.Load) {
	if stamp != nil {
		c.hooks.OnStamp(stamp)
	}
	if load == nil {
		return
	}
	if report, err := peer.ToLoad(load, c.clock.Now()); err == nil {
		c.hooks.OnLoad(report)
	}
}

// refusedError returns the error for a refusal by a target process. An
// unknown kind is treated as a failure after the engine received the request.
func refusedError(m *peerpb.Refused) error {
	kind := request.Kind(m.GetKind())
	switch kind {
	case request.Busy, request.Leaving, request.Fenced, request.UnknownAttempt, request.Mismatch,
		request.Invalid, request.EngineFailed, request.Deadline:
	default:
		kind = request.TargetFailed
	}
	if !m.GetStarted() && (kind == request.TargetFailed || kind == request.EngineFailed || kind == request.Deadline) {
		// The engine did not receive the request, so another target may run it.
		kind = request.Busy
	}
	return fault.New("Target.Run", kind, "%s", m.GetDetail())
}

func (c *targetClient) find(ctx context.Context, t *member.TargetReport, r id.Request, epoch id.Epoch) ([]request.FoundAttempt, error) {
	client, err := c.client(t)
	if err != nil {
		return nil, err
	}
	reply, err := client.Find(ctx, &peerpb.FindRequest{Stamp: c.pool.Stamp(), Request: string(r), Epoch: uint64(epoch)})
	if err != nil {
		return nil, fault.Wrap("targetClient.find", request.Lost, err)
	}
	c.handleReply(reply.GetStamp(), nil)
	var out []request.FoundAttempt
	for _, m := range reply.GetAttempts() {
		f, err := toFoundAttempt(t, m)
		if err != nil {
			return nil, fault.Wrap("targetClient.find", request.TargetFailed, err)
		}
		out = append(out, *f)
	}
	return out, nil
}

// stateRunning is the state of an attempt that runs on the engine.
const stateRunning = "running"

func toFoundAttempt(t *member.TargetReport, m *peerpb.FoundAttempt) (*request.FoundAttempt, error) {
	spec, err := peer.ToSpec(m.GetSpec())
	if err != nil {
		return nil, err
	}
	finish, err := peer.ToFinish(m.GetFinish())
	if err != nil {
		return nil, err
	}
	return &request.FoundAttempt{
		Target:  *t,
		Spec:    spec,
		Epoch:   id.Epoch(m.GetEpoch()),
		Attempt: id.Attempt(m.GetAttempt()),
		Running: m.GetState() == stateRunning,
		Tokens:  peer.ToTokens(m.GetTokens()),
		Finish:  finish,
	}, nil
}

func (c *targetClient) cancel(ctx context.Context, t *member.TargetReport, r id.Request, epoch id.Epoch, below id.Attempt) error {
	client, err := c.client(t)
	if err != nil {
		return err
	}
	_, err = client.Cancel(ctx, &peerpb.CancelRequest{
		Stamp: c.pool.Stamp(), Request: string(r), Epoch: uint64(epoch), Below: uint32(below),
	})
	return fault.Wrap("targetClient.cancel", request.Lost, err)
}

// newTokens returns the message for tokens of an attempt.
func newTokens(attempt id.Attempt, first id.TokenIndex, tokens []generation.Token) *peerpb.Tokens {
	return &peerpb.Tokens{Attempt: uint32(attempt), First: uint32(first), Tokens: peer.FromTokens(tokens)}
}
