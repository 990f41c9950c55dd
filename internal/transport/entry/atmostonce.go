package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/claim"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/policy"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/coordination/store"
	peermsg "foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

// Timing of calls that must not be repeated.
const (
	// claimRetention is how long an idempotency key is kept. Within this time, a
	// call that is sent again with its key does not run again.
	claimRetention = 24 * time.Hour
	// claimReadTimeout limits one read of a claim.
	claimReadTimeout = 3 * time.Second
	// fenceTimeout limits the fence of a call whose own deadline has passed.
	fenceTimeout = 2 * time.Second
	// connectTimeout limits the time to connect to a target process.
	connectTimeout = time.Second
	// atMostOnceRetryAfter is how long a caller should wait before it retries a
	// call that did not run or whose outcome is unknown.
	atMostOnceRetryAfter = 2 * time.Second
)

// maxConnectAttempts limits how many targets are tried before a call is claimed.
const maxConnectAttempts = 4

// atMostOnce runs calls that must not be repeated.
type atMostOnce struct {
	process       *Process
	serviceClient *peer.ServiceClient
	// claimer is nil when there is no key-value service.
	claimer *claim.Claimer
}

// services returns the functions with which the call coordinator routes and runs
// calls.
func (p *Process) services(pol *policy.Policy, client *peer.ServiceClient) request.Services {
	o := &atMostOnce{process: p, serviceClient: client}
	if s := p.deps.Store; s != nil {
		leases := &claim.Leases{Grant: s.Grant, Clock: p.deps.Clock, MinRetention: claimRetention}
		batch := claim.NewBatcher(s.Commit)
		o.claimer = &claim.Claimer{
			Get: getWithTimeout(s), Commit: leases.Bind(batch.Commit), Fence: o.fence, Clock: p.deps.Clock,
		}
	}
	return request.Services{Route: pol.PlaceCall, Call: client.Call, CallAtMostOnce: o.run, RefuseAtMostOnce: o.refuse}
}

func getWithTimeout(s *store.Store) func(ctx context.Context, key string) (store.Item, error) {
	return func(ctx context.Context, key string) (store.Item, error) {
		ctx, cancel := context.WithTimeout(ctx, claimReadTimeout)
		defer cancel()
		return s.Get(ctx, key)
	}
}

// run claims a call, sends it once and returns its outcome.
func (o *atMostOnce) run(ctx context.Context, call *request.AtMostOnceCall) (*answer.Reply, error) {
	if o.claimer == nil {
		return nil, o.refuseNoStore(call, nil)
	}
	choice := o.selectTarget(ctx, call)
	if choice.Action != request.Dispatch {
		refusal := answer.NewRefusal(answer.CauseNoTarget, "%s", choice.Reason)
		refusal.RetryAfter = choice.Wait
		return o.refuse(ctx, call, refusal)
	}
	work := o.invocation(call)
	work.Target, work.Incarnation = choice.Target.Target, choice.Target.Incarnation
	sent := false
	work.Call = func(ctx context.Context, c claim.Claim) (claim.Outcome, *claim.Reply, error) {
		sent = true
		o.emit(event.ClaimMade, call, "target", c.Target)
		call.RecordStep("claimed", c.Target, "the call is sent to this target once")
		return outcomeOf(o.serviceClient.Send(ctx, &choice.Target, call.Request, call.Call, c.Incarnation))
	}
	result := o.claimer.Do(ctx, work)
	return o.response(call, &result, sent, nil)
}

// selectTarget chooses a target and connects to it, so that a call is not claimed
// for a target that is gone. If the message were lost after the claim, nobody could
// tell whether the call ran.
func (o *atMostOnce) selectTarget(ctx context.Context, call *request.AtMostOnceCall) request.Choice {
	var exclude []id.Target
	for {
		choice := call.Route(exclude)
		if choice.Action != request.Dispatch {
			return choice
		}
		err := o.connect(ctx, &choice.Target)
		if err == nil {
			return choice
		}
		call.RecordStep("notReached", choice.Target.Target, err.Error())
		exclude = append(exclude, choice.Target.Target)
		if len(exclude) == maxConnectAttempts {
			return request.Choice{Action: request.GiveUp, Wait: atMostOnceRetryAfter, Reason: "no target could be reached"}
		}
	}
}

