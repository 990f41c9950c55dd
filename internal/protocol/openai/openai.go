// Package openai holds the messages of the callers' API as the published
// OpenAI-compatible API has them, in snake case. Requests check themselves
// when they are decoded: a field that cannot be honoured and would change the
// answer is refused by name, and unknown fields are ignored.
//
// # Usage
//
//	var req openai.CompletionRequest
//	err := json.Unmarshal(body, &req)
//	var field *openai.FieldError
//	if errors.As(err, &field) { … field.Field … }
//
// The responses are written as they are with encoding/json. A stream sends one
// CompletionResponse or ChatChunk an event, and then Done.
package openai

import (
	"fmt"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Done is the data of the last event of a stream.
const Done = "[DONE]"

// Limits of a request's fields.
const (
	maxStops     = 16
	maxStopBytes = 256
	maxMessages  = 4096
	maxTokens    = 1 << 30
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that a field of a request breaks a rule; the cause is a
// *FieldError.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// FieldError says which field of a request is wrong and what was expected.
type FieldError struct {
	// Field is the field's path, such as "messages[2].role".
	Field string
	// Problem completes the sentence that begins with the field.
	Problem string
}

// Error returns the field and the problem as one sentence.
func (e *FieldError) Error() string { return e.Field + " " + e.Problem }

func invalid(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// firstError wraps the first problem that is not nil.
func firstError(op string, problems ...*FieldError) error {
	for _, p := range problems {
		if p != nil {
			return &Error{Op: op, Kind: Invalid, Err: p}
		}
	}
	return nil
}
