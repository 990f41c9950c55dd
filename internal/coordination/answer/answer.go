// Package answer is the border between callers and the entry's work: what a
// caller asks for, the parts of the answer it reads, and the refusals it gets.
//
// # Usage
//
//	reader, err := desk.Open(ctx, ask)
//	var refusal *answer.Refusal
//	if errors.As(err, &refusal) { … }
//	defer reader.Close()
//	for {
//		part, err := reader.Next(ctx)
//		…
//		if part.Finish != nil { break }
//	}
package answer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Outcome says what became of a request that did not end in a whole answer.
type Outcome string

// Outcomes.
const (
	// NotRun means that the request was not run, and this is proved.
	NotRun Outcome = "notRun"
	// Unknown means that it cannot be known whether the request ran.
	Unknown Outcome = "unknown"
	// Failed means that the request ran and has no whole answer.
	Failed Outcome = "failed"
)

// Cause is why a request was refused or failed.
type Cause string

// Causes of refusals.
const (
	CauseInvalid      Cause = "invalid"
	CauseUnauthorized Cause = "unauthorized"
	CauseForbidden    Cause = "forbidden"
	CauseNotFound     Cause = "notFound"
	CauseTooLarge     Cause = "tooLarge"
	CauseLimit        Cause = "limit"
	CauseOverload     Cause = "overload"
	CauseNoTarget     Cause = "noTarget"
	CauseQuarantined  Cause = "quarantined"
	CauseStoreDown    Cause = "storeDown"
	CauseLeaving      Cause = "leaving"
	CauseStarting     Cause = "starting"
	CauseDeadline     Cause = "deadline"
	CauseLost         Cause = "lost"
	CauseConflict     Cause = "conflict"
	CauseInternal     Cause = "internal"
)

// Status returns the HTTP status of c.
func (c Cause) Status() int {
	switch c {
	case CauseInvalid:
		return http.StatusBadRequest
	case CauseUnauthorized:
		return http.StatusUnauthorized
	case CauseForbidden:
		return http.StatusForbidden
	case CauseNotFound:
		return http.StatusNotFound
	case CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	case CauseLimit:
		return http.StatusTooManyRequests
	case CauseConflict, CauseQuarantined:
		return http.StatusConflict
	case CauseDeadline:
		return http.StatusGatewayTimeout
	case CauseLost:
		return http.StatusBadGateway
	case CauseInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// Refusal is the error of a request that was not run, or that ended without a
// whole answer.
type Refusal struct {
	Outcome Outcome
	Cause   Cause
	// Detail is one sentence for the caller; it holds no secret.
	Detail string
	// RetryAfter is when to come back; zero when coming back does not help.
	RetryAfter time.Duration
	// Request is the answer's id, when it has one.
	Request id.Request
}

// Error returns the outcome, the cause and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Cause, r.Detail)
}

// NewRefusal returns a refusal of a request that was not run.
func NewRefusal(cause Cause, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Cause: cause, Detail: fmt.Sprintf(format, args...)}
}

// GenerationRequest is a caller's request for an answer.
type GenerationRequest struct {
	// Contract is the contract of the caller's key.
	Contract *contract.Contract
	// Key is the idempotency key; empty when the caller sent none.
	Key string
	// Buffered says that the caller gets the answer in one piece, at its end. The
	// reader then gives one part.
	Buffered bool
	// Spec is what the caller wants. Request, Version, Lineage, Class and
	// Prefer are filled in by the entry.
	Spec generation.Spec
}

// ResumeRequest asks for the rest of an answer that exists.
type ResumeRequest struct {
	Contract *contract.Contract
	Request  id.Request
	// Lineage and From come from the last event id that the caller has seen;
	// an empty Lineage means that it has seen nothing.
	Lineage id.Lineage
	From    id.TokenIndex
	// Buffered says that the caller gets the rest in one piece, at its end.
	Buffered bool
}

// Part is a piece of an answer. Tokens may be empty; Finish is set in the last
// part alone. When Lineage differs from the one before, the answer was
// restarted: what came before is void, and First is 0.
type Part struct {
	Lineage id.Lineage
	First   id.TokenIndex
	Tokens  []generation.Token
	Finish  *generation.Finish
}

// Reader reads one answer for one caller.
type Reader struct {
	Request id.Request
	Lineage id.Lineage
	// Spec is what is being generated.
	Spec generation.Spec
	// Next waits for the next part. Its error is a *Refusal, or ctx's error.
	Next func(ctx context.Context) (Part, error)
	// Close lets go of the answer. It may be called more than once.
	Close func()
}

// Call is a caller's call to a plain service.
type Call struct {
	Contract   *contract.Contract
	Key        string
	Service    id.Service
	Repeatable bool
	Method     string
	// Path is the part of the URL after the service's name, with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is when the caller gives up; zero means the entry's own limit.
	Deadline time.Time
}

// Reply is a plain service's answer.
type Reply struct {
	Request id.Request
	Status  int
	Header  http.Header
	Body    []byte
}

// Handlers is where the callers' API hands in its requests. Each field is set by
// the entry; errors are *Refusal, or ctx's error.
type Handlers struct {
	// Authenticate returns the contract of a bearer key.
	Authenticate func(key string) (*contract.Contract, bool)
	// Models returns the models that a contract may use and that are served.
	Models func(c *contract.Contract) []id.Model
	// Open accepts a request, or joins the one with its key.
	Open func(ctx context.Context, ask GenerationRequest) (*Reader, error)
	// Resume goes on with an answer that exists.
	Resume func(ctx context.Context, resume ResumeRequest) (*Reader, error)
	// Call calls a plain service.
	Call func(ctx context.Context, call Call) (*Reply, error)
}
