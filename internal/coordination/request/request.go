// Package request handles a request at the entry that owns it, from its
// acceptance to the end of its answer.
//
// An Answer is the record of one request: its specification, the tokens received
// so far, and how it ended. Any number of readers can read it by index, each at
// its own pace. A runner drives the attempts: it has a target chosen, merges the
// target's frames into the answer, and continues at another target after a loss.
// The Coordinator combines these parts for the callers' API.
//
// The package does no I/O. It calls target processes and other entries through
// the function fields of TargetClient and Peers, and takes its decisions from
// the function fields of Policy.
//
// # Usage
//
//	coordinator := request.NewCoordinator(request.Config{…}, targets, peers, policy, admission)
//	defer coordinator.Close()
//	reader, err := coordinator.Open(ctx, req)
package request

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors, as returned by a target process or
// another entry.
type Kind string

// Kinds of attempt errors.
const (
	// Lost means that the connection to the target process or the other entry
	// broke, or could not be established.
	Lost Kind = "lost"
	// Busy means that the target has no free capacity.
	Busy Kind = "busy"
	// Leaving means that the target is draining and accepts no new work.
	Leaving Kind = "leaving"
	// Fenced means that the request has a newer owner.
	Fenced Kind = "fenced"
	// UnknownAttempt means that the target process does not hold the attempt.
	UnknownAttempt Kind = "unknown"
	// Mismatch means that the target serves another version or adapter.
	Mismatch Kind = "mismatch"
	// Invalid means that the engine refused the request itself.
	Invalid Kind = "invalid"
	// EngineFailed means that the engine failed while running the attempt.
	EngineFailed Kind = "engine"
	// Deadline means that the request's deadline has passed.
	Deadline Kind = "deadline"
	// TargetFailed means that the target process could not serve the attempt.
	TargetFailed Kind = "failed"
	// Stalled means that no more tokens arrived.
	Stalled Kind = "stalled"
	// Corrupt means that received tokens, or the finish, contradict the tokens
	// already held.
	Corrupt Kind = "corrupt"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// StartRequest requests that a target process starts an attempt.
type StartRequest struct {
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	// Prefix holds the tokens that the answer already has.
	Prefix []generation.Token
}

// AdoptRequest requests from a target process the stream of an attempt that it holds.
type AdoptRequest struct {
	Request id.Request
	Epoch   id.Epoch
	Attempt id.Attempt
	// From is the index of the first token to send.
	From id.TokenIndex
}

// Frame is one message of an attempt. Finish is set only in the last one.
type Frame struct {
	Attempt id.Attempt
	First   id.TokenIndex
	Tokens  []generation.Token
	Finish  *generation.Finish
}

// Stream delivers the frames of an attempt.
type Stream struct {
	// Next blocks until the next frame arrives. Its errors have this package's
	// kinds.
	Next func() (Frame, error)
	// Close closes the stream. The target process keeps the attempt until its
	// orphan grace or retention ends.
	Close func()
}

// FoundAttempt is an attempt of a request that a target process holds.
type FoundAttempt struct {
	Target  member.TargetReport
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	// Running means that the engine is still working on it.
	Running bool
	Tokens  []generation.Token
	Finish  *generation.Finish
}

// TargetClient calls target processes.
type TargetClient struct {
	// Start opens a new attempt.
	Start func(ctx context.Context, t *member.TargetReport, s StartRequest) (*Stream, error)
	// Adopt opens a running or finished attempt that the target process holds.
	Adopt func(ctx context.Context, t *member.TargetReport, a AdoptRequest) (*Stream, error)
	// Find returns the attempts of a request that a target process holds. A
	// non-zero epoch fences older owners.
	Find func(ctx context.Context, t *member.TargetReport, r id.Request, epoch id.Epoch) ([]FoundAttempt, error)
	// Cancel cancels the attempts whose number is lower than below.
	Cancel func(ctx context.Context, t *member.TargetReport, r id.Request, epoch id.Epoch, below id.Attempt) error
}

// Loss describes an attempt that ended before the answer was complete.
type Loss struct {
	Target member.TargetReport
	Kind   Kind
	// Started means that the engine may have received the attempt.
	Started bool
	// StillHeld means that the target process is reachable and holds the attempt.
	StillHeld bool
	Detail    string
	At        time.Time
}
