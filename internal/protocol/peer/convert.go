// Package peer converts between the domain's types and the protobuf messages
// of the protocol between foxtailward's processes, and validates received
// messages. The generated messages are in package peerpb.
//
// # Usage
//
//	msg := peer.FromSpec(&spec)
//	spec, err := peer.ToSpec(msg)
//
// The messages are defined in peer.proto. The generated code is committed;
// docs/ARCHITECTURE.md describes how to regenerate it.
package peer

import (
	"time"

	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that a message violates the rules for its type.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// FromSpec returns the message for s.
func FromSpec(s *generation.Spec) *peerpb.Spec {
	return &peerpb.Spec{
		Request:        string(s.Request),
		Contract:       string(s.Contract),
		Model:          string(s.Model),
		Version:        string(s.Version),
		Adapter:        string(s.Adapter),
		Lineage:        string(s.Lineage),
		Class:          string(s.Class),
		Prefer:         string(s.Prefer),
		MaxTokens:      int64(s.MaxTokens),
		Prompt:         s.Prompt,
		Messages:       s.Messages,
		Temperature:    s.Temperature,
		TopP:           s.TopP,
		Seed:           s.Seed,
		Stop:           s.Stop,
		RestartAllowed: s.RestartAllowed,
		DeadlineUnixMs: FromTime(s.Deadline),
		Asked:          uint64(s.RequestFingerprint),
	}
}

// ToSpec returns the spec in m if it is valid.
func ToSpec(m *peerpb.Spec) (*generation.Spec, error) {
	if m == nil {
		return nil, fault.New("peer.ToSpec", Invalid, "spec is missing")
	}
	s := &generation.Spec{
		Request:            id.Request(m.Request),
		Contract:           id.Contract(m.Contract),
		Model:              id.Model(m.Model),
		Version:            id.Version(m.Version),
		Adapter:            id.Adapter(m.Adapter),
		Lineage:            id.Lineage(m.Lineage),
		Class:              generation.Class(m.Class),
		Prefer:             generation.Preference(m.Prefer),
		MaxTokens:          int(m.MaxTokens),
		Prompt:             m.Prompt,
		Messages:           m.Messages,
		Temperature:        m.Temperature,
		TopP:               m.TopP,
		Seed:               m.Seed,
		Stop:               m.Stop,
		RestartAllowed:     m.RestartAllowed,
		Deadline:           ToTime(m.DeadlineUnixMs),
		RequestFingerprint: id.Fingerprint(m.Asked),
	}
	if !s.Request.Valid() {
		return nil, fault.New("peer.ToSpec", Invalid, "request is %q, want an answer's id", s.Request)
	}
	if err := s.Validate(); err != nil {
		return nil, fault.Wrap("peer.ToSpec", Invalid, err)
	}
	return s, nil
}

// FromTime returns t in Unix milliseconds, and 0 for the zero time.
func FromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// ToTime is the inverse of FromTime.
func ToTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// FromTokens returns the messages for tokens.
func FromTokens(tokens []generation.Token) []*peerpb.Token {
	block := make([]peerpb.Token, len(tokens))
	out := make([]*peerpb.Token, len(tokens))
	for i, t := range tokens {
		block[i].Id, block[i].Text = t.ID, t.Text
		out[i] = &block[i]
	}
	return out
}

// ToTokens returns the tokens in m.
func ToTokens(m []*peerpb.Token) []generation.Token {
	out := make([]generation.Token, len(m))
	for i, t := range m {
		out[i] = generation.Token{ID: t.GetId(), Text: t.GetText()}
	}
	return out
}

// FromFinish returns the message for the finish f of an attempt; nil stays
// nil.
func FromFinish(attempt id.Attempt, f *generation.Finish) *peerpb.Finish {
	if f == nil {
		return nil
	}
	return &peerpb.Finish{
		Attempt:      uint32(attempt),
		Reason:       string(f.Reason),
		Count:        uint32(f.TokenCount),
		Checksum:     uint64(f.Checksum),
		PromptTokens: uint32(f.PromptTokens),
		Cached:       uint32(f.CachedTokens),
		Prefilled:    uint32(f.PrefilledTokens),
		Decoded:      uint32(f.DecodedTokens),
	}
}

// ToFinish returns the finish in m if it is valid; nil stays nil.
func ToFinish(m *peerpb.Finish) (*generation.Finish, error) {
	if m == nil {
		return nil, nil
	}
	f := &generation.Finish{
		Reason:          generation.FinishReason(m.Reason),
		TokenCount:      id.TokenIndex(m.Count),
		Checksum:        generation.Checksum(m.Checksum),
		PromptTokens:    int(m.PromptTokens),
		CachedTokens:    int(m.Cached),
		PrefilledTokens: int(m.Prefilled),
		DecodedTokens:   int(m.Decoded),
	}
	if !f.Reason.Valid() {
		return nil, fault.New("peer.ToFinish", Invalid, "reason is %q, want stop or length", f.Reason)
	}
	return f, nil
}
