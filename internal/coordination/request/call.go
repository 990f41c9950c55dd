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

// callTimeout bounds a call to a plain service whose caller names no deadline.
const callTimeout = 30 * time.Second

// callTries bounds how many targets a repeatable call is sent to.
const callTries = 4

// Bounds of the keyed calls that are kept after their end. Those that ended
// first go first; the claim of a call that may not be repeated stays.
const (
	maxEndedCalls = 10_000
	maxReplyBytes = 64 << 20
)

// Services reaches plain services and decides on them.
type Services struct {
	// Route chooses a target that serves the service.
	Route func(call *answer.Call, exclude []id.Target, now time.Time) Choice
	// Call sends a call to a target. The error's kind says whether the service
	// may have run it.
	Call func(ctx context.Context, t *member.TargetReport, r id.Request, call *answer.Call) (*answer.Reply, error)
	// CallAtMostOnce runs a keyed call that may not be repeated at most once.
	CallAtMostOnce func(ctx context.Context, once *AtMostOnceCall) (*answer.Reply, error)
	// RefuseAtMostOnce ends a keyed call that may not be repeated and was refused. The
	// refusal goes to the caller as notRun only when that is proved, since an
	// earlier sending with the key may have run.
	RefuseAtMostOnce func(ctx context.Context, once *AtMostOnceCall, refusal *answer.Refusal) (*answer.Reply, error)
}

// AtMostOnceCall is a keyed call that may not be repeated.
type AtMostOnceCall struct {
	Request id.Request
	Call    *answer.Call
	// Fingerprint is the call's fingerprint.
	Fingerprint id.Fingerprint
	// Route chooses a target other than those excluded.
	Route func(exclude []id.Target) Choice
	// RecordStep keeps a step for operators.
	RecordStep func(step string, target id.Target, reason string)
}

// CallCoordinator takes calls to plain services.
type CallCoordinator struct {
	desk     *Coordinator
	services Services

	mu    sync.Mutex
	calls map[id.Request]*call
	// ended lists the calls that have ended, the first one first, and bytes is
	// the size of their replies.
	ended []*call
	bytes int
}

// call is a keyed call that runs or has ended.
type call struct {
	request   id.Request
	contract  id.Contract
	service   id.Service
	print     id.Fingerprint
	done      chan struct{}
	reply     *answer.Reply
	err       error
	endedAt   time.Time
	decisions []Decision
}

// size returns the bytes of the call's reply.
func (c *call) size() int {
	if c.reply == nil {
		return 0
	}
	return len(c.reply.Body)
}

// state returns how far the call is.
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

// NewCallCoordinator returns a Counter beside desk.
func NewCallCoordinator(desk *Coordinator, services Services) *CallCoordinator {
	return &CallCoordinator{desk: desk, services: services, calls: map[id.Request]*call{}}
}

// Open carries out a call, or joins the one with its key.
func (c *CallCoordinator) Open(ctx context.Context, ask answer.Call) (*answer.Reply, error) {
	return c.route(ctx, ask, nil)
}

// ServePeer carries out a call that another entry passed on.
func (c *CallCoordinator) ServePeer(ctx context.Context, ask answer.Call, via Via) (*answer.Reply, error) {
	return c.route(ctx, ask, via)
}

// route finds the call's home. Calls without a key are at home everywhere,
// since nobody else can know of them.
func (c *CallCoordinator) route(ctx context.Context, ask answer.Call, via Via) (*answer.Reply, error) {
	d := c.desk
	if ask.Key == "" {
		return c.admit(ctx, id.NewRequest(d.cfg.Self), &ask)
	}
	r := id.RequestForKey(ask.Contract.Name, callKey(&ask))
	home := id.HomeEntry(r, d.peers.Live())
	if home == "" || home == d.cfg.Self || !via.open(home) {
		return c.join(ctx, r, &ask)
	}
	reply, err := d.peers.Call(ctx, home, ask, append(append(Via(nil), via...), d.cfg.Self))
	if !fault.Is(err, Lost) {
		return reply, err
	}
	d.peers.ReportUnreachable(home)
	if !ask.Repeatable {
		// The claim decides whether the home entry had begun.
		return c.join(ctx, r, &ask)
	}
	return c.route(ctx, ask, append(append(Via(nil), via...), home))
}

