// Package member combines the host list, direct reports and silence into one
// view of the deployment's entries and targets.
package member

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that a report has an empty or invalid field.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// State is the state of a member.
type State string

// States of a member.
const (
	// Joining members are starting and take no work.
	Joining State = "joining"
	// Ready members take work.
	Ready State = "ready"
	// Suspect members were silent for too long and get no new work.
	Suspect State = "suspect"
	// Leaving members finish their running work and get no new work.
	Leaving State = "leaving"
	// Gone members are dead or have left.
	Gone State = "gone"
)

// Valid reports whether s is a known state.
func (s State) Valid() bool {
	switch s {
	case Joining, Ready, Suspect, Leaving, Gone:
		return true
	}
	return false
}

// Role says which phases of a generation an engine is set up for.
type Role string

// Roles of an engine.
const (
	// Mixed engines process prompts and generate tokens.
	Mixed Role = "mixed"
	// Prefill engines mainly process prompts.
	Prefill Role = "prefill"
	// Decode engines mainly generate tokens.
	Decode Role = "decode"
)

// Place is the location of a member.
type Place struct {
	Host   id.Host
	Zone   id.Zone
	Region id.Region
}

// TargetReport is a target process's report about its target.
type TargetReport struct {
	Target      id.Target
	Incarnation id.Incarnation
	Sequence    id.Sequence
	State       State
	Place       Place
	// Address is the address of the target process, as host:port.
	Address string
	// Model, Version, Adapters and Role are set for engines, Service for plain
	// services.
	Model    id.Model
	Version  id.Version
	Adapters []id.Adapter
	Role     Role
	Service  id.Service
	// Fences says that the engine rejects orders with an outdated fencing
	// number.
	Fences bool
	// Slots is the number of generations or calls that can run at the same
	// time.
	Slots int
	// Running is the number of generations or calls that are running,
	// ShortRunning the number of short ones among them, and Queued the number
	// of those that wait inside the engine.
	Running      int
	ShortRunning int
	Queued       int
	// Pace is the time between two tokens of one generation.
	Pace time.Duration
	// QueuedPrefill is the number of prompt tokens waiting to be processed.
	QueuedPrefill int
	// PrefillPerToken is the time that processing one prompt token takes.
	PrefillPerToken time.Duration
	// At is when the report was made, by the receiver's clock.
	At time.Time
}

// Validate returns an error that names the first invalid field.
func (r *TargetReport) Validate() error {
	const op = "TargetReport.Validate"
	switch {
	case r.Target == "":
		return fault.New(op, Invalid, "target is empty")
	case r.Address == "":
		return fault.New(op, Invalid, "address of target %s is empty", r.Target)
	case !r.State.Valid():
		return fault.New(op, Invalid, "state of target %s is %q", r.Target, r.State)
	case (r.Model == "") == (r.Service == ""):
		return fault.New(op, Invalid, "target %s must have either a model or a service", r.Target)
	}
	return nil
}

// Newer reports whether r is newer than old, by incarnation and sequence.
func (r *TargetReport) Newer(old *TargetReport) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}

// EntryReport is an entry's report about itself.
type EntryReport struct {
	Entry       id.Entry
	Incarnation id.Incarnation
	Sequence    id.Sequence
	State       State
	Place       Place
	// Address is where other processes reach the entry, as host:port.
	Address string
	// Revision is the configuration revision in force at the entry.
	Revision id.Revision
	// At is when the report was made, by the receiver's clock.
	At time.Time
}

// Validate returns an error that names the first invalid field.
func (r *EntryReport) Validate() error {
	const op = "EntryReport.Validate"
	switch {
	case r.Entry == "":
		return fault.New(op, Invalid, "entry is empty")
	case r.Address == "":
		return fault.New(op, Invalid, "address of entry %s is empty", r.Entry)
	case !r.State.Valid():
		return fault.New(op, Invalid, "state of entry %s is %q", r.Entry, r.State)
	}
	return nil
}

// Newer reports whether r is newer than old, by incarnation and sequence.
func (r *EntryReport) Newer(old *EntryReport) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}
