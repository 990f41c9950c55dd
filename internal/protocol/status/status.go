// Package status holds what an entry tells operators: who is there and in
// which state, which configuration is in force where, what a drain waits for,
// which limits are in use, and why a request went where it went. An entry
// serves it as JSON at its operators' address.
//
// # Usage
//
//	GET /status        Status
//	GET /explain/{id}  Explanation; 404 when the entry knows no such request
package status

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Paths at an entry's operators' address.
const (
	PathStatus  = "/status"
	PathExplain = "/explain/"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Invalid means that an entry's answer breaks a rule.
	Invalid Kind = "invalid"
	// Unreachable means that the entry gave no answer.
	Unreachable Kind = "unreachable"
	// NotFound means that the entry knows no such request.
	NotFound Kind = "notFound"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Status is one entry's view of the deployment.
type Status struct {
	// Entry made the view, at At by its clock.
	Entry id.Entry  `json:"entry"`
	At    time.Time `json:"at"`
	// Revision is the configuration in force at Entry.
	Revision id.Revision `json:"revision"`
	Members  Members     `json:"members"`
	// Drains are the members that leave and still hold work.
	Drains []Drain `json:"drains,omitempty"`
	// Limits are the contracts' limits and what is in use of them.
	Limits []LimitUsage `json:"limits,omitempty"`
	Store  StoreHealth  `json:"store"`
}

// Role is what a member is.
type Role string

// Roles of members.
const (
	Entry  Role = "entry"
	Target Role = "target"
)

// Member is an entry or a target as the view has it.
type Member struct {
	// Name is the entry's or the target's name.
	Name  string       `json:"name"`
	Role  Role         `json:"role"`
	State member.State `json:"state"`
	// Since is when the state began.
	Since   time.Time `json:"since"`
	Zone    id.Zone   `json:"zone"`
	Region  id.Region `json:"region"`
	Address string    `json:"address"`
	// Revision is the configuration in force there, as last heard.
	Revision id.Revision `json:"revision"`
	// AgeMs is the age of the last report, in milliseconds.
	AgeMs int64 `json:"ageMs"`
	// Model and Version are set for engines, Service for plain services.
	Model   id.Model   `json:"model,omitempty"`
	Version id.Version `json:"version,omitempty"`
	Service id.Service `json:"service,omitempty"`
	// Running and Queued count the work of a target of Slots.
	Running int `json:"running,omitempty"`
	Queued  int `json:"queued,omitempty"`
	Slots   int `json:"slots,omitempty"`
}

// Members is a list of members.
type Members []Member

// WithOlderRevision returns the members that are not known to have revision. Members that
// are gone cannot have it and are left out.
func (m Members) WithOlderRevision(revision id.Revision) Members {
	var behind Members
	for i := range m {
		if m[i].State != member.Gone && m[i].Revision < revision {
			behind = append(behind, m[i])
		}
	}
	return behind
}

// Drain is a member that leaves and what it waits for.
type Drain struct {
	Name  string    `json:"name"`
	Role  Role      `json:"role"`
	Since time.Time `json:"since"`
	// Pending lists the work that is held.
	Pending []PendingRequest `json:"waits"`
}

// PendingRequest is one piece of work that a drain waits for.
type PendingRequest struct {
	Request  id.Request       `json:"request"`
	Contract id.Contract      `json:"contract"`
	Class    generation.Class `json:"class"`
	// Tokens are out, of at most MaxTokens.
	Tokens    id.TokenIndex `json:"tokens"`
	MaxTokens int           `json:"maxTokens"`
}

// LimitUsage is what a contract uses of its limits, at this entry's share.
type LimitUsage struct {
	Contract id.Contract     `json:"contract"`
	Limits   contract.Limits `json:"limits"`
	// TokensPerSecond and RequestsPerSecond are recent rates.
	TokensPerSecond   float64 `json:"tokensPerSecond"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// Running counts the contract's requests.
	Running int `json:"running"`
	// Share is the part of the limits that this entry may give out, 0 to 1.
	Share float64 `json:"share"`
	// Refused counts refusals for a limit since the entry's start.
	Refused int64 `json:"refused"`
}

// StoreHealth is how the entry gets on with the key-value service.
type StoreHealth struct {
	Available bool `json:"available"`
	// LastAnswer is when the service last answered.
	LastAnswer time.Time `json:"lastAnswer,omitzero"`
	// ReadsPerSecond and WritesPerSecond are this entry's recent calls.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// Explanation is what was decided about one request, oldest first.
type Explanation struct {
	Request  id.Request   `json:"request"`
	Contract id.Contract  `json:"contract"`
	Owner    id.Entry     `json:"owner"`
	Model    id.Model     `json:"model,omitempty"`
	Service  id.Service   `json:"service,omitempty"`
	State    RequestState `json:"state"`
	// Lineage and Tokens are how far the answer is.
	Lineage   id.Lineage    `json:"lineage,omitempty"`
	Tokens    id.TokenIndex `json:"tokens"`
	Decisions []Decision    `json:"decisions"`
}

// RequestState is how far a request is.
type RequestState string

// States of a request.
const (
	Running  RequestState = "running"
	Finished RequestState = "finished"
	Refused  RequestState = "refused"
	Failed   RequestState = "failed"
)

// Valid reports whether s is a known state.
func (s RequestState) Valid() bool {
	switch s {
	case Running, Finished, Refused, Failed:
		return true
	}
	return false
}

// Decision is one decision about a request.
type Decision struct {
	At time.Time `json:"at"`
	// Event is the number in docs/EVENTS.md and Name its name.
	Event   int        `json:"event"`
	Name    string     `json:"name"`
	Attempt id.Attempt `json:"attempt,omitempty"`
	Target  id.Target  `json:"target,omitempty"`
	// Reason says why, such as "leastWait".
	Reason string `json:"reason,omitempty"`
	// Detail is one sentence more; it holds no text of a prompt or an answer.
	Detail string `json:"detail,omitempty"`
}

// NewDecision returns the decision that an event of the catalogue stands for.
func NewDecision(at time.Time, e event.Event, attempt id.Attempt, target id.Target, reason string) Decision {
	return Decision{At: at, Event: e.Number, Name: e.Name, Attempt: attempt, Target: target, Reason: reason}
}