// callKey keeps the keys of calls and of generations apart.
func callKey(ask *answer.Call) string {
	return "call/" + string(ask.Service) + "/" + ask.Key
}

// join runs the call once for all that come with its key meanwhile.
func (c *CallCoordinator) join(ctx context.Context, r id.Request, ask *answer.Call) (*answer.Reply, error) {
	running, first := c.reserve(r, ask)
	if running.print != fingerprint(ask) {
		return nil, conflict(r, "the idempotency key belongs to another call")
	}
	if first {
		c.desk.running.Add(1)
		go c.run(r, *ask, running)
	}
	select {
	case <-running.done:
		return running.reply, running.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run carries out a keyed call; it goes on when its caller has gone.
func (c *CallCoordinator) run(r id.Request, ask answer.Call, running *call) {
	defer c.desk.running.Done()
	ctx, cancel := context.WithTimeout(c.desk.ctx, c.patience(&ask))
	defer cancel()
	reply, err := c.admit(ctx, r, &ask)
	c.mu.Lock()
	defer c.mu.Unlock()
	running.reply, running.err = reply, err
	running.endedAt = c.desk.cfg.Clock.Now()
	c.ended = append(c.ended, running)
	c.bytes += running.size()
	c.drop(func(*call) bool { return c.bytes > maxReplyBytes || len(c.ended) > maxEndedCalls })
	close(running.done)
}

func (c *CallCoordinator) patience(ask *answer.Call) time.Duration {
	if ask.Deadline.IsZero() {
		return callTimeout
	}
	return min(callTimeout, max(0, ask.Deadline.Sub(c.desk.cfg.Clock.Now())))
}

func (c *CallCoordinator) reserve(r id.Request, ask *answer.Call) (*call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.calls[r]
	if ok && old.state() != StateFailed {
		return old, false
	}
	running := &call{
		request: r, contract: ask.Contract.Name, service: ask.Service,
		print: fingerprint(ask), done: make(chan struct{}),
	}
	if ok {
		// A call that did not end well may be asked again; a claim that was
		// made still holds.
		running.decisions = old.decisions
	}
	c.calls[r] = running
	return running, true
}

// Sweep forgets calls that ended longer than retention ago.
func (c *CallCoordinator) Sweep(now time.Time, retention time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(func(oldest *call) bool { return now.Sub(oldest.endedAt) >= retention })
}

// drop forgets ended calls, the first one first, while the condition holds. It
// is called under the lock.
func (c *CallCoordinator) drop(condition func(oldest *call) bool) {
	for len(c.ended) > 0 && condition(c.ended[0]) {
		oldest := c.ended[0]
		c.ended[0] = nil
		c.ended = c.ended[1:]
		c.bytes -= oldest.size()
		if c.calls[oldest.request] == oldest {
			delete(c.calls, oldest.request)
		}
	}
}

// Pending returns the keyed calls that run.
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

// CallRecord is what an entry knows of a keyed call.
type CallRecord struct {
	Contract  id.Contract
	Service   id.Service
	State     State
	Decisions []Decision
}

// Find returns what is known of a keyed call.
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

// note keeps a step of a keyed call.
func (c *CallCoordinator) note(r id.Request, step string, target id.Target, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.calls[r]; known != nil && len(known.decisions) < maxDecisions {
		known.decisions = append(known.decisions, Decision{
			At: c.desk.cfg.Clock.Now(), Step: step, Target: target, Reason: reason,
		})
	}
}

// admit checks the limits and runs the call.
func (c *CallCoordinator) admit(ctx context.Context, r id.Request, ask *answer.Call) (*answer.Reply, error) {
	if c.desk.leaving.Load() {
		refusal := answer.NewRefusal(answer.CauseLeaving, "this entry is leaving")
		refusal.RetryAfter = leavingRetry
		return c.refuse(ctx, r, ask, refusal)
	}
	ticket, refusal := c.desk.gate.Admit(ask.Contract, 1)
	if refusal != nil {
		return c.refuse(ctx, r, ask, refusal)
	}
	defer ticket.Done(1)
	if needsClaim(ask) {
		return c.services.CallAtMostOnce(ctx, c.once(r, ask))
	}
	return c.send(ctx, r, ask)
}

// refuse ends a call that nothing was done for.
func (c *CallCoordinator) refuse(ctx context.Context, r id.Request, ask *answer.Call, refusal *answer.Refusal) (*answer.Reply, error) {
	c.note(r, "refused", "", refusal.Detail)
	if needsClaim(ask) {
		return c.services.RefuseAtMostOnce(ctx, c.once(r, ask), refusal)
	}
	return nil, refusal
}

// needsClaim reports whether a caller may come back with the call, and it may
// run only once.
func needsClaim(ask *answer.Call) bool { return !ask.Repeatable && ask.Key != "" }

func (c *CallCoordinator) once(r id.Request, ask *answer.Call) *AtMostOnceCall {
	return &AtMostOnceCall{
		Request: r, Call: ask, Fingerprint: fingerprint(ask),
		Route:      func(exclude []id.Target) Choice { return c.place(r, ask, exclude) },
		RecordStep: func(step string, target id.Target, reason string) { c.note(r, step, target, reason) },
	}
}

func (c *CallCoordinator) place(r id.Request, ask *answer.Call, exclude []id.Target) Choice {
	choice := c.services.Route(ask, exclude, c.desk.cfg.Clock.Now())
	c.note(r, string(choice.Action), choice.Target.Target, choice.Reason)
	e := event.RouteChosen
	if choice.Action != Dispatch {
		e = event.RouteRefused
	}
	c.desk.cfg.Log.Emit(e, "request", r, "contract", ask.Contract.Name, "service", ask.Service,
		"target", choice.Target.Target, "zone", choice.Target.Place.Zone, "reason", choice.Reason)
	return choice
}

// send tries targets until one answers. A call that may not be repeated goes
// to another target only when the last one has surely not run it.
func (c *CallCoordinator) send(ctx context.Context, r id.Request, ask *answer.Call) (*answer.Reply, error) {
	var exclude []id.Target
	touched := false
	for range callTries {
		choice := c.place(r, ask, exclude)
		if choice.Action != Dispatch {
			return nil, noTarget(r, touched, &choice)
		}
		reply, err := c.services.Call(ctx, &choice.Target, r, ask)
		if err == nil {
			return reply, nil
		}
		kind, _ := fault.KindOf[Kind](err)
		touched = touched || started(kind)
		if touched && !ask.Repeatable {
			return nil, unknown(r, err)
		}
		exclude = append(exclude, choice.Target.Target)
	}
	return nil, noTarget(r, touched, &Choice{Reason: "every target that was tried failed"})
}

func noTarget(r id.Request, touched bool, choice *Choice) *answer.Refusal {
	refusal := answer.NewRefusal(answer.CauseNoTarget, "%s", choice.Reason)
	refusal.Request, refusal.RetryAfter = r, choice.Wait
	if touched {
		refusal.Outcome = answer.Failed
	}
	return refusal
}

func unknown(r id.Request, err error) *answer.Refusal {
	return &answer.Refusal{
		Outcome: answer.Unknown, Cause: answer.CauseLost, Request: r,
		Detail: "it cannot be known whether the call ran: " + err.Error(),
	}
}

func fingerprint(ask *answer.Call) id.Fingerprint {
	return id.FingerprintOf(string(ask.Service), ask.Method, ask.Path, string(ask.Body))
}
