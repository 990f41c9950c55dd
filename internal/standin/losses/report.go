package losses

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/standin/engine"
)

const (
	// inFlightTime is the time after a failure during which tokens sent before it may
	// still arrive. The duration of a step is added to it, because a stalled engine
	// completes its current step.
	inFlightTime = 20 * time.Millisecond
	// maxResume is the upper limit of the histogram.
	maxResume = 10 * time.Minute
	// significantDigits is the precision of the histogram.
	significantDigits = 3
	// resumeBoundFactor and resumeBoundSlack define the bound of a resume latency: its
	// expected value × factor + slack.
	resumeBoundFactor = 1.2
	resumeBoundSlack  = 20 * time.Millisecond
	microsPerMs       = 1000
	// resyncTokens is the number of tokens after a difference that must occur in the
	// expected text for the difference to be a missing or repeated token and not a
	// foreign text.
	resyncTokens = 3
)

// Report is the result of a run.
type Report struct {
	Mode    Mode   `json:"prefer"`
	Seed    uint64 `json:"seed"`
	Answers int    `json:"answers"`
	// Exact, Missing, Repeated and Foreign count the answers that are complete and
	// correct, that lack tokens, that have repeated tokens, and that have tokens of
	// another text.
	Exact    int `json:"exact"`
	Missing  int `json:"missing"`
	Repeated int `json:"repeated"`
	Foreign  int `json:"mixed"`
	// FirstError is the error of one answer that is not exact.
	FirstError string `json:"firstError,omitempty"`
	// Failures is the number of engine failures. Interruptions is the number of times
	// that a failure interrupted an answer between two of its tokens.
	Failures      int `json:"kills"`
	Interruptions int `json:"hits"`
	// The resume latency is the time from the last token before a failure to the first
	// token after it, as seen by the caller.
	ResumeMsP50 float64 `json:"resumeMsP50"`
	ResumeMsP95 float64 `json:"resumeMsP95"`
	ResumeMsMax float64 `json:"resumeMsMax"`
	// WithinBound counts the interruptions whose next token came, after the failure,
	// within 1.2 × (prefill of prompt and held tokens + one step) + 20 ms.
	WithinBound int `json:"withinBound"`
	// UsefulTokens is the number of tokens that the requests need without failures,
	// prompts included. The ratios below are relative to it.
	UsefulTokens int `json:"usefulTokens"`
	// ExtraRatio is the sum of PrefillExtra and DecodeExtra. HedgeExtra is the part of
	// it that the second attempts of hedges had to compute. CachedRatio is for
	// the tokens that came from prefix caches, which none of the others include.
	ExtraRatio   float64 `json:"extraRatio"`
	PrefillExtra float64 `json:"prefillExtra"`
	DecodeExtra  float64 `json:"decodeExtra"`
	HedgeExtra   float64 `json:"hedgeExtra"`
	CachedRatio  float64 `json:"cachedRatio"`
	// ComputeExtra is the extra work weighted by engine time, relative to the work
	// without failures. A prefilled token counts with its cost. A decoded token counts
	// with its share of a step, whose time is divided by the mean number of concurrent
	// answers per engine, plus the time that a step takes per generation.
	ComputeExtra float64 `json:"computeExtra"`
	Hedges       int     `json:"races"`
	// BudgetRefusals is the number of refusals of the retry budget.
	BudgetRefusals int `json:"budgetWaits"`
}

func (r *run) report(callers []*caller) *Report {
	out := &Report{Mode: r.opts.Mode, Seed: r.opts.Seed, Failures: r.injector.injected}
	resumeLatencies := hdrhistogram.New(1, maxResume.Microseconds(), significantDigits)
	promptTokens := map[string]int{}
	prefill, decode := 0, 0
	for _, c := range callers {
		out.classify(c)
		out.recordResumptions(c, resumeLatencies, &r.opts.Costs)
		promptTokens[c.requestID] = protocol.PromptTokens(c.task.prompt)
		prefill += promptTokens[c.requestID]
		decode += c.task.tokens
	}
	out.ResumeMsP50 = float64(resumeLatencies.ValueAtQuantile(50)) / microsPerMs
	out.ResumeMsP95 = float64(resumeLatencies.ValueAtQuantile(95)) / microsPerMs
	out.ResumeMsMax = float64(resumeLatencies.Max()) / microsPerMs
	var total engine.Stats
	for _, e := range r.d.Engines {
		s := e.StandIn.Engine.Stats()
		total.PrefilledTokens += s.PrefilledTokens
		total.CachedTokens += s.CachedTokens
		total.DecodedTokens += s.DecodedTokens
	}
	out.UsefulTokens = prefill + decode
	useful := float64(out.UsefulTokens)
	out.PrefillExtra = float64(int(total.PrefilledTokens)-prefill) / useful
	out.DecodeExtra = float64(int(total.DecodedTokens)-decode) / useful
	out.ExtraRatio = out.PrefillExtra + out.DecodeExtra
	batch := max(1, float64(r.opts.Concurrency)/float64(r.opts.Engines))
	costs := &r.opts.Costs
	perPrefill := costs.Prefill.Seconds()
	perDecode := costs.Step.Seconds()/batch + costs.StepPerGeneration.Seconds()
	if base := float64(prefill)*perPrefill + float64(decode)*perDecode; base > 0 {
		out.ComputeExtra = useful * (out.PrefillExtra*perPrefill + out.DecodeExtra*perDecode) / base
	}
	out.CachedRatio = float64(total.CachedTokens) / useful
	hedged := r.hedgeLog.hedgedTokens
	for _, requestID := range r.hedgeLog.hedgedRequests {
		hedged += promptTokens[requestID]
	}
	out.HedgeExtra = float64(hedged) / useful
	out.Hedges, out.BudgetRefusals = r.hedgeLog.hedges, r.hedgeLog.budgetRefusals
	return out
}

