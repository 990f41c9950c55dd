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

// Choice is a way to go on.
type Choice string

// Choices.
const (
	// Adopt reads on from the attempt, which still runs at its target process.
	Adopt Choice = "adopt"
	// WaitTarget leaves the attempt as it is; its target may go on.
	WaitTarget Choice = "waitTarget"
	// GoOn begins an attempt at Target after the tokens held.
	GoOn Choice = "goOn"
	// Race begins an attempt at Target, and lets a second one run beside it
	// until either brings a token: at Second, or the silent one if Second is
	// empty.
	Race Choice = "race"
	// Restart begins a new text at Target.
	Restart Choice = "restart"
	// WaitVersion waits for a target with the answer's version and adapter.
	WaitVersion Choice = "waitVersion"
	// WaitBudget waits until the budget allows an attempt.
	WaitBudget Choice = "waitBudget"
	// Fail ends the request without a whole answer.
	Fail Choice = "fail"
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

// Kind is how an attempt was lost.
type Kind string

// Kinds of losses.
const (
	// Disconnected means that the connection to the target process broke.
	Disconnected Kind = "disconnected"
	// Died means that the engine ended the stream without its end, or died.
	Died Kind = "died"
	// Stalled means that tokens stopped coming; the attempt may still run.
	Stalled Kind = "stalled"
	// Refused means that the target did not take the attempt.
	Refused Kind = "refused"
)

// Loss is an attempt that was lost, and the answer that it belongs to.
type Loss struct {
	Spec *generation.Spec
	Kind Kind
	// Target is where the attempt ran, at Place, in its incarnation.
	Target      id.Target
	Incarnation id.Incarnation
	Place       member.Place
	// Runs says that the target process answers and still holds the attempt.
	Runs bool
	// Attempts counts the attempts that were begun so far.
	Attempts int
	// Held counts the tokens held.
	Held int
	// Seen says that the caller was given tokens of this text.
	Seen bool
	// At is when the loss was noticed.
	At time.Time
	// ZoneDeaths counts other targets of the zone that died just before.
	ZoneDeaths int
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
	Prefer generation.Prefer
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// Retry and Hedge say that the budgets allow an attempt and a race.
	Retry bool
	Hedge bool
	// Headroom is the part of a target's slots that only short work and
	// answers that prefer latency may use.
	Headroom float64
	// MaxAge is the age from which a report no longer counts.
	MaxAge time.Duration
	// ReturnAfter is how long a silent target is expected to stay silent.
	ReturnAfter time.Duration
	// Reconnect is the expected time to read on from a running attempt.
	Reconnect time.Duration
	// AskAgain is the time until a decision to wait is made anew.
	AskAgain time.Duration
}

// Defaults fills in what p leaves out. The budgets and the headroom stay.
func (p *Policy) Defaults() {
	p.Prefer = cmp.Or(p.Prefer, generation.PreferLatency)
	p.MaxAttempts = cmp.Or(p.MaxAttempts, 8)
	p.MaxAge = cmp.Or(p.MaxAge, 3*time.Second)
	p.ReturnAfter = cmp.Or(p.ReturnAfter, 10*time.Second)
	p.Reconnect = cmp.Or(p.Reconnect, 10*time.Millisecond)
	p.AskAgain = cmp.Or(p.AskAgain, 200*time.Millisecond)
}

// Decision is how an answer goes on.
type Decision struct {
	Choice Choice
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
		return Decision{Choice: Fail, Reason: ReasonDeadline}
	}
	if loss.Runs && loss.Kind == Disconnected {
		return Decision{Choice: Adopt, Reason: ReasonStillRuns, Expected: policy.Reconnect}
	}
	if loss.Attempts >= policy.MaxAttempts {
		return Decision{Choice: Fail, Reason: ReasonAttempts}
	}
	found := candidates(&view, &loss, &policy, now)
	if len(found) == 0 {
		return withoutVersion(&view, &loss, &policy, now)
	}
	best := found.best(rng)
	if waits(&loss, &policy, best, now) {
		return wait(&loss, &policy, now, WaitTarget, ReasonMayReturn)
	}
	if !policy.Retry {
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
	end := loss.At.Add(policy.ReturnAfter)
	if !now.Before(end) {
		return false
	}
	remaining := time.Duration(loss.Spec.MaxTokens-loss.Held) * best.pace
	deadline := loss.Spec.Deadline
	return deadline.IsZero() || end.Add(best.expected+remaining).Before(deadline)
}

func goOn(loss *Loss, policy *Policy, found candidateList, best candidate) Decision {
	d := Decision{
		Choice: GoOn, Reason: ReasonLeastTime,
		Target: best.target, Expected: best.expected, Recompute: best.recompute,
	}
	if policy.Prefer == generation.PreferCost {
		d.Reason = ReasonLeastRecompute
		return d
	}
	if !policy.Hedge {
		return d
	}
	if loss.Kind == Stalled {
		d.Choice, d.Reason = Race, ReasonHedged
		return d
	}
	if second, ok := found.second(best); ok && best.expected >= raceFrom {
		d.Choice, d.Reason, d.Second = Race, ReasonHedged, second.target
		d.Recompute += second.recompute
	}
	return d
}

// withoutVersion decides when no target can go on with the text.
func withoutVersion(view *View, loss *Loss, policy *Policy, now time.Time) Decision {
	if loss.Seen && !loss.Spec.RestartAllowed {
		return wait(loss, policy, now, WaitVersion, ReasonNoVersion)
	}
	other, ok := anyVersion(view, loss, policy, now)
	switch {
	case !ok:
		return wait(loss, policy, now, WaitVersion, ReasonNoVersion)
	case !policy.Retry:
		return wait(loss, policy, now, WaitBudget, ReasonBudget)
	}
	return Decision{
		Choice: Restart, Reason: ReasonNoVersion, Target: other.target,
		Expected: other.expected, Recompute: other.recompute + loss.Held,
	}
}

// wait returns a decision to wait until the next time to ask, at the latest
// until the deadline, when Choose fails the request.
func wait(loss *Loss, policy *Policy, now time.Time, c Choice, why Reason) Decision {
	until := now.Add(policy.AskAgain)
	if d := loss.Spec.Deadline; !d.IsZero() && d.Before(until) {
		until = d
	}
	return Decision{Choice: c, Reason: why, Expected: until.Sub(now), Until: until}
}
