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

// stream writes the answer from a position on as server-sent events.
func (d *delivery) stream(w http.ResponseWriter, r *http.Request, from position, usage bool) {
	g := d.api.gauges
	g.openAnswers.Inc(1)
	defer g.openAnswers.Dec(1)

	d.begin(d.reader.Lineage, from.next)
	s := newEvents(w, d, from.next > 0)
	if err := s.open(); err != nil {
		return
	}
	for {
		part, restarted, err := d.read(r.Context())
		if err == nil && restarted {
			err = s.restart()
		}
		if err != nil {
			d.failStream(s, r, err)
			return
		}
		if err := s.part(part); err != nil {
			return
		}
		if part.Finish != nil {
			// A caller that is gone cannot be told.
			_ = s.end(part.Finish, usage)
			return
		}
	}
}

// failStream tells a caller that is still there why the stream ends here.
func (d *delivery) failStream(s *events, r *http.Request, err error) {
	if r.Context().Err() != nil {
		return
	}
	d.api.gauges.failures.Inc(1)
	// A caller that is gone cannot be told.
	_ = s.problem(d.withRequest(refusalOf(err)))
}

// events writes one answer's server-sent events. Its buffers and messages are
// used again for each event, so that a token costs no allocation.
type events struct {
	d       *delivery
	w       http.ResponseWriter
	rc      *http.ResponseController
	buf     bytes.Buffer
	enc     *json.Encoder
	text    strings.Builder
	reason  string
	role    openai.Role
	compl   openai.CompletionResponse
	chat    openai.ChatChunk
	scratch []byte
	// seen says that the caller has a part of the text.
	seen bool
}

func newEvents(w http.ResponseWriter, d *delivery, seen bool) *events {
	s := &events{d: d, w: w, rc: http.NewResponseController(w), seen: seen}
	s.enc = json.NewEncoder(&s.buf)
	s.enc.SetEscapeHTML(false)
	request, model, created := string(d.reader.Request), string(d.reader.Spec.Model), d.started.Unix()
	if d.isChat() {
		s.chat = openai.ChatChunk{ID: request, Object: openai.ObjectChatChunk, Created: created, Model: model,
			Choices: make([]openai.ChunkChoice, 1)}
	} else {
		s.compl = openai.CompletionResponse{ID: request, Object: openai.ObjectCompletion, Created: created, Model: model,
			Choices: make([]openai.CompletionChoice, 1)}
	}
	if !seen {
		s.role = openai.Assistant
	}
	return s
}

// open sends the headers at once, so that the caller has the answer's id.
func (s *events) open() error {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequest, string(s.d.reader.Request))
	s.w.WriteHeader(http.StatusOK)
	return s.flush()
}

// part writes the tokens of a part, and its end, as one event.
func (s *events) part(part answer.Part) error {
	if len(part.Tokens) == 0 && part.Finish == nil {
		return nil
	}
	text := s.join(part.Tokens)
	s.seen = s.seen || len(part.Tokens) > 0
	var reason *string
	if part.Finish != nil {
		s.reason = string(part.Finish.Reason)
		reason = &s.reason
	}
	s.eventID()
	if s.d.isChat() {
		choice := &s.chat.Choices[0]
		choice.Delta = openai.Delta{Role: s.role, Content: text}
		choice.FinishReason = reason
		s.role = ""
		return s.send(&s.chat)
	}
	choice := &s.compl.Choices[0]
	choice.Text = text
	choice.FinishReason = reason
	return s.send(&s.compl)
}

// join returns the text of tokens; a single token's text is not copied.
func (s *events) join(tokens []generation.Token) string {
	if len(tokens) == 1 {
		return tokens[0].Text
	}
	s.text.Reset()
	for i := range tokens {
		s.text.WriteString(tokens[i].Text)
	}
	return s.text.String()
}

// eventID begins an event whose id says where the text goes on after it.
func (s *events) eventID() {
	s.scratch = append(s.scratch[:0], "id: "...)
	s.scratch = append(s.scratch, s.d.lineage...)
	s.scratch = append(s.scratch, ':')
	s.scratch = strconv.AppendUint(s.scratch, uint64(s.d.next), 10)
	s.scratch = append(s.scratch, '\n')
	s.buf.Write(s.scratch)
}

// send ends an event with v as its data and passes it on.
func (s *events) send(v any) error {
	s.buf.WriteString("data: ")
	if err := s.enc.Encode(v); err != nil {
		return fault.Wrap("events.send", CorruptAnswer, err)
	}
	s.buf.WriteByte('\n')
	return s.write()
}

// write passes the buffer on. A caller that takes nothing within the write
// timeout loses its connection, not its answer.
func (s *events) write() error {
	// A recorder in a test has no deadlines, and none are needed there.
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.d.api.cfg.WriteTimeout))
	_, err := s.w.Write(s.buf.Bytes())
	s.buf.Reset()
	if err != nil {
		return fault.Wrap("events.write", Disconnected, err)
	}
	return s.flush()
}

func (s *events) flush() error {
	return fault.Wrap("events.flush", Disconnected, s.rc.Flush())
}

// end writes the usage, when the caller asked for it, and the mark of a whole
// answer.
func (s *events) end(f *generation.Finish, usage bool) error {
	if usage {
		if err := s.sendUsage(f); err != nil {
			return err
		}
	}
	s.buf.WriteString("data: " + openai.Done + "\n\n")
	return s.write()
}

func (s *events) sendUsage(f *generation.Finish) error {
	s.eventID()
	if s.d.isChat() {
		s.chat.Choices = []openai.ChunkChoice{}
		s.chat.Usage = usageOf(f)
		return s.send(&s.chat)
	}
	s.compl.Choices = []openai.CompletionChoice{}
	s.compl.Usage = usageOf(f)
	return s.send(&s.compl)
}

// problem writes the reason why the answer ends without being whole.
func (s *events) problem(refusal *answer.Refusal) error {
	s.buf.WriteString("event: error\n")
	return s.send(problem.From(refusal))
}

// restarted tells a caller to drop the text that it has.
type restarted struct {
	Request id.Request `json:"request"`
	Lineage id.Lineage `json:"lineage"`
}

// restart begins a new text. A caller that has seen a part of the old one must
// have allowed it.
func (s *events) restart() error {
	s.role = openai.Assistant
	if !s.seen {
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
	return s.send(&restarted{Request: s.d.reader.Request, Lineage: s.d.lineage})
}
