// Package generation defines the data of a text generation by a model: the
// request to the model, the generated tokens and how the generation ended.
//
// # Usage
//
//	spec := generation.Spec{Model: "report", Prompt: "…", MaxTokens: 400}
//	if err := spec.Validate(); err != nil { … }
//	sum := generation.Checksum(0)
//	sum = sum.Add(token)
package generation

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that a value violates a rule of its type.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Class is the urgency of a request. Engines receive it as a priority.
type Class string

// Classes, from the most to the least urgent.
const (
	// Short is for interactive requests, whose user waits in front of a screen.
	Short Class = "short"
	// Standard is for requests whose caller waits for the answer.
	Standard Class = "standard"
	// Long is for requests that may be delayed but must finish.
	Long Class = "long"
)

// Priority returns the engine priority of c; a lower number goes first.
func (c Class) Priority() int {
	switch c {
	case Short:
		return 0
	case Long:
		return 2
	default:
		return 1
	}
}

// Valid reports whether c is a known class.
func (c Class) Valid() bool {
	return c == Short || c == Standard || c == Long
}

// Preference says whether recovery keeps the latency or the cost low.
type Preference string

// Preferences of recovery.
const (
	// PreferLatency resumes as fast as possible and accepts more computation.
	PreferLatency Preference = "latency"
	// PreferCost computes as little as possible and accepts a longer wait.
	PreferCost Preference = "cost"
)

// Valid reports whether p is a known preference.
func (p Preference) Valid() bool {
	return p == PreferLatency || p == PreferCost
}

// Spec is what a request requires of a model. It is the same for all attempts.
type Spec struct {
	Request   id.Request  `json:"request"`
	Contract  id.Contract `json:"contract"`
	Model     id.Model    `json:"model"`
	Version   id.Version  `json:"version"`
	Adapter   id.Adapter  `json:"adapter,omitempty"`
	Lineage   id.Lineage  `json:"lineage"`
	Class     Class       `json:"class"`
	Prefer    Preference  `json:"prefer"`
	MaxTokens int         `json:"maxTokens"`
	// Prompt is set for a completion, Messages for a chat.
	Prompt   string          `json:"prompt,omitempty"`
	Messages json.RawMessage `json:"messages,omitempty"`
	// Temperature, TopP and Seed are passed to the engine unchanged.
	Temperature float64  `json:"temperature"`
	TopP        float64  `json:"topP"`
	Seed        int64    `json:"seed"`
	Stop        []string `json:"stop,omitempty"`
	// RestartAllowed says that the caller accepts a new text from the start if
	// the current one cannot be continued.
	RestartAllowed bool `json:"restartAllowed,omitempty"`
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time `json:"deadline,omitzero"`
	// RequestFingerprint covers everything that the caller requested, in the form
	// in which it was requested. A request that reuses an idempotency key with
	// another fingerprint is a conflict.
	RequestFingerprint id.Fingerprint `json:"asked,omitempty"`
}

// bytesPerToken is the assumed length of the prompt text of one token, for
// estimates before an engine has counted the tokens.
const bytesPerToken = 4

// PromptTokens estimates the number of tokens in the prompt.
func (s *Spec) PromptTokens() int {
	return (len(s.Prompt) + len(s.Messages) + bytesPerToken - 1) / bytesPerToken
}

// Fingerprint returns a hash of what s requires of the engine: the model, adapter,
// prompt or messages, and MaxTokens. It does not depend on the id of the request.
func (s *Spec) Fingerprint() id.Fingerprint {
	return id.FingerprintOf(string(s.Model), string(s.Adapter), s.Prompt, string(s.Messages),
		strconv.Itoa(s.MaxTokens))
}

// Validate returns an error that names the first field that violates a rule.
func (s *Spec) Validate() error {
	switch {
	case s.Model == "":
		return fault.New("Spec.Validate", Invalid, "model is empty")
	case s.Prompt == "" && len(s.Messages) == 0:
		return fault.New("Spec.Validate", Invalid, "prompt and messages are both empty")
	case s.Prompt != "" && len(s.Messages) != 0:
		return fault.New("Spec.Validate", Invalid, "prompt and messages are both set")
	case s.MaxTokens < 1:
		return fault.New("Spec.Validate", Invalid, "maxTokens is %d, want at least 1", s.MaxTokens)
	case !s.Class.Valid():
		return fault.New("Spec.Validate", Invalid, "class is %q, want short, standard or long", s.Class)
	case !s.Prefer.Valid():
		return fault.New("Spec.Validate", Invalid, "prefer is %q, want latency or cost", s.Prefer)
	case math.IsNaN(s.Temperature) || s.Temperature < 0 || s.Temperature > 2:
		return fault.New("Spec.Validate", Invalid, "temperature is %v, want 0 to 2", s.Temperature)
	case math.IsNaN(s.TopP) || s.TopP < 0 || s.TopP > 1:
		return fault.New("Spec.Validate", Invalid, "topP is %v, want 0 to 1", s.TopP)
	}
	return nil
}

// Token is one token of an answer: its number in the model's vocabulary and its
// text.
type Token struct {
	ID   uint32 `json:"id"`
	Text string `json:"text"`
}

// FinishReason says why a generation ended.
type FinishReason string

// Reasons, as the OpenAI-compatible API names them.
const (
	// Stop means that the model ended the answer.
	Stop FinishReason = "stop"
	// Length means that the answer reached its maximum length.
	Length FinishReason = "length"
)

// Valid reports whether r is a known reason.
func (r FinishReason) Valid() bool { return r == Stop || r == Length }

// Finish describes how an answer ended. TokenCount and Checksum cover all tokens
// of the answer, including those of earlier attempts.
type Finish struct {
	Reason     FinishReason  `json:"reason"`
	TokenCount id.TokenIndex `json:"count"`
	Checksum   Checksum      `json:"checksum"`
	// PromptTokens is the number of tokens in the prompt, as counted by the engine.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens is how many prompt and prefix tokens were taken from a cache.
	CachedTokens int `json:"cached"`
	// PrefilledTokens is how many prompt and prefix tokens were computed.
	PrefilledTokens int `json:"prefilled"`
	// DecodedTokens is how many tokens this attempt generated.
	DecodedTokens int `json:"decoded"`
}

// Checksum is a running hash of the tokens of an answer, in order.
type Checksum uint64

// Add returns the checksum of the tokens that s covers followed by t.
func (s Checksum) Add(t Token) Checksum {
	var head [12]byte
	binary.LittleEndian.PutUint64(head[:8], uint64(s))
	binary.LittleEndian.PutUint32(head[8:], t.ID)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(t.Text)
	return Checksum(d.Sum64())
}

// ChecksumOf returns the checksum of tokens.
func ChecksumOf(tokens []Token) Checksum {
	var s Checksum
	for _, t := range tokens {
		s = s.Add(t)
	}
	return s
}