func (o *atMostOnce) connect(ctx context.Context, t *member.TargetReport) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return o.serviceClient.Connect(ctx, t)
}

// refuse ends a call that was refused before it was claimed. The claimer determines
// the outcome, because an earlier request with the same key may have run the call.
func (o *atMostOnce) refuse(ctx context.Context, call *request.AtMostOnceCall, refusal *answer.Refusal) (*answer.Reply, error) {
	if o.claimer == nil {
		return nil, o.refuseNoStore(call, refusal)
	}
	result := o.claimer.Refuse(ctx, o.invocation(call))
	return o.response(call, &result, false, refusal)
}

func (o *atMostOnce) invocation(call *request.AtMostOnceCall) claim.Invocation {
	return claim.Invocation{Request: call.Request, Fingerprint: call.Fingerprint, Owner: o.process.settings.Name}
}

// refuseNoStore refuses a call because this entry has no key-value service to claim
// it with. An earlier request with the same key may have reached an entry that has
// one, so the outcome is unknown.
func (o *atMostOnce) refuseNoStore(call *request.AtMostOnceCall, refusal *answer.Refusal) *answer.Refusal {
	o.emit(event.ClaimRefused, call, "reason", "no key-value service is set")
	if refusal == nil {
		refusal = answer.NewRefusal(answer.CauseStoreDown,
			"this sending was not run, because the entry has no key-value service; whether one before it was is not known")
	}
	refusal.Outcome, refusal.Request = answer.Unknown, call.Request
	return refusal
}

// fence requests from the claim's target process whether the call ran, and prevents it from
// running later.
func (o *atMostOnce) fence(ctx context.Context, c claim.Claim) (claim.Outcome, *claim.Reply, error) {
	t, ok := o.process.view.TargetReport(c.Target)
	if !ok {
		return claim.Unknown, nil, fault.New("atMostOnce.fence", request.Lost, "target %s is not known", c.Target)
	}
	if ctx.Err() != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), fenceTimeout)
		defer cancel()
	}
	return outcomeOf(o.serviceClient.Fence(ctx, &t, c.Request, c.Incarnation))
}

// outcomeOf converts a target process's reply.
func outcomeOf(m *peerpb.CallReply, err error) (claim.Outcome, *claim.Reply, error) {
	if err != nil {
		return claim.Unknown, nil, err
	}
	switch m.GetOutcome() {
	case peermsg.OutcomeDone:
		reply := peermsg.ToCallReply("", m)
		return claim.Done, &claim.Reply{Status: reply.Status, Header: reply.Header, Body: reply.Body}, nil
	case peermsg.OutcomeNotRun:
		return claim.NotRun, nil, nil
	}
	return claim.Unknown, nil, fault.New("outcomeOf", request.Lost, "%s", m.GetDetail())
}

// response returns the reply or refusal for a call's result. refusal is set if the
// call was refused before it was claimed.
func (o *atMostOnce) response(call *request.AtMostOnceCall, result *claim.Result, sent bool, refusal *answer.Refusal) (*answer.Reply, error) {
	call.RecordStep(string(result.Outcome), result.Claim.Target, "by the claim of "+string(result.Claim.Owner)+errorSuffix(result.Err))
	switch {
	case result.Conflict:
		return nil, &answer.Refusal{
			Outcome: answer.Failed, Cause: answer.CauseConflict, Request: call.Request,
			Detail: "the idempotency key belongs to another call",
		}
	case result.Outcome == claim.Done:
		return replyOf(call, result)
	case result.Outcome == claim.NotRun:
		return nil, refuseNotRun(call, refusal)
	}
	return nil, o.refuseUnknown(call, result, sent, refusal)
}

