package policy

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// CheckQuarantine refuses a request that kills targets.
func (p *Policy) CheckQuarantine(spec *generation.Spec) *answer.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.tools.Clock.Now()
	j := p.kills.Status(now, spec.Fingerprint())
	if j.State != quarantine.Refused {
		return nil
	}
	refusal := answer.NewRefusal(answer.CauseQuarantined, "this request ended %d targets and is refused for a time", j.Failures)
	refusal.RetryAfter = j.Until.Sub(now)
	return refusal
}

// judge holds a suspect back and ends a request that kills.
func (p *Policy) judge(place *request.RouteRequest, now time.Time) (request.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := place.Spec.Fingerprint()
	j := p.kills.Status(now, sum)
	switch {
	case j.State == quarantine.Refused:
		p.tools.Log.Emit(event.RequestQuarantined, "request", place.Spec.Request, "contract", place.Spec.Contract,
			"fingerprint", sum, "deaths", j.Failures, "until", j.Until)
		return request.Choice{
			Action: request.GiveUp, Reason: reasonQuarantined, Cause: answer.CauseQuarantined, Wait: j.Until.Sub(now),
		}, true
	case !p.kills.TryStart(now, sum, place.Spec.Request):
		return request.Choice{Action: request.Hold, Wait: holdEvery, Reason: reasonSuspect}, true
	}
	return request.Choice{}, false
}

// apart returns the targets that run another suspect of the same death.
func (p *Policy) apart(f id.Fingerprint) []id.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.apartLocked(f)
}

func (p *Policy) apartLocked(f id.Fingerprint) []id.Target {
	if p.kills.Status(p.tools.Clock.Now(), f).State != quarantine.Suspected {
		return nil
	}
	var out []id.Target
	for target, prints := range p.running {
		for other := range prints {
			if p.kills.MustSeparate(f, other) {
				out = append(out, target)
				break
			}
		}
	}
	return out
}

// runs counts a fingerprint at a target.
func (p *Policy) runs(target id.Target, f id.Fingerprint, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	prints := p.running[target]
	if prints == nil {
		prints = map[id.Fingerprint]int{}
		p.running[target] = prints
	}
	prints[f] += n
	if prints[f] <= 0 {
		delete(prints, f)
	}
	if len(prints) == 0 {
		delete(p.running, target)
	}
}

// account takes what an attempt cost and how it ended into the budgets and the
// list of those that kill.
func (p *Policy) account(t *member.TargetReport, f id.Fingerprint, prompt int, u *request.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retry.RecordWork(prompt + u.DecodedTokens)
	p.hedge.RecordWork(prompt + u.DecodedTokens)
	if u.Loss == nil || (u.Loss.Kind != request.EngineFailed && u.Loss.Kind != request.Lost) {
		return
	}
	p.kills.RecordFailure(quarantine.Failure{
		FailureID: quarantine.FailureID{Target: t.Target, Incarnation: t.Incarnation},
		Place:     t.Place, At: u.Loss.At, Running: []id.Fingerprint{f},
	})
	if j := p.kills.Status(u.Loss.At, f); j.State == quarantine.Suspected {
		p.tools.Log.Emit(event.RequestSuspected, "fingerprint", f, "target", t.Target, "deaths", j.Failures)
	}
}

// End notes that a request runs no more.
func (p *Policy) End(spec *generation.Spec, whole bool) {
	p.queues.forget(spec.Model, spec.Request)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retry.Cancel(spec.Request)
	p.kills.End(spec.Fingerprint(), spec.Request)
	if whole {
		p.kills.RecordCompletion(spec.Fingerprint())
	}
}

// Quarantines returns what is known of those that kill, to be spread.
func (p *Policy) Quarantines(now time.Time) []quarantine.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kills.Expire(now)
	return p.kills.Records(now)
}

// MergeQuarantines takes in what another process knows of those that kill.
func (p *Policy) MergeQuarantines(now time.Time, records []quarantine.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kills.Merge(now, records)
}
