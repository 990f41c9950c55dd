package openai

import (
	"encoding/json"
	"strings"
)

// unsupported holds the published fields that would change the answer and that
// foxtailward cannot honour.
type unsupported struct {
	N                json.RawMessage `json:"n"`
	BestOf           json.RawMessage `json:"best_of"`
	Echo             json.RawMessage `json:"echo"`
	Suffix           json.RawMessage `json:"suffix"`
	Logprobs         json.RawMessage `json:"logprobs"`
	TopLogprobs      json.RawMessage `json:"top_logprobs"`
	LogitBias        json.RawMessage `json:"logit_bias"`
	PresencePenalty  json.RawMessage `json:"presence_penalty"`
	FrequencyPenalty json.RawMessage `json:"frequency_penalty"`
	Tools            json.RawMessage `json:"tools"`
	Functions        json.RawMessage `json:"functions"`
	ResponseFormat   json.RawMessage `json:"response_format"`
	Modalities       json.RawMessage `json:"modalities"`
	Audio            json.RawMessage `json:"audio"`
	ReasoningEffort  json.RawMessage `json:"reasoning_effort"`
	Verbosity        json.RawMessage `json:"verbosity"`
	WebSearchOptions json.RawMessage `json:"web_search_options"`
}

// rule says which values of an unsupported field are harmless.
type rule struct {
	field string
	value json.RawMessage
	// harmless is a further value that asks for nothing, without spaces.
	harmless string
}

func (u *unsupported) rules() []rule {
	return []rule{
		{"n", u.N, "1"},
		{"best_of", u.BestOf, "1"},
		{"echo", u.Echo, ""},
		{"suffix", u.Suffix, ""},
		{"logprobs", u.Logprobs, ""},
		{"top_logprobs", u.TopLogprobs, ""},
		{"logit_bias", u.LogitBias, ""},
		{"presence_penalty", u.PresencePenalty, ""},
		{"frequency_penalty", u.FrequencyPenalty, ""},
		{"tools", u.Tools, ""},
		{"functions", u.Functions, ""},
		{"response_format", u.ResponseFormat, `{"type":"text"}`},
		{"modalities", u.Modalities, `["text"]`},
		{"audio", u.Audio, ""},
		{"reasoning_effort", u.ReasoningEffort, ""},
		{"verbosity", u.Verbosity, ""},
		{"web_search_options", u.WebSearchOptions, ""},
	}
}

func (u *unsupported) validate() *FieldError {
	for _, r := range u.rules() {
		if r.allowed() {
			continue
		}
		if r.harmless != "" {
			return invalid(r.field, "is not supported; want %s or leave it out", r.harmless)
		}
		return invalid(r.field, "is not supported; leave it out")
	}
	return nil
}

func (r *rule) allowed() bool {
	// n and best_of of 0 are wrong in the published API as well.
	if r.harmless == "1" {
		s := string(r.value)
		return s == "" || s == "null" || s == "1"
	}
	if isNeutral(r.value) {
		return true
	}
	return r.harmless != "" && withoutSpaces(r.value) == r.harmless
}

func withoutSpaces(data json.RawMessage) string {
	return strings.Join(strings.Fields(string(data)), "")
}
