package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// Stream is a running generation. Except for Close, it is not safe for
// concurrent use.
type Stream struct {
	// Reason and Usage are set once Next has returned io.EOF.
	Reason generation.FinishReason
	Usage  engine.Usage

	body   io.ReadCloser
	cancel context.CancelFunc
	reader *bufio.Reader
	line   []byte
	// decoder is reused for all events to avoid allocations; it reads from data.
	decoder *json.Decoder
	data    bytes.Reader
	chunk   chunk
	tokens  []generation.Token
	// hasUsage distinguishes a stream without usage from one whose counts are
	// zero.
	hasUsage bool
}

// chunk has the fields of engine.Chunk that a target process needs. Its
// slices are reused for each event to keep the allocations per token low.
type chunk struct {
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage"`
}

type choice struct {
	TokenIDs     []uint32 `json:"token_ids"`
	TokenTexts   []string `json:"token_texts"`
	FinishReason string   `json:"finish_reason"`
}

func (c *chunk) reset() {
	c.Usage = nil
	for i := range c.Choices {
		v := &c.Choices[i]
		v.TokenIDs, v.TokenTexts, v.FinishReason = v.TokenIDs[:0], v.TokenTexts[:0], ""
	}
	c.Choices = c.Choices[:0]
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *Stream {
	s := &Stream{body: body, cancel: cancel, reader: bufio.NewReaderSize(body, readBufferBytes)}
	s.decoder = json.NewDecoder(&s.data)
	return s
}

// Close cancels the generation if it is still running.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}

// Limits for reading the remainder of a complete stream.
const (
	maxDrainBytes = 4 << 10
	drainTimeout  = time.Second
)

// Drain reads the remainder of a complete answer so that the connection can
// be reused.
func (s *Stream) Drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	// Close closes a connection that cannot be reused.
	_, _ = io.CopyN(io.Discard, s.reader, maxDrainBytes)
}

// Next waits for the next tokens, which are valid until the next call. After
// a complete answer it returns io.EOF. Any other error is an *Error, with the
// kind StreamTruncated if the stream ended early.
func (s *Stream) Next() ([]generation.Token, error) {
	for {
		data, err := s.event()
		if err != nil {
			return nil, err
		}
		if string(data) == engine.Done {
			return nil, s.end()
		}
		if err := s.read(data); err != nil {
			return nil, err
		}
		if len(s.tokens) > 0 {
			return s.tokens, nil
		}
	}
}

// end checks that a stream that sent the end marker also sent a finish reason
// and usage.
func (s *Stream) end() error {
	if !s.Reason.Valid() {
		return fault.New("Stream.end", Malformed, "the stream ended with reason %q, want stop or length", s.Reason)
	}
	if !s.hasUsage {
		return fault.New("Stream.end", Malformed, "the stream ended without usage")
	}
	return io.EOF
}

var dataField = []byte("data:")

// event returns the data of the next event.
func (s *Stream) event() ([]byte, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

// readLine returns the next line. It copies the line only if it does not fit
// in the buffer.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	s.line = append(s.line[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.line) > maxEventBytes {
			return nil, fault.New("Stream.readLine", Malformed, "an event is longer than %d bytes", maxEventBytes)
		}
		line, err = s.reader.ReadSlice('\n')
		s.line = append(s.line, line...)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return s.line, fault.Wrap("Stream.readLine", StreamTruncated, err)
}

// read decodes the tokens of one event.
func (s *Stream) read(data []byte) error {
	const op = "Stream.read"
	s.tokens = s.tokens[:0]
	s.chunk.reset()
	s.data.Reset(data)
	if len(data) == 0 {
		// The decoder would return io.EOF, which means that the answer is complete.
		return fault.New(op, Malformed, "an event holds no value")
	}
	if err := s.decoder.Decode(&s.chunk); err != nil {
		return fault.Wrap(op, Malformed, err)
	}
	if s.decoder.More() {
		return fault.New(op, Malformed, "an event holds more than one value")
	}
	if s.chunk.Usage != nil {
		s.Usage, s.hasUsage = *s.chunk.Usage, true
	}
	for i := range s.chunk.Choices {
		c := &s.chunk.Choices[i]
		if len(c.TokenIDs) != len(c.TokenTexts) {
			return fault.New(op, Malformed, "an event has %d token ids and %d texts", len(c.TokenIDs), len(c.TokenTexts))
		}
		for j, number := range c.TokenIDs {
			s.tokens = append(s.tokens, generation.Token{ID: number, Text: c.TokenTexts[j]})
		}
		if c.FinishReason != "" {
			s.Reason = generation.FinishReason(c.FinishReason)
		}
	}
	return nil
}
