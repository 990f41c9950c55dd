package request

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// RouteRequest is the input of a routing decision for one attempt.
type RouteRequest struct {
	Spec *generation.Spec
	// PrefixTokens is the number of tokens that the answer already has.
	PrefixTokens id.TokenIndex
	// Losses lists the lost attempts, the latest last.
	Losses []Loss
	// MayRestart means that a newly generated text may replace the present one.
	MayRestart bool
	// AttemptsWithoutProgress is the number of started attempts that were lost
	// since the last token arrived.
	AttemptsWithoutProgress int
}

// LastStarted returns the latest loss of an attempt that an engine may have
// received, or nil if there is none.
func (r *RouteRequest) LastStarted() *Loss {
	for i := len(r.Losses) - 1; i >= 0; i-- {
		if r.Losses[i].Started {
			return &r.Losses[i]
		}
	}
	return nil
}

// Action is the next step of an owner for an answer.
type Action string

// Actions.
const (
	// Dispatch starts an attempt at the choice's target.
	Dispatch Action = "go"
	// Rejoin continues reading the last attempt, which its target process still
	// holds.
	Rejoin Action = "rejoin"
	// Hold waits for the choice's wait and then requests another choice.
	Hold Action = "hold"
	// Restart discards the text and starts an attempt at the choice's target.
	Restart Action = "restart"
	// GiveUp ends the answer with a refusal.
	GiveUp Action = "giveUp"
)

// Choice is a decision about the next attempt and its reason.
type Choice struct {
	Action Action
	Target member.TargetReport
	// SecondTarget is set to race two attempts; the first one to deliver a token
	// wins.
	SecondTarget *member.TargetReport
	// KeepStalled keeps a stalled attempt open, to race it or to wait for it.
	KeepStalled bool
	// Cause is the cause of a refusal. Empty means answer.CauseNoTarget.
	Cause answer.Cause
	// Wait is how long to hold, or the retry delay given to the caller.
	Wait   time.Duration
	Reason string
}

// Usage reports what one attempt used and how it ended, for metrics and retry
// budgets.
type Usage struct {
	Target id.Target
	Class  generation.Class
	// DecodedTokens is the number of tokens that the attempt added to the answer.
	DecodedTokens int
	// Loss is set if the attempt was lost.
	Loss *Loss
	// TimeToFirstToken is the time from the start to the first token, or 0 if no
	// token arrived.
	TimeToFirstToken time.Duration
	// PrefixTokens is the number of tokens that the attempt was started with.
	PrefixTokens int
}

// StallDetector detects that one attempt stopped delivering tokens.
type StallDetector struct {
	// TokensReceived records that n tokens arrived at now.
	TokensReceived func(now time.Time, n int)
	// Check reports whether the attempt has stalled, and when to check again.
	Check func(now time.Time) (stalled bool, next time.Time)
}

// Policy holds the functions that make an owner's decisions.
type Policy struct {
	// Route decides about the next attempt.
	Route func(req RouteRequest, now time.Time) Choice
	// AttemptStarted records the start of an attempt at a target. The returned
	// function records its end.
	AttemptStarted func(t *member.TargetReport, spec *generation.Spec) func(Usage)
	// NewStallDetector returns a stall detector for an attempt at a target.
	NewStallDetector func(t *member.TargetReport, spec *generation.Spec, prefix id.TokenIndex, start time.Time) StallDetector
	// RequestEnded records that a request has ended, and whether its answer is
	// complete.
	RequestEnded func(spec *generation.Spec, complete bool)
	// Candidates returns the targets that may hold attempts for these models.
	Candidates func(models []id.Model) []member.TargetReport
}
