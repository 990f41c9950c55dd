// Package status defines the status that an entry reports to operators: the members
// and their states, the configuration in force at each member, what a drain waits
// for, the use of limits, and how requests were routed. An entry serves it as JSON at
// its address for operators.
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

// Paths at an entry's address for operators.
const (
	PathStatus  = "/status"
	PathExplain = "/explain/"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Invalid means that an entry's response is invalid.
	Invalid Kind = "invalid"
	// Unreachable means that the entry did not respond.
	Unreachable Kind = "unreachable"
	// NotFound means that the entry does not know the request.
	NotFound Kind = "notFound"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Status is one entry's view of the deployment.
type Status struct {
	// Entry is the entry that reports the status, at At by its clock.
	Entry id.Entry  `json:"entry"`
	At    time.Time `json:"at"`
	// Revision is the revision of the configuration in force at Entry.
	Revision id.Revision `json:"revision"`
	Members  Members     `json:"members"`
	// Drains are the leaving members that still have unfinished requests.
	Drains []Drain `json:"drains,omitempty"`
	// Limits are the contracts' limits and their use.
	Limits []LimitUsage `json:"limits,omitempty"`
	Store  StoreHealth  `json:"store"`
}

// Role is the kind of a member.
type Role string

// Roles of members.
const (
	Entry  Role = "entry"
	Target Role = "target"
)

// Member is an entry or a target in the reporting entry's view.
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
	// Revision is the revision of the configuration in force at the member, as last
	// reported.
	Revision id.Revision `json:"revision"`
	// AgeMs is the age of the last report, in milliseconds.
	AgeMs int64 `json:"ageMs"`
	// Model and Version are set for engines, Service for plain services.
	Model   id.Model   `json:"model,omitempty"`
	Version id.Version `json:"version,omitempty"`
	Service id.Service `json:"service,omitempty"`
	// Running and Queued count the requests at a target, which can run Slots
	// requests concurrently.
	Running int `json:"running,omitempty"`
	Queued  int `json:"queued,omitempty"`
	Slots   int `json:"slots,omitempty"`
}

// Members is a list of members.
type Members []Member

// WithOlderRevision returns the members that are not known to have reached revision.
// Members that are gone cannot reach it and are left out.
func (m Members) WithOlderRevision(revision id.Revision) Members {
	var behind Members
	for i := range m {
		if m[i].State != member.Gone && m[i].Revision < revision {
			behind = append(behind, m[i])
		}
	}
	return behind
}

// Drain is a leaving member with the requests that it waits for.
type Drain struct {
	Name  string    `json:"name"`
	Role  Role      `json:"role"`
	Since time.Time `json:"since"`
	// Pending lists the unfinished requests.
	Pending []PendingRequest `json:"waits"`
}

// PendingRequest is a request that a drain waits for.
type PendingRequest struct {
	Request  id.Request       `json:"request"`
	Contract id.Contract      `json:"contract"`
	Class    generation.Class `json:"class"`
	// Tokens counts the tokens generated so far, of at most MaxTokens.
	Tokens    id.TokenIndex `json:"tokens"`
	MaxTokens int           `json:"maxTokens"`
}

// LimitUsage is a contract's use of its limits at this entry.
type LimitUsage struct {
	Contract id.Contract     `json:"contract"`
	Limits   contract.Limits `json:"limits"`
	// TokensPerSecond and RequestsPerSecond are recent rates.
	TokensPerSecond   float64 `json:"tokensPerSecond"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// Running counts the contract's running requests.
	Running int `json:"running"`
	// Share is the fraction of the limits that this entry may use, from 0 to 1.
	Share float64 `json:"share"`
	// Refused counts the requests refused because of a limit since the entry started.
	Refused int64 `json:"refused"`
}

// StoreHealth is the state of the key-value service as seen by the entry.
type StoreHealth struct {
	Available bool `json:"available"`
	// LastAnswer is when the service last responded.
	LastAnswer time.Time `json:"lastAnswer,omitzero"`
	// ReadsPerSecond and WritesPerSecond are the rates of this entry's recent calls.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// Explanation holds the decisions made about one request.
type Explanation struct {
	Request  id.Request   `json:"request"`
	Contract id.Contract  `json:"contract"`
	Owner    id.Entry     `json:"owner"`
	Model    id.Model     `json:"model,omitempty"`
	Service  id.Service   `json:"service,omitempty"`
	State    RequestState `json:"state"`
	// Lineage is the answer's current lineage, and Tokens counts its tokens so far.
	Lineage id.Lineage    `json:"lineage,omitempty"`
	Tokens  id.TokenIndex `json:"tokens"`
	// Decisions are sorted from oldest to newest.
	Decisions []Decision `json:"decisions"`
}

// RequestState is the state of a request.
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
	// Event and Name are the event's number and name in docs/EVENTS.md.
	Event   int        `json:"event"`
	Name    string     `json:"name"`
	Attempt id.Attempt `json:"attempt,omitempty"`
	Target  id.Target  `json:"target,omitempty"`
	// Reason is the reason for the decision, such as "leastWait".
	Reason string `json:"reason,omitempty"`
	// Detail adds to the reason. It contains no text of a prompt or an answer.
	Detail string `json:"detail,omitempty"`
}

// NewDecision returns the decision that corresponds to an event of the event
// catalogue.
func NewDecision(at time.Time, e event.Event, attempt id.Attempt, target id.Target, reason string) Decision {
	return Decision{At: at, Event: e.Number, Name: e.Name, Attempt: attempt, Target: target, Reason: reason}
}
