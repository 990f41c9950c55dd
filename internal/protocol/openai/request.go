package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Defaults of the published API.
const (
	defaultCompletionTokens = 16
	defaultTemperature      = 1
	defaultTopP             = 1
)

// Sampling is what completions and chats have in common.
type Sampling struct {
	Model string `json:"model"`
	// Temperature is 0 to 2, TopP 0 to 1; nil means the default.
	Temperature *float64 `json:"temperature"`
	TopP        *float64 `json:"top_p"`
	// Seed makes sampling repeatable; nil lets the server choose.
	Seed          *int64         `json:"seed"`
	Stop          Stop           `json:"stop"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options"`
	unsupported
}

// StreamOptions changes what a stream carries.
type StreamOptions struct {
	// IncludeUsage asks for an event with the usage before the end.
	IncludeUsage bool `json:"include_usage"`
}

// WantsUsage reports whether the stream ends with an event for the usage.
func (s *Sampling) WantsUsage() bool {
	return s.StreamOptions != nil && s.StreamOptions.IncludeUsage
}

// TemperatureOrDefault returns the temperature to sample with.
func (s *Sampling) TemperatureOrDefault() float64 { return valueOr(s.Temperature, defaultTemperature) }

// TopPOrDefault returns the share of probability to sample from.
func (s *Sampling) TopPOrDefault() float64 { return valueOr(s.TopP, defaultTopP) }

func valueOr[T any](p *T, value T) T {
	if p == nil {
		return value
	}
	return *p
}

func (s *Sampling) validate() *FieldError {
	switch {
	case s.Model == "":
		return invalid("model", "is missing; want the name of a model")
	case outside(s.Temperature, 2):
		return invalid("temperature", "is %v; want 0 to 2", *s.Temperature)
	case outside(s.TopP, 1):
		return invalid("top_p", "is %v; want 0 to 1", *s.TopP)
	case s.StreamOptions != nil && !s.Stream:
		return invalid("stream_options", "is set; want it only with stream: true")
	}
	if err := s.Stop.validate(); err != nil {
		return err
	}
	return s.unsupported.validate()
}

func outside(v *float64, top float64) bool {
	return v != nil && (math.IsNaN(*v) || *v < 0 || *v > top)
}

// CompletionRequest asks for a completion of a prompt.
type CompletionRequest struct {
	Sampling
	Prompt Prompt `json:"prompt"`
	// MaxTokens is the longest answer, in tokens; nil means the default.
	MaxTokens *int `json:"max_tokens"`
}

// UnmarshalJSON decodes a request and checks it.
func (r *CompletionRequest) UnmarshalJSON(data []byte) error {
	const op = "CompletionRequest.UnmarshalJSON"
	type plain CompletionRequest
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return firstError(op, decodeProblem(err))
	}
	return firstError(op,
		r.Sampling.validate(),
		r.Prompt.validate(),
		checkTokens("max_tokens", r.MaxTokens))
}

// TokenLimit returns the longest answer, in tokens.
func (r *CompletionRequest) TokenLimit() int { return valueOr(r.MaxTokens, defaultCompletionTokens) }

// ChatRequest asks for the next message of a chat.
type ChatRequest struct {
	Sampling
	Messages Messages `json:"messages"`
	// MaxTokens and MaxCompletionTokens are the old and the new name of the
	// longest answer, in tokens.
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
}

// UnmarshalJSON decodes a request and checks it.
func (r *ChatRequest) UnmarshalJSON(data []byte) error {
	const op = "ChatRequest.UnmarshalJSON"
	type plain ChatRequest
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return firstError(op, decodeProblem(err))
	}
	return firstError(op,
		r.Sampling.validate(),
		r.Messages.validate(),
		checkTokens("max_tokens", r.MaxTokens),
		checkTokens("max_completion_tokens", r.MaxCompletionTokens),
		r.checkOneLimit())
}

