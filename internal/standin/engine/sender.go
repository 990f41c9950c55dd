package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// sender writes a stream's tokens to one HTTP response.
type sender struct {
	engine *Engine
	stream *stream
	// incarnation is Engine.incarnation when the request arrived.
	incarnation int64
	model       string
	chat        bool
	tokenBuffer []uint32
	eventBuffer []byte
}

// writeStream sends the answer as server-sent events.
func (s *sender) writeStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flush := http.NewResponseController(w).Flush
	w.WriteHeader(http.StatusOK)
	if flush() != nil {
		return
	}
	for {
		ids, ended := s.nextTokens(r, s.engine.opts.ChunkTokens)
		if len(ids) > 0 {
			s.sendTokens(w, flush, ids)
		}
		if ended {
			break
		}
	}
	s.writeEvent(w, s.finalChunk())
	_, _ = w.Write([]byte("data: " + protocol.Done + "\n\n"))
	_ = flush()
}

// writeResponse sends the complete answer as one JSON object.
func (s *sender) writeResponse(w http.ResponseWriter, r *http.Request) {
	var all []uint32
	for {
		ids, ended := s.nextTokens(r, s.engine.opts.ChunkTokens)
		allowed, last := s.reserveTokens(len(ids))
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
	writeJSON(w, http.StatusOK, chunk)
}

// nextTokens returns up to n tokens, at least one unless the answer has ended. It
// aborts the connection if the engine has crashed or the client has disconnected.
func (s *sender) nextTokens(r *http.Request, n int) (ids []uint32, ended bool) {
	for {
		if s.engine.pauser.wait(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		ids, ended, aborted := s.stream.take(s.tokenBuffer[:0], n)
		s.tokenBuffer = ids
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

// sendTokens writes one event with as many of the tokens as the send budget allows,
// and crashes the engine if the budget is used up.
func (s *sender) sendTokens(w http.ResponseWriter, flush func() error, ids []uint32) {
	allowed, last := s.reserveTokens(len(ids))
	if allowed > 0 {
		s.writeEvent(w, s.chunk(ids[:allowed]))
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

// reserveTokens is Engine.reserveTokens, but aborts the connection if the engine has
// crashed since the request arrived.
func (s *sender) reserveTokens(n int) (allowed int, last bool) {
	allowed, last = s.engine.reserveTokens(n)
	if s.engine.incarnation.Load() != s.incarnation {
		panic(http.ErrAbortHandler)
	}
	return allowed, last
}

func (s *sender) writeEvent(w http.ResponseWriter, chunk *protocol.Chunk) {
	body, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.eventBuffer = append(s.eventBuffer[:0], "data: "...)
	s.eventBuffer = append(s.eventBuffer, body...)
	s.eventBuffer = append(s.eventBuffer, "\n\n"...)
	if _, err := w.Write(s.eventBuffer); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// chunk returns the message with the tokens ids.
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

// finalChunk returns the message that ends the stream.
func (s *sender) finalChunk() *protocol.Chunk {
	chunk := s.chunk(nil)
	chunk.Choices[0].FinishReason = s.finishReason()
	chunk.Usage = s.usage()
	return chunk
}

// finishReason and usage may be called only after the stream has ended, because the
// scheduler changes the stream until then.
func (s *sender) finishReason() *string {
	reason := string(s.stream.finishReason)
	return &reason
}

func (s *sender) usage() *protocol.Usage {
	return &protocol.Usage{
		PromptTokens:     s.stream.promptTokens,
		CompletionTokens: s.stream.decodedTokens,
		CachedTokens:     s.stream.cachedTokens,
	}
}
