package policy

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/recovery"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// zoneWindow is the time within which losses in the same zone are counted
// together.
const zoneWindow = 5 * time.Second

// recoverFrom decides how a generation continues after its engine was lost.
func (p *Policy) recoverFrom(req *request.RouteRequest, lost *request.Loss, now time.Time) request.Choice {
	if req.Spec.Deadline.IsZero() && now.Sub(lost.At) > holdLimit {
		return request.Choice{Action: request.GiveUp, Wait: defaultRetryAfter, Reason: reasonTooLong}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	view := recovery.View{Targets: p.ready(req.Spec.Model, now), Avoid: p.avoid(req, now)}
	loss := p.lossOf(req, lost)
	rules := p.rules(req)
	d := recovery.Choose(view, loss, rules, now, p.deps.Random)
	if needsEngine(d.Action) && !p.spend(req, lost, &d, now) {
		rules.RetryAllowed = false
		d = recovery.Choose(view, loss, rules, now, p.deps.Random)
	}
	return p.toChoice(&d, req, lost, now)
}

// ready returns the reports of the targets of a model that accept work.
func (p *Policy) ready(model id.Model, now time.Time) []member.TargetReport {
	var out []member.TargetReport
	for _, ref := range p.deps.View.Snapshot().Targets {
		if t := ref.Load(); t.Report.Model == model && t.TakesWork(now) {
			out = append(out, t.Report)
		}
	}
	return out
}

// avoid returns a function that reports whether a target must not be used for
// this request at now.
func (p *Policy) avoid(req *request.RouteRequest, now time.Time) func(id.Target) bool {
	var names []id.Target
	for _, l := range req.Losses {
		if now.Sub(l.At) < exclusionTime && l.Kind != request.Stalled {
			names = append(names, l.Target.Target)
		}
	}
	names = append(names, p.conflictingTargetsLocked(req.Spec.Fingerprint())...)
	return func(t id.Target) bool {
		for _, n := range names {
			if n == t {
				return true
			}
		}
		return false
	}
}

func (p *Policy) lossOf(req *request.RouteRequest, lost *request.Loss) recovery.Loss {
	loss := recovery.Loss{
		Spec:            req.Spec,
		Kind:            lossKind(lost.Kind),
		Target:          lost.Target.Target,
		Incarnation:     lost.Target.Incarnation,
		Place:           lost.Target.Place,
		StillRunning:    lost.StillHeld,
		Attempts:        req.AttemptsWithoutProgress,
		HeldTokens:      int(req.PrefixTokens),
		TokensDelivered: !req.MayRestart,
		At:              lost.At,
	}
	for _, l := range req.Losses {
		otherTarget := l.Target.Target != lost.Target.Target
		if otherTarget && l.Started && l.Target.Place.Zone == loss.Place.Zone && lost.At.Sub(l.At) < zoneWindow {
			loss.ZoneFailures++
		}
	}
	return loss
}

func lossKind(k request.Kind) recovery.LossKind {
	switch k {
	case request.Lost:
		return recovery.Disconnected
	case request.Stalled:
		return recovery.Stalled
	}
	return recovery.Died
}

func (p *Policy) rules(req *request.RouteRequest) recovery.Policy {
	d := &p.deps.Conf().Deployment
	return recovery.Policy{
		Prefer:       req.Spec.Prefer,
		MaxAttempts:  d.Recovery.MaxAttempts,
		RetryAllowed: true,
		HedgeAllowed: true,
		Headroom:     d.Routing.HeadroomShare,
	}
}

// needsEngine reports whether a choice starts an attempt at an engine.
func needsEngine(c recovery.Action) bool {
	return c == recovery.Resume || c == recovery.Hedge || c == recovery.Restart
}

// spend charges the cost of a decision to the budgets and reports whether the
// retry budget allows it. A hedge that the hedge budget does not allow becomes
// a single attempt.
func (p *Policy) spend(req *request.RouteRequest, lost *request.Loss, d *recovery.Decision, now time.Time) bool {
	budgetReq := recovery.BudgetRequest{
		Request: req.Spec.Request, Class: req.Spec.Class, HeldTokens: int(req.PrefixTokens),
		Cost: req.Spec.PromptTokens() + int(req.PrefixTokens), LostAt: lost.At,
	}
	if d.Action == recovery.Hedge {
		d.Action = recovery.Resume
		if p.hedge.TryAcquire(now, budgetReq) {
			d.Action = recovery.Hedge
		} else {
			p.hedge.Cancel(budgetReq.Request)
			d.Second = ""
		}
	}
	granted := p.retry.TryAcquire(now, budgetReq)
	if !granted {
		if d.Action == recovery.Hedge {
			p.hedge.Refund(budgetReq.Cost)
		}
		p.deps.Log.Emit(event.BudgetExhausted, "request", req.Spec.Request, "budget", "retry", "waiting", p.retry.Waiting())
	}
	return granted
}

// toChoice converts a recovery decision into the choice that the owner of the
// request carries out.
func (p *Policy) toChoice(d *recovery.Decision, req *request.RouteRequest, lost *request.Loss, now time.Time) request.Choice {
	choice := request.Choice{Action: request.Hold, Wait: max(time.Millisecond, d.Until.Sub(now)), Reason: string(d.Reason)}
	switch d.Action {
	case recovery.Adopt:
		choice.Action, choice.Target = request.Rejoin, lost.Target
	case recovery.WaitTarget:
		choice.KeepStalled = true
	case recovery.Resume, recovery.Hedge:
		choice.Action = request.Dispatch
	case recovery.Restart:
		choice.Action = request.Restart
	case recovery.Fail:
		choice.Action, choice.Wait = request.GiveUp, defaultRetryAfter
		choice.Cause = answer.CauseLost
		if d.Reason == recovery.ReasonDeadline {
			choice.Cause = answer.CauseDeadline
		}
	}
	if !needsEngine(d.Action) {
		return choice
	}
	report, ok := p.report(d.Target)
	if !ok {
		return request.Choice{Action: request.Hold, Wait: holdInterval, Reason: reasonTargetGone}
	}
	choice.Target = report
	if d.Action == recovery.Hedge {
		choice.KeepStalled = d.Second == ""
		if second, ok := p.report(d.Second); ok {
			choice.SecondTarget = &second
		}
		p.deps.Log.Emit(event.HedgeStarted, "request", req.Spec.Request, "target", d.Target, "second", d.Second)
	}
	return choice
}
