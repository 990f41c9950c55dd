// Package answer defines the types that the callers' API and the entry exchange:
// a caller's requests, the parts of the answers, and the refusals.
//
// # Usage
//
//	reader, err := handlers.Open(ctx, req)
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

// Outcome says whether a request without a complete answer was run.
type Outcome string

// Outcomes.
const (
	// NotRun means that the request was certainly not run.
	NotRun Outcome = "notRun"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
	// Failed means that the request ran and has no complete answer.
	Failed Outcome = "failed"
)

// Cause is the reason why a request was refused or failed.
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

// Status returns the HTTP status code of c.
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

// Refusal is the error of a request that was not run or that ended without a
// complete answer.
type Refusal struct {
	Outcome Outcome
	Cause   Cause
	// Detail explains the refusal to the caller in one sentence, without secrets.
	Detail string
	// RetryAfter is the delay before a retry; zero if a retry would not help.
	RetryAfter time.Duration
	// Request is the request's id, if it has one.
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

// GenerationRequest is a caller's request for a generated answer.
type GenerationRequest struct {
	// Contract is the contract of the caller's API key.
	Contract *contract.Contract
	// Key is the idempotency key; empty if the caller sent none.
	Key string
	// Buffered means that the caller gets the complete answer at once instead of
	// a stream. The reader then returns a single part.
	Buffered bool
	// Spec describes the generation. The entry fills in Request, Contract,
	// Version, Lineage, Class and Prefer.
	Spec generation.Spec
}

// ResumeRequest is a caller's request for the rest of an existing answer.
type ResumeRequest struct {
	Contract *contract.Contract
	Request  id.Request
	// Lineage and From come from the last event id that the caller received. An
	// empty Lineage means that it received nothing.
	Lineage id.Lineage
	From    id.TokenIndex
	// Buffered means that the caller gets the rest at once instead of a stream.
	Buffered bool
}

// Part is a section of an answer. Tokens may be empty, and Finish is set only in
// the last part. If Lineage differs from that of the previous part, the answer
// was restarted: the parts received before are void, and First is 0.
type Part struct {
	Lineage id.Lineage
	First   id.TokenIndex
	Tokens  []generation.Token
	Finish  *generation.Finish
}

// Reader reads an answer for one caller.
type Reader struct {
	Request id.Request
	Lineage id.Lineage
	// Spec describes the generation.
	Spec generation.Spec
	// Next blocks until the next part is available. Its error is a *Refusal, or
	// the error of ctx.
	Next func(ctx context.Context) (Part, error)
	// Close releases the answer. It may be called more than once.
	Close func()
}

// Call is a caller's call to a plain service.
type Call struct {
	Contract   *contract.Contract
	Key        string
	Service    id.Service
	Repeatable bool
	Method     string
	// Path is the part of the URL after the service's name, including the query.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is the caller's deadline; if it is zero, the entry's timeout
	// applies.
	Deadline time.Time
}

// Reply is the reply of a plain service.
type Reply struct {
	Request id.Request
	Status  int
	Header  http.Header
	Body    []byte
}

// Handlers holds the functions that handle the requests of the callers' API. The
// entry sets every field. Errors are a *Refusal, or the error of the context.
type Handlers struct {
	// Authenticate returns the contract that a bearer token belongs to.
	Authenticate func(key string) (*contract.Contract, bool)
	// Models returns the served models that a contract may use.
	Models func(c *contract.Contract) []id.Model
	// Open accepts a request, or joins the one with the same idempotency key.
	Open func(ctx context.Context, req GenerationRequest) (*Reader, error)
	// Resume continues reading an existing answer.
	Resume func(ctx context.Context, req ResumeRequest) (*Reader, error)
	// Call calls a plain service.
	Call func(ctx context.Context, call Call) (*Reply, error)
}
