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

// caller reads a stream event by event, as a client that may come back does.
type caller struct {
	url, key, prompt string
	tokens           int

	id     string
	lastID string
	text   strings.Builder
	lines  *bufio.Scanner
}

// open starts the request, or goes on with its answer.
func (c *caller) open(ctx context.Context, again bool) (io.ReadCloser, error) {
	method, path, body := http.MethodPost, "/v1/completions", ""
	if again {
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
	if again && c.lastID != "" {
		r.Header.Set("Last-Event-ID", c.lastID)
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

// read reads up to n events; fewer means that the stream ended. It reports
// whether the end was the answer's.
func (c *caller) read(n int) (bool, error) {
	lines := c.lines
	for events := 0; events < n && lines.Scan(); {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			c.lastID = value
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

const all = 1 << 30

// One hundred answers, each with the engine that carries it killed after a
// random token.
func TestHundredKills(t *testing.T) {
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
		killed := carrier(d)
		killed.StandIn.Engine.Crash()
		if !done {
			done, err = c.read(all)
			is.NoErr(err)
		}
		body.Close()
		if done && c.text.String() == expect(c.prompt, tokens) {
			exact++
		}
		is.NoErr(killed.StandIn.Engine.Restart())
	}
	is.Equal(exact, answers)
}

// carrier returns the engine that runs a generation; the first engine when the
// generation has just ended.
func carrier(d *deployment.Deployment) *deployment.Engine {
	for _, e := range d.Engines {
		if e.StandIn.Engine.Stats().Running > 0 {
			return e
		}
	}
	return d.Engines[0]
}

// The entry dies in the middle; the caller comes back through another one by
// Last-Event-ID and gets the rest, once.
func TestEntryDies(t *testing.T) {
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
				rest := &caller{url: e.URL(), id: c.id, lastID: c.lastID}
				rest.text.WriteString(c.text.String())
				again, err := rest.open(t.Context(), true)
				is.NoErr(err)
				defer again.Close()
				done, err := rest.read(all)
				is.NoErr(err)
				is.True(done)
				is.Equal(rest.text.String(), expect("truck 9", 300))
			}
			is.Equal(decoded(d), 300) // one generation, no token computed twice
		})
	}
}

func decoded(d *deployment.Deployment) int {
	n := 0
	for _, e := range d.Engines {
		n += int(e.StandIn.Engine.Stats().DecodedTokens)
	}
	return n
}

// The same key is sent at once through all entries, and again after the end.
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
			done, err := c.read(all)
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
	_, err = c.read(all)
	is.NoErr(err)
	is.Equal(c.text.String(), expect("p", 120))
	is.Equal(decoded(d), 120)
}

// A paused engine is given up and comes back; no token of it reaches the
// caller, and its work is cancelled.
func TestEnginePauses(t *testing.T) {
	is := is.New(t)
	d := start(t, options(2, 1))
	c := &caller{url: d.Entries[0].URL(), prompt: "p", tokens: 400}
	body, err := c.open(t.Context(), false)
	is.NoErr(err)
	defer body.Close()
	_, err = c.read(50)
	is.NoErr(err)
	paused := carrier(d)
	paused.StandIn.Engine.Pause()
	resumed := time.AfterFunc(7*time.Second, paused.StandIn.Engine.Resume)
	defer resumed.Stop()
	done, err := c.read(all)
	is.NoErr(err)
	is.True(done)
	is.Equal(c.text.String(), expect("p", 400))
	paused.StandIn.Engine.Resume()
	for paused.StandIn.Engine.Stats().Running > 0 {
		time.Sleep(10 * time.Millisecond)
	}
}

// Entry and target leave while long answers run; none is cut.
func TestLeave(t *testing.T) {
	is := is.New(t)
	d := start(t, options(2, 2))
	var wait sync.WaitGroup
	for i := range 6 {
		prompt := fmt.Sprint("p", i)
		wait.Go(func() {
			text, err := ask(context.Background(), d.Entries[i%2].URL(), prompt, 500, true)
			is.NoErr(err)
			is.Equal(text, expect(prompt, 500))
		})
	}
	time.Sleep(200 * time.Millisecond)
	wait.Go(func() { is.NoErr(d.Entries[0].Stop()) })
	wait.Go(func() { is.NoErr(d.Engines[0].Stop()) })
	wait.Wait()
	text, err := ask(t.Context(), d.Entries[1].URL(), "after", 20, true)
	is.NoErr(err)
	is.Equal(text, expect("after", 20))
}

// The entries' views still differ when the same key reaches all of them: the
// pledge to the next entry makes them meet.
func TestSameKeyWhileViewsDiffer(t *testing.T) {
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
			done, err := c.read(all)
			is.NoErr(err)
			is.True(done)
			is.Equal(c.text.String(), expect("p", 120))
		})
	}
	wait.Wait()
}
