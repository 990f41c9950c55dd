// Package fault defines the error type that all packages use. An error has an
// operation, a kind and a cause.
//
// # Usage
//
// A package declares its own kinds and its own error type:
//
//	type Kind string
//
//	const Conflict Kind = "conflict"
//
//	type Error = fault.Error[Kind]
//
//	return &Error{Op: "Repository.Apply", Kind: Conflict, Err: err}
//
// A caller checks the kind:
//
//	if fault.Is(err, confstore.Conflict) { … }
package fault

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Error is an error of one package. K is the type of that package's error kinds.
type Error[K ~string] struct {
	// Op is the operation that failed, as "Type.Method".
	Op string
	// Kind says how callers may handle the error.
	Kind K
	// Err is the cause; nil if the kind says everything.
	Err error
}

// Error returns "operation: kind: cause".
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// New returns an error whose cause is a formatted message with a stack trace.
func New[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: eris.Errorf(format, args...)}
}

// Wrap returns an error around cause with a stack trace, or nil if cause is nil.
func Wrap[K ~string](op string, kind K, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error[K]{Op: op, Kind: kind, Err: eris.Wrap(cause, op)}
}

// KindOf returns the kind of the first Error[K] in err's chain.
func KindOf[K ~string](err error) (K, bool) {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind, true
	}
	var zero K
	return zero, false
}

// Is reports whether the first Error[K] in err's chain has the kind.
func Is[K ~string](err error, kind K) bool {
	got, ok := KindOf[K](err)
	return ok && got == kind
}
