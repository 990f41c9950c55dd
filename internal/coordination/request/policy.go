package request

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Placement asks for a target of one attempt.
type Placement struct {
	Spec *generation.Spec
	// Prefix is the number of the answer's tokens that are held.
	Prefix id.Index
	// Losses are the attempts that were lost, the newest last.
	Losses []Loss
	// MayRestart says that a new text may replace the old one.
	MayRestart bool
	// Idle is the number of attempts since the last token came.
	Idle int
}

// LastStarted returns the last loss at which an engine may have seen the
// request; nil when there was none.
func (p *Placement) LastStarted() *Loss {
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
	// Go starts an attempt at the choice's target.
	Go Action = "go"
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
	// Second is set when two attempts are to race; the first token wins.
	Second *member.TargetReport
	// Keep leaves a stalled attempt as it is, to race or to be waited for.
	Keep bool
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
	// Decoded counts the tokens that the attempt added to the answer.
	Decoded int
	// Loss is set when the attempt was lost.
	Loss *Loss
	// First is the time from the start to the first token; 0 when none came.
	First time.Duration
	// Prefix is the number of tokens that the attempt began after.
	Prefix int
}

// Watch follows the tokens of one attempt.
type Watch struct {
	// Tokens tells that n tokens came at now.
	Tokens func(now time.Time, n int)
	// Check reports whether the attempt has stalled, and when to check again.
	Check func(now time.Time) (stalled bool, next time.Time)
}

// Policy holds the decisions of an owner.
type Policy struct {
	// Place decides on the next attempt.
	Place func(p Placement, now time.Time) Choice
	// Begin counts an attempt at a target, and the returned function ends it.
	Begin func(t *member.TargetReport, spec *generation.Spec) func(Usage)
	// Watch follows an attempt at a target.
	Watch func(t *member.TargetReport, spec *generation.Spec, prefix id.Index, start time.Time) Watch
	// End notes that a request runs no more, and whether its answer is whole.
	End func(spec *generation.Spec, whole bool)
	// Candidates returns the targets that may hold a request of the models.
	Candidates func(models []id.Model) []member.TargetReport
}
