package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// completion serves POST /v1/completions.
func (a *api) completion(w http.ResponseWriter, r *http.Request) {
	var req openai.CompletionRequest
	if !a.decode(w, r, &req) {
		return
	}
	spec := generation.Spec{Prompt: string(req.Prompt), MaxTokens: req.TokenLimit()}
	a.generate(w, r, &req.Sampling, spec)
}

// chat serves POST /v1/chat/completions.
func (a *api) chat(w http.ResponseWriter, r *http.Request) {
	var req openai.ChatRequest
	if !a.decode(w, r, &req) {
		return
	}
	// The messages are written anew, so that spaces and unknown members make
	// no difference to the engine's cache or to a fingerprint.
	messages, err := json.Marshal(req.Messages)
	if err != nil {
		a.refuseDecode(w, r, err)
		return
	}
	spec := generation.Spec{Messages: messages, MaxTokens: req.TokenLimit(contractOf(r).Limits.AnswerTokens)}
	a.generate(w, r, &req.Sampling, spec)
}

// decode reads the body into req and reports whether it is in order.
func (a *api) decode(w http.ResponseWriter, r *http.Request, req any) bool {
	body, refusal := a.readBody(w, r, a.promptLimit(contractOf(r)))
	if refusal != nil {
		a.refuse(w, r, refusal)
		return false
	}
	if err := json.Unmarshal(body, req); err != nil {
		a.refuseDecode(w, r, err)
		return false
	}
	return true
}

// generate opens an answer for spec, completed by s, and writes it.
func (a *api) generate(w http.ResponseWriter, r *http.Request, s *openai.Sampling, spec generation.Spec) {
	a.gauges.requests.Mark(1)
	c := contractOf(r)
	o, refusal := a.options(r.Header)
	if refusal == nil {
		refusal = checkSize(c, &spec)
	}
	if refusal == nil && o.from.next > 0 && (o.key == "" || !s.Stream) {
		refusal = answer.NewRefusal(answer.CauseInvalid, "%s needs an %s and a stream", headerLastEventID, headerKey)
	}
	if refusal != nil {
		a.refuse(w, r, refusal)
		return
	}
	spec.Contract = c.Name
	spec.Model = id.Model(s.Model)
	spec.Temperature = s.TemperatureOrDefault()
	spec.TopP = s.TopPOrDefault()
	spec.Stop = s.Stop
	spec.RestartAllowed = o.restartAllowed
	spec.Deadline = o.deadline
	spec.Seed = a.seed(s)
	spec.RequestFingerprint = fingerprint(s, &spec)
	ask := answer.GenerationRequest{Contract: c, Key: o.key, Buffered: !s.Stream, Spec: spec}

	started := a.tools.Clock.Now()
	reader, err := a.open(r.Context(), ask, o.from)
	if err != nil {
		a.send(w, refusalOf(err), "")
		return
	}
	defer reader.Close()
	d := delivery{api: a, reader: reader, started: started}
	if s.Stream {
		d.stream(w, r, o.from, s.WantsUsage())
		return
	}
	d.whole(w, r)
}

// open opens the answer of ask. A caller that comes back with its key goes on
// after what it has seen.
func (a *api) open(ctx context.Context, ask answer.GenerationRequest, from position) (*answer.Reader, error) {
	reader, err := a.desk.Open(ctx, ask)
	if err != nil || from.next == 0 {
		return reader, err
	}
	defer reader.Close()
	rest, err := a.desk.Resume(ctx, answer.ResumeRequest{
		Contract: ask.Contract, Request: reader.Request, Lineage: from.lineage, From: from.next,
	})
	if err != nil {
		return nil, refusalOfAnswer(err)
	}
	if refusal := checkLineage(rest, &from); refusal != nil {
		rest.Close()
		return nil, refusal
	}
	return rest, nil
}

func (a *api) seed(s *openai.Sampling) int64 {
	if s.Seed != nil {
		return *s.Seed
	}
	return a.tools.NewSeed()
}

// checkSize holds the request against the contract's lengths.
func checkSize(c *contract.Contract, spec *generation.Spec) *answer.Refusal {
	size := len(spec.Prompt) + len(spec.Messages)
	if size > c.Limits.PromptBytes {
		return answer.NewRefusal(answer.CauseTooLarge, "the prompt has %d bytes; the contract allows %d", size, c.Limits.PromptBytes)
	}
	if spec.MaxTokens > c.Limits.AnswerTokens {
		return answer.NewRefusal(answer.CauseInvalid, "max_tokens is %d; the contract allows %d", spec.MaxTokens, c.Limits.AnswerTokens)
	}
	return nil
}

// fingerprint covers all that the caller asked for. A seed that the caller
// leaves open is the same each time.
func fingerprint(s *openai.Sampling, spec *generation.Spec) id.Fingerprint {
	seed := "open"
	if s.Seed != nil {
		seed = strconv.FormatInt(*s.Seed, 10)
	}
	return id.FingerprintOf(
		string(spec.Model), spec.Prompt, string(spec.Messages), strconv.Itoa(spec.MaxTokens),
		fmt.Sprint(spec.Temperature, spec.TopP, spec.RestartAllowed), seed,
		strings.Join(spec.Stop, "\x00"))
}
