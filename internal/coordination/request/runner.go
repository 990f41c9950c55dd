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

// frameQueue bounds the frames that wait between an attempt's stream and its
// answer.
const frameQueue = 16

// cancelTimeout bounds the call that cancels a lost attempt.
const cancelTimeout = 2 * time.Second

// runner drives the attempts of one answer.
type runner struct {
	answer *Answer
	link   *TargetClient
	policy *Policy
	clock  clockwork.Clock
	log    *event.Log
	meter  *Metrics

	// maxAttempts bounds the attempts in a row that add nothing.
	maxAttempts int

	losses []Loss
	// idle counts the attempts since the last token came.
	idle int
	// held is the reason of the last decision when it was to hold.
	held string
	// corrupt says that the text held cannot be trusted.
	corrupt bool
	// found is set when another owner left an attempt that runs.
	found *FoundAttempt
	// touched says that an engine may have seen the request.
	touched bool
	// decided is a choice that was made while an attempt stalled.
	decided *Choice
	// lostAt is when the answer stopped flowing; zero while it flows.
	lostAt time.Time
}

// run drives attempts until the answer is whole, which gives nil, or given up.
func (r *runner) run(ctx context.Context) *answer.Refusal {
	for {
		if r.answer.whole() || (!r.corrupt && r.answer.full()) {
			return nil
		}
		choice, refusal := r.place(ctx)
		if refusal != nil {
			return refusal
		}
		loss := r.attempt(ctx, &choice)
		if loss == nil {
			continue
		}
		if refusal := r.terminal(ctx, loss); refusal != nil {
			return refusal
		}
		r.losses = append(r.losses, *loss)
	}
}

// finish closes the answer and logs its end.
func (r *runner) finish(refusal *answer.Refusal) {
	r.answer.end(refusal, r.clock.Now())
	spec := r.answer.Spec()
	r.policy.RequestEnded(&spec, refusal == nil)
	if refusal == nil {
		r.log.Emit(event.RequestFinished, "request", spec.Request, "contract", spec.Contract,
			"tokens", r.answer.next(), "attempts", len(r.losses)+1)
		return
	}
	r.log.Emit(event.RequestFailed, "request", spec.Request, "contract", spec.Contract,
		"outcome", refusal.Outcome, "cause", refusal.Cause, "detail", refusal.Detail)
}

// place asks the policy until it names a target or gives up.
func (r *runner) place(ctx context.Context) (Choice, *answer.Refusal) {
	if r.found != nil {
		return Choice{Action: Rejoin, Target: r.found.Target, Reason: "found"}, nil
	}
	if r.corrupt && !r.answer.restart(newLineage(), r.answer.Spec().Version) {
		return Choice{}, r.refusal(answer.CauseLost, "the text held does not agree with its checksum", 0)
	}
	r.corrupt = false
	for {
		if r.idle >= r.maxAttempts {
			return Choice{}, r.refusal(answer.CauseLost, "too many attempts in a row gave no token", 0)
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
			return choice, r.refusal(cmp.Or(choice.Cause, answer.CauseNoTarget), choice.Reason, choice.Wait)
		case Hold:
			if refusal := r.hold(ctx, choice.Wait); refusal != nil {
				return choice, refusal
			}
		}
	}
}

// decide asks the policy, unless it has decided while an attempt stalled.
func (r *runner) decide(spec *generation.Spec, losses []Loss) Choice {
	if r.decided != nil {
		choice := *r.decided
		r.decided = nil
		return choice
	}
	choice := r.policy.Route(RouteRequest{
		Spec:                    spec,
		PrefixTokens:            r.answer.next(),
		Losses:                  losses,
		MayRestart:              r.answer.mayRestart(),
		AttemptsWithoutProgress: r.idle,
	}, r.clock.Now())
	r.noteChoice(spec, &choice)
	return choice
}

// noteChoice logs a decision; one to go on holding is not logged again.
func (r *runner) noteChoice(spec *generation.Spec, choice *Choice) {
	again := choice.Action == Hold && r.held == choice.Reason
	r.held = ""
	if choice.Action == Hold {
		r.held = choice.Reason
	}
	if again {
		return
	}
	now := r.clock.Now()
	r.answer.note(Decision{At: now, Step: string(choice.Action), Target: choice.Target.Target, Reason: choice.Reason})
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
		"reason", choice.Reason, "prefix", r.answer.next(), "losses", len(r.losses))
}

// restart drops the text for a new lineage at the choice's version.
func (r *runner) restart(choice *Choice) bool {
	return r.answer.restart(newLineage(), choice.Target.Version)
}

// hold waits, and refuses when the deadline or the owner's end comes first.
func (r *runner) hold(ctx context.Context, wait time.Duration) *answer.Refusal {
	deadline := r.answer.Spec().Deadline
	if !deadline.IsZero() && !r.clock.Now().Add(wait).Before(deadline) {
		return r.refusal(answer.CauseDeadline, "no target before the deadline", wait)
	}
	select {
	case <-r.clock.After(wait):
		return nil
	case <-ctx.Done():
		return r.refusal(answer.CauseLeaving, "the request was cancelled", 0)
	}
}

// refusal says notRun only when no engine can have seen the request.
func (r *runner) refusal(cause answer.Cause, detail string, retryAfter time.Duration) *answer.Refusal {
	refusal := answer.NewRefusal(cause, "%s", detail)
	refusal.RetryAfter = retryAfter
	if r.touched {
		refusal.Outcome = answer.Failed
	}
	return refusal
}

// terminal returns the refusal for a loss that no other target can mend.
func (r *runner) terminal(ctx context.Context, loss *Loss) *answer.Refusal {
	switch {
	case ctx.Err() != nil:
		return r.refusal(answer.CauseLeaving, "the request was cancelled", 0)
	case loss.Kind == Invalid:
		return r.refusal(answer.CauseInvalid, loss.Detail, 0)
	case loss.Kind == Fenced:
		return r.refusal(answer.CauseConflict, "another entry owns the request", 0)
	case loss.Kind == Corrupt:
		r.corrupt = true
		return nil
	case loss.Kind == Deadline:
		return r.refusal(answer.CauseDeadline, "the deadline passed", 0)
	}
	return nil
}
