package openai

import (
	"encoding/json"
	"strings"
)

// unsupported holds the fields of the published API that would change the answer and
// that foxtailward does not support.
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

// unsupportedField is an unsupported field with the values that have no effect and
// are therefore accepted.
type unsupportedField struct {
	field string
	value json.RawMessage
	// allowedValue is an accepted value, without whitespace, besides those of
	// isNeutral. It is "" if there is none.
	allowedValue string
}

func (u *unsupported) fields() []unsupportedField {
	return []unsupportedField{
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
	for _, f := range u.fields() {
		if f.allowed() {
			continue
		}
		if f.allowedValue != "" {
			return newFieldError(f.field, "is not supported; want %s or leave it out", f.allowedValue)
		}
		return newFieldError(f.field, "is not supported; leave it out")
	}
	return nil
}

func (f *unsupportedField) allowed() bool {
	// For n and best_of, 0 is not neutral but invalid, as in the published API.
	if f.allowedValue == "1" {
		s := string(f.value)
		return s == "" || s == "null" || s == "1"
	}
	if isNeutral(f.value) {
		return true
	}
	return f.allowedValue != "" && withoutSpaces(f.value) == f.allowedValue
}

// withoutSpaces removes all whitespace.
func withoutSpaces(data json.RawMessage) string {
	return strings.Join(strings.Fields(string(data)), "")
}
