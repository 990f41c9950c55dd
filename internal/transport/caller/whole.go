package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// whole waits for the whole answer and writes it as JSON. The status is not
// known before, so nothing is written until then.
func (d *delivery) whole(w http.ResponseWriter, r *http.Request) {
	g := d.api.gauges
	g.openAnswers.Inc(1)
	defer g.openAnswers.Dec(1)

	text, finish, err := d.collect(r)
	if err != nil {
		d.fail(w, r, err)
		return
	}
	w.Header().Set(headerRequest, string(d.reader.Request))
	d.api.writeJSON(w, d.response(text, finish))
}

// collect reads the answer to its end. The contract bounds its length.
func (d *delivery) collect(r *http.Request) (string, *generation.Finish, error) {
	var text strings.Builder
	d.begin(d.reader.Lineage, 0)
	for {
		part, restarted, err := d.read(r.Context())
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

// fail tells a caller that is still there why there is no whole answer.
func (d *delivery) fail(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() != nil {
		return
	}
	d.api.gauges.failures.Inc(1)
	refusal := d.withRequest(refusalOf(err))
	d.api.send(w, refusal, "")
}

// withRequest returns a copy of refusal that names the answer. A request with
// tokens has run, whatever the refusal says.
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

// writeJSON sends v as a whole response.
func (a *api) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	a.allowWrite(w)
	// A caller that is gone cannot be told.
	_ = json.NewEncoder(w).Encode(v)
}
