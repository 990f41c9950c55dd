// Package load generates load: it reads many answers concurrently from a stand-in
// engine or through an entry, compares each with its expected text, and measures the
// time to the first token and the tokens per second.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Options{
//		Targets: []load.Target{{Name: "direct", URL: "http://127.0.0.1:9000"}},
//		Streams: 1000,
//		Tokens:  200,
//	})
//
// With several targets the rounds alternate between them, so that all targets are
// measured under the same conditions of the machine.
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
	// Invalid means that an option is invalid.
	Invalid Kind = "invalid"
	// Failed means that the context ended before the last round began.
	Failed Kind = "failed"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Limits of a run.
const (
	// maxTokens is the maximum number of tokens of one round. They are kept in memory
	// until the round ends.
	maxTokens = 4_000_000
	// maxLatency is the upper limit of the histogram.
	maxLatency = 10 * time.Minute
	// readSize is the size of the read buffer.
	readSize = 16 << 10
	// significantDigits is the precision of the histogram.
	significantDigits = 3
)

// Target is an engine or entry that answers are read from.
type Target struct {
	Name string
	// URL is the base URL of an engine or of the callers' API of an entry.
	URL string
	// Key is the bearer key for an entry; an engine needs none.
	Key string
}

// Options configures a run.
type Options struct {
	Targets []Target
	Model   string
	// Version is the model version for which the expected text is computed.
	Version string
	// Streams is the number of answers that are read concurrently.
	Streams int
	// Tokens is the length of each answer.
	Tokens int
	// Rounds is the number of measured rounds for each target. One warm-up round
	// precedes them.
	Rounds int
	// Seed makes the prompts different from those of other runs.
	Seed uint64
	// Timeout is the maximum time for one answer.
	Timeout time.Duration
}

// SetDefaults sets the options that are zero to their defaults.
func (o *Options) SetDefaults() {
	o.Model = cmp.Or(o.Model, "report")
	o.Version = cmp.Or(o.Version, "v1")
	o.Streams = cmp.Or(o.Streams, 1)
	o.Tokens = cmp.Or(o.Tokens, 100)
	o.Rounds = cmp.Or(o.Rounds, 1)
	o.Timeout = cmp.Or(o.Timeout, time.Minute)
}

// Validate returns an error that names the first invalid option.
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

// Measurement is the result for one target.
type Measurement struct {
	Name    string `json:"name"`
	Streams int    `json:"streams"`
	Tokens  int    `json:"tokens"`
	// Errors is the number of answers that were incomplete or wrong, and FirstError
	// the error of one of them.
	Errors     int    `json:"errors"`
	FirstError string `json:"firstError,omitempty"`
	// FirstTokenP50Us and FirstTokenP95Us are in microseconds, over all
	// answers.
	FirstTokenP50Us int64 `json:"firstTokenP50Us"`
	FirstTokenP95Us int64 `json:"firstTokenP95Us"`
	// TokensPerSecond is the rate over all rounds, RoundTokensPerSecond the rate of
	// each round.
	TokensPerSecond      float64   `json:"tokensPerSecond"`
	RoundTokensPerSecond []float64 `json:"roundTokensPerSecond"`
}

// Report is the result of a run.
type Report struct {
	Measurements []Measurement `json:"measures"`
	// AddedFirstTokenP50Us is the last target's FirstTokenP50Us minus the first one's.
	AddedFirstTokenP50Us int64 `json:"addedFirstTokenP50Us,omitempty"`
	// ThroughputRatio is the last target's TokensPerSecond divided by the first one's.
	ThroughputRatio float64 `json:"throughputRatio,omitempty"`
}

// Run reads all rounds. It returns an error if the options are invalid or ctx has
// ended. Failed answers are counted in the report.
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
	accumulators := make([]accumulator, len(opts.Targets))
	for i := range accumulators {
		accumulators[i].histogram = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	for round := range opts.Rounds + 1 {
		for i, target := range opts.Targets {
			if ctx.Err() != nil {
				return nil, fault.Wrap("load.Run", Failed, ctx.Err())
			}
			result := runRound(ctx, client, &opts, target, round)
			if round > 0 {
				accumulators[i].add(result, opts.Tokens)
			}
		}
	}
	return report(&opts, accumulators), nil
}

// accumulator sums up the rounds of one target.
type accumulator struct {
	histogram *hdrhistogram.Histogram
	tokens    int
	elapsed   time.Duration
	rates     []float64
	errors    int
	firstErr  error
}

func (acc *accumulator) add(r roundResult, tokens int) {
	complete := 0
	for _, a := range r.answers {
		if a.err != nil {
			acc.errors++
			if acc.firstErr == nil {
				acc.firstErr = a.err
			}
			continue
		}
		complete++
		// An error is possible only if Options.Timeout is above maxLatency; the answer
		// is then missing in the percentiles.
		_ = acc.histogram.RecordValue(max(1, a.firstToken.Microseconds()))
	}
	acc.tokens += complete * tokens
	acc.elapsed += r.elapsed
	acc.rates = append(acc.rates, float64(complete*tokens)/r.elapsed.Seconds())
}

func report(opts *Options, accumulators []accumulator) *Report {
	out := &Report{}
	for i := range accumulators {
		acc := &accumulators[i]
		m := Measurement{
			Name:                 opts.Targets[i].Name,
			Streams:              opts.Streams,
			Tokens:               opts.Tokens,
			Errors:               acc.errors,
			FirstTokenP50Us:      acc.histogram.ValueAtQuantile(50),
			FirstTokenP95Us:      acc.histogram.ValueAtQuantile(95),
			TokensPerSecond:      float64(acc.tokens) / acc.elapsed.Seconds(),
			RoundTokensPerSecond: acc.rates,
		}
		if acc.firstErr != nil {
			m.FirstError = acc.firstErr.Error()
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

// roundResult is the result of one round of one target.
type roundResult struct {
	answers []answer
	elapsed time.Duration
}

// answer is one answer as received.
type answer struct {
	firstToken time.Duration
	body       bytes.Buffer
	err        error
}

// runRound reads all streams concurrently and checks them afterwards, so that the
// checks don't slow down the reading.
func runRound(ctx context.Context, client *http.Client, opts *Options, target Target, round int) roundResult {
	result := roundResult{answers: make([]answer, opts.Streams)}
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

// completionRequest is the request body that engines and entries accept.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (a *answer) read(ctx context.Context, client *http.Client, opts *Options, target Target, prompt string) error {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	body, err := json.Marshal(completionRequest{Model: opts.Model, Prompt: prompt, MaxTokens: opts.Tokens, Stream: true})
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
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, readSize))
		return fmt.Errorf("status %d: %s", resp.StatusCode, detail)
	}
	return a.readBody(resp.Body, start)
}

// tokenMarker occurs in every event with a token, because the text of every token
// begins with a space.
var tokenMarker = []byte(`":" `)

func (a *answer) readBody(body io.Reader, start time.Time) error {
	buf := make([]byte, readSize)
	for {
		n, err := body.Read(buf)
		a.body.Write(buf[:n])
		if a.firstToken == 0 && bytes.Contains(a.body.Bytes(), tokenMarker) {
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

// check compares the answer with the expected text.
func (a *answer) check(opts *Options, prompt string) error {
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
		return errors.New("the stream ended before the end of the answer")
	case text.String() != want:
		return errors.New("the text is not the expected one")
	}
	return nil
}
