package caller

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/id"
)

// getAnswer serves GET /v1/answers/{id}. It writes the complete answer as JSON, or
// the rest of it as a stream.
func (a *api) getAnswer(w http.ResponseWriter, r *http.Request) {
	a.metrics.requests.Mark(1)
	request := id.Request(chi.URLParam(r, "id"))
	if !request.Valid() {
		a.refuse(w, r, unknownAnswer())
		return
	}
	wantsStream := strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	from, refusal := parsePosition(r.Header.Get(headerLastEventID))
	if refusal != nil {
		a.refuse(w, r, refusal)
		return
	}
	resume := answer.ResumeRequest{Contract: contractOf(r), Request: request, Buffered: !wantsStream}
	if wantsStream {
		resume.Lineage, resume.From = from.lineage, from.next
	}
	started := a.deps.Clock.Now()
	reader, err := a.handlers.Resume(r.Context(), resume)
	if err != nil {
		a.sendRefusal(w, resumeRefusal(err), "")
		return
	}
	defer reader.Close()
	d := delivery{api: a, reader: reader, started: started}
	if !wantsStream {
		d.writeComplete(w, r)
		return
	}
	if refusal := checkLineage(reader, &from); refusal != nil {
		a.sendRefusal(w, refusal, "")
		return
	}
	d.writeStream(w, r, from, r.URL.Query().Get("include_usage") == "true")
}

// checkLineage checks that the caller's text belongs to the answer's current
// lineage. If it does not, the caller may still read from the start if it has seen
// no tokens.
func checkLineage(reader *answer.Reader, from *position) *answer.Refusal {
	if from.lineage == "" || from.lineage == reader.Lineage {
		return nil
	}
	if from.next == 0 {
		*from = position{}
		return nil
	}
	return &answer.Refusal{
		Outcome: answer.Failed,
		Cause:   answer.CauseConflict,
		Detail:  "the text that was seen does not go on; read the answer from its start",
		Request: reader.Request,
	}
}

// unknownAnswer returns the refusal for an answer that does not exist or belongs to
// another contract. Both get the same refusal, so that callers cannot tell whether
// the answer exists. Its outcome is Unknown, because the request may have run:
// answers are removed some time after their end.
func unknownAnswer() *answer.Refusal {
	return &answer.Refusal{
		Outcome: answer.Unknown,
		Cause:   answer.CauseNotFound,
		Detail:  "there is no answer with this id for this key",
	}
}

// resumeRefusal returns the refusal to read an existing answer. It replaces the
// outcome NotRun by Unknown, because a refused read says nothing about whether the
// answer's own request ran.
func resumeRefusal(err error) *answer.Refusal {
	refusal := *refusalOf(err)
	if refusal.Cause == answer.CauseNotFound || refusal.Cause == answer.CauseForbidden {
		return unknownAnswer()
	}
	if refusal.Outcome == answer.NotRun {
		refusal.Outcome = answer.Unknown
	}
	return &refusal
}