// classify counts an answer as exact or by how its text differs.
func (out *Report) classify(c *caller) {
	out.Answers++
	want := engine.Join(engine.Expect(model, version, "", c.task.prompt, c.task.tokens))
	got := c.text.String()
	if got == want && c.err == nil {
		out.Exact++
		return
	}
	if out.FirstError == "" {
		out.FirstError = "the text is not the expected one"
		if c.err != nil {
			out.FirstError = c.err.Error()
		}
	}
	switch Compare(strings.Fields(got), strings.Fields(want)) {
	case MissingTokens:
		out.Missing++
	case RepeatedTokens:
		out.Repeated++
	default:
		out.Foreign++
	}
}

// Difference is the way in which a text differs from the expected one.
type Difference string

// Differences.
const (
	// MissingTokens means that tokens are missing, in the text or at its end.
	MissingTokens Difference = "missing"
	// RepeatedTokens means that tokens were repeated.
	RepeatedTokens Difference = "repeated"
	// ForeignTokens means that the text has tokens of another text.
	ForeignTokens Difference = "mixed"
)

// Compare returns how got differs from want. If got equals want but its stream was
// not complete, that is MissingTokens.
func Compare(got, want []string) Difference {
	i := 0
	for i < len(got) && i < len(want) && got[i] == want[i] {
		i++
	}
	if i == len(got) {
		return MissingTokens
	}
	next := got[i:min(len(got), i+resyncTokens)]
	for j := range want {
		if !slices.Equal(next, want[j:min(len(want), j+len(next))]) {
			continue
		}
		if j > i {
			return MissingTokens
		}
		return RepeatedTokens
	}
	return ForeignTokens
}

// recordResumptions records the resume latencies of one caller.
func (out *Report) recordResumptions(c *caller, latencies *hdrhistogram.Histogram, costs *engine.Costs) {
	for _, failed := range c.failures {
		resumption, ok := c.tokenTimes.FindResumption(failed, inFlightTime+costs.Step+costs.StepPerGeneration)
		if !ok {
			continue
		}
		out.Interruptions++
		// No error is possible: the histogram's limit is above the time of any answer.
		_ = latencies.RecordValue(max(1, resumption.Gap.Microseconds()))
		tokens := protocol.PromptTokens(c.task.prompt) + resumption.HeldTokens
		expected := time.Duration(tokens)*costs.Prefill + costs.Step + costs.StepPerGeneration
		if resumption.SinceFailure <= time.Duration(resumeBoundFactor*float64(expected))+resumeBoundSlack {
			out.WithinBound++
		}
	}
}

// TokenTimes has at index n-1 the time at which a caller first had n tokens.
type TokenTimes []time.Time

// Resumption describes how an answer continued after a failure.
type Resumption struct {
	// HeldTokens is the number of tokens that the caller had when the answer paused.
	HeldTokens int
	// Gap is the time from the last of these tokens to the next one, and SinceFailure
	// the time from the failure to the next one.
	Gap, SinceFailure time.Duration
}

// FindResumption returns the longest pause that ended after the failure and began
// before it or with a token that arrived within inFlight after it. ok is false for a
// failure before the first token or after the last one.
func (a TokenTimes) FindResumption(failed time.Time, inFlight time.Duration) (r Resumption, ok bool) {
	if len(a) == 0 || a[0].After(failed) {
		return r, false
	}
	for i := 1; i < len(a); i++ {
		last, next := a[i-1], a[i]
		if !next.After(failed) {
			continue
		}
		if last.After(failed.Add(inFlight)) {
			break
		}
		if pause := next.Sub(last); !ok || pause > r.Gap {
			r, ok = Resumption{HeldTokens: i, Gap: pause, SinceFailure: next.Sub(failed)}, true
		}
	}
	return r, ok
}