func (r *ChatRequest) checkOneLimit() *FieldError {
	if r.MaxTokens != nil && r.MaxCompletionTokens != nil && *r.MaxTokens != *r.MaxCompletionTokens {
		return invalid("max_completion_tokens", "is %d and max_tokens is %d; want only one of them",
			*r.MaxCompletionTokens, *r.MaxTokens)
	}
	return nil
}

// TokenLimit returns the longest answer, in tokens, or otherwise when the request
// names none.
func (r *ChatRequest) TokenLimit(otherwise int) int {
	if r.MaxCompletionTokens != nil {
		return *r.MaxCompletionTokens
	}
	return valueOr(r.MaxTokens, otherwise)
}

func checkTokens(field string, n *int) *FieldError {
	if n != nil && (*n < 1 || *n > maxTokens) {
		return invalid(field, "is %d; want at least 1", *n)
	}
	return nil
}

// Prompt is the text to complete.
type Prompt string

// UnmarshalJSON reads a string and nothing else.
func (p *Prompt) UnmarshalJSON(data []byte) error {
	if data[0] != '"' {
		return invalid("prompt", "is %s; want one string", kindOfJSON(data))
	}
	return json.Unmarshal(data, (*string)(p))
}

func (p Prompt) validate() *FieldError {
	if p == "" {
		return invalid("prompt", "is missing or empty; want one string")
	}
	return nil
}

// Stop lists the texts that end an answer.
type Stop []string

// UnmarshalJSON reads null, a string or a list of strings.
func (s *Stop) UnmarshalJSON(data []byte) error {
	switch data[0] {
	case 'n':
		*s = nil
		return nil
	case '"':
		*s = make(Stop, 1)
		return json.Unmarshal(data, &(*s)[0])
	}
	if err := json.Unmarshal(data, (*[]string)(s)); err != nil {
		return invalid("stop", "is %s; want a string or a list of strings", kindOfJSON(data))
	}
	return nil
}

func (s Stop) validate() *FieldError {
	if len(s) > maxStops {
		return invalid("stop", "holds %d strings; want at most %d", len(s), maxStops)
	}
	for i, text := range s {
		if text == "" || len(text) > maxStopBytes {
			return invalid(fmt.Sprintf("stop[%d]", i), "has %d bytes; want 1 to %d", len(text), maxStopBytes)
		}
	}
	return nil
}

// decodeProblem names the field that an error of encoding/json is about.
func decodeProblem(err error) *FieldError {
	switch e := err.(type) {
	case *FieldError:
		return e
	case *json.UnmarshalTypeError:
		if e.Field == "" {
			return invalid("body", "is %s; want a JSON object", article(e.Value))
		}
		return invalid(strings.TrimPrefix(e.Field, "Sampling."), "is %s; want %s", article(e.Value), wantOf(e))
	case *json.SyntaxError:
		return invalid("body", "is not JSON: %v at byte %d", e, e.Offset)
	default:
		return invalid("body", "cannot be decoded: %v", err)
	}
}

func article(value string) string {
	switch value {
	case "array", "object":
		return "an " + value
	default:
		return "a " + value
	}
}

// wantOf names the JSON type that a Go field takes.
func wantOf(e *json.UnmarshalTypeError) string {
	switch e.Type.Kind().String() {
	case "int", "int64":
		return "a whole number"
	case "float64":
		return "a number"
	case "bool":
		return "true or false"
	case "string":
		return "a string"
	case "slice":
		return "a list"
	default:
		return "an object"
	}
}

func kindOfJSON(data []byte) string {
	switch data[0] {
	case '[':
		return "a list"
	case '{':
		return "an object"
	case '"':
		return "a string"
	case 't', 'f':
		return "true or false"
	case 'n':
		return "null"
	default:
		return "a number"
	}
}

// isNeutral reports whether a value asks for nothing.
func isNeutral(data json.RawMessage) bool {
	switch string(bytes.TrimSpace(data)) {
	case "", "null", "false", "0", "0.0", "[]", "{}", `""`:
		return true
	}
	return false
}
