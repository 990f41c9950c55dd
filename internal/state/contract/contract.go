// Package contract holds the contracts of customers.
//
// A contract states what a customer may ask for, how urgently and how much.
// Every limit that foxtailward applies to a request follows from it.
//
// # Usage
//
//	c := contract.Contract{Name: "staplerdienst", Models: []id.Model{"report"}}
//	c.Defaults()
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

// Invalid means that a contract breaks a rule.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Limits a contract may not exceed.
const (
	// MaxNameBytes is the longest name of a contract.
	MaxNameBytes = 63
	// MaxKeys is the largest number of keys of a contract.
	MaxKeys = 64
	// MaxAnswerTokens is the longest answer that any contract may allow.
	MaxAnswerTokens = 200_000
	// MaxWeight is the largest weight.
	MaxWeight = 1000
)

// Defaults for what a contract leaves out.
const (
	defaultTokensPerSecond   = 2000
	defaultRequestsPerSecond = 20
	defaultConcurrency       = 64
	defaultAnswerTokens      = 8000
	defaultPromptBytes       = 256 << 10
	defaultWeight            = 1
)

// Contract is what was agreed with one customer.
type Contract struct {
	Name     id.Contract      `json:"name" toml:"name"`
	Class    generation.Class `json:"class" toml:"class"`
	Models   []id.Model       `json:"models" toml:"models"`
	Services Services         `json:"services,omitempty" toml:"services"`
	Limits   Limits           `json:"limits" toml:"limits"`
	Recovery Recovery         `json:"recovery" toml:"recovery"`
	// Weight is this contract's part when contracts compete for a target.
	Weight int `json:"weight" toml:"weight"`
	// Keys are the SHA-256 sums of the customer's bearer keys, in hexadecimal.
	Keys []KeyHash `json:"keys" toml:"keys"`
}

// Limits bound what a customer may ask for over all entries.
type Limits struct {
	// TokensPerSecond counts prompt and answer tokens.
	TokensPerSecond int `json:"tokensPerSecond" toml:"tokensPerSecond"`
	// RequestsPerSecond counts accepted requests.
	RequestsPerSecond int `json:"requestsPerSecond" toml:"requestsPerSecond"`
	// Concurrency is how many requests may run at once.
	Concurrency int `json:"concurrency" toml:"concurrency"`
	// AnswerTokens is the longest answer, in tokens.
	AnswerTokens int `json:"answerTokens" toml:"answerTokens"`
	// PromptBytes is the longest prompt, in bytes.
	PromptBytes int `json:"promptBytes" toml:"promptBytes"`
}

// Recovery says how a customer's answers are recovered.
type Recovery struct {
	// Prefer is the measure that recovery saves: latency or cost.
	Prefer generation.Preference `json:"prefer" toml:"prefer"`
}

// Service is a plain service that a customer may call.
type Service struct {
	Name id.Service `json:"name" toml:"name"`
	// Repeatable says that a call may be run again. A call that is not
	// repeatable runs at most once.
	Repeatable bool `json:"repeatable" toml:"repeatable"`
	// RepeatableReads says that GET and HEAD may be run again although other
	// calls may not.
	RepeatableReads bool `json:"repeatableReads,omitempty" toml:"repeatableReads"`
}

// Services is a list of services.
type Services []Service

// Find returns the service of that name.
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

// SetDefaults fills in what c leaves out.
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

// Validate returns an error that names the first field that breaks a rule.
func (c *Contract) Validate() error {
	const op = "Contract.Validate"
	switch {
	case !namePattern.MatchString(string(c.Name)) || len(c.Name) > MaxNameBytes:
		return fault.New(op, Invalid, "name is %q, want 1 to %d of a-z, 0-9 and - inside", c.Name, MaxNameBytes)
	case !c.Class.Valid():
		return fault.New(op, Invalid, "class is %q, want short, standard or long", c.Class)
	case len(c.Models) == 0 && len(c.Services) == 0:
		return fault.New(op, Invalid, "models and services are both empty")
	case slices.Contains(c.Models, ""):
		return fault.New(op, Invalid, "models holds an empty name")
	case slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == "" }):
		return fault.New(op, Invalid, "services holds an empty name")
	case !c.Recovery.Prefer.Valid():
		return fault.New(op, Invalid, "recovery.prefer is %q, want latency or cost", c.Recovery.Prefer)
	case c.Weight < 1 || c.Weight > MaxWeight:
		return fault.New(op, Invalid, "weight is %d, want 1 to %d", c.Weight, MaxWeight)
	case len(c.Keys) == 0:
		return fault.New(op, Invalid, "keys is empty; nobody could use the contract")
	case len(c.Keys) > MaxKeys:
		return fault.New(op, Invalid, "keys holds %d, want at most %d", len(c.Keys), MaxKeys)
	}
	for _, k := range c.Keys {
		if !hashPattern.MatchString(string(k)) {
			return fault.New(op, Invalid, "keys holds a value that is not a SHA-256 sum of 64 digits")
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

// AllowsModel reports whether the customer may ask for m.
func (c *Contract) AllowsModel(m id.Model) bool {
	return slices.Contains(c.Models, m)
}
