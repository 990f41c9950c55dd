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

// createCompletion serves POST /v1/completions.
func (a *api) createCompletion(w http.ResponseWriter, r *http.Request) {
	var req openai.CompletionRequest
	if !a.decode(w, r, &req) {
		return
	}
	spec := generation.Spec{Prompt: string(req.Prompt), MaxTokens: req.TokenLimit()}
	a.generate(w, r, &req.Sampling, spec)
}

// createChat serves POST /v1/chat/completions.
func (a *api) createChat(w http.ResponseWriter, r *http.Request) {
	var req openai.ChatRequest
	if !a.decode(w, r, &req) {
		return
	}
	// The messages are encoded again, so that whitespace and unknown members
	// affect neither the engine's cache nor the fingerprint.
	messages, err := json.Marshal(req.Messages)
	if err != nil {
		a.refuseBody(w, r, err)
		return
	}
	spec := generation.Spec{Messages: messages, MaxTokens: req.TokenLimit(contractOf(r).Limits.AnswerTokens)}
	a.generate(w, r, &req.Sampling, spec)
}

// decode decodes the body into req. If that fails, it writes a refusal and returns
// false.
func (a *api) decode(w http.ResponseWriter, r *http.Request, req any) bool {
	body, refusal := a.readBody(w, r, a.generationBodyLimit(contractOf(r)))
	if refusal != nil {
		a.refuse(w, r, refusal)
		return false
	}
	if err := json.Unmarshal(body, req); err != nil {
		a.refuseBody(w, r, err)
		return false
	}
	return true
}

// generate completes spec from s and the headers, opens the answer and writes it.
func (a *api) generate(w http.ResponseWriter, r *http.Request, s *openai.Sampling, spec generation.Spec) {
	a.metrics.requests.Mark(1)
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
	spec.Seed = a.seedFor(s)
	spec.RequestFingerprint = fingerprint(s, &spec)
	request := answer.GenerationRequest{Contract: c, Key: o.key, Buffered: !s.Stream, Spec: spec}

	started := a.deps.Clock.Now()
	reader, err := a.openAnswer(r.Context(), request, o.from)
	if err != nil {
		a.sendRefusal(w, refusalOf(err), "")
		return
	}
	defer reader.Close()
	d := delivery{api: a, reader: reader, started: started}
	if s.Stream {
		d.writeStream(w, r, o.from, s.WantsUsage())
		return
	}
	d.writeComplete(w, r)
}

// openAnswer opens the answer to a request. If the caller has already received a
// part of it, reading resumes after that part.
func (a *api) openAnswer(ctx context.Context, request answer.GenerationRequest, from position) (*answer.Reader, error) {
	reader, err := a.handlers.Open(ctx, request)
	if err != nil || from.next == 0 {
		return reader, err
	}
	defer reader.Close()
	rest, err := a.handlers.Resume(ctx, answer.ResumeRequest{
		Contract: request.Contract, Request: reader.Request, Lineage: from.lineage, From: from.next,
	})
	if err != nil {
		return nil, resumeRefusal(err)
	}
	if refusal := checkLineage(rest, &from); refusal != nil {
		rest.Close()
		return nil, refusal
	}
	return rest, nil
}

func (a *api) seedFor(s *openai.Sampling) int64 {
	if s.Seed != nil {
		return *s.Seed
	}
	return a.deps.NewSeed()
}

// checkSize checks the prompt and the answer length against the contract's limits.
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

// fingerprint returns the fingerprint of everything that the caller asked for. It
// leaves out a seed that the server chose, so that a repeated request without a
// seed has the same fingerprint although its seed differs.
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
