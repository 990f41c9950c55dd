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
func (p *Policy) recover(place *request.Placement, lost *request.Loss, now time.Time) request.Choice {
	if place.Spec.Deadline.IsZero() && now.Sub(lost.At) > holdLimit {
		return request.Choice{Action: request.GiveUp, Wait: comeBack, Reason: reasonTooLong}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	view := recovery.View{Targets: p.ready(place.Spec.Model, now), Avoid: p.avoid(place, now)}
	loss := p.lossOf(place, lost)
	rules := p.rules(place)
	d := recovery.Choose(view, loss, rules, now, p.tools.Random)
	if computes(d.Choice) && !p.pay(place, lost, &d, now) {
		rules.Retry = false
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
func (p *Policy) avoid(place *request.Placement, now time.Time) func(id.Target) bool {
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

func (p *Policy) lossOf(place *request.Placement, lost *request.Loss) recovery.Loss {
	loss := recovery.Loss{
		Spec:        place.Spec,
		Kind:        kindOf(lost.Kind),
		Target:      lost.Target.Target,
		Incarnation: lost.Target.Incarnation,
		Place:       lost.Target.Place,
		Runs:        lost.Holds,
		Attempts:    place.Idle,
		Held:        int(place.Prefix),
		Seen:        !place.MayRestart,
		At:          lost.At,
	}
	for _, l := range place.Losses {
		other := l.Target.Target != lost.Target.Target
		if other && l.Started && l.Target.Place.Zone == loss.Place.Zone && lost.At.Sub(l.At) < zoneWindow {
			loss.ZoneDeaths++
		}
	}
	return loss
}

func kindOf(k request.Kind) recovery.Kind {
	switch k {
	case request.Lost:
		return recovery.Disconnected
	case request.Stalled:
		return recovery.Stalled
	}
	return recovery.Died
}

func (p *Policy) rules(place *request.Placement) recovery.Policy {
	d := &p.tools.Conf().Deployment
	return recovery.Policy{
		Prefer:      place.Spec.Prefer,
		MaxAttempts: d.Recovery.MaxAttempts,
		Retry:       true,
		Hedge:       true,
		Headroom:    d.Routing.HeadroomShare,
	}
}

// computes reports whether a choice makes an engine compute.
func computes(c recovery.Choice) bool {
	return c == recovery.GoOn || c == recovery.Race || c == recovery.Restart
}

// pay takes the decision's cost from the budgets. A race that the hedge budget
// does not allow becomes one attempt.
func (p *Policy) pay(place *request.Placement, lost *request.Loss, d *recovery.Decision, now time.Time) bool {
	applicant := recovery.Applicant{
		Request: place.Spec.Request, Class: place.Spec.Class, Held: int(place.Prefix),
		Cost: place.Spec.PromptTokens() + int(place.Prefix), Lost: lost.At,
	}
	if d.Choice == recovery.Race {
		d.Choice = recovery.GoOn
		if p.hedge.Ask(now, applicant) {
			d.Choice = recovery.Race
		} else {
			p.hedge.Leave(applicant.Request)
			d.Second = ""
		}
	}
	granted := p.retry.Ask(now, applicant)
	if !granted {
		if d.Choice == recovery.Race {
			p.hedge.Refund(applicant.Cost)
		}
		p.tools.Log.Emit(event.BudgetExhausted, "request", place.Spec.Request, "budget", "retry", "waiting", p.retry.Waiting())
	}
	return granted
}

// act turns a decision into what the owner does.
func (p *Policy) act(d *recovery.Decision, place *request.Placement, lost *request.Loss, now time.Time) request.Choice {
	choice := request.Choice{Action: request.Hold, Wait: max(time.Millisecond, d.Until.Sub(now)), Reason: string(d.Reason)}
	switch d.Choice {
	case recovery.Adopt:
		choice.Action, choice.Target = request.Rejoin, lost.Target
	case recovery.WaitTarget:
		choice.Keep = true
	case recovery.GoOn, recovery.Race:
		choice.Action = request.Go
	case recovery.Restart:
		choice.Action = request.Restart
	case recovery.Fail:
		choice.Action, choice.Wait = request.GiveUp, comeBack
		choice.Cause = answer.CauseLost
		if d.Reason == recovery.ReasonDeadline {
			choice.Cause = answer.CauseDeadline
		}
	}
	if !computes(d.Choice) {
		return choice
	}
	report, ok := p.report(d.Target)
	if !ok {
		return request.Choice{Action: request.Hold, Wait: holdEvery, Reason: reasonTargetGone}
	}
	choice.Target = report
	if d.Choice == recovery.Race {
		choice.Keep = d.Second == ""
		if second, ok := p.report(d.Second); ok {
			choice.Second = &second
		}
		p.tools.Log.Emit(event.HedgeStarted, "request", place.Spec.Request, "target", d.Target, "second", d.Second)
	}
	return choice
}
