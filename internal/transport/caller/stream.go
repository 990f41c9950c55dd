package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/protocol/problem"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// writeStream writes the answer, starting at a position, as server-sent events.
func (d *delivery) writeStream(w http.ResponseWriter, r *http.Request, from position, usage bool) {
	m := d.api.metrics
	m.openAnswers.Inc(1)
	defer m.openAnswers.Dec(1)

	d.startAt(d.reader.Lineage, from.next)
	s := newEventWriter(w, d, from.next > 0)
	if err := s.writeHeader(); err != nil {
		return
	}
	for {
		part, restarted, err := d.readPart(r.Context())
		if err == nil && restarted {
			err = s.writeRestart()
		}
		if err != nil {
			d.writeStreamFailure(s, r, err)
			return
		}
		if err := s.writePart(part); err != nil {
			return
		}
		if part.Finish != nil {
			// A write error means that the caller has disconnected.
			_ = s.writeEnd(part.Finish, usage)
			return
		}
	}
}

// writeStreamFailure writes why the stream ends early, unless the caller has
// disconnected.
func (d *delivery) writeStreamFailure(s *eventWriter, r *http.Request, err error) {
	if r.Context().Err() != nil {
		return
	}
	d.api.metrics.failures.Inc(1)
	// A write error means that the caller has disconnected.
	_ = s.writeProblem(d.withRequest(refusalOf(err)))
}

// eventWriter writes one answer's server-sent events. It reuses its buffers and
// messages for each event to avoid allocations per token.
type eventWriter struct {
	d          *delivery
	w          http.ResponseWriter
	rc         *http.ResponseController
	buf        bytes.Buffer
	enc        *json.Encoder
	text       strings.Builder
	reason     string
	role       openai.Role
	completion openai.CompletionResponse
	chat       openai.ChatChunk
	scratch    []byte
	// hasText is set if the caller has received a part of the text.
	hasText bool
}

func newEventWriter(w http.ResponseWriter, d *delivery, hasText bool) *eventWriter {
	s := &eventWriter{d: d, w: w, rc: http.NewResponseController(w), hasText: hasText}
	s.enc = json.NewEncoder(&s.buf)
	s.enc.SetEscapeHTML(false)
	request, model, created := string(d.reader.Request), string(d.reader.Spec.Model), d.started.Unix()
	if d.isChat() {
		s.chat = openai.ChatChunk{ID: request, Object: openai.ObjectChatChunk, Created: created, Model: model,
			Choices: make([]openai.ChunkChoice, 1)}
	} else {
		s.completion = openai.CompletionResponse{ID: request, Object: openai.ObjectCompletion, Created: created, Model: model,
			Choices: make([]openai.CompletionChoice, 1)}
	}
	if !hasText {
		s.role = openai.Assistant
	}
	return s
}

// writeHeader sends the headers at once, so that the caller gets the answer's id
// before the first token.
func (s *eventWriter) writeHeader() error {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequest, string(s.d.reader.Request))
	s.w.WriteHeader(http.StatusOK)
	return s.flush()
}

// writePart writes the tokens and the finish reason of a part as one event.
func (s *eventWriter) writePart(part answer.Part) error {
	if len(part.Tokens) == 0 && part.Finish == nil {
		return nil
	}
	text := s.joinText(part.Tokens)
	s.hasText = s.hasText || len(part.Tokens) > 0
	var reason *string
	if part.Finish != nil {
		s.reason = string(part.Finish.Reason)
		reason = &s.reason
	}
	s.writeEventID()
	if s.d.isChat() {
		choice := &s.chat.Choices[0]
		choice.Delta = openai.Delta{Role: s.role, Content: text}
		choice.FinishReason = reason
		s.role = ""
		return s.writeEvent(&s.chat)
	}
	choice := &s.completion.Choices[0]
	choice.Text = text
	choice.FinishReason = reason
	return s.writeEvent(&s.completion)
}

// joinText returns the text of the tokens. The text of a single token is not copied.
func (s *eventWriter) joinText(tokens []generation.Token) string {
	if len(tokens) == 1 {
		return tokens[0].Text
	}
	s.text.Reset()
	for i := range tokens {
		s.text.WriteString(tokens[i].Text)
	}
	return s.text.String()
}

// writeEventID begins an event. The event's id is the position after the event, with
// which the caller can resume the stream.
func (s *eventWriter) writeEventID() {
	s.scratch = append(s.scratch[:0], "id: "...)
	s.scratch = append(s.scratch, s.d.lineage...)
	s.scratch = append(s.scratch, ':')
	s.scratch = strconv.AppendUint(s.scratch, uint64(s.d.next), 10)
	s.scratch = append(s.scratch, '\n')
	s.buf.Write(s.scratch)
}

// writeEvent completes an event with v as its data and sends it.
func (s *eventWriter) writeEvent(v any) error {
	s.buf.WriteString("data: ")
	if err := s.enc.Encode(v); err != nil {
		return fault.Wrap("eventWriter.writeEvent", CorruptAnswer, err)
	}
	s.buf.WriteByte('\n')
	return s.flushBuffer()
}

// flushBuffer sends the buffer. A caller that does not accept it within the write
// timeout is disconnected, but can still resume the answer.
func (s *eventWriter) flushBuffer() error {
	// Response recorders in tests do not support deadlines and need none.
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.d.api.cfg.WriteTimeout))
	_, err := s.w.Write(s.buf.Bytes())
	s.buf.Reset()
	if err != nil {
		return fault.Wrap("eventWriter.flushBuffer", Disconnected, err)
	}
	return s.flush()
}

func (s *eventWriter) flush() error {
	return fault.Wrap("eventWriter.flush", Disconnected, s.rc.Flush())
}

// writeEnd writes the usage, if the caller requested it, and the event that marks the
// answer as complete.
func (s *eventWriter) writeEnd(f *generation.Finish, usage bool) error {
	if usage {
		if err := s.writeUsage(f); err != nil {
			return err
		}
	}
	s.buf.WriteString("data: " + openai.Done + "\n\n")
	return s.flushBuffer()
}

func (s *eventWriter) writeUsage(f *generation.Finish) error {
	s.writeEventID()
	if s.d.isChat() {
		s.chat.Choices = []openai.ChunkChoice{}
		s.chat.Usage = usageOf(f)
		return s.writeEvent(&s.chat)
	}
	s.completion.Choices = []openai.CompletionChoice{}
	s.completion.Usage = usageOf(f)
	return s.writeEvent(&s.completion)
}

// writeProblem writes why the answer ends before it is complete.
func (s *eventWriter) writeProblem(refusal *answer.Refusal) error {
	s.buf.WriteString("event: error\n")
	return s.writeEvent(problem.From(refusal))
}

// restartEvent instructs a caller to discard the text received so far.
type restartEvent struct {
	Request id.Request `json:"request"`
	Lineage id.Lineage `json:"lineage"`
}

// writeRestart begins a new text. If the caller has received a part of the old one,
// it must have allowed restarts.
func (s *eventWriter) writeRestart() error {
	s.role = openai.Assistant
	if !s.hasText {
		return nil
	}
	if !s.d.reader.Spec.RestartAllowed {
		return &answer.Refusal{
			Outcome: answer.Failed,
			Cause:   answer.CauseLost,
			Detail:  "the answer cannot go on, and a part of it was seen",
		}
	}
	s.buf.WriteString("event: restart\n")
	return s.writeEvent(&restartEvent{Request: s.d.reader.Request, Lineage: s.d.lineage})
}
