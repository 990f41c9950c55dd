package request

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// RouteRequest asks for a target of one attempt.
type RouteRequest struct {
	Spec *generation.Spec
	// PrefixTokens is the number of the answer's tokens that are held.
	PrefixTokens id.TokenIndex
	// Losses are the attempts that were lost, the newest last.
	Losses []Loss
	// MayRestart says that a new text may replace the old one.
	MayRestart bool
	// AttemptsWithoutProgress is the number of attempts since the last token came.
	AttemptsWithoutProgress int
}

// LastStarted returns the last loss at which an engine may have seen the
// request; nil when there was none.
func (p *RouteRequest) LastStarted() *Loss {
	for i := len(p.Losses) - 1; i >= 0; i-- {
		if p.Losses[i].Started {
			return &p.Losses[i]
		}
	}
	return nil
}

// Action is what an owner does next for an answer.
type Action string

// Actions.
const (
	// Dispatch starts an attempt at the choice's target.
	Dispatch Action = "go"
	// Rejoin goes on reading the last attempt, which its target process holds.
	Rejoin Action = "rejoin"
	// Hold asks again after the choice's wait.
	Hold Action = "hold"
	// Restart drops the text and starts an attempt at the choice's target.
	Restart Action = "restart"
	// GiveUp ends the answer.
	GiveUp Action = "giveUp"
)

// Choice is a decision about the next attempt, with its reason.
type Choice struct {
	Action Action
	Target member.TargetReport
	// SecondTarget is set when two attempts are to race; the first token wins.
	SecondTarget *member.TargetReport
	// KeepStalled leaves a stalled attempt as it is, to race or to be waited for.
	KeepStalled bool
	// Cause is the cause of a refusal; empty means that there is no target.
	Cause answer.Cause
	// Wait is how long to hold, or when the caller may come back.
	Wait   time.Duration
	Reason string
}

// Usage is what one attempt cost and how it ended, for counts and budgets.
type Usage struct {
	Target id.Target
	Class  generation.Class
	// DecodedTokens counts the tokens that the attempt added to the answer.
	DecodedTokens int
	// Loss is set when the attempt was lost.
	Loss *Loss
	// TimeToFirstToken is the time from the start to the first token; 0 when none came.
	TimeToFirstToken time.Duration
	// PrefixTokens is the number of tokens that the attempt began after.
	PrefixTokens int
}

// StallDetector follows the tokens of one attempt.
type StallDetector struct {
	// TokensReceived tells that n tokens came at now.
	TokensReceived func(now time.Time, n int)
	// Check reports whether the attempt has stalled, and when to check again.
	Check func(now time.Time) (stalled bool, next time.Time)
}

// Policy holds the decisions of an owner.
type Policy struct {
	// Route decides on the next attempt.
	Route func(p RouteRequest, now time.Time) Choice
	// AttemptStarted counts an attempt at a target, and the returned function ends it.
	AttemptStarted func(t *member.TargetReport, spec *generation.Spec) func(Usage)
	// NewStallDetector follows an attempt at a target.
	NewStallDetector func(t *member.TargetReport, spec *generation.Spec, prefix id.TokenIndex, start time.Time) StallDetector
	// RequestEnded notes that a request runs no more, and whether its answer is whole.
	RequestEnded func(spec *generation.Spec, whole bool)
	// Candidates returns the targets that may hold a request of the models.
	Candidates func(models []id.Model) []member.TargetReport
}
