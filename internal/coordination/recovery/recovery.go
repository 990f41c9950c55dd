// Package recovery chooses how an answer continues after its attempt was lost,
// and bounds the extra work that losses may cause.
//
// Each way to continue has an expected time until the next token and an
// expected number of tokens that are computed again. The contract's preference
// weighs the two against each other. An answer is continued only with the same
// model version and adapter, so that texts of two versions are never mixed.
//
// # Usage
//
//	decision := recovery.Choose(view, loss, policy, now, rng)
//	switch decision.Action {
//	case recovery.Resume:
//		// Begin the next attempt at decision.Target after the tokens held.
//	case recovery.WaitVersion:
//		// Call Choose again at decision.Until, or when the view changes.
//	}
//
// Choose does no I/O and keeps no state. A Budget tracks what was spent; its
// owner consults it before each attempt and sets the Policy accordingly.
package recovery

import (
	"cmp"
	"math/rand/v2"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Action is what is done after a loss.
type Action string

// Actions.
const (
	// Adopt reconnects to the attempt, which still runs at its target process,
	// and reads on from it.
	Adopt Action = "adopt"
	// WaitTarget leaves the attempt as it is, since its target may continue.
	WaitTarget Action = "waitTarget"
	// Resume begins an attempt at Target that continues after the tokens held.
	Resume Action = "goOn"
	// Hedge begins an attempt at Target beside a second one, until either sends
	// a token. The second one is begun at Second or, if Second is empty, is the
	// stalled attempt.
	Hedge Action = "race"
	// Restart begins a new text at Target.
	Restart Action = "restart"
	// WaitVersion waits for a target with the answer's version and adapter.
	WaitVersion Action = "waitVersion"
	// WaitBudget waits until the budget allows an attempt.
	WaitBudget Action = "waitBudget"
	// Fail ends the request without a complete answer.
	Fail Action = "fail"
)

// Reason says why an action was chosen, for the log line of the decision.
type Reason string

// Reasons.
const (
	ReasonStillRuns      Reason = "stillRuns"
	ReasonLeastTime      Reason = "leastTime"
	ReasonLeastRecompute Reason = "leastRecompute"
	ReasonMayReturn      Reason = "mayReturn"
	ReasonHedged         Reason = "hedged"
	ReasonNoVersion      Reason = "noVersion"
	ReasonBudget         Reason = "budget"
	ReasonAttempts       Reason = "attempts"
	ReasonDeadline       Reason = "deadline"
)

// LossKind is how an attempt was lost.
type LossKind string

// Kinds of losses.
const (
	// Disconnected means that the connection to the target process broke.
	Disconnected LossKind = "disconnected"
	// Died means that the engine died, or closed the stream before its end.
	Died LossKind = "died"
	// Stalled means that no more tokens arrive; the attempt may still run.
	Stalled LossKind = "stalled"
	// Refused means that the target did not accept the attempt.
	Refused LossKind = "refused"
)

// Loss describes a lost attempt and the state of its answer.
type Loss struct {
	Spec *generation.Spec
	Kind LossKind
	// Target is where the attempt ran, in the incarnation of that time and at
	// Place.
	Target      id.Target
	Incarnation id.Incarnation
	Place       member.Place
	// StillRunning says that the target process answers and still has the
	// attempt.
	StillRunning bool
	// Attempts is the number of attempts begun so far.
	Attempts int
	// HeldTokens is the number of tokens that the answer has already.
	HeldTokens int
	// TokensDelivered says that the caller was sent tokens of this text.
	TokensDelivered bool
	// At is when the loss was detected.
	At time.Time
	// ZoneFailures is the number of other targets of the zone that failed just
	// before.
	ZoneFailures int
}

// View is what is known about the targets.
type View struct {
	Targets []member.TargetReport
	// Cached returns how many tokens of the prompt and the answer so far are in
	// a target's cache; nil means that nothing is known.
	Cached func(target id.Target) int
	// Avoid reports whether a target must not be used, for example because it
	// just failed; nil means none.
	Avoid func(target id.Target) bool
}

// Policy is what the contract, the configuration and the budgets allow.
type Policy struct {
	Prefer generation.Preference
	// MaxAttempts is the largest number of attempts of one request.
	MaxAttempts int
	// RetryAllowed and HedgeAllowed say whether the budgets allow another
	// attempt, and a second one beside it.
	RetryAllowed bool
	HedgeAllowed bool
	// Headroom is the share of a target's slots that only answers may use that
	// are of class Short or prefer latency.
	Headroom float64
	// MaxReportAge is the age up to which load reports are used.
	MaxReportAge time.Duration
	// StallWait is how long a stalled target is expected to be silent.
	StallWait time.Duration
	// ReconnectTime is the expected time to reconnect to a running attempt.
	ReconnectTime time.Duration
	// RecheckInterval is the time after which a decision to wait is
	// reconsidered.
	RecheckInterval time.Duration
}

// Defaults sets the fields of p that are zero, except for the budgets and the
// headroom.
func (p *Policy) Defaults() {
	p.Prefer = cmp.Or(p.Prefer, generation.PreferLatency)
	p.MaxAttempts = cmp.Or(p.MaxAttempts, 8)
	p.MaxReportAge = cmp.Or(p.MaxReportAge, 3*time.Second)
	p.StallWait = cmp.Or(p.StallWait, 10*time.Second)
	p.ReconnectTime = cmp.Or(p.ReconnectTime, 10*time.Millisecond)
	p.RecheckInterval = cmp.Or(p.RecheckInterval, 200*time.Millisecond)
}

// Decision is how an answer continues.
type Decision struct {
	Action Action
	Reason Reason
	// Target is set for Resume, Hedge and Restart; Second may be set for Hedge.
	Target id.Target
	Second id.Target
	// Expected is the expected time until the next token.
	Expected time.Duration
	// Recompute is the number of tokens expected to be computed again.
	Recompute int
	// Until is when to decide again; it is set for the actions that wait.
	Until time.Time
}

// Choose decides how an answer continues after a loss. After a wait it is
// called again with the same loss.
func Choose(view View, loss Loss, policy Policy, now time.Time, rng *rand.Rand) Decision {
	policy.Defaults()
	if d := loss.Spec.Deadline; !d.IsZero() && !now.Before(d) {
		return Decision{Action: Fail, Reason: ReasonDeadline}
	}
	if loss.StillRunning && loss.Kind == Disconnected {
		return Decision{Action: Adopt, Reason: ReasonStillRuns, Expected: policy.ReconnectTime}
	}
	if loss.Attempts >= policy.MaxAttempts {
		return Decision{Action: Fail, Reason: ReasonAttempts}
	}
	found := candidates(&view, &loss, &policy, now)
	if len(found) == 0 {
		return withoutVersion(&view, &loss, &policy, now)
	}
	best := found.pick(rng)
	if shouldWait(&loss, &policy, best, now) {
		return wait(&loss, &policy, now, WaitTarget, ReasonMayReturn)
	}
	if !policy.RetryAllowed {
		return wait(&loss, &policy, now, WaitBudget, ReasonBudget)
	}
	return resume(&loss, &policy, found, best)
}

// shouldWait reports whether to wait for a stalled target. It does so only for
// an answer that prefers cost, while waiting saves tokens and leaves enough
// time to continue elsewhere before the deadline.
func shouldWait(loss *Loss, policy *Policy, best candidate, now time.Time) bool {
	if loss.Kind != Stalled || policy.Prefer != generation.PreferCost || best.recompute == 0 {
		return false
	}
	end := loss.At.Add(policy.StallWait)
	if !now.Before(end) {
		return false
	}
	remaining := time.Duration(loss.Spec.MaxTokens-loss.HeldTokens) * best.pace
	deadline := loss.Spec.Deadline
	return deadline.IsZero() || end.Add(best.expected+remaining).Before(deadline)
}

func resume(loss *Loss, policy *Policy, found candidateList, best candidate) Decision {
	d := Decision{
		Action: Resume, Reason: ReasonLeastTime,
		Target: best.target, Expected: best.expected, Recompute: best.recompute,
	}
	if policy.Prefer == generation.PreferCost {
		d.Reason = ReasonLeastRecompute
		return d
	}
	if !policy.HedgeAllowed {
		return d
	}
	if loss.Kind == Stalled {
		d.Action, d.Reason = Hedge, ReasonHedged
		return d
	}
	if second, ok := found.second(best); ok && best.expected >= minHedgeTime {
		d.Action, d.Reason, d.Second = Hedge, ReasonHedged, second.target
		d.Recompute += second.recompute
	}
	return d
}

// withoutVersion decides if no target can continue the text.
func withoutVersion(view *View, loss *Loss, policy *Policy, now time.Time) Decision {
	if loss.TokensDelivered && !loss.Spec.RestartAllowed {
		return wait(loss, policy, now, WaitVersion, ReasonNoVersion)
	}
	other, ok := anyVersion(view, loss, policy, now)
	switch {
	case !ok:
		return wait(loss, policy, now, WaitVersion, ReasonNoVersion)
	case !policy.RetryAllowed:
		return wait(loss, policy, now, WaitBudget, ReasonBudget)
	}
	return Decision{
		Action: Restart, Reason: ReasonNoVersion, Target: other.target,
		Expected: other.expected, Recompute: other.recompute + loss.HeldTokens,
	}
}

// wait returns a decision to wait for RecheckInterval, but not beyond the
// deadline, when Choose fails the request.
func wait(loss *Loss, policy *Policy, now time.Time, action Action, reason Reason) Decision {
	until := now.Add(policy.RecheckInterval)
	if d := loss.Spec.Deadline; !d.IsZero() && d.Before(until) {
		until = d
	}
	return Decision{Action: action, Reason: reason, Expected: until.Sub(now), Until: until}
}
