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

// Sampling holds the fields that completion and chat requests have in common.
type Sampling struct {
	Model string `json:"model"`
	// Temperature is between 0 and 2, and TopP between 0 and 1. Nil means the
	// default.
	Temperature *float64 `json:"temperature"`
	TopP        *float64 `json:"top_p"`
	// Seed makes sampling repeatable. If it is nil, the server chooses one.
	Seed          *int64         `json:"seed"`
	Stop          Stop           `json:"stop"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options"`
	unsupported
}

// StreamOptions are options for a stream's contents.
type StreamOptions struct {
	// IncludeUsage requests an event with the usage before the end.
	IncludeUsage bool `json:"include_usage"`
}

// WantsUsage reports whether the stream has an event with the usage before its end.
func (s *Sampling) WantsUsage() bool {
	return s.StreamOptions != nil && s.StreamOptions.IncludeUsage
}

// TemperatureOrDefault returns the temperature to sample with.
func (s *Sampling) TemperatureOrDefault() float64 { return valueOr(s.Temperature, defaultTemperature) }

// TopPOrDefault returns the probability mass for nucleus sampling.
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
		return newFieldError("model", "is missing; want the name of a model")
	case outOfRange(s.Temperature, 2):
		return newFieldError("temperature", "is %v; want 0 to 2", *s.Temperature)
	case outOfRange(s.TopP, 1):
		return newFieldError("top_p", "is %v; want 0 to 1", *s.TopP)
	case s.StreamOptions != nil && !s.Stream:
		return newFieldError("stream_options", "is set; want it only with stream: true")
	}
	if err := s.Stop.validate(); err != nil {
		return err
	}
	return s.unsupported.validate()
}

func outOfRange(v *float64, limit float64) bool {
	return v != nil && (math.IsNaN(*v) || *v < 0 || *v > limit)
}

// CompletionRequest requests a completion of a prompt.
type CompletionRequest struct {
	Sampling
	Prompt Prompt `json:"prompt"`
	// MaxTokens is the maximum length of the answer in tokens. Nil means the
	// default.
	MaxTokens *int `json:"max_tokens"`
}

// UnmarshalJSON decodes and validates a request.
func (r *CompletionRequest) UnmarshalJSON(data []byte) error {
	const op = "CompletionRequest.UnmarshalJSON"
	type plain CompletionRequest
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return firstError(op, fieldErrorOf(err))
	}
	return firstError(op,
		r.Sampling.validate(),
		r.Prompt.validate(),
		checkTokens("max_tokens", r.MaxTokens))
}

// TokenLimit returns the maximum length of the answer in tokens.
func (r *CompletionRequest) TokenLimit() int { return valueOr(r.MaxTokens, defaultCompletionTokens) }

// ChatRequest requests the next message of a chat.
type ChatRequest struct {
	Sampling
	Messages Messages `json:"messages"`
	// MaxTokens and MaxCompletionTokens are the old and the new name for the
	// maximum length of the answer in tokens.
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
}

// UnmarshalJSON decodes and validates a request.
func (r *ChatRequest) UnmarshalJSON(data []byte) error {
	const op = "ChatRequest.UnmarshalJSON"
	type plain ChatRequest
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return firstError(op, fieldErrorOf(err))
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
		return newFieldError("max_completion_tokens", "is %d and max_tokens is %d; want only one of them",
			*r.MaxCompletionTokens, *r.MaxTokens)
	}
	return nil
}

// TokenLimit returns the maximum length of the answer in tokens. It is defaultLimit
// if the request has none.
func (r *ChatRequest) TokenLimit(defaultLimit int) int {
	if r.MaxCompletionTokens != nil {
		return *r.MaxCompletionTokens
	}
	return valueOr(r.MaxTokens, defaultLimit)
}

func checkTokens(field string, n *int) *FieldError {
	if n != nil && (*n < 1 || *n > maxTokens) {
		return newFieldError(field, "is %d; want at least 1", *n)
	}
	return nil
}

// Prompt is the text to complete.
type Prompt string

// UnmarshalJSON decodes a string. The lists that the published API also allows are
// not supported.
func (p *Prompt) UnmarshalJSON(data []byte) error {
	if data[0] != '"' {
		return newFieldError("prompt", "is %s; want one string", jsonTypeOf(data))
	}
	return json.Unmarshal(data, (*string)(p))
}

func (p Prompt) validate() *FieldError {
	if p == "" {
		return newFieldError("prompt", "is missing or empty; want one string")
	}
	return nil
}

// Stop lists the stop strings, which end an answer.
type Stop []string

// UnmarshalJSON decodes null, a string or a list of strings.
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
		return newFieldError("stop", "is %s; want a string or a list of strings", jsonTypeOf(data))
	}
	return nil
}

func (s Stop) validate() *FieldError {
	if len(s) > maxStopStrings {
		return newFieldError("stop", "holds %d strings; want at most %d", len(s), maxStopStrings)
	}
	for i, text := range s {
		if text == "" || len(text) > maxStopStringBytes {
			return newFieldError(fmt.Sprintf("stop[%d]", i), "has %d bytes; want 1 to %d", len(text), maxStopStringBytes)
		}
	}
	return nil
}

// fieldErrorOf converts an error of encoding/json to a FieldError.
func fieldErrorOf(err error) *FieldError {
	switch e := err.(type) {
	case *FieldError:
		return e
	case *json.UnmarshalTypeError:
		if e.Field == "" {
			return newFieldError("body", "is %s; want a JSON object", withArticle(e.Value))
		}
		return newFieldError(strings.TrimPrefix(e.Field, "Sampling."), "is %s; want %s", withArticle(e.Value), expectedType(e))
	case *json.SyntaxError:
		return newFieldError("body", "is not JSON: %v at byte %d", e, e.Offset)
	default:
		return newFieldError("body", "cannot be decoded: %v", err)
	}
}

func withArticle(value string) string {
	switch value {
	case "array", "object":
		return "an " + value
	default:
		return "a " + value
	}
}

// expectedType names the JSON type that the Go field requires.
func expectedType(e *json.UnmarshalTypeError) string {
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

func jsonTypeOf(data []byte) string {
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

// isNeutral reports whether a value has no effect.
func isNeutral(data json.RawMessage) bool {
	switch string(bytes.TrimSpace(data)) {
	case "", "null", "false", "0", "0.0", "[]", "{}", `""`:
		return true
	}
	return false
}
