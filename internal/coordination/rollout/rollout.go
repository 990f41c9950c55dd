// Package rollout decides how the traffic of a service moves to another version of its
// software: which stage a roll-out is in, how many requests the new version gets, and
// whether its answers are as good as those of the versions that it replaces.
//
// # Usage
//
//	judge := rollout.NewJudge()
//	finding := judge.Observe(now, counts) // summed over all entries
//	step := rollout.Decide(rollout.View{Order: &order, Stage: stage, Finding: finding, …})
//	if step.Next != nil { … write *step.Next if the stage is still the same … }
//
//	if ledger.Allows(limit) { … send to the new version …; ledger.Sent(true) }
//
// All of it is pure code. Stages and reports are exchanged as JSON.
package rollout

import (
	"slices"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind classifies the errors of this package.
type Kind string

// Malformed means that a stage or a report is incomplete or out of range.
const Malformed Kind = "malformed"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Order is the operator's request to move a service to a version.
type Order = catalog.RolloutOrder

// Phase is a stage of a roll-out.
type Phase string

// Phases. Completed and Reverted are final.
const (
	Canary    Phase = "canary"
	Whole     Phase = "whole"
	Completed Phase = "completed"
	Reverting Phase = "reverting"
	Reverted  Phase = "reverted"
)

// Final reports whether no step follows.
func (p Phase) Final() bool { return p == Completed || p == Reverted }

// State returns the state that the operator reads.
func (p Phase) State() catalog.RolloutState {
	switch p {
	case Completed:
		return catalog.RolloutCompleted
	case Reverted:
		return catalog.RolloutReverted
	}
	return catalog.RolloutInProgress
}

// Stage is the state of a service's roll-out that all entries share.
type Stage struct {
	// Number rises with each stage of the service, also over orders.
	Number int64 `json:"number"`
	// Order is the revision of the order.
	Order int64              `json:"order"`
	To    id.SoftwareVersion `json:"to"`
	Phase Phase              `json:"phase"`
	// Share is the largest share of requests that the new version gets.
	Share float64 `json:"share"`
	// Old holds the versions that are replaced, and Barred those of earlier orders that were
	// not completed.
	Old    []id.SoftwareVersion `json:"old,omitempty"`
	Barred []id.SoftwareVersion `json:"barred,omitempty"`
	// Reason says why the stage was entered, and Decider which entry decided so.
	Reason  Reason   `json:"reason"`
	Decider id.Entry `json:"decider"`
	// BegunMS is the time of day at which the order was first seen, in milliseconds since 1970.
	BegunMS int64 `json:"begunMs"`
}

// Serves reports whether the new version served already when the order came, so that it is not
// judged.
func (s *Stage) Serves() bool { return s.Reason == NothingToMove }

// Validate returns an error of kind Malformed for a stage that is none.
func (s *Stage) Validate() error {
	const op = "Stage.Validate"
	switch s.Phase {
	case Canary, Whole, Completed, Reverting, Reverted:
	default:
		return fault.New(op, Malformed, "unknown stage %q", s.Phase)
	}
	if s.Number <= 0 || s.To == "" || !(s.Share >= 0 && s.Share <= 1) {
		return fault.New(op, Malformed, "stage %d of version %q with share %v", s.Number, s.To, s.Share)
	}
	return nil
}

// Role is what a version is in a roll-out.
type Role string

// Roles of versions.
const (
	// NewVersion is the one that the traffic moves to, and OldVersion one that it replaces.
	NewVersion Role = "new"
	OldVersion Role = "old"
	// BarredVersion gets nothing.
	BarredVersion Role = "barred"
	// Uninvolved versions are served as without an order.
	Uninvolved Role = "uninvolved"
)

// Role returns what a version is at this stage.
func (s *Stage) Role(v id.SoftwareVersion) Role {
	switch {
	case v == s.To:
		return NewVersion
	case slices.Contains(s.Barred, v):
		return BarredVersion
	case slices.Contains(s.Old, v):
		return OldVersion
	}
	return Uninvolved
}
