// Package problem defines the problem details (RFC 9457) that a caller gets if a
// request has no complete answer.
//
// The member outcome says whether the request ran. It is notRun only if the request
// certainly did not run. The member error repeats the problem in the format of
// OpenAI's published API for its client libraries.
//
// # Usage
//
//	problem.From(refusal).Write(w)
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/id"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// typePrefix precedes the cause in a problem's type.
const typePrefix = "urn:foxtailward:problem:"

// Problem is a problem document.
type Problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail"`
	Outcome answer.Outcome `json:"outcome"`
	Cause   answer.Cause   `json:"cause"`
	// Request is the answer's id, if an answer exists.
	Request id.Request `json:"request,omitempty"`
	// Field is the request's invalid field, if the problem is about one.
	Field string `json:"field,omitempty"`
	// RetryAfterMs is the time to wait before a retry, in milliseconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Error repeats the problem for OpenAI client libraries.
	Error OpenAIError `json:"error"`
}

// OpenAIError is an error in the format of OpenAI's published API.
type OpenAIError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// From returns the problem document that describes a refusal.
func From(r *answer.Refusal) *Problem {
	status := r.Cause.Status()
	return &Problem{
		Type:         typePrefix + string(r.Cause),
		Title:        http.StatusText(status),
		Status:       status,
		Detail:       r.Detail,
		Outcome:      r.Outcome,
		Cause:        r.Cause,
		Request:      r.Request,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Error: OpenAIError{
			Message: r.Detail,
			Type:    openAIErrorType(status),
			Code:    string(r.Cause),
		},
	}
}

// WithField sets the request's invalid field and returns p.
func (p *Problem) WithField(field string) *Problem {
	p.Field = field
	if field != "" {
		p.Error.Param = &field
	}
	return p
}

// RetryAfter returns the time to wait before a retry. It is zero if a retry does not
// help.
func (p *Problem) RetryAfter() time.Duration {
	return time.Duration(p.RetryAfterMs) * time.Millisecond
}

// Write writes p as the response. It returns the error of writing to w, which means
// that the connection failed.
func (p *Problem) Write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Cache-Control", "no-store")
	if p.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter().Seconds()))))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	return json.NewEncoder(w).Encode(p)
}

func openAIErrorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
