// Package request carries a request at its owning entry from its acceptance to
// the end of its answer.
//
// An Answer is the record of one request: what was asked for, the tokens that
// came and how it ended. Readers read it by index, any number of them, at
// their own speed. A runner drives the attempts: it asks for a target, joins
// the target's frames to the answer, and goes on elsewhere after a loss. The
// Desk puts it together for the callers' API.
//
// The package does no I/O. It reaches target processes and other entries
// through the function fields of Link and Peers, and it decides by the function
// fields of Policy.
//
// # Usage
//
//	desk := request.NewDesk(request.Config{…}, link, peers, policy)
//	server := caller.NewServer(cfg, desk.Callers(), …)
//	defer desk.Close()
package request

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors, as a target process or another
// entry gives it.
type Kind string

// Kinds of errors of attempts.
const (
	// Lost means that the connection to the target process ended.
	Lost Kind = "lost"
	// Busy means that the target has no room.
	Busy Kind = "busy"
	// Leaving means that the target takes no new work.
	Leaving Kind = "leaving"
	// Fenced means that a newer owner has the request.
	Fenced Kind = "fenced"
	// UnknownAttempt means that the target process does not hold the attempt.
	UnknownAttempt Kind = "unknown"
	// Mismatch means that the target serves another version or adapter.
	Mismatch Kind = "mismatch"
	// Invalid means that the engine refused the request itself.
	Invalid Kind = "invalid"
	// EngineFailed means that the engine failed while it ran the attempt.
	EngineFailed Kind = "engine"
	// Deadline means that the request's deadline has passed.
	Deadline Kind = "deadline"
	// TargetFailed means that the target process could not serve the attempt.
	TargetFailed Kind = "failed"
	// Stalled means that the tokens stopped coming.
	Stalled Kind = "stalled"
	// Corrupt means that the tokens contradict the text that is held, or its
	// end does.
	Corrupt Kind = "corrupt"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// StartRequest asks a target process for an attempt.
type StartRequest struct {
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	// Prefix holds the answer's tokens so far.
	Prefix []generation.Token
}

// AdoptRequest asks a target process for an attempt that it holds.
type AdoptRequest struct {
	Request id.Request
	Epoch   id.Epoch
	Attempt id.Attempt
	// From is the first token that is wanted.
	From id.TokenIndex
}

// Frame is one message of an attempt. Finish is set in the last one alone.
type Frame struct {
	Attempt id.Attempt
	First   id.TokenIndex
	Tokens  []generation.Token
	Finish  *generation.Finish
}

// Stream is a running attempt.
type Stream struct {
	// Next waits for the next frame. Its errors have this package's kinds.
	Next func() (Frame, error)
	// Close ends the stream; the target process keeps the attempt for a while.
	Close func()
}

// FoundAttempt is what a target process holds of a request.
type FoundAttempt struct {
	Target  member.TargetReport
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	// Running says that the engine still works on it.
	Running bool
	Tokens  []generation.Token
	Finish  *generation.Finish
}

// TargetClient reaches target processes.
type TargetClient struct {
	// Start opens a new attempt.
	Start func(ctx context.Context, t *member.TargetReport, s StartRequest) (*Stream, error)
	// Adopt opens a running or finished attempt.
	Adopt func(ctx context.Context, t *member.TargetReport, a AdoptRequest) (*Stream, error)
	// Find asks what a target process holds. An epoch that is not 0 fences
	// older owners.
	Find func(ctx context.Context, t *member.TargetReport, r id.Request, epoch id.Epoch) ([]FoundAttempt, error)
	// Cancel ends the attempts below a number.
	Cancel func(ctx context.Context, t *member.TargetReport, r id.Request, epoch id.Epoch, below id.Attempt) error
}

// Loss is the end of an attempt before the answer was whole.
type Loss struct {
	Target member.TargetReport
	Kind   Kind
	// Started says that the engine may have seen the attempt.
	Started bool
	// StillHeld says that the target process still answers and holds the attempt.
	StillHeld bool
	Detail    string
	At        time.Time
}
