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

// CheckQuarantine refuses a request that is quarantined because it crashes
// targets.
func (p *Policy) CheckQuarantine(spec *generation.Spec) *answer.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Clock.Now()
	status := p.quarantined.Status(now, spec.Fingerprint())
	if status.State != quarantine.Refused {
		return nil
	}
	refusal := answer.NewRefusal(answer.CauseQuarantined, "this request ended %d targets and is refused for a time", status.Failures)
	refusal.RetryAfter = status.Until.Sub(now)
	return refusal
}

// checkSuspect holds back a request that is suspected of crashing targets while
// another one with its fingerprint runs, and gives up one that is quarantined.
// It reports whether the returned choice applies.
func (p *Policy) checkSuspect(req *request.RouteRequest, now time.Time) (request.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fingerprint := req.Spec.Fingerprint()
	status := p.quarantined.Status(now, fingerprint)
	switch {
	case status.State == quarantine.Refused:
		p.deps.Log.Emit(event.RequestQuarantined, "request", req.Spec.Request, "contract", req.Spec.Contract,
			"fingerprint", fingerprint, "deaths", status.Failures, "until", status.Until)
		return request.Choice{
			Action: request.GiveUp, Reason: reasonQuarantined, Cause: answer.CauseQuarantined, Wait: status.Until.Sub(now),
		}, true
	case !p.quarantined.TryStart(now, fingerprint, req.Spec.Request):
		return request.Choice{Action: request.Hold, Wait: holdInterval, Reason: reasonSuspect}, true
	}
	return request.Choice{}, false
}

// conflictingTargets returns the targets where f must not run because another
// suspect of the same crash runs there.
func (p *Policy) conflictingTargets(f id.Fingerprint) []id.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conflictingTargetsLocked(f)
}

func (p *Policy) conflictingTargetsLocked(f id.Fingerprint) []id.Target {
	if p.quarantined.Status(p.deps.Clock.Now(), f).State != quarantine.Suspected {
		return nil
	}
	var out []id.Target
	for target, counts := range p.running {
		for other := range counts {
			if p.quarantined.MustSeparate(f, other) {
				out = append(out, target)
				break
			}
		}
	}
	return out
}

// addRunning adds n to the number of running attempts with a fingerprint at a
// target.
func (p *Policy) addRunning(target id.Target, f id.Fingerprint, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.running[target]
	if counts == nil {
		counts = map[id.Fingerprint]int{}
		p.running[target] = counts
	}
	counts[f] += n
	if counts[f] <= 0 {
		delete(counts, f)
	}
	if len(counts) == 0 {
		delete(p.running, target)
	}
}

// recordSend records that a request is sent to a target. The returned function takes that
// back, for a target that did not run it.
func (p *Policy) recordSend(spec *generation.Spec, now time.Time) (notRun func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	undo := p.quarantined.RecordSend(now, spec.Fingerprint(), spec.Request)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		undo()
	}
}

// mayHaveRun reports whether a target may have run an attempt that ended with a loss.
func mayHaveRun(k request.Kind) bool {
	switch k {
	case request.Busy, request.Leaving, request.Fenced, request.Mismatch:
		return false
	}
	return true
}

// recordAttempt charges the work of a finished attempt to the retry and hedge
// budgets, and records the loss of an engine as a failure in the quarantine
// tracker.
func (p *Policy) recordAttempt(t *member.TargetReport, run quarantine.Run, prompt int, u *request.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retry.RecordWork(prompt + u.DecodedTokens)
	p.hedge.RecordWork(prompt + u.DecodedTokens)
	if u.Loss == nil || (u.Loss.Kind != request.EngineFailed && u.Loss.Kind != request.Lost) {
		return
	}
	p.quarantined.RecordFailure(quarantine.Failure{
		TargetIncarnation: id.TargetIncarnation{Target: t.Target, Incarnation: t.Incarnation},
		Place:             t.Place, At: u.Loss.At, Running: []quarantine.Run{run},
	})
	if status := p.quarantined.Status(u.Loss.At, run.Fingerprint); status.State == quarantine.Suspected {
		p.deps.Log.Emit(event.RequestSuspected, "fingerprint", run.Fingerprint, "target", t.Target, "deaths", status.Failures)
	}
}

// End records that a request has ended. complete says that its answer was
// completed.
func (p *Policy) End(spec *generation.Spec, complete bool) {
	p.queues.forget(spec.Model, spec.Request)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retry.Cancel(spec.Request)
	p.quarantined.End(spec.Fingerprint(), spec.Request)
	if complete {
		p.quarantined.RecordCompletion(spec.Fingerprint())
	}
}

// Quarantines returns the records about requests that crash targets, to be sent
// to other processes.
func (p *Policy) Quarantines(now time.Time) []quarantine.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantined.Expire(now)
	return p.quarantined.Records(now)
}
