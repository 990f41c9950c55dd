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

// headerRequest is where an entry gives the request's id.
const headerRequest = "Foxtailward-Request"

const (
	// naiveAttempts bounds the attempts of the naive client.
	naiveAttempts = 50
	// refusals bounds how often a caller that was refused asks again, and
	// askAgain is the time between.
	refusals = 600
	askAgain = 100 * time.Millisecond
	// naiveTimeout is when the naive client takes a silent engine for dead.
	naiveTimeout = 10 * time.Second
	// detailBytes bounds what is kept of an error's body.
	detailBytes = 512
)

// errBusy means that the entry refused the request before any engine saw it.
var errBusy = errors.New("all engines are busy")

// caller reads one answer. The killer's lock guards planned and hits.
type caller struct {
	run    *run
	number int
	task   task
	name   string
	text   strings.Builder
	// count is the tokens of the attempt that is read.
	count int
	// arrivals has the time at which the caller first had so many tokens.
	arrivals TokenTimes
	err      error

	planned bool
	hits    []time.Time
}

func newCaller(r *run, number int) *caller {
	return &caller{run: r, number: number, task: r.tasks[number]}
}

// read reads the whole answer.
func (c *caller) read(ctx context.Context) {
	if c.run.opts.Mode != NaiveClient {
		e := c.run.d.Entries[c.number%entries]
		for range refusals {
			c.err = c.attempt(ctx, e.URL(), "")
			if !errors.Is(c.err, errBusy) || ctx.Err() != nil {
				return
			}
			time.Sleep(askAgain)
		}
		return
	}
	for i := range naiveAttempts {
		e := c.run.d.Engines[(c.number+i)%len(c.run.d.Engines)]
		c.text.Reset()
		c.count = 0
		c.err = c.attempt(ctx, e.StandIn.URL(), fmt.Sprintf("naive-%d-1-%d", c.number, i))
		if c.err == nil || ctx.Err() != nil {
			return
		}
	}
}

// attempt asks url and reads its answer. An engine is told a name; an entry
// gives one.
func (c *caller) attempt(ctx context.Context, url, name string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := json.Marshal(protocol.CompletionRequest{
		RequestID: name, Model: model, Prompt: c.task.prompt, MaxTokens: c.task.tokens, Stream: true,
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
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, detailBytes))
		return fmt.Errorf("status %d: %s", resp.StatusCode, detail)
	}
	c.name = nameOf(name)
	if name == "" {
		c.name = resp.Header.Get(headerRequest)
	}
	c.run.killer.begin(c.name, c)
	defer c.run.killer.end(c.name)
	if c.run.opts.Mode == NaiveClient {
		silence := time.AfterFunc(naiveTimeout, cancel)
		defer silence.Stop()
		return c.stream(resp.Body, func() { silence.Reset(naiveTimeout) })
	}
	return c.stream(resp.Body, func() {})
}

// stream reads events until the answer's end; alive is called for each.
func (c *caller) stream(body io.Reader, alive func()) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		alive()
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
			c.take(choice.Text)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// take adds text; each token begins with a space.
func (c *caller) take(text string) {
	if text == "" {
		return
	}
	c.text.WriteString(text)
	c.count += strings.Count(text, " ")
	now := time.Now()
	for len(c.arrivals) < c.count {
		c.arrivals = append(c.arrivals, now)
	}
	c.run.killer.reached(c, c.count)
}
