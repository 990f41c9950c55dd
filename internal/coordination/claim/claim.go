// Package claim runs a call that is not idempotent at most once, and reports an outcome
// only if that outcome is proved.
//
// Before a call is sent to its target, it is claimed by compare-and-swap in the
// key-value service. The claim names the target and its incarnation, and only the
// invocation that created the claim sends the call, once. The call carries the
// incarnation, and a target process refuses a call for another incarnation and a call
// that was fenced before it arrived. So once a target process has answered "never seen,
// and fenced now", the claimed call can never run, even if its owner was paused and
// still takes the claim for its own.
//
// A claim ends as done or notRun and never changes after that. A caller that was told
// notRun may send the call again under a new key.
//
// # Usage
//
//	c := &claim.Claimer{Get: s.Get, Commit: batcher.Commit, Fence: fence, Clock: clock}
//	result := c.Do(ctx, claim.Invocation{Request: r, GeneratedID: key == "", Owner: entry, Target: t, Incarnation: n, Call: call})
//	switch result.Outcome {
//	case claim.Done:
//	case claim.NotRun:
//	case claim.Unknown:
//	}
//
// Machine makes the decisions without I/O: it takes events and returns the next action.
// The tests explore all its interleavings in a small model.
package claim

import (
	"encoding/json"
	"net/http"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that a claim's record cannot be decoded.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Outcome is the outcome of a call.
type Outcome string

// Outcomes. Done and NotRun are reported only if they are proved.
const (
	// Done means that the call ran exactly once.
	Done Outcome = "done"
	// NotRun means that the call did not run and never will.
	NotRun Outcome = "notRun"
	// Unknown means that neither Done nor NotRun is proved.
	Unknown Outcome = "unknown"
)

// State is the state of a claim in the key-value service.
type State string

// States of a claim.
const (
	// Claimed calls may have been sent to their target.
	Claimed State = "claimed"
	// StateDone and StateNotRun are final.
	StateDone   State = "done"
	StateNotRun State = "notRun"
)

// Claim says which entry may send a call, and to which target.
type Claim struct {
	Request id.Request `json:"request"`
	Owner   id.Entry   `json:"owner"`
	// Nonce distinguishes the invocations of one entry.
	Nonce       uint64         `json:"nonce,string"`
	Target      id.Target      `json:"target"`
	Incarnation id.Incarnation `json:"incarnation"`
	State       State          `json:"state"`
	// Fingerprint identifies the call's content, so that a different call under the
	// same key is detected; 0 if it is not known.
	Fingerprint id.Fingerprint `json:"print,string"`
	// CreatedAtMs is when the claim was made, in Unix milliseconds by its owner's
	// clock.
	CreatedAtMs int64 `json:"atMs"`
}

// Key returns the claim's key in the key-value service.
func (c *Claim) Key() string { return store.ClaimPrefix + string(c.Request) }

// Same reports whether c and other are the same claim, whatever their states.
func (c *Claim) Same(other *Claim) bool {
	return c.Owner == other.Owner && c.Nonce == other.Nonce
}

// Reply is the service's answer to a call.
type Reply struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// MaxReplyBytes is the size of the largest reply body that is stored with a claim. A
// larger reply reaches only the caller whose invocation ran the call.
const MaxReplyBytes = 64 << 10

// Record is a claim as stored in the key-value service.
type Record struct {
	Claim
	// Reply is set for a claim in StateDone, unless it was too large.
	Reply *Reply `json:"reply,omitempty"`
}

// Encode returns r as JSON.
func (r *Record) Encode() []byte {
	stored := *r
	if stored.Reply != nil && len(stored.Reply.Body) > MaxReplyBytes {
		stored.Reply = nil
	}
	// A Record contains only strings, numbers and bytes, so encoding cannot fail.
	data, _ := json.Marshal(&stored)
	return data
}

// Decode decodes a record. Its error is of kind Invalid.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fault.Wrap("claim.Decode", Invalid, err)
	}
	switch r.State {
	case Claimed, StateDone, StateNotRun:
		return r, nil
	}
	return r, fault.New("claim.Decode", Invalid, "state is %q, want claimed, done or notRun", r.State)
}
