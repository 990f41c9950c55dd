package request

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// callTimeout is the timeout of a call to a plain service for callers that set
// no deadline, and the upper limit for those that do.
const callTimeout = 30 * time.Second

// maxCallAttempts is the maximum number of targets that a call is sent to.
const maxCallAttempts = 4

// Limits of the keyed calls whose records and replies are kept after their end.
// The calls that ended first are evicted first. Eviction does not remove the
// claim of a call that is not repeatable.
const (
	maxEndedCalls = 10_000
	maxReplyBytes = 64 << 20
)

// Services routes calls to plain services and sends them.
type Services struct {
	// Route chooses a target that serves the call's service.
	Route func(call *answer.Call, exclude []id.Target, now time.Time) Choice
	// Call sends a call to a target. The kind of the error tells whether the
	// service may have run the call.
	Call func(ctx context.Context, t *member.TargetReport, r id.Request, call *answer.Call) (*answer.Reply, error)
	// CallAtMostOnce runs a keyed call that is not repeatable, at most once.
	CallAtMostOnce func(ctx context.Context, once *AtMostOnceCall) (*answer.Reply, error)
	// RefuseAtMostOnce ends a keyed call that is not repeatable and was
	// refused. It returns the refusal with the outcome notRun only when that is
	// proved, because an earlier call with the same key may have run.
	RefuseAtMostOnce func(ctx context.Context, once *AtMostOnceCall, refusal *answer.Refusal) (*answer.Reply, error)
}

// AtMostOnceCall is a keyed call that is not repeatable.
type AtMostOnceCall struct {
	Request id.Request
	Call    *answer.Call
	// Fingerprint is the call's fingerprint.
	Fingerprint id.Fingerprint
	// Route chooses a target that is not excluded.
	Route func(exclude []id.Target) Choice
	// RecordStep records a decision for operators.
	RecordStep func(step string, target id.Target, reason string)
}

// CallCoordinator handles calls to plain services.
type CallCoordinator struct {
	coordinator *Coordinator
	services    Services

	mu    sync.Mutex
	calls map[id.Request]*call
	// ended lists the calls that have ended, in the order of their end, and
	// replyBytes is the total size of their replies.
	ended      []*call
	replyBytes int
}

// call is a keyed call that is running or has ended.
type call struct {
	request     id.Request
	contract    id.Contract
	service     id.Service
	fingerprint id.Fingerprint
	done        chan struct{}
	reply       *answer.Reply
	err         error
	endedAt     time.Time
	decisions   []Decision
}

// size returns the size of the reply's body in bytes.
func (c *call) size() int {
	if c.reply == nil {
		return 0
	}
	return len(c.reply.Body)
}

// state returns the progress of the call.
func (c *call) state() State {
	switch {
	case c.endedAt.IsZero():
		return StateRunning
	case c.err != nil:
		return StateFailed
	default:
		return StateFinished
	}
}

// NewCallCoordinator returns a CallCoordinator that shares the configuration,
// peers and admission control of coordinator.
func NewCallCoordinator(coordinator *Coordinator, services Services) *CallCoordinator {
	return &CallCoordinator{coordinator: coordinator, services: services, calls: map[id.Request]*call{}}
}

// Open runs a call, or waits for the call with the same idempotency key.
func (c *CallCoordinator) Open(ctx context.Context, req answer.Call) (*answer.Reply, error) {
	return c.dispatch(ctx, req, nil)
}

// ServePeer runs a call that another entry relayed.
func (c *CallCoordinator) ServePeer(ctx context.Context, req answer.Call, via Via) (*answer.Reply, error) {
	return c.dispatch(ctx, req, via)
}

// dispatch runs the call here or relays it to its home entry. A call without a
// key is run by the entry that received it, since no other call can refer to
// it.
func (c *CallCoordinator) dispatch(ctx context.Context, req answer.Call, via Via) (*answer.Reply, error) {
	co := c.coordinator
	if req.Key == "" {
		return c.admit(ctx, id.NewRequest(co.cfg.Self), &req)
	}
	r := id.RequestForKey(req.Contract.Name, callKey(&req))
	home := id.HomeEntry(r, co.peers.Live())
	if home == "" || home == co.cfg.Self || !via.allows(home) {
		return c.join(ctx, r, &req)
	}
	reply, err := co.peers.Call(ctx, home, req, append(append(Via(nil), via...), co.cfg.Self))
	if !fault.Is(err, Lost) {
		return reply, err
	}
	co.peers.ReportUnreachable(home)
	if !req.Repeatable {
		// The claim tells whether the home entry had already started the call.
		return c.join(ctx, r, &req)
	}
	return c.dispatch(ctx, req, append(append(Via(nil), via...), home))
}

