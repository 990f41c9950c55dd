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

// Services reaches plain services and decides on them.
type Services struct {
	// Place chooses a target that serves the service.
	Place func(call *answer.Call, exclude []id.Target, now time.Time) Choice
	// Call sends a call to a target. The error's kind says whether the service
	// may have run it.
	Call func(ctx context.Context, t *member.TargetReport, r id.Request, call *answer.Call) (*answer.Reply, error)
	// Once runs a keyed call that may not be repeated at most once.
	Once func(ctx context.Context, r id.Request, call *answer.Call, place func() Choice) (*answer.Reply, error)
}

// Counter takes calls to plain services.
type Counter struct {
	desk     *Desk
	services Services

	mu    sync.Mutex
	calls map[id.Request]*call
}

// call is a keyed call that runs or has ended.
type call struct {
	contract id.Contract
	print    id.Fingerprint
	done     chan struct{}
	reply    *answer.Reply
	err      error
	endedAt  time.Time
}

// NewCounter returns a Counter beside desk.
func NewCounter(desk *Desk, services Services) *Counter {
	return &Counter{desk: desk, services: services, calls: map[id.Request]*call{}}
}

// Open carries out a call, or joins the one with its key.
func (c *Counter) Open(ctx context.Context, ask answer.Call) (*answer.Reply, error) {
	return c.route(ctx, ask, nil)
}

// Serve carries out a call that another entry passed on.
func (c *Counter) Serve(ctx context.Context, ask answer.Call, via Via) (*answer.Reply, error) {
	return c.route(ctx, ask, via)
}

// route finds the call's home. Calls without a key are at home everywhere,
// since nobody else can know of them.
func (c *Counter) route(ctx context.Context, ask answer.Call, via Via) (*answer.Reply, error) {
	d := c.desk
	if ask.Key == "" {
		return c.admit(ctx, id.NewRequest(d.cfg.Self), &ask)
	}
	r := id.ForKey(ask.Contract.Name, callKey(&ask))
	home := id.Home(r, d.peers.Live())
	if home == "" || home == d.cfg.Self || !via.open(home) {
		return c.join(ctx, r, &ask)
	}
	reply, err := d.peers.Call(ctx, home, ask, append(append(Via(nil), via...), d.cfg.Self))
	if !fault.Is(err, Lost) {
		return reply, err
	}
	d.peers.Lost(home)
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
func (c *Counter) join(ctx context.Context, r id.Request, ask *answer.Call) (*answer.Reply, error) {
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
func (c *Counter) run(r id.Request, ask answer.Call, running *call) {
	defer c.desk.running.Done()
	ctx, cancel := context.WithTimeout(c.desk.ctx, c.patience(&ask))
	defer cancel()
	reply, err := c.admit(ctx, r, &ask)
	c.mu.Lock()
	defer c.mu.Unlock()
	running.reply, running.err = reply, err
	running.endedAt = c.desk.cfg.Clock.Now()
	if err != nil {
		// A call that did not end well may be asked again; a claim that was
		// made still holds.
		delete(c.calls, r)
	}
	close(running.done)
}

func (c *Counter) patience(ask *answer.Call) time.Duration {
	if ask.Deadline.IsZero() {
		return callTimeout
	}
	return min(callTimeout, max(0, ask.Deadline.Sub(c.desk.cfg.Clock.Now())))
}

func (c *Counter) reserve(r id.Request, ask *answer.Call) (*call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running, ok := c.calls[r]; ok {
		return running, false
	}
	running := &call{contract: ask.Contract.Name, print: fingerprint(ask), done: make(chan struct{})}
	c.calls[r] = running
	return running, true
}

// Sweep forgets calls that ended longer than retention ago.
func (c *Counter) Sweep(now time.Time, retention time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for r, running := range c.calls {
		if !running.endedAt.IsZero() && now.Sub(running.endedAt) >= retention {
			delete(c.calls, r)
		}
	}
}

// Waiting returns the keyed calls that run.
func (c *Counter) Waiting() []id.Request {
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

// admit checks the limits and runs the call.
func (c *Counter) admit(ctx context.Context, r id.Request, ask *answer.Call) (*answer.Reply, error) {
	if c.desk.leaving.Load() {
		refusal := answer.Refuse(answer.CauseLeaving, "this entry is leaving")
		refusal.RetryAfter = leavingRetry
		return nil, refusal
	}
	ticket, refusal := c.desk.gate.Admit(ask.Contract, 1)
	if refusal != nil {
		return nil, refusal
	}
	defer ticket.Done(1)
	if !ask.Repeatable && ask.Key != "" {
		return c.services.Once(ctx, r, ask, func() Choice {
			return c.place(r, ask, nil)
		})
	}
	return c.send(ctx, r, ask)
}

func (c *Counter) place(r id.Request, ask *answer.Call, exclude []id.Target) Choice {
	choice := c.services.Place(ask, exclude, c.desk.cfg.Clock.Now())
	e := event.RouteChosen
	if choice.Action != Go {
		e = event.RouteRefused
	}
	c.desk.cfg.Log.Emit(e, "request", r, "contract", ask.Contract.Name, "service", ask.Service,
		"target", choice.Target.Target, "zone", choice.Target.Place.Zone, "reason", choice.Reason)
	return choice
}

// send tries targets until one answers. A call that may not be repeated goes
// to another target only when the last one has surely not run it.
func (c *Counter) send(ctx context.Context, r id.Request, ask *answer.Call) (*answer.Reply, error) {
	var exclude []id.Target
	touched := false
	for range callTries {
		choice := c.place(r, ask, exclude)
		if choice.Action != Go {
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
	refusal := answer.Refuse(answer.CauseNoTarget, "%s", choice.Reason)
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
