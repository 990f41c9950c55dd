package deployment_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
)

const key = "dev-staplerdienst"

func options(engines, entries int) deployment.Options {
	opts := deployment.Options{Contracts: []contract.Contract{{
		Name: "staplerdienst", Models: []id.Model{"report"}, Keys: []contract.KeyHash{contract.HashKey(key)},
		Class:  generation.Long,
		Limits: contract.Limits{TokensPerSecond: 1_000_000, RequestsPerSecond: 1000, Concurrency: 1000},
	}}}
	for i := range engines {
		opts.Engines = append(opts.Engines, deployment.EngineOptions{
			Name:  id.Target(fmt.Sprintf("report-%d", i)),
			Place: settings.Place{Host: "h", Zone: id.Zone(fmt.Sprintf("z%d", i)), Region: "ch"},
			Engine: engine.Options{
				Model: "report", Version: "v1",
				Costs: engine.Costs{Step: 2 * time.Millisecond, Prefill: 10 * time.Microsecond},
			},
		})
	}
	for i := range entries {
		opts.Entries = append(opts.Entries, deployment.EntryOptions{
			Name: id.Entry(fmt.Sprintf("entry-%d", i)), Place: settings.Place{Host: "h", Zone: "z0", Region: "ch"},
		})
	}
	return opts
}

func start(t *testing.T, opts deployment.Options) *deployment.Deployment {
	t.Helper()
	is := is.New(t)
	d, err := deployment.Start(opts)
	is.NoErr(err)
	t.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	is.NoErr(d.WaitReady(ctx))
	return d
}

// complete requests a completion and returns its whole text.
func complete(ctx context.Context, url, prompt string, tokens int, stream bool) (string, error) {
	body, _ := json.Marshal(map[string]any{"model": "report", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	if stream {
		return readStream(resp.Body)
	}
	var completion struct {
		Choices []struct{ Text string }
	}
	if err := json.NewDecoder(resp.Body).Decode(&completion); err != nil {
		return "", err
	}
	return completion.Choices[0].Text, nil
}

func readStream(body io.Reader) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", err
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Text)
		}
	}
	return text.String(), io.ErrUnexpectedEOF
}

func expect(prompt string, tokens int) string {
	return engine.Join(engine.Expect("report", "v1", "", prompt, tokens))
}

// Tests that the caller gets the whole text when an engine crashes in the middle
// of the answer.
func TestEngineCrash(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			is := is.New(t)
			d := start(t, options(3, 2))
			for _, e := range d.Engines[:2] {
				e.StandIn.Engine.CrashAfterTokens(40)
			}
			text, err := complete(t.Context(), d.Entries[0].URL(), "truck 7", 200, stream)
			is.NoErr(err)
			is.Equal(text, expect("truck 7", 200))
		})
	}
}
