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

// ServiceClient calls target processes that run beside plain services, and
// sends orders to target processes.
type ServiceClient struct {
	target targetClient
}

// NewServiceClient returns a client that uses the connections of pool.
func NewServiceClient(pool *Pool, clock clockwork.Clock, hooks ReplyHooks) *ServiceClient {
	return &ServiceClient{target: targetClient{pool: pool, clock: clock, hooks: hooks}}
}

// Call sends a call that needs no claim. The error's kind is Busy if the
// service certainly did not receive the call, and Lost otherwise.
func (c *ServiceClient) Call(ctx context.Context, t *member.TargetReport, r id.Request, call *answer.Call) (*answer.Reply, error) {
	reply, err := c.Send(ctx, t, r, call, 0)
	if err != nil {
		return nil, err
	}
	switch reply.GetOutcome() {
	case peer.OutcomeDone:
		return peer.ToCallReply(r, reply), nil
	case peer.OutcomeNotRun:
		return nil, fault.New("ServiceClient.Call", request.Busy, "%s", reply.GetDetail())
	default:
		return nil, fault.New("ServiceClient.Call", request.Lost, "%s", reply.GetDetail())
	}
}

// Send sends a call and returns the target process's reply. claimed is the
// incarnation in the call's claim, or 0 for a call without a claim.
func (c *ServiceClient) Send(ctx context.Context, t *member.TargetReport, r id.Request, call *answer.Call,
	claimed id.Incarnation,
) (*peerpb.CallReply, error) {
	client, err := c.target.client(t)
	if err != nil {
		return nil, fault.Wrap("ServiceClient.Send", request.Busy, err)
	}
	m := peer.FromCall(r, call)
	m.Stamp = c.target.pool.Stamp()
	m.ClaimedIncarnation = int64(claimed)
	reply, err := client.Call(ctx, m)
	if err != nil {
		c.target.hooks.OnConnectionLost(t.Target)
		return nil, fault.Wrap("ServiceClient.Send", request.Lost, err)
	}
	c.target.handleReply(reply.GetStamp(), reply.GetLoad())
	return reply, nil
}

// Connect connects to a target process. An error has the kind Busy and means
// that nothing was sent, so the call can still go to another target.
func (c *ServiceClient) Connect(ctx context.Context, t *member.TargetReport) error {
	conn, err := c.target.pool.Conn(t.Address)
	if err != nil {
		return fault.Wrap("ServiceClient.Connect", request.Busy, err)
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
			// The failure may date from an earlier attempt, so connect again without
			// waiting for the backoff.
			conn.ResetConnectBackoff()
		case state == connectivity.TransientFailure || state == connectivity.Shutdown:
			c.target.hooks.OnConnectionLost(t.Target)
			return fault.New("ServiceClient.Connect", request.Busy, "target %s takes no connection", t.Target)
		}
		tried = tried || state != connectivity.Idle
		if !conn.WaitForStateChange(ctx, state) {
			return fault.Wrap("ServiceClient.Connect", request.Busy, ctx.Err())
		}
	}
}

// Fence returns the outcome of a claimed call. A call that has not run is
// prevented from running.
func (c *ServiceClient) Fence(ctx context.Context, t *member.TargetReport, r id.Request, claimed id.Incarnation) (*peerpb.CallReply, error) {
	client, err := c.target.client(t)
	if err != nil {
		return nil, err
	}
	reply, err := client.FenceCall(ctx, &peerpb.FenceCallRequest{
		Stamp: c.target.pool.Stamp(), Request: string(r), ClaimedIncarnation: int64(claimed),
	})
	if err != nil {
		return nil, fault.Wrap("ServiceClient.Fence", request.Lost, err)
	}
	c.target.handleReply(reply.GetStamp(), reply.GetLoad())
	return reply, nil
}

// Call forwards a call to another entry.
func (c *EntryClient) Call(ctx context.Context, e id.Entry, call answer.Call, via request.Via) (*answer.Reply, error) {
	client, err := c.client(e)
	if err != nil {
		return nil, err
	}
	m := &peerpb.RelayCallRequest{Stamp: c.pool.Stamp(), Call: peer.FromCall("", &call), Via: joinVia(via)}
	reply, err := client.RelayCall(ctx, m)
	if err != nil {
		return nil, fault.Wrap("EntryClient.Call", request.Lost, err)
	}
	if s := reply.GetStamp(); s != nil {
		c.OnStamp(s)
	}
	if refused := reply.GetRefused(); refused != nil {
		return nil, toRefusal(refused)
	}
	if reply.GetOutcome() != peer.OutcomeDone {
		return nil, fault.New("EntryClient.Call", request.Lost, "the entry's reply has outcome %q, want done", reply.GetOutcome())
	}
	return peer.ToCallReply(id.Request(reply.GetRequest()), reply), nil
}

// FromCallResult returns the reply to a forwarded call. A refusal is returned
// as a message and not as an error, so that the other entry does not take it
// for a lost connection.
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

// ToForwardedCall returns the call in m and the entries that forwarded it.
func ToForwardedCall(m *peerpb.RelayCallRequest) (answer.Call, request.Via) {
	return peer.ToCall(m.GetCall()), splitVia(m.GetVia())
}

// Share requests shares of limits from the entry that owns them.
func (c *EntryClient) Share(ctx context.Context, e id.Entry, m *peerpb.ShareRequest) (*peerpb.ShareReply, error) {
	client, err := c.client(e)
	if err != nil {
		return nil, err
	}
	reply, err := client.Share(ctx, m)
	return reply, fault.Wrap("EntryClient.Share", request.Lost, err)
}

// Explain requests the decisions that another entry made about a request.
func (c *EntryClient) Explain(ctx context.Context, e id.Entry, about id.Request) (*peerpb.ExplainReply, error) {
	client, err := c.client(e)
	if err != nil {
		return nil, err
	}
	reply, err := client.Explain(ctx, &peerpb.ExplainRequest{Stamp: c.pool.Stamp(), Request: string(about)})
	return reply, fault.Wrap("EntryClient.Explain", request.Lost, err)
}

// Order sends an order of the placement leader to a target.
func (c *ServiceClient) Order(ctx context.Context, t *member.TargetReport, o *placement.Order) (*peerpb.OrderReply, error) {
	client, err := c.target.client(t)
	if err != nil {
		return nil, err
	}
	reply, err := client.Order(ctx, &peerpb.OrderRequest{
		Stamp: c.target.pool.Stamp(), Id: string(o.ID), Fence: int64(o.Fence), Kind: string(o.Kind),
		Model: string(o.Model), Version: string(o.Version), Adapter: string(o.Adapter), Role: string(o.Role),
	})
	if err != nil {
		return nil, fault.Wrap("ServiceClient.Order", request.Lost, err)
	}
	c.target.handleReply(reply.GetStamp(), nil)
	return reply, nil
}