// callKey returns the call's idempotency key with a prefix, so that it cannot
// collide with the key of a generation or of another service.
func callKey(req *answer.Call) string {
	return "call/" + string(req.Service) + "/" + req.Key
}

// join runs the call once for all concurrent callers with the same key, and
// returns its reply.
func (c *CallCoordinator) join(ctx context.Context, r id.Request, req *answer.Call) (*answer.Reply, error) {
	running, first := c.reserve(r, req)
	if running.fingerprint != fingerprint(req) {
		return nil, conflictRefusal(r, "the idempotency key belongs to another call")
	}
	if first {
		c.coordinator.running.Add(1)
		go c.run(r, *req, running)
	}
	select {
	case <-running.done:
		return running.reply, running.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run runs a keyed call. It continues when the caller disconnects.
func (c *CallCoordinator) run(r id.Request, req answer.Call, running *call) {
	defer c.coordinator.running.Done()
	ctx, cancel := context.WithTimeout(c.coordinator.ctx, c.timeout(&req))
	defer cancel()
	reply, err := c.admit(ctx, r, &req)
	c.mu.Lock()
	defer c.mu.Unlock()
	running.reply, running.err = reply, err
	running.endedAt = c.coordinator.cfg.Clock.Now()
	c.ended = append(c.ended, running)
	c.replyBytes += running.size()
	c.evict(func(*call) bool { return c.replyBytes > maxReplyBytes || len(c.ended) > maxEndedCalls })
	close(running.done)
}

func (c *CallCoordinator) timeout(req *answer.Call) time.Duration {
	if req.Deadline.IsZero() {
		return callTimeout
	}
	return min(callTimeout, max(0, req.Deadline.Sub(c.coordinator.cfg.Clock.Now())))
}

func (c *CallCoordinator) reserve(r id.Request, req *answer.Call) (*call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.calls[r]
	if ok && old.state() != StateFailed {
		return old, false
	}
	running := &call{
		request: r, contract: req.Contract.Name, service: req.Service,
		fingerprint: fingerprint(req), done: make(chan struct{}),
	}
	if ok {
		// A failed call may be sent again with the same key; a claim made for
		// it remains in force.
		running.decisions = old.decisions
	}
	c.calls[r] = running
	return running, true
}

// Sweep removes calls that ended at least retention ago.
func (c *CallCoordinator) Sweep(now time.Time, retention time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(func(oldest *call) bool { return now.Sub(oldest.endedAt) >= retention })
}

// evict removes ended calls in the order of their end while the condition
// holds. The caller must hold mu.
func (c *CallCoordinator) evict(condition func(oldest *call) bool) {
	for len(c.ended) > 0 && condition(c.ended[0]) {
		oldest := c.ended[0]
		c.ended[0] = nil
		c.ended = c.ended[1:]
		c.replyBytes -= oldest.size()
		if c.calls[oldest.request] == oldest {
			delete(c.calls, oldest.request)
		}
	}
}

// Pending returns the ids of the keyed calls that are running.
func (c *CallCoordinator) Pending() []id.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []id.Request
	for r, running := range c.calls {
		if running.endedAt.IsZero() {
			out = append(out, r)
		}
	}
	return out
}

// CallRecord describes a keyed call to operators.
type CallRecord struct {
	Contract  id.Contract
	Service   id.Service
	State     State
	Decisions []Decision
}

// Find returns the record of a keyed call.
func (c *CallCoordinator) Find(r id.Request) (CallRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.calls[r]
	if !ok {
		return CallRecord{}, false
	}
	return CallRecord{
		Contract: known.contract, Service: known.service, State: known.state(),
		Decisions: append([]Decision(nil), known.decisions...),
	}, true
}

// recordStep appends a decision to the record of a keyed call.
func (c *CallCoordinator) recordStep(r id.Request, step string, target id.Target, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.calls[r]; known != nil && len(known.decisions) < maxDecisions {
		known.decisions = append(known.decisions, Decision{
			At: c.coordinator.cfg.Clock.Now(), Step: step, Target: target, Reason: reason,
		})
	}
}

// admit applies the contract's limits and runs the call.
func (c *CallCoordinator) admit(ctx context.Context, r id.Request, req *answer.Call) (*answer.Reply, error) {
	if c.coordinator.leaving.Load() {
		refusal := answer.NewRefusal(answer.CauseLeaving, "this entry is leaving")
		refusal.RetryAfter = leavingRetry
		return c.refuse(ctx, r, req, refusal)
	}
	ticket, refusal := c.coordinator.admission.Admit(req.Contract, 1)
	if refusal != nil {
		return c.refuse(ctx, r, req, refusal)
	}
	defer ticket.Done(1)
	if needsClaim(req) {
		return c.services.CallAtMostOnce(ctx, c.atMostOnce(r, req))
	}
	return c.send(ctx, r, req)
}

// refuse ends a call that has not been sent to a target.
func (c *CallCoordinator) refuse(ctx context.Context, r id.Request, req *answer.Call, refusal *answer.Refusal) (*answer.Reply, error) {
	c.recordStep(r, "refused", "", refusal.Detail)
	if needsClaim(req) {
		return c.services.RefuseAtMostOnce(ctx, c.atMostOnce(r, req), refusal)
	}
	return nil, refusal
}

// needsClaim reports whether the call may run only once although its caller can
// send it again: it has a key and is not repeatable.
func needsClaim(req *answer.Call) bool { return !req.Repeatable && req.Key != "" }

func (c *CallCoordinator) atMostOnce(r id.Request, req *answer.Call) *AtMostOnceCall {
	return &AtMostOnceCall{
		Request: r, Call: req, Fingerprint: fingerprint(req),
		Route:      func(exclude []id.Target) Choice { return c.chooseTarget(r, req, exclude) },
		RecordStep: func(step string, target id.Target, reason string) { c.recordStep(r, step, target, reason) },
	}
}

func (c *CallCoordinator) chooseTarget(r id.Request, req *answer.Call, exclude []id.Target) Choice {
	choice := c.services.Route(req, exclude, c.coordinator.cfg.Clock.Now())
	c.recordStep(r, string(choice.Action), choice.Target.Target, choice.Reason)
	e := event.RouteChosen
	if choice.Action != Dispatch {
		e = event.RouteRefused
	}
	c.coordinator.cfg.Log.Emit(e, "request", r, "contract", req.Contract.Name, "service", req.Service,
		"target", choice.Target.Target, "zone", choice.Target.Place.Zone, "reason", choice.Reason)
	return choice
}

// send tries targets until one replies. A call that is not repeatable is sent
// to another target only if the previous ones certainly did not run it.
func (c *CallCoordinator) send(ctx context.Context, r id.Request, req *answer.Call) (*answer.Reply, error) {
	var exclude []id.Target
	mayHaveRun := false
	for range maxCallAttempts {
		choice := c.chooseTarget(r, req, exclude)
		if choice.Action != Dispatch {
			return nil, noTargetRefusal(r, mayHaveRun, &choice)
		}
		reply, err := c.services.Call(ctx, &choice.Target, r, req)
		if err == nil {
			return reply, nil
		}
		kind, _ := fault.KindOf[Kind](err)
		mayHaveRun = mayHaveRun || mayHaveStarted(kind)
		if mayHaveRun && !req.Repeatable {
			return nil, unknownOutcome(r, err)
		}
		exclude = append(exclude, choice.Target.Target)
	}
	return nil, noTargetRefusal(r, mayHaveRun, &Choice{Reason: "every target that was tried failed"})
}

func noTargetRefusal(r id.Request, mayHaveRun bool, choice *Choice) *answer.Refusal {
	refusal := answer.NewRefusal(answer.CauseNoTarget, "%s", choice.Reason)
	refusal.Request, refusal.RetryAfter = r, choice.Wait
	if mayHaveRun {
		refusal.Outcome = answer.Failed
	}
	return refusal
}

func unknownOutcome(r id.Request, err error) *answer.Refusal {
	return &answer.Refusal{
		Outcome: answer.Unknown, Cause: answer.CauseLost, Request: r,
		Detail: "it cannot be known whether the call ran: " + err.Error(),
	}
}

func fingerprint(req *answer.Call) id.Fingerprint {
	return id.FingerprintOf(string(req.Service), req.Method, req.Path, string(req.Body))
}
