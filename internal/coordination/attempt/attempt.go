// Package attempt manages the attempts of a target process: the generations that
// its engine runs, their tokens, and the readers that may read them.
//
// An attempt continues without a reader, so that an entry that takes over a
// request finds the tokens already generated for the previous owner. The package
// contains only the state machine: it has no goroutines, locks or clock. Package
// transport/target provides these.
//
// # Usage
//
//	table := attempt.NewTable(limits)
//	reader, err := table.Start(now, attempt.StartRequest{Spec: spec, Epoch: 1, Attempt: 1}, wake)
//	for _, r := range table.Admit(now) {
//		// Give r to the engine; its tokens go to table.Append(r, …).
//	}
//	part := table.Read(reader, buf)
//	table.Detach(now, reader)
//
// # Epochs and attempts
//
// The epoch numbers the successive owners of a request. A message with a higher
// epoch raises the request's epoch and closes the readers of older epochs; a
// message with a lower epoch is refused as fenced. Within an epoch, starting a
// newer attempt stops the older ones. Starting an older attempt is refused as
// fenced unless its log is still held.
package attempt

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors, and of refusals in the protocol
// between entry and target.
type Kind string

// Kinds of errors.
const (
	// Busy means that the target has no free capacity.
	Busy Kind = "busy"
	// Leaving means that the target is draining and accepts no new work.
	Leaving Kind = "leaving"
	// Fenced means that the request has a newer owner or attempt.
	Fenced Kind = "fenced"
	// UnknownAttempt means that the target does not hold the attempt.
	UnknownAttempt Kind = "unknown"
	// Mismatch means that the target serves another model, version or adapter,
	// that the attempt was started with another spec, or that it has fewer tokens
	// than the reader.
	Mismatch Kind = "mismatch"
	// Invalid means that a message is malformed.
	Invalid Kind = "invalid"
	// EngineFailed means that the engine refused the attempt, failed, or broke
	// its stream.
	EngineFailed Kind = "engine"
	// Deadline means that the request's deadline has passed.
	Deadline Kind = "deadline"
	// Cancelled means that the attempt was stopped before its answer was
	// complete: by its owner, because it had no reader, or by a forced shutdown.
	Cancelled Kind = "failed"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// State is the state of an attempt.
type State string

// States of an attempt. An attempt that waits for the engine is running.
const (
	Running  State = "running"
	Finished State = "finished"
	Failed   State = "failed"
)

// Refusal describes why a stream ended without a complete answer.
type Refusal struct {
	Kind   Kind
	Detail string
	// Started means that the attempt was passed to the engine.
	Started bool
	// RetryAfter is the delay before a retry; zero means that it is unknown.
	RetryAfter time.Duration
}

// RefusalOf converts err to a refusal. Errors of other packages get the kind
// Cancelled.
func RefusalOf(err error) *Refusal {
	kind, ok := fault.KindOf[Kind](err)
	if !ok {
		kind = Cancelled
	}
	return &Refusal{Kind: kind, Detail: err.Error()}
}

// StartRequest describes a new attempt.
type StartRequest struct {
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	// Prefix holds the tokens that the answer already has.
	Prefix []generation.Token
}

// complete reports whether the prefix already holds all tokens of the answer,
// which happens when an engine fails between the last token and the finish.
func (s *StartRequest) complete() bool { return len(s.Prefix) == s.Spec.MaxTokens }

// Validate returns an error that names the first invalid field.
func (s *StartRequest) Validate() error {
	const op = "StartRequest.Validate"
	switch {
	case s.Epoch == 0:
		return fault.New(op, Invalid, "epoch is 0")
	case s.Attempt == 0:
		return fault.New(op, Invalid, "attempt is 0")
	case len(s.Prefix) > s.Spec.MaxTokens:
		return fault.New(op, Invalid, "prefix has %d tokens of at most %d", len(s.Prefix), s.Spec.MaxTokens)
	}
	return nil
}
