// Package claim lets a call that may not be repeated run at most once, and
// says what became of it only when that is proved.
//
// Before a call is sent to its target, it is claimed by compare-and-swap in
// the key-value service. The claim names the target and its incarnation, and
// only the ask that made the claim sends the call, once. The call carries the
// incarnation, and a target process refuses a call for another incarnation or
// one that was fenced before it came. So a claim whose target process says
// "never seen, and fenced now" can never run, even when its owner was paused
// and still believes in it.
//
// A claim ends as done or notRun and never changes after that. A caller that
// was told notRun may ask again under a new key.
//
// # Usage
//
//	c := &claim.Claimer{Get: s.Get, Commit: batch.Commit, Fence: fence, Clock: clock}
//	result := c.Do(ctx, claim.Work{Request: r, Fresh: key == "", Owner: entry, Target: t, Incarnation: n, Call: call})
//	switch result.Outcome {
//	case claim.Done:
//	case claim.NotRun:
//	case claim.Unknown:
//	}
//
// An Ask is the decision without I/O: events in, the next action out. The
// tests explore all its interleavings in a small model.
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

// Invalid means that a claim's record cannot be read.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Outcome is what became of a call.
type Outcome string

// Outcomes. Each but Unknown is proved.
const (
	// Done means that the call ran, once.
	Done Outcome = "done"
	// NotRun means that the call did not run and never will.
	NotRun Outcome = "notRun"
	// Unknown means that neither is proved.
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

// Claim is who may send a call, and where to.
type Claim struct {
	Request id.Request `json:"request"`
	Owner   id.Entry   `json:"owner"`
	// Nonce tells the asks of one entry apart.
	Nonce       uint64         `json:"nonce,string"`
	Target      id.Target      `json:"target"`
	Incarnation id.Incarnation `json:"incarnation"`
	State       State          `json:"state"`
	// Fingerprint is the fingerprint of the call, so that another call under the same
	// key is found; 0 when it is not known.
	Fingerprint id.Fingerprint `json:"print,string"`
	// CreatedAtMs is when the claim was made, as Unix milliseconds by its owner.
	CreatedAtMs int64 `json:"atMs"`
}

// Key returns the claim's key in the key-value service.
func (c *Claim) Key() string { return store.ClaimPrefix + string(c.Request) }

// Same reports whether c and other are the same claim, in whatever state.
func (c *Claim) Same(other *Claim) bool {
	return c.Owner == other.Owner && c.Nonce == other.Nonce
}

// Reply is what the service answered.
type Reply struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// MaxReplyBytes is the largest body that is kept with a claim. A larger one
// only reaches the caller whose ask ran the call.
const MaxReplyBytes = 64 << 10

// Record is a claim as the key-value service holds it.
type Record struct {
	Claim
	// Reply is set for a claim that is done, unless it was too large.
	Reply *Reply `json:"reply,omitempty"`
}

// Encode returns r as JSON.
func (r *Record) Encode() []byte {
	kept := *r
	if kept.Reply != nil && len(kept.Reply.Body) > MaxReplyBytes {
		kept.Reply = nil
	}
	// A Record holds only text, numbers and bytes, which always encode.
	data, _ := json.Marshal(&kept)
	return data
}

// Decode reads a record. Its error is Invalid.
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
