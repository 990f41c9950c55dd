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

// Times of calls that may not be repeated.
const (
	// claimKeep is how long a key holds: the same call may come again with it,
	// and is not run again.
	claimKeep = 24 * time.Hour
	// claimRead bounds one read of a claim.
	claimRead = 3 * time.Second
	// fenceGrace bounds the question what became of a call whose time is over.
	fenceGrace = 2 * time.Second
	// reachTimeout bounds the connection to a target process.
	reachTimeout = time.Second
	// onceRetry is when a caller that was told nothing certain may ask again.
	onceRetry = 2 * time.Second
)

// onceTries bounds how many targets are tried before a call is claimed.
const onceTries = 4

// once runs calls that may not be repeated.
type once struct {
	process *Process
	calls   *peer.ServiceClient
	// claimer is nil when there is no key-value service.
	claimer *claim.Claimer
}

// services returns what the counter of calls works with.
func (p *Process) services(owner *policy.Policy, calls *peer.ServiceClient) request.Services {
	o := &once{process: p, calls: calls}
	if s := p.deps.Store; s != nil {
		leases := &claim.Leases{Grant: s.Grant, Clock: p.deps.Clock, MinRetention: claimKeep}
		batch := claim.NewBatcher(s.Commit)
		o.claimer = &claim.Claimer{
			Get: boundedGet(s), Commit: leases.Bind(batch.Commit), Fence: o.fence, Clock: p.deps.Clock,
		}
	}
	return request.Services{Route: owner.PlaceCall, Call: calls.Call, CallAtMostOnce: o.run, RefuseAtMostOnce: o.forbid}
}

func boundedGet(s *store.Store) func(ctx context.Context, key string) (store.Item, error) {
	return func(ctx context.Context, key string) (store.Item, error) {
		ctx, cancel := context.WithTimeout(ctx, claimRead)
		defer cancel()
		return s.Get(ctx, key)
	}
}

// run claims a call, sends it once and tells what became of it.
func (o *once) run(ctx context.Context, call *request.AtMostOnceCall) (*answer.Reply, error) {
	if o.claimer == nil {
		return nil, o.noStore(call, nil)
	}
	choice := o.place(ctx, call)
	if choice.Action != request.Dispatch {
		refusal := answer.NewRefusal(answer.CauseNoTarget, "%s", choice.Reason)
		refusal.RetryAfter = choice.Wait
		return o.forbid(ctx, call, refusal)
	}
	work := o.work(call)
	work.Target, work.Incarnation = choice.Target.Target, choice.Target.Incarnation
	sent := false
	work.Call = func(ctx context.Context, c claim.Claim) (claim.Outcome, *claim.Reply, error) {
		sent = true
		o.emit(event.ClaimMade, call, "target", c.Target)
		call.RecordStep("claimed", c.Target, "the call is sent to this target once")
		return outcomeOf(o.calls.Send(ctx, &choice.Target, call.Request, call.Call, c.Incarnation))
	}
	result := o.claimer.Do(ctx, work)
	return o.answer(call, &result, sent, nil)
}

// place chooses a target that can be reached, so that a target that is gone is
// not claimed for: what a lost message did cannot be known.
func (o *once) place(ctx context.Context, call *request.AtMostOnceCall) request.Choice {
	var exclude []id.Target
	for {
		choice := call.Route(exclude)
		if choice.Action != request.Dispatch {
			return choice
		}
		err := o.reach(ctx, &choice.Target)
		if err == nil {
			return choice
		}
		call.RecordStep("notReached", choice.Target.Target, err.Error())
		exclude = append(exclude, choice.Target.Target)
		if len(exclude) == onceTries {
			return request.Choice{Action: request.GiveUp, Wait: onceRetry, Reason: "no target could be reached"}
		}
	}
}

func (o *once) reach(ctx context.Context, t *member.TargetReport) error {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return o.calls.Connect(ctx, t)
}

// forbid ends a call that was refused before it was claimed.
func (o *once) forbid(ctx context.Context, call *request.AtMostOnceCall, refusal *answer.Refusal) (*answer.Reply, error) {
	if o.claimer == nil {
		return nil, o.noStore(call, refusal)
	}
	result := o.claimer.Refuse(ctx, o.work(call))
	return o.answer(call, &result, false, refusal)
}

func (o *once) work(call *request.AtMostOnceCall) claim.Invocation {
	return claim.Invocation{Request: call.Request, Fingerprint: call.Fingerprint, Owner: o.process.settings.Name}
}

