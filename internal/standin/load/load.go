// Package load reads many answers at once from a stand-in engine or through an
// entry, checks each against the text that it must have, and measures the time
// to the first token and the tokens a second.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Options{
//		Targets: []load.Target{{Name: "direct", URL: "http://127.0.0.1:9000"}},
//		Streams: 1000,
//		Tokens:  200,
//	})
//
// With several targets the rounds alternate between them, so that they meet
// the same machine.
package load

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Invalid means that an option breaks a rule.
	Invalid Kind = "invalid"
	// Failed means that an answer did not come or is not exact.
	Failed Kind = "failed"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Limits of a run.
const (
	// maxTokens bounds the tokens of one round, which are kept until it ends.
	maxTokens = 4_000_000
	// longestLatency is the upper end of the histogram.
	longestLatency = 10 * time.Minute
	// readBytes is the size of one read.
	readBytes = 16 << 10
	// significantDigits is the histogram's precision.
	significantDigits = 3
)

// Target is what answers are read from.
type Target struct {
	Name string
	// URL is the base URL of an engine or of an entry's callers' API.
	URL string
	// Key is the bearer key; an engine needs none.
	Key string
}

// Options says what to read.
type Options struct {
	Targets []Target
	Model   string
	// Version is what the expected text is computed for.
	Version string
	// Streams is how many answers are read at once.
	Streams int
	// Tokens is the length of each answer.
	Tokens int
	// Rounds is how often each target is asked, after one round that is not
	// counted.
	Rounds int
	// Seed makes the prompts differ from those of other runs.
	Seed uint64
	// Timeout bounds one answer.
	Timeout time.Duration
}

// SetDefaults fills in what o leaves out.
func (o *Options) SetDefaults() {
	o.Model = cmp.Or(o.Model, "report")
	o.Version = cmp.Or(o.Version, "v1")
	o.Streams = cmp.Or(o.Streams, 1)
	o.Tokens = cmp.Or(o.Tokens, 100)
	o.Rounds = cmp.Or(o.Rounds, 1)
	o.Timeout = cmp.Or(o.Timeout, time.Minute)
}

// Validate returns an error that names the first option that breaks a rule.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	switch {
	case len(o.Targets) == 0:
		return fault.New(op, Invalid, "no target is given")
	case o.Streams < 1 || o.Tokens < 1 || o.Rounds < 1 || o.Timeout < 0:
		return fault.New(op, Invalid, "streams, tokens and rounds must be at least 1")
	case o.Streams*o.Tokens > maxTokens:
		return fault.New(op, Invalid, "streams times tokens is %d, want at most %d", o.Streams*o.Tokens, maxTokens)
	}
	return nil
}

// Measurement is what a target gave.
type Measurement struct {
	Name    string `json:"name"`
	Streams int    `json:"streams"`
	Tokens  int    `json:"tokens"`
	// Errors counts the answers that did not come whole and exact, and
	// FirstError is one of their errors.
	Errors     int    `json:"errors"`
	FirstError string `json:"firstError,omitempty"`
	// FirstTokenP50Us and FirstTokenP95Us are in microseconds, over all
	// answers.
	FirstTokenP50Us int64 `json:"firstTokenP50Us"`
	FirstTokenP95Us int64 `json:"firstTokenP95Us"`
	// TokensPerSecond is over all rounds, RoundTokensPerSecond for each.
	TokensPerSecond      float64   `json:"tokensPerSecond"`
	RoundTokensPerSecond []float64 `json:"roundTokensPerSecond"`
}

// Report is the outcome of a run.
type Report struct {
	Measurements []Measurement `json:"measures"`
	// AddedFirstTokenP50Us is the last target's median less the first one's.
	AddedFirstTokenP50Us int64 `json:"addedFirstTokenP50Us,omitempty"`
	// ThroughputRatio is the last target's tokens a second over the first's.
	ThroughputRatio float64 `json:"throughputRatio,omitempty"`
}

// Run reads all rounds. It returns an error when the options are wrong or ctx
// has ended; failed answers are counted in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts.SetDefaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: opts.Streams,
		DisableCompression:  true,
	}}
	defer client.CloseIdleConnections()
	gauges := make([]gauge, len(opts.Targets))
	for i := range gauges {
		gauges[i].histogram = hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)
	}
	for round := range opts.Rounds + 1 {
		for i, target := range opts.Targets {
			if ctx.Err() != nil {
				return nil, fault.Wrap("load.Run", Failed, ctx.Err())
			}
			result := runRound(ctx, client, &opts, target, round)
			if round > 0 {
				gauges[i].add(result, opts.Tokens)
			}
		}
	}
	return report(&opts, gauges), nil
}

