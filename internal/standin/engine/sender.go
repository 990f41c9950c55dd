package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// sender passes a stream's tokens to one connection.
type sender struct {
	engine *Engine
	stream *stream
	// life is the engine's start that the stream belongs to.
	life  int64
	model string
	chat  bool
	ids   []uint32
	event []byte
}

// streamTo sends the answer as server-sent events.
func (s *sender) streamTo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flush := http.NewResponseController(w).Flush
	w.WriteHeader(http.StatusOK)
	if flush() != nil {
		return
	}
	for {
		ids, ended := s.wait(r, s.engine.opts.ChunkTokens)
		if len(ids) > 0 {
			s.send(w, flush, ids)
		}
		if ended {
			break
		}
	}
	s.write(w, s.last())
	_, _ = w.Write([]byte("data: " + protocol.Done + "\n\n"))
	_ = flush()
}

// replyTo sends the answer in one piece.
func (s *sender) replyTo(w http.ResponseWriter, r *http.Request) {
	var all []uint32
	for {
		ids, ended := s.wait(r, s.engine.opts.ChunkTokens)
		allowed, last := s.reserve(len(ids))
		if last || allowed < len(ids) {
			s.engine.Crash()
			panic(http.ErrAbortHandler)
		}
		all = append(all, ids...)
		if ended {
			break
		}
	}
	s.engine.counts.sent.Add(int64(len(all)))
	chunk := s.chunk(all)
	chunk.Choices[0].FinishReason = s.finishReason()
	chunk.Usage = s.usage()
	reply(w, http.StatusOK, chunk)
}

// wait returns the next tokens, at least one unless the answer has ended. It
// cuts the connection when the engine has died or the peer is gone.
func (s *sender) wait(r *http.Request, n int) (ids []uint32, ended bool) {
	for {
		if s.engine.gate.wait(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		ids, ended, aborted := s.stream.take(s.ids[:0], n)
		s.ids = ids
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if len(ids) > 0 || ended {
			return ids, ended
		}
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-s.stream.notify:
		}
	}
}

// send writes one event with as many tokens as may still be sent.
func (s *sender) send(w http.ResponseWriter, flush func() error, ids []uint32) {
	allowed, last := s.reserve(len(ids))
	if allowed > 0 {
		s.write(w, s.chunk(ids[:allowed]))
		if flush() != nil {
			panic(http.ErrAbortHandler)
		}
		s.engine.counts.sent.Add(int64(allowed))
	}
	if last || allowed < len(ids) {
		s.engine.Crash()
		panic(http.ErrAbortHandler)
	}
}

// reserve is Engine.reserve for a stream of the engine's current life.
func (s *sender) reserve(n int) (allowed int, last bool) {
	allowed, last = s.engine.reserve(n)
	if s.engine.life.Load() != s.life {
		panic(http.ErrAbortHandler)
	}
	return allowed, last
}

func (s *sender) write(w http.ResponseWriter, chunk *protocol.Chunk) {
	body, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.event = append(s.event[:0], "data: "...)
	s.event = append(s.event, body...)
	s.event = append(s.event, "\n\n"...)
	if _, err := w.Write(s.event); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// chunk returns the message that carries ids.
func (s *sender) chunk(ids []uint32) *protocol.Chunk {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = TokenText(id)
	}
	choice := protocol.Choice{TokenIDs: ids, TokenTexts: texts}
	text := strings.Join(texts, "")
	if s.chat {
		choice.Delta = &protocol.Delta{Content: text}
	} else {
		choice.Text = text
	}
	return &protocol.Chunk{ID: s.stream.id, Model: s.model, Choices: []protocol.Choice{choice}}
}

// last returns the message that ends the stream.
func (s *sender) last() *protocol.Chunk {
	chunk := s.chunk(nil)
	chunk.Choices[0].FinishReason = s.finishReason()
	chunk.Usage = s.usage()
	return chunk
}

// finishReason and usage are read once the stream has ended, when the
// scheduler no longer changes it.
func (s *sender) finishReason() *string {
	reason := string(s.stream.reason)
	return &reason
}

func (s *sender) usage() *protocol.Usage {
	return &protocol.Usage{
		PromptTokens:     s.stream.promptTokens,
		CompletionTokens: s.stream.decoded,
		CachedTokens:     s.stream.cached,
	}
}
