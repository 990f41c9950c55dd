package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// errTruncated is returned for a stream that ended without its final event.
var errTruncated = errors.New("stream ended without its final event")

// clientStream is a stream that a client reads.
type clientStream struct {
	tokens []generation.Token
	reason string
	usage  protocol.Usage
	cancel context.CancelFunc
	body   io.ReadCloser
	lines  *bufio.Reader
}

func post(ctx context.Context, url string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(r)
}

// openStream sends a request and returns its stream.
func openStream(url string, c protocol.CompletionRequest) (*clientStream, error) {
	path := "/v1/completions"
	if len(c.Messages) > 0 {
		path = "/v1/chat/completions"
	}
	c.Stream = true
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := post(ctx, url+path, c)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return &clientStream{cancel: cancel, body: resp.Body, lines: bufio.NewReader(resp.Body)}, nil
}

// readEvent reads one event. done reports whether it was the final one.
func (r *clientStream) readEvent() (done bool, err error) {
	for {
		line, err := r.lines.ReadString('\n')
		if err != nil {
			return false, errTruncated
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == protocol.Done {
			return true, nil
		}
		return false, r.add(data)
	}
}

func (r *clientStream) add(data string) error {
	var chunk protocol.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	choice := chunk.Choices[0]
	for i, id := range choice.TokenIDs {
		r.tokens = append(r.tokens, generation.Token{ID: id, Text: choice.TokenTexts[i]})
	}
	if choice.FinishReason != nil {
		r.reason = *choice.FinishReason
	}
	if chunk.Usage != nil {
		r.usage = *chunk.Usage
	}
	return nil
}

// readAll reads the stream to its end.
func (r *clientStream) readAll() error {
	defer r.cancel()
	for {
		done, err := r.readEvent()
		if done || err != nil {
			return err
		}
	}
}

// complete sends a request and reads its whole stream.
func complete(url string, c protocol.CompletionRequest) (*clientStream, error) {
	r, err := openStream(url, c)
	if err != nil {
		return nil, err
	}
	return r, r.readAll()
}

func startServer(t *testing.T, opts engine.Options) *engine.Server {
	t.Helper()
	s, err := engine.Listen("127.0.0.1:0", opts)
	is.New(t).NoErr(err)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	t.Cleanup(s.Close)
	return s
}

func tokenIDs(tokens []generation.Token) []uint32 {
	out := make([]uint32, len(tokens))
	for i, t := range tokens {
		out[i] = t.ID
	}
	return out
}
