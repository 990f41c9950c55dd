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

// zoneWindow is the time within which deaths of a zone count together.
const zoneWindow = 5 * time.Second

// recover decides how an answer goes on after an engine was lost.
func (p *Policy) recover(place *request.RouteRequest, lost *request.Loss, now time.Time) request.Choice {
	if place.Spec.Deadline.IsZero() && now.Sub(lost.At) > holdLimit {
		return request.Choice{Action: request.GiveUp, Wait: comeBack, Reason: reasonTooLong}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	view := recovery.View{Targets: p.ready(place.Spec.Model, now), Avoid: p.avoid(place, now)}
	loss := p.lossOf(place, lost)
	rules := p.rules(place)
	d := recovery.Choose(view, loss, rules, now, p.tools.Random)
	if computes(d.Action) && !p.pay(place, lost, &d, now) {
		rules.RetryAllowed = false
		d = recovery.Choose(view, loss, rules, now, p.tools.Random)
	}
	return p.act(&d, place, lost, now)
}

// ready returns the reports of a model's targets that take work.
func (p *Policy) ready(model id.Model, now time.Time) []member.TargetReport {
	var out []member.TargetReport
	for _, slot := range p.tools.View.Snapshot().Targets {
		if t := slot.Load(); t.Report.Model == model && t.TakesWork(now) {
			out = append(out, t.Report)
		}
	}
	return out
}

// avoid returns the targets that must not be used for this request now.
func (p *Policy) avoid(place *request.RouteRequest, now time.Time) func(id.Target) bool {
	var names []id.Target
	for _, l := range place.Losses {
		if now.Sub(l.At) < excludeFor && l.Kind != request.Stalled {
			names = append(names, l.Target.Target)
		}
	}
	names = append(names, p.apartLocked(place.Spec.Fingerprint())...)
	return func(t id.Target) bool {
		for _, n := range names {
			if n == t {
				return true
			}
		}
		return false
	}
}

func (p *Policy) lossOf(place *request.RouteRequest, lost *request.Loss) recovery.Loss {
	loss := recovery.Loss{
		Spec:            place.Spec,
		Kind:            kindOf(lost.Kind),
		Target:          lost.Target.Target,
		Incarnation:     lost.Target.Incarnation,
		Place:           lost.Target.Place,
		StillRunning:    lost.StillHeld,
		Attempts:        place.AttemptsWithoutProgress,
		HeldTokens:      int(place.PrefixTokens),
		TokensDelivered: !place.MayRestart,
		At:              lost.At,
	}
	for _, l := range place.Losses {
		other := l.Target.Target != lost.Target.Target
		if other && l.Started && l.Target.Place.Zone == loss.Place.Zone && lost.At.Sub(l.At) < zoneWindow {
			loss.ZoneFailures++
		}
	}
	return loss
}

func kindOf(k request.Kind) recovery.LossKind {
	switch k {
	case request.Lost:
		return recovery.Disconnected
	case request.Stalled:
		return recovery.Stalled
	}
	return recovery.Died
}

func (p *Policy) rules(place *request.RouteRequest) recovery.Policy {
	d := &p.tools.Conf().Deployment
	return recovery.Policy{
		Prefer:       place.Spec.Prefer,
		MaxAttempts:  d.Recovery.MaxAttempts,
		RetryAllowed: true,
		HedgeAllowed: true,
		Headroom:     d.Routing.HeadroomShare,
	}
}

// computes reports whether a choice makes an engine compute.
func computes(c recovery.Action) bool {
	return c == recovery.Resume || c == recovery.Hedge || c == recovery.Restart
}

// pay takes the decision's cost from the budgets. A race that the hedge budget
// does not allow becomes one attempt.
func (p *Policy) pay(place *request.RouteRequest, lost *request.Loss, d *recovery.Decision, now time.Time) bool {
	applicant := recovery.BudgetRequest{
		Request: place.Spec.Request, Class: place.Spec.Class, HeldTokens: int(place.PrefixTokens),
		Cost: place.Spec.PromptTokens() + int(place.PrefixTokens), LostAt: lost.At,
	}
	if d.Action == recovery.Hedge {
		d.Action = recovery.Resume
		if p.hedge.TryAcquire(now, applicant) {
			d.Action = recovery.Hedge
		} else {
			p.hedge.Cancel(applicant.Request)
			d.Second = ""
		}
	}
	granted := p.retry.TryAcquire(now, applicant)
	if !granted {
		if d.Action == recovery.Hedge {
			p.hedge.Refund(applicant.Cost)
		}
		p.tools.Log.Emit(event.BudgetExhausted, "request", place.Spec.Request, "budget", "retry", "waiting", p.retry.Waiting())
	}
	return granted
}

// act turns a decision into what the owner does.
func (p *Policy) act(d *recovery.Decision, place *request.RouteRequest, lost *request.Loss, now time.Time) request.Choice {
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
		choice.Action, choice.Wait = request.GiveUp, comeBack
		choice.Cause = answer.CauseLost
		if d.Reason == recovery.ReasonDeadline {
			choice.Cause = answer.CauseDeadline
		}
	}
	if !computes(d.Action) {
		return choice
	}
	report, ok := p.report(d.Target)
	if !ok {
		return request.Choice{Action: request.Hold, Wait: holdEvery, Reason: reasonTargetGone}
	}
	choice.Target = report
	if d.Action == recovery.Hedge {
		choice.KeepStalled = d.Second == ""
		if second, ok := p.report(d.Second); ok {
			choice.SecondTarget = &second
		}
		p.tools.Log.Emit(event.HedgeStarted, "request", place.Spec.Request, "target", d.Target, "second", d.Second)
	}
	return choice
}
