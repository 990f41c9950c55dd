package request

import (
	"cmp"
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// frameQueueSize is the capacity of the queue between the streams of the running
// attempts and the answer.
const frameQueueSize = 16

// cancelTimeout is the timeout of the call that cancels an attempt.
const cancelTimeout = 2 * time.Second

// runner drives the attempts of one answer.
type runner struct {
	answer  *Answer
	targets *TargetClient
	policy  *Policy
	clock   clockwork.Clock
	log     *event.Log
	metrics *Metrics

	// maxAttempts is the maximum number of consecutive attempts without a new
	// token.
	maxAttempts int

	losses []Loss
	// attemptsWithoutProgress counts the started attempts that were lost since the
	// last token arrived.
	attemptsWithoutProgress int
	// holdReason is the reason of the last decision if it was to hold, else empty.
	holdReason string
	// corrupt means that the tokens held contradict those of an attempt.
	corrupt bool
	// adoptable is a running attempt left by another owner, to be adopted next.
	adoptable *FoundAttempt
	// mayHaveRun means that an engine may have received the request.
	mayHaveRun bool
	// pendingChoice is a choice made when an attempt stalled, to be used next.
	pendingChoice *Choice
	// interruptedAt is the time of the loss that interrupted the answer. It is zero
	// while tokens arrive.
	interruptedAt time.Time
}

// run drives attempts until the answer is complete, and then returns nil, or
// until it is given up, and then returns the refusal.
func (r *runner) run(ctx context.Context) *answer.Refusal {
	for {
		if r.answer.complete() || (!r.corrupt && r.answer.finishAtLimit()) {
			return nil
		}
		choice, refusal := r.nextChoice(ctx)
		if refusal != nil {
			return refusal
		}
		loss := r.runAttempt(ctx, &choice)
		if loss == nil {
			continue
		}
		if refusal := r.terminalRefusal(ctx, loss); refusal != nil {
			return refusal
		}
		r.losses = append(r.losses, *loss)
	}
}

// finish ends the answer and logs the result.
func (r *runner) finish(refusal *answer.Refusal) {
	r.answer.end(refusal, r.clock.Now())
	spec := r.answer.Spec()
	r.policy.RequestEnded(&spec, refusal == nil)
	if refusal == nil {
		r.log.Emit(event.RequestFinished, "request", spec.Request, "contract", spec.Contract,
			"tokens", r.answer.tokenCount(), "attempts", len(r.losses)+1)
		return
	}
	r.log.Emit(event.RequestFailed, "request", spec.Request, "contract", spec.Contract,
		"outcome", refusal.Outcome, "cause", refusal.Cause, "detail", refusal.Detail)
}

// nextChoice requests choices from the policy until it chooses a target or gives up.
func (r *runner) nextChoice(ctx context.Context) (Choice, *answer.Refusal) {
	if r.adoptable != nil {
		return Choice{Action: Rejoin, Target: r.adoptable.Target, Reason: "found"}, nil
	}
	if r.corrupt && !r.answer.restart(newLineage(), r.answer.Spec().Version) {
		return Choice{}, r.newRefusal(answer.CauseLost, "the text held does not agree with its checksum", 0)
	}
	r.corrupt = false
	for {
		if r.attemptsWithoutProgress >= r.maxAttempts {
			return Choice{}, r.newRefusal(answer.CauseLost, "too many attempts in a row gave no token", 0)
		}
		spec := r.answer.Spec()
		choice := r.decide(&spec, r.losses)
		switch choice.Action {
		case Dispatch, Rejoin:
			return choice, nil
		case Restart:
			if r.restart(&choice) {
				return choice, nil
			}
		case GiveUp:
			return choice, r.newRefusal(cmp.Or(choice.Cause, answer.CauseNoTarget), choice.Reason, choice.Wait)
		case Hold:
			if refusal := r.wait(ctx, choice.Wait); refusal != nil {
				return choice, refusal
			}
		}
	}
}

// decide requests the policy's choice, unless it already decided when an attempt stalled.
func (r *runner) decide(spec *generation.Spec, losses []Loss) Choice {
	if r.pendingChoice != nil {
		choice := *r.pendingChoice
		r.pendingChoice = nil
		return choice
	}
	choice := r.policy.Route(RouteRequest{
		Spec:                    spec,
		PrefixTokens:            r.answer.tokenCount(),
		Losses:                  losses,
		MayRestart:              r.answer.mayRestart(),
		AttemptsWithoutProgress: r.attemptsWithoutProgress,
	}, r.clock.Now())
	r.logChoice(spec, &choice)
	return choice
}

// logChoice records and logs a decision. A repeated decision to hold for the
// same reason is skipped.
func (r *runner) logChoice(spec *generation.Spec, choice *Choice) {
	again := choice.Action == Hold && r.holdReason == choice.Reason
	r.holdReason = ""
	if choice.Action == Hold {
		r.holdReason = choice.Reason
	}
	if again {
		return
	}
	now := r.clock.Now()
	r.answer.addDecision(Decision{At: now, Step: string(choice.Action), Target: choice.Target.Target, Reason: choice.Reason})
	e := event.RouteChosen
	switch {
	case choice.Action == GiveUp && len(r.losses) > 0:
		e = event.RecoveryRefused
	case choice.Action == GiveUp || choice.Action == Hold:
		e = event.RouteRefused
	case len(r.losses) > 0:
		e = event.RecoveryChosen
	}
	r.log.Emit(e, "request", spec.Request, "contract", spec.Contract, "model", spec.Model, "class", spec.Class,
		"action", choice.Action, "target", choice.Target.Target, "zone", choice.Target.Place.Zone,
		"reason", choice.Reason, "prefix", r.answer.tokenCount(), "losses", len(r.losses))
}

// restart discards the text and begins a new lineage with the version of the
// choice's target.
func (r *runner) restart(choice *Choice) bool {
	return r.answer.restart(newLineage(), choice.Target.Version)
}

// wait waits for the duration d. It returns a refusal if the deadline would pass
// first, or if the request is cancelled.
func (r *runner) wait(ctx context.Context, d time.Duration) *answer.Refusal {
	deadline := r.answer.Spec().Deadline
	if !deadline.IsZero() && !r.clock.Now().Add(d).Before(deadline) {
		return r.newRefusal(answer.CauseDeadline, "no target before the deadline", d)
	}
	select {
	case <-r.clock.After(d):
		return nil
	case <-ctx.Done():
		return r.newRefusal(answer.CauseLeaving, "the request was cancelled", 0)
	}
}

// newRefusal returns a refusal. Its outcome is notRun only if no engine can have
// received the request.
func (r *runner) newRefusal(cause answer.Cause, detail string, retryAfter time.Duration) *answer.Refusal {
	refusal := answer.NewRefusal(cause, "%s", detail)
	refusal.RetryAfter = retryAfter
	if r.mayHaveRun {
		refusal.Outcome = answer.Failed
	}
	return refusal
}

// terminalRefusal returns a refusal if no other target can recover from the
// loss, else nil.
func (r *runner) terminalRefusal(ctx context.Context, loss *Loss) *answer.Refusal {
	switch {
	case ctx.Err() != nil:
		return r.newRefusal(answer.CauseLeaving, "the request was cancelled", 0)
	case loss.Kind == Invalid:
		return r.newRefusal(answer.CauseInvalid, loss.Detail, 0)
	case loss.Kind == Fenced:
		return r.newRefusal(answer.CauseConflict, "another entry owns the request", 0)
	case loss.Kind == Corrupt:
		r.corrupt = true
		return nil
	case loss.Kind == Deadline:
		return r.newRefusal(answer.CauseDeadline, "the deadline passed", 0)
	}
	return nil
}
