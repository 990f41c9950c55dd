// Package openai defines the messages of the callers' API, which are compatible
// with OpenAI's published API and use its field names in snake case. Requests are
// validated when they are decoded. An unsupported field that would change the answer
// is an error that names the field. Unknown fields are ignored.
//
// # Usage
//
//	var req openai.CompletionRequest
//	err := json.Unmarshal(body, &req)
//	var field *openai.FieldError
//	if errors.As(err, &field) { … field.Field … }
//
// The responses are encoded with encoding/json. A stream has one CompletionResponse
// or ChatChunk per event, and ends with Done.
package openai

import (
	"fmt"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Done is the data of the last event of a stream.
const Done = "[DONE]"

// Limits of a request's fields.
const (
	maxStopStrings     = 16
	maxStopStringBytes = 256
	maxMessages        = 4096
	maxTokens          = 1 << 30
)

// Kind classifies the errors of this package.
type Kind string

// Invalid means that a field of a request is invalid. The error wraps a *FieldError.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// FieldError says which field of a request is invalid and what was expected.
type FieldError struct {
	// Field is the field's path, such as "messages[2].role".
	Field string
	// Problem describes the error. It completes a sentence that begins with the
	// field.
	Problem string
}

// Error returns the field and the problem as one sentence.
func (e *FieldError) Error() string { return e.Field + " " + e.Problem }

func newFieldError(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// firstError wraps the first of problems that is not nil. It returns nil if there is
// none.
func firstError(op string, problems ...*FieldError) error {
	for _, p := range problems {
		if p != nil {
			return &Error{Op: op, Kind: Invalid, Err: p}
		}
	}
	return nil
}
