package caller

import (
	"errors"
	"net/http"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/protocol/problem"
	"foxtailward.example/foxtailward/internal/state/event"
)

// refuse tells the caller of a refusal that was decided here.
func (a *api) refuse(w http.ResponseWriter, r *http.Request, refusal *answer.Refusal) {
	a.refuseField(w, r, refusal, "")
}

func (a *api) refuseField(w http.ResponseWriter, r *http.Request, refusal *answer.Refusal, field string) {
	a.tools.Log.Emit(event.RequestRefused, "outcome", refusal.Outcome, "reason", refusal.Cause,
		"method", r.Method, "path", r.URL.Path, "field", field)
	a.send(w, refusal, field)
}

// send writes a refusal as a problem.
func (a *api) send(w http.ResponseWriter, refusal *answer.Refusal, field string) {
	a.gauges.refusals.Inc(1)
	if refusal.Request != "" {
		w.Header().Set(headerRequest, string(refusal.Request))
	}
	a.allowWrite(w)
	// A caller that is gone cannot be told.
	_ = problem.From(refusal).WithField(field).Write(w)
}

// refuseDecode tells the caller which field of the body is wrong.
func (a *api) refuseDecode(w http.ResponseWriter, r *http.Request, err error) {
	var field *openai.FieldError
	if errors.As(err, &field) {
		a.refuseField(w, r, answer.NewRefusal(answer.CauseInvalid, "%s", field), field.Field)
		return
	}
	a.refuse(w, r, answer.NewRefusal(answer.CauseInvalid, "the body is not JSON: %v", err))
}

// refusalOf returns the refusal in err. Any other error says nothing about
// whether the request ran.
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
	a.gauges.refusals.Inc(1)
	a.allowWrite(w)
	// A caller that is gone cannot be told.
	_ = p.Write(w)
}
