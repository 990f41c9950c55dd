package caller

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/id"
)

// answer serves GET /v1/answers/{id}: the whole answer as JSON, or the rest of
// it as a stream.
func (a *api) answer(w http.ResponseWriter, r *http.Request) {
	a.gauges.requests.Mark(1)
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
	started := a.tools.Clock.Now()
	reader, err := a.desk.Resume(r.Context(), resume)
	if err != nil {
		a.send(w, refusalOfAnswer(err), "")
		return
	}
	defer reader.Close()
	d := delivery{api: a, reader: reader, started: started}
	if !wantsStream {
		d.whole(w, r)
		return
	}
	if refusal := checkLineage(reader, &from); refusal != nil {
		a.send(w, refusal, "")
		return
	}
	d.stream(w, r, from, r.URL.Query().Get("include_usage") == "true")
}

// checkLineage holds what the caller has seen against what the answer is now.
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

// unknownAnswer is the refusal for an id that nobody or somebody else holds.
// The two are alike, and neither says that nothing ran: an answer is forgotten
// some time after its end.
func unknownAnswer() *answer.Refusal {
	return &answer.Refusal{
		Outcome: answer.Unknown,
		Cause:   answer.CauseNotFound,
		Detail:  "there is no answer with this id for this key",
	}
}

// refusalOfAnswer returns the refusal to read an answer. That the reading was
// not run says nothing about the answer's own request.
func refusalOfAnswer(err error) *answer.Refusal {
	refusal := *refusalOf(err)
	if refusal.Cause == answer.CauseNotFound || refusal.Cause == answer.CauseForbidden {
		return unknownAnswer()
	}
	if refusal.Outcome == answer.NotRun {
		refusal.Outcome = answer.Unknown
	}
	return &refusal
}
