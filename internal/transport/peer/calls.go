package peer

import (
	"context"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc/connectivity"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/placement"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// ServiceClient is the client of target processes beside plain services.
type ServiceClient struct {
	link link
}

// NewServiceClient returns a client over pool.
func NewServiceClient(pool *Pool, clock clockwork.Clock, reports ReplyHooks) *ServiceClient {
	return &ServiceClient{link: link{pool: pool, clock: clock, reports: reports}}
}

// Call sends a call that needs no claim. Its errors are Busy when the service
// surely did not see it, else Lost.
func (c *ServiceClient) Call(ctx context.Context, t *member.TargetReport, r id.Request, call *answer.Call) (*answer.Reply, error) {
	reply, err := c.Send(ctx, t, r, call, 0)
	if err != nil {
		return nil, err
	}
	switch reply.GetOutcome() {
	case peer.OutcomeDone:
		return peer.ToCallReply(r, reply), nil
	case peer.OutcomeNotRun:
		return nil, fault.New("Calls.Call", request.Busy, "%s", reply.GetDetail())
	default:
		return nil, fault.New("Calls.Call", request.Lost, "%s", reply.GetDetail())
	}
}

// Send sends a call and returns the target process's word on it. A claim's
// incarnation is 0 for calls that need no claim.
func (c *ServiceClient) Send(ctx context.Context, t *member.TargetReport, r id.Request, call *answer.Call,
	claimed id.Incarnation,
) (*peerpb.CallReply, error) {
	client, err := c.link.client(t)
	if err != nil {
		return nil, fault.Wrap("Calls.Send", request.Busy, err)
	}
	m := peer.FromCall(r, call)
	m.Stamp = c.link.pool.Stamp()
	m.ClaimedIncarnation = int64(claimed)
	reply, err := client.Call(ctx, m)
	if err != nil {
		c.link.reports.OnConnectionLost(t.Target)
		return nil, fault.Wrap("Calls.Send", request.Lost, err)
	}
	c.link.take(reply.GetStamp(), reply.GetLoad())
	return reply, nil
}

// Connect connects to a target process. After an error nothing was sent, so a
// call can still go to another target. The error's kind is Busy.
func (c *ServiceClient) Connect(ctx context.Context, t *member.TargetReport) error {
	conn, err := c.link.pool.Conn(t.Address)
	if err != nil {
		return fault.Wrap("Calls.Reach", request.Busy, err)
	}
	tried := false
	for {
		state := conn.GetState()
		switch {
		case state == connectivity.Ready:
			return nil
		case state == connectivity.Idle:
			conn.Connect()
		case state == connectivity.TransientFailure && !tried:
			// The failure may be old.
			conn.ResetConnectBackoff()
		case state == connectivity.TransientFailure || state == connectivity.Shutdown:
			c.link.reports.OnConnectionLost(t.Target)
			return fault.New("Calls.Reach", request.Busy, "target %s takes no connection", t.Target)
		}
		tried = tried || state != connectivity.Idle
		if !conn.WaitForStateChange(ctx, state) {
			return fault.Wrap("Calls.Reach", request.Busy, ctx.Err())
		}
	}
}

// Fence asks what became of a claimed call and forbids it if it has not run.
func (c *ServiceClient) Fence(ctx context.Context, t *member.TargetReport, r id.Request, claimed id.Incarnation) (*peerpb.CallReply, error) {
	client, err := c.link.client(t)
	if err != nil {
		return nil, err
	}
	reply, err := client.FenceCall(ctx, &peerpb.FenceCallRequest{
		Stamp: c.link.pool.Stamp(), Request: string(r), ClaimedIncarnation: int64(claimed),
	})
	if err != nil {
		return nil, fault.Wrap("Calls.Fence", request.Lost, err)
	}
	c.link.take(reply.GetStamp(), reply.GetLoad())
	return reply, nil
}

// Call passes a call on to another entry.
func (r *EntryClient) Call(ctx context.Context, e id.Entry, call answer.Call, via request.Via) (*answer.Reply, error) {
	client, err := r.client(e)
	if err != nil {
		return nil, err
	}
	m := &peerpb.RelayCallRequest{Stamp: r.pool.Stamp(), Call: peer.FromCall("", &call), Via: joinVia(via)}
	reply, err := client.RelayCall(ctx, m)
	if err != nil {
		return nil, fault.Wrap("Relays.Call", request.Lost, err)
	}
	if s := reply.GetStamp(); s != nil {
		r.OnStamp(s)
	}
	if refused := reply.GetRefused(); refused != nil {
		return nil, toRefusal(refused)
	}
	return peer.ToCallReply(id.Request(reply.GetRequest()), reply), nil
}

// FromCallResult returns the message for the outcome of a call that was passed on. A
// refusal is told as a message, so that it is not taken for a loss.
func FromCallResult(reply *answer.Reply, err error) (*peerpb.CallReply, error) {
	if refusal, ok := asRefusal(err); ok {
		return &peerpb.CallReply{Refused: fromRefusal(refusal)}, nil
	}
	if err != nil {
		return nil, err
	}
	m := peer.FromCallReply(reply)
	m.Request = string(reply.Request)
	return m, nil
}

// ToForwardedCall returns the call in m and the way it came.
func ToForwardedCall(m *peerpb.RelayCallRequest) (answer.Call, request.Via) {
	return peer.ToCall(m.GetCall()), splitVia(m.GetVia())
}

// Share asks another entry for limits that it owns.
func (r *EntryClient) Share(ctx context.Context, e id.Entry, m *peerpb.ShareRequest) (*peerpb.ShareReply, error) {
	client, err := r.client(e)
	if err != nil {
		return nil, err
	}
	reply, err := client.Share(ctx, m)
	return reply, fault.Wrap("Relays.Share", request.Lost, err)
}

// Explain asks another entry what it decided about a request.
func (r *EntryClient) Explain(ctx context.Context, e id.Entry, about id.Request) (*peerpb.ExplainReply, error) {
	client, err := r.client(e)
	if err != nil {
		return nil, err
	}
	reply, err := client.Explain(ctx, &peerpb.ExplainRequest{Stamp: r.pool.Stamp(), Request: string(about)})
	return reply, fault.Wrap("Relays.Explain", request.Lost, err)
}

// Order gives a target an order of the process that decides on placement.
func (c *ServiceClient) Order(ctx context.Context, t *member.TargetReport, o *placement.Order) (*peerpb.OrderReply, error) {
	client, err := c.link.client(t)
	if err != nil {
		return nil, err
	}
	reply, err := client.Order(ctx, &peerpb.OrderRequest{
		Stamp: c.link.pool.Stamp(), Id: string(o.ID), Fence: int64(o.Fence), Kind: string(o.Kind),
		Model: string(o.Model), Version: string(o.Version), Adapter: string(o.Adapter), Role: string(o.Role),
	})
	if err != nil {
		return nil, fault.Wrap("Calls.Order", request.Lost, err)
	}
	c.link.take(reply.GetStamp(), nil)
	return reply, nil
}
