package caller

import (
	"errors"
	"net/http"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/protocol/problem"
	"foxtailward.example/foxtailward/internal/state/event"
)

// refuse logs and sends a refusal that was decided in this package.
func (a *api) refuse(w http.ResponseWriter, r *http.Request, refusal *answer.Refusal) {
	a.refuseField(w, r, refusal, "")
}

func (a *api) refuseField(w http.ResponseWriter, r *http.Request, refusal *answer.Refusal, field string) {
	a.deps.Log.Emit(event.RequestRefused, "outcome", refusal.Outcome, "reason", refusal.Cause,
		"method", r.Method, "path", r.URL.Path, "field", field)
	a.sendRefusal(w, refusal, field)
}

// sendRefusal writes a refusal as problem details.
func (a *api) sendRefusal(w http.ResponseWriter, refusal *answer.Refusal, field string) {
	a.metrics.refusals.Inc(1)
	if refusal.Request != "" {
		w.Header().Set(headerRequest, string(refusal.Request))
	}
	a.setWriteDeadline(w)
	// A write error means that the caller has disconnected.
	_ = problem.From(refusal).WithField(field).Write(w)
}

// refuseBody refuses a body that cannot be decoded, and names the invalid field.
func (a *api) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	var field *openai.FieldError
	if errors.As(err, &field) {
		a.refuseField(w, r, answer.NewRefusal(answer.CauseInvalid, "%s", field), field.Field)
		return
	}
	a.refuse(w, r, answer.NewRefusal(answer.CauseInvalid, "the body is not JSON: %v", err))
}

// refusalOf returns the refusal in err. For any other error, it is unknown whether
// the request ran.
func refusalOf(err error) *answer.Refusal {
	var refusal *answer.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &answer.Refusal{
		Outcome: answer.Unknown,
		Cause:   answer.CauseInternal,
		Detail:  "the entry could not complete the request",
	}
}

func (a *api) notFound(w http.ResponseWriter, r *http.Request) {
	a.refuse(w, r, answer.NewRefusal(answer.CauseNotFound, "there is nothing at this path"))
}

func (a *api) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	p := problem.From(answer.NewRefusal(answer.CauseInvalid, "the path does not take the method %s", r.Method))
	p.Status = http.StatusMethodNotAllowed
	p.Title = http.StatusText(p.Status)
	a.metrics.refusals.Inc(1)
	a.setWriteDeadline(w)
	// A write error means that the caller has disconnected.
	_ = p.Write(w)
}
