// Package generation holds what a generation is made of: what was asked for,
// the tokens that came, and how it ended.
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

// Invalid means that a value breaks a rule of its type.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Class is how urgent a request is. Engines get it as a priority.
type Class string

// Classes, from the most to the least urgent.
const (
	// Short is for questions whose caller waits in front of a screen.
	Short Class = "short"
	// Standard is for work that a caller waits for.
	Standard Class = "standard"
	// Long is for work that may wait but must finish.
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

// Preference says which measure recovery spends on.
type Preference string

// The two preferences of the brief's measures.
const (
	// PreferLatency resumes as fast as possible and may compute more.
	PreferLatency Preference = "latency"
	// PreferCost computes as little as possible and may wait longer.
	PreferCost Preference = "cost"
)

// Valid reports whether p is a known preference.
func (p Preference) Valid() bool {
	return p == PreferLatency || p == PreferCost
}

// Spec is what a request asks a model for. It is the same for each attempt.
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
	// Temperature, TopP and Seed are given to the engine as they are.
	Temperature float64  `json:"temperature"`
	TopP        float64  `json:"topP"`
	Seed        int64    `json:"seed"`
	Stop        []string `json:"stop,omitempty"`
	// RestartAllowed says that the caller accepts a new text from the start
	// when the old one cannot go on.
	RestartAllowed bool `json:"restartAllowed,omitempty"`
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time `json:"deadline,omitzero"`
	// RequestFingerprint covers all that the caller asked for, in the form it asked. An
	// idempotency key that comes back with another one is a conflict.
	RequestFingerprint id.Fingerprint `json:"asked,omitempty"`
}

// bytesPerToken is the length of prompt text that one token covers, for
// estimates before an engine has counted.
const bytesPerToken = 4

// PromptTokens estimates the number of tokens in the prompt.
func (s *Spec) PromptTokens() int {
	return (len(s.Prompt) + len(s.Messages) + bytesPerToken - 1) / bytesPerToken
}

// Fingerprint identifies what s asks the engine for, whatever its request id.
func (s *Spec) Fingerprint() id.Fingerprint {
	return id.FingerprintOf(string(s.Model), string(s.Adapter), s.Prompt, string(s.Messages),
		strconv.Itoa(s.MaxTokens))
}

// Validate returns an error that names the first field that breaks a rule.
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

// Token is one token of an answer: the engine's number for it and its text.
type Token struct {
	ID   uint32 `json:"id"`
	Text string `json:"text"`
}

// FinishReason says why a generation ended.
type FinishReason string

// Reasons, as the OpenAI-compatible API names them.
const (
	// Stop means that the model ended its answer.
	Stop FinishReason = "stop"
	// Length means that the answer reached its longest allowed length.
	Length FinishReason = "length"
)

// Valid reports whether r is a known reason.
func (r FinishReason) Valid() bool { return r == Stop || r == Length }

// Finish is how an answer ended. Count and Checksum cover all its tokens, the
// ones of earlier attempts included.
type Finish struct {
	Reason     FinishReason  `json:"reason"`
	TokenCount id.TokenIndex `json:"count"`
	Checksum   Checksum      `json:"checksum"`
	// PromptTokens is the engine's count of the prompt's tokens.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens is how many prompt and prefix tokens came from a cache.
	CachedTokens int `json:"cached"`
	// PrefilledTokens is how many prompt and prefix tokens were computed.
	PrefilledTokens int `json:"prefilled"`
	// DecodedTokens is how many tokens this attempt generated.
	DecodedTokens int `json:"decoded"`
}

// Checksum is a running hash over the tokens of an answer, in order.
type Checksum uint64

// Add returns the checksum of the answer that s covers followed by t.
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
