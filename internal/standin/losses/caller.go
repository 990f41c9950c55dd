package losses

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
	"time"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// requestIDHeader is the response header with the request ID that an entry chose.
const requestIDHeader = "Foxtailward-Request"

const (
	// maxNaiveAttempts is the maximum number of attempts of the naive client.
	maxNaiveAttempts = 50
	// maxRefusals is how many attempts a caller makes while the entry refuses its
	// request, and refusalRetryDelay is the delay between them.
	maxRefusals       = 600
	refusalRetryDelay = 100 * time.Millisecond
	// naiveTimeout is the time without an event after which the naive client gives
	// up on an engine and makes its next attempt.
	naiveTimeout = 10 * time.Second
	// maxDetailBytes is the maximum number of bytes of an error response that are
	// reported.
	maxDetailBytes = 512
)

// errBusy means that the entry refused the request before it reached an engine.
var errBusy = errors.New("the entry refused the request: all engines are busy")

// caller reads one answer. The fault injector's lock guards triggered and failures.
type caller struct {
	run       *run
	index     int
	task      task
	requestID string
	text      strings.Builder
	// tokenCount is the number of tokens of the current attempt.
	tokenCount int
	// tokenTimes[n-1] is the time at which the caller first had n tokens.
	tokenTimes TokenTimes
	err        error

	triggered bool
	failures  []time.Time
}

func newCaller(r *run, index int) *caller {
	return &caller{run: r, index: index, task: r.tasks[index]}
}

// read reads the whole answer.
func (c *caller) read(ctx context.Context) {
	if c.run.opts.Mode != NaiveClient {
		e := c.run.d.Entries[c.index%entries]
		for range maxRefusals {
			c.err = c.attempt(ctx, e.URL(), "")
			if !errors.Is(c.err, errBusy) || ctx.Err() != nil {
				return
			}
			time.Sleep(refusalRetryDelay)
		}
		return
	}
	for i := range maxNaiveAttempts {
		e := c.run.d.Engines[(c.index+i)%len(c.run.d.Engines)]
		c.text.Reset()
		c.tokenCount = 0
		c.err = c.attempt(ctx, e.StandIn.URL(), fmt.Sprintf("naive-%d-1-%d", c.index, i))
		if c.err == nil || ctx.Err() != nil {
			return
		}
	}
}

// attempt requests a completion from url and reads the answer. generation is the ID
// of the generation for an engine, and empty for an entry, which chooses the request
// ID itself.
func (c *caller) attempt(ctx context.Context, url, generation string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := json.Marshal(protocol.CompletionRequest{
		RequestID: generation, Model: model, Prompt: c.task.prompt, MaxTokens: c.task.tokens, Stream: true,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.run.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
		return errBusy
	}
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
		return fmt.Errorf("status %d: %s", resp.StatusCode, detail)
	}
	c.requestID = requestIDOf(generation)
	if generation == "" {
		c.requestID = resp.Header.Get(requestIDHeader)
	}
	c.run.injector.register(c.requestID, c)
	defer c.run.injector.unregister(c.requestID)
	if c.run.opts.Mode == NaiveClient {
		silence := time.AfterFunc(naiveTimeout, cancel)
		defer silence.Stop()
		return c.stream(resp.Body, func() { silence.Reset(naiveTimeout) })
	}
	return c.stream(resp.Body, func() {})
}

// stream reads events until the end of the answer and calls onEvent for each.
func (c *caller) stream(body io.Reader, onEvent func()) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		onEvent()
		var chunk struct {
			Choices []struct{ Text string }
			Detail  string
		}
		if err := json.Unmarshal(data, &chunk); err != nil {
			return err
		}
		if len(chunk.Choices) == 0 && chunk.Detail != "" {
			return errors.New(chunk.Detail)
		}
		for _, choice := range chunk.Choices {
			c.addText(choice.Text)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// addText appends text and counts its tokens, each of which begins with a space.
func (c *caller) addText(text string) {
	if text == "" {
		return
	}
	c.text.WriteString(text)
	c.tokenCount += strings.Count(text, " ")
	now := time.Now()
	for len(c.tokenTimes) < c.tokenCount {
		c.tokenTimes = append(c.tokenTimes, now)
	}
	c.run.injector.onTokens(c, c.tokenCount)
}
