// Package attempt holds the attempts of a target process: which generations
// its engine carries, their tokens, and who may read them.
//
// An attempt goes on without its reader, so that an entry which takes over a
// request finds the tokens that its predecessor has paid for. The package is
// the state machine alone: it has no goroutine, no lock and no clock. Package
// transport/target is the shell around it.
//
// # Usage
//
//	table := attempt.NewTable(limits)
//	reader, err := table.Start(now, attempt.Start{Spec: spec, Epoch: 1, Attempt: 1}, wake)
//	for _, r := range table.Admit(now) {
//		// Give r to the engine; its tokens go to table.Append(r, …).
//	}
//	part := table.Read(reader, buf)
//	table.Leave(now, reader)
//
// # Epochs and attempts
//
// The epoch numbers the owners of a request. A message with a higher epoch
// raises the request's epoch and cuts off the readers of older ones; a message
// with a lower epoch is refused as fenced. Within an epoch a newer attempt
// ends the older ones, and an older one is refused as fenced unless its log is
// still held.
package attempt

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors. It is also the kind of a refusal
// in the protocol between entry and target.
type Kind string

// Kinds of errors.
const (
	// Busy means that the target has no room now.
	Busy Kind = "busy"
	// Leaving means that the target takes no new work.
	Leaving Kind = "leaving"
	// Fenced means that a newer owner or attempt is known.
	Fenced Kind = "fenced"
	// UnknownAttempt means that the target does not hold the attempt.
	UnknownAttempt Kind = "unknown"
	// Mismatch means that the target serves something else, or that the same
	// attempt was started with another spec.
	Mismatch Kind = "mismatch"
	// Invalid means that a message breaks a rule.
	Invalid Kind = "invalid"
	// EngineFailed means that the engine refused, failed or cut its stream.
	EngineFailed Kind = "engine"
	// Deadline means that the request's deadline has passed.
	Deadline Kind = "deadline"
	// Cancelled means that the attempt was ended before its answer was whole:
	// by its owner, for want of a reader, or by a forced stop.
	Cancelled Kind = "failed"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// State is what an attempt is doing.
type State string

// States of an attempt. An attempt that waits for the engine is running.
const (
	Running  State = "running"
	Finished State = "finished"
	Failed   State = "failed"
)

// Refusal says why a stream ended without its answer.
type Refusal struct {
	Kind   Kind
	Detail string
	// Started says that the engine was given the attempt.
	Started bool
	// RetryAfter is when to come back; zero means that it is not known.
	RetryAfter time.Duration
}

// RefusalOf returns the refusal that stands for err.
func RefusalOf(err error) *Refusal {
	kind, ok := fault.KindOf[Kind](err)
	if !ok {
		kind = Cancelled
	}
	return &Refusal{Kind: kind, Detail: err.Error()}
}

// StartRequest asks for a new attempt.
type StartRequest struct {
	Spec    *generation.Spec
	Epoch   id.Epoch
	Attempt id.Attempt
	// Prefix holds the answer's tokens so far.
	Prefix []generation.Token
}

// whole reports whether the prefix is the whole answer already: the engine died
// between its last token and its end.
func (s *StartRequest) whole() bool { return len(s.Prefix) == s.Spec.MaxTokens }

// Validate returns an error that names the first field that breaks a rule.
func (s *StartRequest) Validate() error {
	const op = "Start.Validate"
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
