// Package contract defines the contracts of customers.
//
// A contract states which models and services a customer may use, how urgent the
// requests are, and how many requests and tokens are allowed. Every limit that
// foxtailward applies to a request follows from the contract.
//
// # Usage
//
//	c := contract.Contract{Name: "staplerdienst", Models: []id.Model{"report"}}
//	c.SetDefaults()
//	if err := c.Validate(); err != nil { … }
//	if c.AllowsModel("report") { … }
package contract

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"slices"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that a contract violates a rule.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Upper bounds for the values in a contract.
const (
	// MaxNameBytes is the maximum length of a contract's name.
	MaxNameBytes = 63
	// MaxKeys is the maximum number of bearer keys of a contract.
	MaxKeys = 64
	// MaxAnswerTokens is the maximum answer length that a contract may allow.
	MaxAnswerTokens = 200_000
	MaxWeight       = 1000
)

// Defaults for the values that a contract leaves out.
const (
	defaultTokensPerSecond   = 2000
	defaultRequestsPerSecond = 20
	defaultConcurrency       = 64
	defaultAnswerTokens      = 8000
	defaultPromptBytes       = 256 << 10
	defaultWeight            = 1
)

// Contract is the agreement with one customer.
type Contract struct {
	Name     id.Contract      `json:"name" toml:"name"`
	Class    generation.Class `json:"class" toml:"class"`
	Models   []id.Model       `json:"models" toml:"models"`
	Services Services         `json:"services,omitempty" toml:"services"`
	Limits   Limits           `json:"limits" toml:"limits"`
	Recovery Recovery         `json:"recovery" toml:"recovery"`
	// Weight is the relative share of this contract when contracts compete for a
	// target.
	Weight int `json:"weight" toml:"weight"`
	// Keys are the SHA-256 sums of the customer's bearer keys, in hexadecimal.
	Keys []KeyHash `json:"keys" toml:"keys"`
}

// Limits restrict the requests of a customer, over all entries together.
type Limits struct {
	// TokensPerSecond counts prompt and answer tokens.
	TokensPerSecond int `json:"tokensPerSecond" toml:"tokensPerSecond"`
	// RequestsPerSecond counts accepted requests.
	RequestsPerSecond int `json:"requestsPerSecond" toml:"requestsPerSecond"`
	// Concurrency is how many requests may run concurrently.
	Concurrency int `json:"concurrency" toml:"concurrency"`
	// AnswerTokens is the longest answer, in tokens.
	AnswerTokens int `json:"answerTokens" toml:"answerTokens"`
	// PromptBytes is the longest prompt, in bytes.
	PromptBytes int `json:"promptBytes" toml:"promptBytes"`
}

// Recovery says how a customer's answers are recovered.
type Recovery struct {
	// Prefer is the measure that recovery keeps low: latency or cost.
	Prefer generation.Preference `json:"prefer" toml:"prefer"`
}

// Service is a plain service that a customer may call.
type Service struct {
	Name id.Service `json:"name" toml:"name"`
	// Repeatable says that a call may run more than once. A call that is not
	// repeatable runs at most once.
	Repeatable bool `json:"repeatable" toml:"repeatable"`
	// RepeatableReads says that GET and HEAD calls may run more than once even if
	// other calls may not.
	RepeatableReads bool `json:"repeatableReads,omitempty" toml:"repeatableReads"`
}

// Services is a list of services.
type Services []Service

// Find returns the service with the name.
func (s Services) Find(name id.Service) (Service, bool) {
	i := slices.IndexFunc(s, func(v Service) bool { return v.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return s[i], true
}

// KeyHash is the SHA-256 sum of a bearer key, in hexadecimal.
type KeyHash string

// HashKey returns the hash of a bearer key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// SetDefaults sets the fields of c that are zero to their defaults.
func (c *Contract) SetDefaults() {
	c.Class = cmp.Or(c.Class, generation.Standard)
	c.Recovery.Prefer = cmp.Or(c.Recovery.Prefer, generation.PreferLatency)
	c.Weight = cmp.Or(c.Weight, defaultWeight)
	c.Limits.TokensPerSecond = cmp.Or(c.Limits.TokensPerSecond, defaultTokensPerSecond)
	c.Limits.RequestsPerSecond = cmp.Or(c.Limits.RequestsPerSecond, defaultRequestsPerSecond)
	c.Limits.Concurrency = cmp.Or(c.Limits.Concurrency, defaultConcurrency)
	c.Limits.AnswerTokens = cmp.Or(c.Limits.AnswerTokens, defaultAnswerTokens)
	c.Limits.PromptBytes = cmp.Or(c.Limits.PromptBytes, defaultPromptBytes)
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate returns an error that names the first field that violates a rule.
func (c *Contract) Validate() error {
	const op = "Contract.Validate"
	switch {
	case !namePattern.MatchString(string(c.Name)) || len(c.Name) > MaxNameBytes:
		return fault.New(op, Invalid, "name is %q, want 1 to %d characters of a-z, 0-9 and -, with no - at the ends", c.Name, MaxNameBytes)
	case !c.Class.Valid():
		return fault.New(op, Invalid, "class is %q, want short, standard or long", c.Class)
	case len(c.Models) == 0 && len(c.Services) == 0:
		return fault.New(op, Invalid, "models and services are both empty")
	case slices.Contains(c.Models, ""):
		return fault.New(op, Invalid, "models contains an empty name")
	case slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == "" }):
		return fault.New(op, Invalid, "services contains an empty name")
	case !c.Recovery.Prefer.Valid():
		return fault.New(op, Invalid, "recovery.prefer is %q, want latency or cost", c.Recovery.Prefer)
	case c.Weight < 1 || c.Weight > MaxWeight:
		return fault.New(op, Invalid, "weight is %d, want 1 to %d", c.Weight, MaxWeight)
	case len(c.Keys) == 0:
		return fault.New(op, Invalid, "keys is empty, so no caller could use the contract")
	case len(c.Keys) > MaxKeys:
		return fault.New(op, Invalid, "keys has %d elements, want at most %d", len(c.Keys), MaxKeys)
	}
	for _, k := range c.Keys {
		if !hashPattern.MatchString(string(k)) {
			return fault.New(op, Invalid, "keys contains a value that is not a SHA-256 sum of 64 hexadecimal digits")
		}
	}
	return c.Limits.validate()
}

func (l *Limits) validate() error {
	const op = "Limits.validate"
	switch {
	case l.TokensPerSecond < 1:
		return fault.New(op, Invalid, "limits.tokensPerSecond is %d, want at least 1", l.TokensPerSecond)
	case l.RequestsPerSecond < 1:
		return fault.New(op, Invalid, "limits.requestsPerSecond is %d, want at least 1", l.RequestsPerSecond)
	case l.Concurrency < 1:
		return fault.New(op, Invalid, "limits.concurrency is %d, want at least 1", l.Concurrency)
	case l.AnswerTokens < 1 || l.AnswerTokens > MaxAnswerTokens:
		return fault.New(op, Invalid, "limits.answerTokens is %d, want 1 to %d", l.AnswerTokens, MaxAnswerTokens)
	case l.PromptBytes < 1:
		return fault.New(op, Invalid, "limits.promptBytes is %d, want at least 1", l.PromptBytes)
	}
	return nil
}

// AllowsModel reports whether the customer may use m.
func (c *Contract) AllowsModel(m id.Model) bool {
	return slices.Contains(c.Models, m)
}
