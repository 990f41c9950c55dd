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
	// inFlight is how long after a failure tokens may still arrive that were
	// sent before; an engine also ends the step that runs at a stall.
	inFlight = 20 * time.Millisecond
	// longestResume is the upper end of the histogram.
	longestResume = 10 * time.Minute
	// significantDigits is the histogram's precision.
	significantDigits = 3
	// boundFactor and boundExtra make the bound of a resume latency from its
	// expected time.
	boundFactor = 1.2
	boundExtra  = 20 * time.Millisecond
	microsPerMs = 1000
	// sameWords is how many words after a divergence tell a repeated or a
	// missing token from a foreign text.
	sameWords = 3
)

// Report is the outcome of a run.
type Report struct {
	Mode    Mode   `json:"prefer"`
	Seed    uint64 `json:"seed"`
	Answers int    `json:"answers"`
	// Exact, Missing, Repeated and Mixed sort the answers: whole, with tokens
	// left out, with tokens twice, with tokens of another text.
	Exact    int `json:"exact"`
	Missing  int `json:"missing"`
	Repeated int `json:"repeated"`
	Foreign  int `json:"mixed"`
	// FirstError is the error of one answer that is not exact.
	FirstError string `json:"firstError,omitempty"`
	// Failures counts the engines' failures, and Hits the answers that met one
	// each time with a token before it.
	Failures      int `json:"kills"`
	Interruptions int `json:"hits"`
	// Resume latencies are from the last token before the failure to the first
	// after it, at the caller.
	ResumeMsP50 float64 `json:"resumeMsP50"`
	ResumeMsP95 float64 `json:"resumeMsP95"`
	ResumeMsMax float64 `json:"resumeMsMax"`
	// WithinBound counts the hits whose next token came, after the failure,
	// within 1.2 × (prefill of prompt and held tokens + one step) + 20 ms.
	WithinBound int `json:"withinBound"`
	// UsefulTokens is what the requests compute without a failure, prompts
	// included; the ratios are parts of it.
	UsefulTokens int `json:"usefulTokens"`
	// ExtraRatio is the sum of PrefillExtra and DecodeExtra. HedgeExtra is the
	// part of it that races were given; CachedRatio is what came from caches
	// and is in none of them.
	ExtraRatio   float64 `json:"extraRatio"`
	PrefillExtra float64 `json:"prefillExtra"`
	DecodeExtra  float64 `json:"decodeExtra"`
	HedgeExtra   float64 `json:"hedgeExtra"`
	CachedRatio  float64 `json:"cachedRatio"`
	// ComputeExtra weighs the tokens by the engines' time: a prefilled token by
	// its cost, a decoded one by its part of a step that the mean number of
	// answers share.
	ComputeExtra float64 `json:"computeExtra"`
	Hedges       int     `json:"races"`
	// BudgetRefusals counts the refusals of the retry budget.
	BudgetRefusals int `json:"budgetWaits"`
}

func (r *run) report(callers []*caller) *Report {
	out := &Report{Mode: r.opts.Mode, Seed: r.opts.Seed, Failures: r.killer.made}
	resumes := hdrhistogram.New(1, longestResume.Microseconds(), significantDigits)
	prompts := map[string]int{}
	prefill, decode := 0, 0
	for _, c := range callers {
		out.sort(c)
		out.resumes(c, resumes, &r.opts.Costs)
		prompts[c.name] = protocol.PromptTokens(c.task.prompt)
		prefill += prompts[c.name]
		decode += c.task.tokens
	}
	out.ResumeMsP50 = float64(resumes.ValueAtQuantile(50)) / microsPerMs
	out.ResumeMsP95 = float64(resumes.ValueAtQuantile(95)) / microsPerMs
	out.ResumeMsMax = float64(resumes.Max()) / microsPerMs
	var done engine.Stats
	for _, e := range r.d.Engines {
		s := e.StandIn.Engine.Stats()
		done.PrefilledTokens += s.PrefilledTokens
		done.CachedTokens += s.CachedTokens
		done.DecodedTokens += s.DecodedTokens
	}
	out.UsefulTokens = prefill + decode
	useful := float64(out.UsefulTokens)
	out.PrefillExtra = float64(int(done.PrefilledTokens)-prefill) / useful
	out.DecodeExtra = float64(int(done.DecodedTokens)-decode) / useful
	out.ExtraRatio = out.PrefillExtra + out.DecodeExtra
	batch := max(1, float64(r.opts.Concurrency)/float64(r.opts.Engines))
	costs := &r.opts.Costs
	perPrefill := costs.Prefill.Seconds()
	perDecode := costs.Step.Seconds()/batch + costs.StepPerGeneration.Seconds()
	if base := float64(prefill)*perPrefill + float64(decode)*perDecode; base > 0 {
		out.ComputeExtra = useful * (out.PrefillExtra*perPrefill + out.DecodeExtra*perDecode) / base
	}
	out.CachedRatio = float64(done.CachedTokens) / useful
	raced := r.races.tokens
	for _, name := range r.races.prompts {
		raced += prompts[name]
	}
	out.HedgeExtra = float64(raced) / useful
	out.Hedges, out.BudgetRefusals = r.races.races, r.races.waits
	return out
}

// sort counts an answer by what its text is.
func (out *Report) sort(c *caller) {
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

// Difference is how a text differs from the expected one.
type Difference string

// Fates.
const (
	// MissingTokens means that tokens were left out, or the end.
	MissingTokens Difference = "missing"
	// RepeatedTokens means that tokens came twice.
	RepeatedTokens Difference = "repeated"
	// ForeignTokens means that tokens of another text came.
	ForeignTokens Difference = "mixed"
)

// Compare says how got, which is not want or has no end, differs from it.
func Compare(got, want []string) Difference {
	i := 0
	for i < len(got) && i < len(want) && got[i] == want[i] {
		i++
	}
	if i == len(got) {
		return MissingTokens
	}
	next := got[i:min(len(got), i+sameWords)]
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

// resumes records the resume latencies of a caller.
func (out *Report) resumes(c *caller, latencies *hdrhistogram.Histogram, costs *engine.Costs) {
	for _, hit := range c.hits {
		resumed, ok := c.arrivals.FindResumption(hit, inFlight+costs.Step+costs.StepPerGeneration)
		if !ok {
			continue
		}
		out.Interruptions++
		// The histogram reaches further than any answer lasts.
		_ = latencies.RecordValue(max(1, resumed.Gap.Microseconds()))
		tokens := protocol.PromptTokens(c.task.prompt) + resumed.HeldTokens
		expected := time.Duration(tokens)*costs.Prefill + costs.Step + costs.StepPerGeneration
		if resumed.SinceFailure <= time.Duration(boundFactor*float64(expected))+boundExtra {
			out.WithinBound++
		}
	}
}

// TokenTimes has the time at which a caller first had each number of tokens.
type TokenTimes []time.Time

// Resumption is how an answer went on after a failure.
type Resumption struct {
	// HeldTokens is the number of tokens that the caller had when the answer stopped.
	HeldTokens int
	// Gap is the time from the last of them to the next token, and After that
	// from the failure to it.
	Gap, SinceFailure time.Duration
}

// FindResumption returns the longest pause that began before the failure or with the
// tokens that arrived within inFlight after it. It is false for a failure
// before the first token or after the last one.
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
