package direct

import (
	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// answerRecord describes the answer of one attempt for the log and the metrics, so that a
// stream that ended early, or whose attempts do not fit together, can be told from its lines.
type answerRecord struct {
	// framing is empty until the answer's head has arrived.
	framing  completion.Framing
	evidence completion.Evidence
	// events counts the forwarded events; first and last are the ids of the first and the last one.
	events      int
	first, last direct.EventID
}

// begin records the head of an answer.
func (a *answerRecord) begin(answer *upstream.Answer) {
	*a = answerRecord{framing: answer.Framing, evidence: completion.NoEvidence}
}

// endByFraming records that the body has been read to its end.
func (a *answerRecord) endByFraming() {
	if a.framing != completion.Connection {
		a.evidence = completion.ByFraming
	}
}

// addEvent records a forwarded event.
func (a *answerRecord) addEvent(eventID direct.EventID) {
	if a.events == 0 {
		a.first = eventID
	}
	a.events++
	a.last = eventID
}

// fields returns the fields of the log line that says how the attempt ended.
func (a *answerRecord) fields() []any {
	if a.framing == "" {
		return nil
	}
	fields := []any{"framing", a.framing, "evidence", a.evidence}
	if a.events > 0 {
		fields = append(fields, "events", a.events, "firstEvent", a.first, "lastEvent", a.last)
	}
	return fields
}
