package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// writeComplete waits for the complete answer and writes it as JSON. Nothing is
// written before, because the HTTP status is not known until then.
func (d *delivery) writeComplete(w http.ResponseWriter, r *http.Request) {
	m := d.api.metrics
	m.openAnswers.Inc(1)
	defer m.openAnswers.Dec(1)

	text, finish, err := d.collect(r)
	if err != nil {
		d.writeFailure(w, r, err)
		return
	}
	w.Header().Set(headerRequest, string(d.reader.Request))
	d.api.writeJSON(w, d.response(text, finish))
}

// collect reads the answer to its end. The contract limits its length.
func (d *delivery) collect(r *http.Request) (string, *generation.Finish, error) {
	var text strings.Builder
	d.startAt(d.reader.Lineage, 0)
	for {
		part, restarted, err := d.readPart(r.Context())
		if err != nil {
			return "", nil, err
		}
		if restarted {
			text.Reset()
		}
		for i := range part.Tokens {
			text.WriteString(part.Tokens[i].Text)
		}
		if part.Finish != nil {
			return text.String(), part.Finish, nil
		}
	}
}

// writeFailure writes why there is no complete answer, unless the caller has
// disconnected.
func (d *delivery) writeFailure(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() != nil {
		return
	}
	d.api.metrics.failures.Inc(1)
	refusal := d.withRequest(refusalOf(err))
	d.api.sendRefusal(w, refusal, "")
}

// withRequest returns a copy of refusal with the answer's id. If tokens were read,
// the request has run, so the outcome NotRun is replaced by Failed.
func (d *delivery) withRequest(refusal *answer.Refusal) *answer.Refusal {
	named := *refusal
	named.Request = d.reader.Request
	if named.Outcome == answer.NotRun && d.next > 0 {
		named.Outcome = answer.Failed
	}
	return &named
}

func (d *delivery) response(text string, f *generation.Finish) any {
	reason := string(f.Reason)
	if d.isChat() {
		return &openai.ChatResponse{
			ID:      string(d.reader.Request),
			Object:  openai.ObjectChat,
			Created: d.started.Unix(),
			Model:   string(d.reader.Spec.Model),
			Choices: []openai.ChatChoice{{
				Message:      openai.ChatMessage{Role: openai.Assistant, Content: text},
				FinishReason: &reason,
			}},
			Usage: usageOf(f),
		}
	}
	return &openai.CompletionResponse{
		ID:      string(d.reader.Request),
		Object:  openai.ObjectCompletion,
		Created: d.started.Unix(),
		Model:   string(d.reader.Spec.Model),
		Choices: []openai.CompletionChoice{{Text: text, FinishReason: &reason}},
		Usage:   usageOf(f),
	}
}

// writeJSON writes v as the response body.
func (a *api) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	body, err := json.Marshal(v)
	if err != nil {
		a.sendRefusal(w, refusalOf(err), "")
		return
	}
	a.writeBody(w, http.StatusOK, append(body, '\n'))
}

// writeBody writes a status and a body with its length, so that also a caller
// without chunks notices when the body is truncated.
func (a *api) writeBody(w http.ResponseWriter, status int, body []byte) {
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.setWriteDeadline(w)
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}