// noStore refuses a call that cannot be claimed at all. Another entry may have
// a key-value service, so nothing is said of earlier sendings.
func (o *once) noStore(call *request.AtMostOnceCall, refusal *answer.Refusal) *answer.Refusal {
	o.emit(event.ClaimRefused, call, "reason", "no key-value service is set")
	if refusal == nil {
		refusal = answer.NewRefusal(answer.CauseStoreDown,
			"this sending was not run, because the entry has no key-value service; whether one before it was is not known")
	}
	refusal.Outcome, refusal.Request = answer.Unknown, call.Request
	return refusal
}

// fence asks the target process of a claim what became of the call.
func (o *once) fence(ctx context.Context, c claim.Claim) (claim.Outcome, *claim.Reply, error) {
	t, ok := o.process.view.TargetReport(c.Target)
	if !ok {
		return claim.Unknown, nil, fault.New("once.fence", request.Lost, "target %s is not known", c.Target)
	}
	if ctx.Err() != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), fenceGrace)
		defer cancel()
	}
	return outcomeOf(o.calls.Fence(ctx, &t, c.Request, c.Incarnation))
}

// outcomeOf reads a target process's word.
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
	return claim.Unknown, nil, fault.New("once", request.Lost, "%s", m.GetDetail())
}

// answer tells the caller what became of a call; refusal is why it was refused
// before its claim, if it was.
func (o *once) answer(call *request.AtMostOnceCall, result *claim.Result, sent bool, refusal *answer.Refusal) (*answer.Reply, error) {
	call.RecordStep(string(result.Outcome), result.Claim.Target, "by the claim of "+string(result.Claim.Owner)+because(result.Err))
	switch {
	case result.Conflict:
		return nil, &answer.Refusal{
			Outcome: answer.Failed, Cause: answer.CauseConflict, Request: call.Request,
			Detail: "the idempotency key belongs to another call",
		}
	case result.Outcome == claim.Done:
		return replyOf(call, result)
	case result.Outcome == claim.NotRun:
		return nil, notRun(call, refusal)
	}
	return nil, o.unknown(call, result, sent, refusal)
}

func because(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// replyOf returns the service's answer, unless it was too large to be kept with
// the claim and this is not the sending that ran.
func replyOf(call *request.AtMostOnceCall, result *claim.Result) (*answer.Reply, error) {
	if r := result.Reply; r != nil {
		return &answer.Reply{Request: call.Request, Status: r.Status, Header: r.Header, Body: r.Body}, nil
	}
	return nil, &answer.Refusal{
		Outcome: answer.Failed, Cause: answer.CauseLost, Request: call.Request,
		Detail: "the call ran once, and its reply is no longer kept",
	}
}

// notRun says that the call did not run and never will under its key.
func notRun(call *request.AtMostOnceCall, refusal *answer.Refusal) *answer.Refusal {
	if refusal == nil {
		refusal = answer.NewRefusal(answer.CauseNoTarget, "no target ran the call")
		refusal.RetryAfter = onceRetry
	}
	refusal.Request = call.Request
	refusal.Detail += "; it did not run and never will under this key, so send it under a new one"
	return refusal
}

// unknown says what is known when neither is proved. Coming back with the same
// key is safe.
func (o *once) unknown(call *request.AtMostOnceCall, result *claim.Result, sent bool, refusal *answer.Refusal) *answer.Refusal {
	e := event.ClaimUnknown
	if !sent {
		e = event.ClaimRefused
	}
	o.emit(e, call, "target", result.Claim.Target, "error", result.Err)
	out := &answer.Refusal{
		Outcome: answer.Unknown, Cause: answer.CauseLost, Request: call.Request, RetryAfter: onceRetry,
		Detail: "whether the call ran is not known now; ask again with the same key, it runs at most once",
	}
	if refusal != nil {
		out.Cause, out.RetryAfter = refusal.Cause, max(refusal.RetryAfter, onceRetry)
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

func (o *once) emit(e event.Event, call *request.AtMostOnceCall, fields ...any) {
	common := []any{"request", call.Request, "contract", call.Call.Contract.Name, "service", call.Call.Service}
	o.process.emit(e, append(common, fields...)...)
}

// explainCall returns what was decided about a keyed call here.
func (p *Process) explainCall(r id.Request) (*status.Explanation, bool) {
	known, ok := p.counter.Find(r)
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

// callDecisions tells what is known of a keyed call to a plain service.
func (p *Process) callDecisions(r id.Request) *peerpb.ExplainReply {
	known, ok := p.counter.Find(r)
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