func errorSuffix(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// replyOf returns the service's reply. A reply that was too large to be stored with
// the claim is only available to the request that ran the call.
func replyOf(call *request.AtMostOnceCall, result *claim.Result) (*answer.Reply, error) {
	if r := result.Reply; r != nil {
		return &answer.Reply{Request: call.Request, Status: r.Status, Header: r.Header, Body: r.Body}, nil
	}
	return nil, &answer.Refusal{
		Outcome: answer.Failed, Cause: answer.CauseLost, Request: call.Request,
		Detail: "the call ran once, and its reply is no longer kept",
	}
}

// refuseNotRun returns the refusal of a call that did not run and never will under
// its key.
func refuseNotRun(call *request.AtMostOnceCall, refusal *answer.Refusal) *answer.Refusal {
	if refusal == nil {
		refusal = answer.NewRefusal(answer.CauseNoTarget, "no target ran the call")
		refusal.RetryAfter = atMostOnceRetryAfter
	}
	refusal.Request = call.Request
	refusal.Detail += "; it did not run and never will under this key, so send it under a new one"
	return refusal
}

// refuseUnknown returns the refusal of a call that neither certainly ran nor
// certainly did not. Retrying with the same key is safe.
func (o *atMostOnce) refuseUnknown(call *request.AtMostOnceCall, result *claim.Result, sent bool, refusal *answer.Refusal) *answer.Refusal {
	e := event.ClaimUnknown
	if !sent {
		e = event.ClaimRefused
	}
	o.emit(e, call, "target", result.Claim.Target, "error", result.Err)
	out := &answer.Refusal{
		Outcome: answer.Unknown, Cause: answer.CauseLost, Request: call.Request, RetryAfter: atMostOnceRetryAfter,
		Detail: "whether the call ran is not known now; ask again with the same key, it runs at most once",
	}
	if refusal != nil {
		out.Cause, out.RetryAfter = refusal.Cause, max(refusal.RetryAfter, atMostOnceRetryAfter)
		out.Detail = refusal.Detail + "; " + out.Detail
	}
	if _, ok := fault.KindOf[store.Kind](result.Err); ok && !sent {
		if refusal == nil {
			out.Cause = answer.CauseStoreDown
		}
		out.Detail = "this sending was not run, because the key-value service does not answer; " + out.Detail
	}
	return out
}

func (o *atMostOnce) emit(e event.Event, call *request.AtMostOnceCall, fields ...any) {
	common := []any{"request", call.Request, "contract", call.Call.Contract.Name, "service", call.Call.Service}
	o.process.emit(e, append(common, fields...)...)
}

// explainCall returns the decisions made here about a keyed call.
func (p *Process) explainCall(r id.Request) (*status.Explanation, bool) {
	known, ok := p.callCoordinator.Find(r)
	if !ok {
		return nil, false
	}
	e := &status.Explanation{
		Request: r, Contract: known.Contract, Owner: p.settings.Name, Service: known.Service,
		State: status.RequestState(known.State),
	}
	for _, d := range known.Decisions {
		e.Decisions = append(e.Decisions, decisionOf(d.At, d.Step, d.Target, d.Reason))
	}
	return e, true
}

// callDecisions returns the decisions made here about a keyed call, for another
// entry.
func (p *Process) callDecisions(r id.Request) *peerpb.ExplainReply {
	known, ok := p.callCoordinator.Find(r)
	if !ok {
		return &peerpb.ExplainReply{}
	}
	reply := &peerpb.ExplainReply{Found: true, Contract: string(known.Contract), State: string(known.State)}
	for _, d := range known.Decisions {
		reply.Decisions = append(reply.Decisions, &peerpb.Decision{
			AtUnixMs: d.At.UnixMilli(), Step: d.Step, Target: string(d.Target), Reason: d.Reason,
		})
	}
	return reply
}