// gauge gathers the rounds of one target.
type gauge struct {
	histogram *hdrhistogram.Histogram
	tokens    int
	elapsed   time.Duration
	rates     []float64
	errors    int
	first     error
}

func (g *gauge) add(r roundResult, tokens int) {
	whole := 0
	for _, a := range r.answers {
		if a.err != nil {
			g.errors++
			if g.first == nil {
				g.first = a.err
			}
			continue
		}
		whole++
		// The histogram reaches further than any answer's timeout.
		_ = g.histogram.RecordValue(max(1, a.firstToken.Microseconds()))
	}
	g.tokens += whole * tokens
	g.elapsed += r.elapsed
	g.rates = append(g.rates, float64(whole*tokens)/r.elapsed.Seconds())
}

func report(opts *Options, gauges []gauge) *Report {
	out := &Report{}
	for i := range gauges {
		g := &gauges[i]
		m := Measurement{
			Name:                 opts.Targets[i].Name,
			Streams:              opts.Streams,
			Tokens:               opts.Tokens,
			Errors:               g.errors,
			FirstTokenP50Us:      g.histogram.ValueAtQuantile(50),
			FirstTokenP95Us:      g.histogram.ValueAtQuantile(95),
			TokensPerSecond:      float64(g.tokens) / g.elapsed.Seconds(),
			RoundTokensPerSecond: g.rates,
		}
		if g.first != nil {
			m.FirstError = g.first.Error()
		}
		out.Measurements = append(out.Measurements, m)
	}
	if len(out.Measurements) > 1 {
		first, last := out.Measurements[0], out.Measurements[len(out.Measurements)-1]
		out.AddedFirstTokenP50Us = last.FirstTokenP50Us - first.FirstTokenP50Us
		out.ThroughputRatio = last.TokensPerSecond / first.TokensPerSecond
	}
	return out
}

// roundResult is one round of one target.
type roundResult struct {
	answers []reading
	elapsed time.Duration
}

// reading is one answer as it was read.
type reading struct {
	firstToken time.Duration
	body       bytes.Buffer
	err        error
}

// runRound reads all streams at once, and checks them afterwards, so that the
// checks do not slow the reading down.
func runRound(ctx context.Context, client *http.Client, opts *Options, target Target, round int) roundResult {
	result := roundResult{answers: make([]reading, opts.Streams)}
	var readers sync.WaitGroup
	start := time.Now()
	for i := range result.answers {
		readers.Go(func() {
			prompt := promptOf(opts, target, round, i)
			result.answers[i].err = result.answers[i].read(ctx, client, opts, target, prompt)
		})
	}
	readers.Wait()
	result.elapsed = time.Since(start)
	for i := range result.answers {
		a := &result.answers[i]
		if a.err == nil {
			a.err = a.check(opts, promptOf(opts, target, round, i))
		}
		a.body = bytes.Buffer{}
	}
	return result
}

func promptOf(opts *Options, target Target, round, stream int) string {
	return fmt.Sprintf("%s %d-%d-%d", target.Name, opts.Seed, round, stream)
}

// ask is what both an engine and an entry take.
type ask struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (a *reading) read(ctx context.Context, client *http.Client, opts *Options, target Target, prompt string) error {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	body, err := json.Marshal(ask{Model: opts.Model, Prompt: prompt, MaxTokens: opts.Tokens, Stream: true})
	if err != nil {
		return err
	}
	url := strings.TrimSuffix(target.URL, "/") + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if target.Key != "" {
		req.Header.Set("Authorization", "Bearer "+target.Key)
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, readBytes))
		return fmt.Errorf("status %d: %s", resp.StatusCode, detail)
	}
	return a.readBody(resp.Body, start)
}

// tokenMark is in each event with a token, as every token's text begins with a
// space.
var tokenMark = []byte(`":" `)

func (a *reading) readBody(body io.Reader, start time.Time) error {
	buf := make([]byte, readBytes)
	for {
		n, err := body.Read(buf)
		a.body.Write(buf[:n])
		if a.firstToken == 0 && bytes.Contains(a.body.Bytes(), tokenMark) {
			a.firstToken = time.Since(start)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// chunk is the part of an event that holds text.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// check compares the answer with the text that it must have.
func (a *reading) check(opts *Options, prompt string) error {
	var text strings.Builder
	done := false
	for line := range bytes.Lines(a.body.Bytes()) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return err
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Text)
		}
	}
	want := engine.Join(engine.Expect(opts.Model, opts.Version, "", prompt, opts.Tokens))
	switch {
	case !done:
		return errors.New("the stream was cut")
	case text.String() != want:
		return errors.New("the text is not the expected one")
	}
	return nil
}
