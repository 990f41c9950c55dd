// Package recovery chooses how an answer goes on after its attempt was lost,
// and bounds the work that losses may cause.
//
// Each way to go on has an expected time until the next token and an expected
// number of tokens that are computed again. A contract's preference weighs the
// two against each other. An answer only ever goes on with the same model
// version and adapter, so two texts are never mixed.
//
// # Usage
//
//	decision := recovery.Choose(view, loss, policy, now, rng)
//	switch decision.Choice {
//	case recovery.GoOn:
//		// Begin the next attempt at decision.Target after the tokens held.
//	case recovery.WaitVersion:
//		// Ask again at decision.Until, or when the view changes.
//	}
//
// Choose does no I/O and keeps nothing. A Budget keeps what was spent; its
// owner asks it before each attempt and sets Policy by its answer.
package recovery

import (
	"cmp"
	"math/rand/v2"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Action is a way to go on.
type Action string

// Choices.
const (
	// Adopt reads on from the attempt, which still runs at its target process.
	Adopt Action = "adopt"
	// WaitTarget leaves the attempt as it is; its target may go on.
	WaitTarget Action = "waitTarget"
	// Resume begins an attempt at Target after the tokens held.
	Resume Action = "goOn"
	// Hedge begins an attempt at Target, and lets a second one run beside it
	// until either brings a token: at Second, or the silent one if Second is
	// empty.
	Hedge Action = "race"
	// Restart begins a new text at Target.
	Restart Action = "restart"
	// WaitVersion waits for a target with the answer's version and adapter.
	WaitVersion Action = "waitVersion"
	// WaitBudget waits until the budget allows an attempt.
	WaitBudget Action = "waitBudget"
	// Fail ends the request without a whole answer.
	Fail Action = "fail"
)

// Reason says why a choice was made, for the log line of the decision.
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
	// Died means that the engine ended the stream without its end, or died.
	Died LossKind = "died"
	// Stalled means that tokens stopped coming; the attempt may still run.
	Stalled LossKind = "stalled"
	// Refused means that the target did not take the attempt.
	Refused LossKind = "refused"
)

// Loss is an attempt that was lost, and the answer that it belongs to.
type Loss struct {
	Spec *generation.Spec
	Kind LossKind
	// Target is where the attempt ran, at Place, in its incarnation.
	Target      id.Target
	Incarnation id.Incarnation
	Place       member.Place
	// StillRunning says that the target process answers and still holds the attempt.
	StillRunning bool
	// Attempts counts the attempts that were begun so far.
	Attempts int
	// HeldTokens counts the tokens held.
	HeldTokens int
	// TokensDelivered says that the caller was given tokens of this text.
	TokensDelivered bool
	// At is when the loss was noticed.
	At time.Time
	// ZoneFailures counts other targets of the zone that died just before.
	ZoneFailures int
}

// View is what is known of the targets.
type View struct {
	Targets []member.TargetReport
	// Cached returns how many tokens of the prompt and the answer so far are
	// in a target's cache; nil means that nothing is known.
	Cached func(target id.Target) int
	// Avoid says that a target must not be used, such as one that just died;
	// nil means none.
	Avoid func(target id.Target) bool
}

// Policy is what the contract, the configuration and the budgets allow.
type Policy struct {
	Prefer generation.Preference
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// RetryAllowed and Hedge say that the budgets allow an attempt and a race.
	RetryAllowed bool
	HedgeAllowed bool
	// Headroom is the part of a target's slots that only short work and
	// answers that prefer latency may use.
	Headroom float64
	// MaxReportAge is the age from which a report no longer counts.
	MaxReportAge time.Duration
	// StallWait is how long a silent target is expected to stay silent.
	StallWait time.Duration
	// ReconnectTime is the expected time to read on from a running attempt.
	ReconnectTime time.Duration
	// RecheckInterval is the time until a decision to wait is made anew.
	RecheckInterval time.Duration
}

// Defaults fills in what p leaves out. The budgets and the headroom stay.
func (p *Policy) Defaults() {
	p.Prefer = cmp.Or(p.Prefer, generation.PreferLatency)
	p.MaxAttempts = cmp.Or(p.MaxAttempts, 8)
	p.MaxReportAge = cmp.Or(p.MaxReportAge, 3*time.Second)
	p.StallWait = cmp.Or(p.StallWait, 10*time.Second)
	p.ReconnectTime = cmp.Or(p.ReconnectTime, 10*time.Millisecond)
	p.RecheckInterval = cmp.Or(p.RecheckInterval, 200*time.Millisecond)
}

// Decision is how an answer goes on.
type Decision struct {
	Action Action
	Reason Reason
	// Target is set for GoOn, Race and Restart; Second may be set for Race.
	Target id.Target
	Second id.Target
	// Expected is the time until the next token.
	Expected time.Duration
	// Recompute is the number of tokens expected to be computed again.
	Recompute int
	// Until is when to decide anew; set for the choices that wait.
	Until time.Time
}

// Choose decides how an answer goes on after a loss. It is asked again when a
// wait ends; the loss stays the same.
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
	best := found.best(rng)
	if waits(&loss, &policy, best, now) {
		return wait(&loss, &policy, now, WaitTarget, ReasonMayReturn)
	}
	if !policy.RetryAllowed {
		return wait(&loss, &policy, now, WaitBudget, ReasonBudget)
	}
	return goOn(&loss, &policy, found, best)
}

// waits reports whether a silent target is given more time. Only an answer
// that prefers cost does so, and only while that saves tokens and leaves the
// time to go on elsewhere before the deadline.
func waits(loss *Loss, policy *Policy, best candidate, now time.Time) bool {
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

func goOn(loss *Loss, policy *Policy, found candidateList, best candidate) Decision {
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
	if second, ok := found.second(best); ok && best.expected >= raceFrom {
		d.Action, d.Reason, d.Second = Hedge, ReasonHedged, second.target
		d.Recompute += second.recompute
	}
	return d
}

// withoutVersion decides when no target can go on with the text.
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

// wait returns a decision to wait until the next time to ask, at the latest
// until the deadline, when Choose fails the request.
func wait(loss *Loss, policy *Policy, now time.Time, c Action, why Reason) Decision {
	until := now.Add(policy.RecheckInterval)
	if d := loss.Spec.Deadline; !d.IsZero() && d.Before(until) {
		until = d
	}
	return Decision{Action: c, Reason: why, Expected: until.Sub(now), Until: until}
}
