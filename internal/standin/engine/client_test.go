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

// errCut is the error of a stream that ended without its last event.
var errCut = errors.New("the stream was cut")

// reading is one stream as a client sees it.
type reading struct {
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

// open starts a stream.
func open(url string, c protocol.CompletionRequest) (*reading, error) {
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
	return &reading{cancel: cancel, body: resp.Body, lines: bufio.NewReader(resp.Body)}, nil
}

// next reads one event; done says that it was the last.
func (r *reading) next() (done bool, err error) {
	for {
		line, err := r.lines.ReadString('\n')
		if err != nil {
			return false, errCut
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

func (r *reading) add(data string) error {
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

// rest reads to the end.
func (r *reading) rest() error {
	defer r.cancel()
	for {
		done, err := r.next()
		if done || err != nil {
			return err
		}
	}
}

// run reads a whole stream.
func run(url string, c protocol.CompletionRequest) (*reading, error) {
	r, err := open(url, c)
	if err != nil {
		return nil, err
	}
	return r, r.rest()
}

func listen(t *testing.T, opts engine.Options) *engine.Server {
	t.Helper()
	s, err := engine.Listen("127.0.0.1:0", opts)
	is.New(t).NoErr(err)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	t.Cleanup(s.Close)
	return s
}

func ids(tokens []generation.Token) []uint32 {
	out := make([]uint32, len(tokens))
	for i, t := range tokens {
		out[i] = t.ID
	}
	return out
}
