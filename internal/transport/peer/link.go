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

// ReplyHooks takes what comes with the replies of target processes.
type ReplyHooks struct {
	// OnLoad takes a load report.
	OnLoad func(r *member.TargetReport)
	// OnStamp takes the sender's stamp.
	OnStamp func(s *peerpb.Stamp)
	// OnConnectionLost tells that the connection to a target process failed.
	OnConnectionLost func(t id.Target)
}

// link is the client of target processes.
type link struct {
	pool    *Pool
	clock   clockwork.Clock
	reports ReplyHooks
}

// NewTargetClient returns the link of an entry to target processes.
func NewTargetClient(pool *Pool, clock clockwork.Clock, reports ReplyHooks) request.TargetClient {
	l := &link{pool: pool, clock: clock, reports: reports}
	return request.TargetClient{Start: l.start, Adopt: l.adopt, Find: l.find, Cancel: l.cancel}
}

func (l *link) client(t *member.TargetReport) (peerpb.TargetClient, error) {
	conn, err := l.pool.Conn(t.Address)
	if err != nil {
		return nil, fault.Wrap("link.client", request.Lost, err)
	}
	return peerpb.NewTargetClient(conn), nil
}

func (l *link) start(ctx context.Context, t *member.TargetReport, s request.StartRequest) (*request.Stream, error) {
	return l.open(ctx, t, &peerpb.RunRequest{Message: &peerpb.RunRequest_Start{Start: &peerpb.Start{
		Spec:    peer.FromSpec(s.Spec),
		Epoch:   uint64(s.Epoch),
		Attempt: uint32(s.Attempt),
		Prefix:  peer.FromTokens(s.Prefix),
	}}})
}

func (l *link) adopt(ctx context.Context, t *member.TargetReport, a request.AdoptRequest) (*request.Stream, error) {
	return l.open(ctx, t, &peerpb.RunRequest{Message: &peerpb.RunRequest_Adopt{Adopt: &peerpb.Adopt{
		Request: string(a.Request),
		Epoch:   uint64(a.Epoch),
		Attempt: uint32(a.Attempt),
		From:    uint32(a.From),
	}}})
}

// open opens a stream and sends its first message. Whether the target process
// accepts it shows in the first frame.
func (l *link) open(ctx context.Context, t *member.TargetReport, first *peerpb.RunRequest) (*request.Stream, error) {
	client, err := l.client(t)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := client.Run(ctx)
	if err != nil {
		cancel()
		l.reports.OnConnectionLost(t.Target)
		return nil, fault.Wrap("link.open", request.Lost, err)
	}
	first.Stamp = l.pool.Stamp()
	if err := stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		cancel()
		return nil, fault.Wrap("link.open", request.Lost, err)
	}
	r := &run{link: l, target: t.Target, stream: stream}
	return &request.Stream{Next: r.next, Close: cancel}, nil
}

// run reads one stream.
type run struct {
	link   *link
	target id.Target
	stream peerpb.Target_RunClient
}

// next waits for a frame with tokens or the end.
func (r *run) next() (request.Frame, error) {
	for {
		reply, err := r.stream.Recv()
		if err != nil {
			return request.Frame{}, r.broken(err)
		}
		r.link.take(reply.GetStamp(), reply.GetLoad())
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
				return request.Frame{}, fault.Wrap("run.next", request.EngineFailed, err)
			}
			return request.Frame{Attempt: id.Attempt(m.Finish.Attempt), Finish: finish}, nil
		case *peerpb.RunReply_Refused:
			return request.Frame{}, refusedError(m.Refused)
		}
	}
}

func (r *run) broken(err error) error {
	if !errors.Is(err, io.EOF) && r.stream.Context().Err() == nil {
		r.link.reports.OnConnectionLost(r.target)
	}
	return fault.Wrap("run.next", request.Lost, err)
}

// take hands on what comes with every reply.
func (l *link) take(stamp *peerpb.Stamp, load *peerpb.Load) {
	if stamp != nil {
		l.reports.OnStamp(stamp)
	}
	if load == nil {
		return
	}
	if report, err := peer.ToLoad(load, l.clock.Now()); err == nil {
		l.reports.OnLoad(report)
	}
}

// refusedError returns the error for a refusal by a target process. A kind
// that this version does not know counts as one where the engine was reached.
func refusedError(m *peerpb.Refused) error {
	kind := request.Kind(m.GetKind())
	switch kind {
	case request.Busy, request.Leaving, request.Fenced, request.UnknownAttempt, request.Mismatch,
		request.Invalid, request.EngineFailed, request.Deadline:
	default:
		kind = request.TargetFailed
	}
	if !m.GetStarted() && (kind == request.TargetFailed || kind == request.EngineFailed || kind == request.Deadline) {
		// The engine was not reached, so another target may be asked.
		kind = request.Busy
	}
	return fault.New("Target.Run", kind, "%s", m.GetDetail())
}

func (l *link) find(ctx context.Context, t *member.TargetReport, r id.Request, epoch id.Epoch) ([]request.FoundAttempt, error) {
	client, err := l.client(t)
	if err != nil {
		return nil, err
	}
	reply, err := client.Find(ctx, &peerpb.FindRequest{Stamp: l.pool.Stamp(), Request: string(r), Epoch: uint64(epoch)})
	if err != nil {
		return nil, fault.Wrap("link.find", request.Lost, err)
	}
	l.take(reply.GetStamp(), nil)
	var out []request.FoundAttempt
	for _, m := range reply.GetAttempts() {
		f, err := toFound(t, m)
		if err != nil {
			return nil, fault.Wrap("link.find", request.TargetFailed, err)
		}
		out = append(out, *f)
	}
	return out, nil
}

// stateRunning is the state of an attempt that the engine works on.
const stateRunning = "running"

func toFound(t *member.TargetReport, m *peerpb.FoundAttempt) (*request.FoundAttempt, error) {
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

func (l *link) cancel(ctx context.Context, t *member.TargetReport, r id.Request, epoch id.Epoch, below id.Attempt) error {
	client, err := l.client(t)
	if err != nil {
		return err
	}
	_, err = client.Cancel(ctx, &peerpb.CancelRequest{
		Stamp: l.pool.Stamp(), Request: string(r), Epoch: uint64(epoch), Below: uint32(below),
	})
	return fault.Wrap("link.cancel", request.Lost, err)
}

// tokensOf returns the message for tokens of an attempt.
func tokensOf(attempt id.Attempt, first id.TokenIndex, tokens []generation.Token) *peerpb.Tokens {
	return &peerpb.Tokens{Attempt: uint32(attempt), First: uint32(first), Tokens: peer.FromTokens(tokens)}
}
