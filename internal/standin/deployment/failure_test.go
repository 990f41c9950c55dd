package deployment_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/deployment"
)

// caller reads a stream event by event and can resume it.
type caller struct {
	url, key, prompt string
	tokens           int

	id          string
	lastEventID string
	text        strings.Builder
	lines       *bufio.Scanner
}

// open starts the request, or resumes its answer.
func (c *caller) open(ctx context.Context, resume bool) (io.ReadCloser, error) {
	method, path, body := http.MethodPost, "/v1/completions", ""
	if resume {
		method, path = http.MethodGet, "/v1/answers/"+c.id
	} else {
		data, _ := json.Marshal(map[string]any{
			"model": "report", "prompt": c.prompt, "max_tokens": c.tokens, "stream": true,
		})
		body = string(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Accept", "text/event-stream")
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	if resume && c.lastEventID != "" {
		r.Header.Set("Last-Event-ID", c.lastEventID)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	c.id = resp.Header.Get("Foxtailward-Request")
	c.lines = bufio.NewScanner(resp.Body)
	return resp.Body, nil
}

// read reads n events, or fewer if the stream ends before. It reports whether the
// answer is complete.
func (c *caller) read(n int) (bool, error) {
	lines := c.lines
	for events := 0; events < n && lines.Scan(); {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			c.lastEventID = value
		}
		if strings.HasPrefix(line, "event: error") {
			lines.Scan()
			return false, fmt.Errorf("error event: %s", lines.Text())
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return true, nil
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return false, err
		}
		for _, choice := range chunk.Choices {
			c.text.WriteString(choice.Text)
		}
		events++
	}
	return false, lines.Err()
}

const untilEnd = 1 << 30

// Tests that an answer continues exactly on another engine after its engine has
// crashed, for 100 answers and a crash after a random token of each.
func TestHundredCrashes(t *testing.T) {
	is := is.New(t)
	opts := options(4, 2)
	for i := range opts.Engines {
		opts.Engines[i].Engine.Costs.Step = time.Millisecond
	}
	d := start(t, opts)
	rng := rand.New(rand.NewPCG(7, 7))
	const answers, tokens = 100, 60
	exact := 0
	for i := range answers {
		c := &caller{url: d.Entries[i%2].URL(), prompt: fmt.Sprintf("truck %d", i), tokens: tokens}
		body, err := c.open(t.Context(), false)
		is.NoErr(err)
		done, err := c.read(1 + rng.IntN(tokens/2))
		is.NoErr(err)
		crashed := runningEngine(d)
		crashed.StandIn.Engine.Crash()
		if !done {
			done, err = c.read(untilEnd)
			is.NoErr(err)
		}
		body.Close()
		if done && c.text.String() == expect(c.prompt, tokens) {
			exact++
		}
		is.NoErr(crashed.StandIn.Engine.Restart())
	}
	is.Equal(exact, answers)
}

// runningEngine returns the engine that runs a generation. It returns the first
// engine if the generation has just ended.
func runningEngine(d *deployment.Deployment) *deployment.Engine {
	for _, e := range d.Engines {
		if e.StandIn.Engine.Stats().Running > 0 {
			return e
		}
	}
	return d.Engines[0]
}

// Tests that a caller whose entry crashed in the middle of an answer gets the
// rest through another entry with Last-Event-ID, exactly once.
func TestEntryCrash(t *testing.T) {
	for _, idempotency := range []string{"", "order-9"} {
		t.Run("key "+idempotency, func(t *testing.T) {
			is := is.New(t)
			d := start(t, options(3, 3))
			c := &caller{url: d.Entries[0].URL(), key: idempotency, prompt: "truck 9", tokens: 300}
			body, err := c.open(t.Context(), false)
			is.NoErr(err)
			_, err = c.read(30)
			is.NoErr(err)
			d.Entries[0].Kill()
			body.Close()

			for _, e := range d.Entries[1:] {
				rest := &caller{url: e.URL(), id: c.id, lastEventID: c.lastEventID}
				rest.text.WriteString(c.text.String())
				again, err := rest.open(t.Context(), true)
				is.NoErr(err)
				defer again.Close()
				done, err := rest.read(untilEnd)
				is.NoErr(err)
				is.True(done)
				is.Equal(rest.text.String(), expect("truck 9", 300))
			}
			is.Equal(decodedTokens(d), 300) // one generation, no token computed twice
		})
	}
}

func decodedTokens(d *deployment.Deployment) int {
	n := 0
	for _, e := range d.Engines {
		n += int(e.StandIn.Engine.Stats().DecodedTokens)
	}
	return n
}

// Tests that requests with the same idempotency key get one generation when they
// are sent through all entries concurrently, and once more after the end.
func TestSameKeyEverywhere(t *testing.T) {
	is := is.New(t)
	d := start(t, options(3, 3))
	var wait sync.WaitGroup
	for i := range 9 {
		wait.Go(func() {
			c := &caller{url: d.Entries[i%3].URL(), key: "order-1", prompt: "p", tokens: 120}
			body, err := c.open(context.Background(), false)
			is.NoErr(err)
			defer body.Close()
			done, err := c.read(untilEnd)
			is.NoErr(err)
			is.True(done)
			is.Equal(c.text.String(), expect("p", 120))
		})
	}
	wait.Wait()
	c := &caller{url: d.Entries[1].URL(), key: "order-1", prompt: "p", tokens: 120}
	body, err := c.open(t.Context(), false)
	is.NoErr(err)
	defer body.Close()
	_, err = c.read(untilEnd)
	is.NoErr(err)
	is.Equal(c.text.String(), expect("p", 120))
	is.Equal(decodedTokens(d), 120)
}

// Tests that a paused engine is replaced in the middle of an answer. When the
// engine resumes, none of its tokens reach the caller and its generation is
// cancelled.
func TestEnginePause(t *testing.T) {
	is := is.New(t)
	d := start(t, options(2, 1))
	c := &caller{url: d.Entries[0].URL(), prompt: "p", tokens: 400}
	body, err := c.open(t.Context(), false)
	is.NoErr(err)
	defer body.Close()
	_, err = c.read(50)
	is.NoErr(err)
	paused := runningEngine(d)
	paused.StandIn.Engine.Pause()
	resumed := time.AfterFunc(7*time.Second, paused.StandIn.Engine.Resume)
	defer resumed.Stop()
	done, err := c.read(untilEnd)
	is.NoErr(err)
	is.True(done)
	is.Equal(c.text.String(), expect("p", 400))
	paused.StandIn.Engine.Resume()
	for paused.StandIn.Engine.Stats().Running > 0 {
		time.Sleep(10 * time.Millisecond)
	}
}

// Tests that no answer is truncated when an entry and a target are drained while
// long answers run.
func TestDrain(t *testing.T) {
	is := is.New(t)
	d := start(t, options(2, 2))
	var wait sync.WaitGroup
	for i := range 6 {
		prompt := fmt.Sprint("p", i)
		wait.Go(func() {
			text, err := complete(context.Background(), d.Entries[i%2].URL(), prompt, 500, true)
			is.NoErr(err)
			is.Equal(text, expect(prompt, 500))
		})
	}
	time.Sleep(200 * time.Millisecond)
	wait.Go(func() { is.NoErr(d.Entries[0].Stop()) })
	wait.Go(func() { is.NoErr(d.Engines[0].Stop()) })
	wait.Wait()
	text, err := complete(t.Context(), d.Entries[1].URL(), "after", 20, true)
	is.NoErr(err)
	is.Equal(text, expect("after", 20))
}

// Tests that all callers get the whole answer when requests with the same key
// reach all entries while the entries' membership views still differ. The requests
// meet because an entry that becomes the owner of a request announces this to the next
// entry in the request's order.
func TestSameKeyWithDifferentViews(t *testing.T) {
	is := is.New(t)
	d, err := deployment.Start(options(3, 3))
	is.NoErr(err)
	defer d.Close()
	for d.Entries[0].Process.AvailableTargets() < 3 || d.Entries[1].Process.AvailableTargets() < 3 || d.Entries[2].Process.AvailableTargets() < 3 {
		time.Sleep(time.Millisecond)
	}
	var wait sync.WaitGroup
	for i := range 9 {
		wait.Go(func() {
			c := &caller{url: d.Entries[i%3].URL(), key: "order-1", prompt: "p", tokens: 120}
			body, err := c.open(context.Background(), false)
			is.NoErr(err)
			defer body.Close()
			done, err := c.read(untilEnd)
			is.NoErr(err)
			is.True(done)
			is.Equal(c.text.String(), expect("p", 120))
		})
	}
	wait.Wait()
}
