package catalog

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// TargetState is what a target says of itself.
type TargetState string

// States of targets.
const (
	// Ready targets take work.
	Ready TargetState = "ready"
	// Draining targets finish what they have.
	Draining TargetState = "draining"
)

// Target is a model engine or plain service that requests can be sent to.
type Target struct {
	ID id.Target
	// Incarnation is the start of the process, in Unix milliseconds; 0 where
	// it is not told. A target may start again under its ID.
	Incarnation id.Incarnation
	Service     id.Service
	// Address is host:port.
	Address string
	Zone    id.Zone
	Slots   int
	State   TargetState
	// WarmAt is when the target works at full speed after its start.
	WarmAt time.Time
}

// Targets is a list of targets.
type Targets []*Target

// Ready returns the targets that take work.
func (ts Targets) Ready() Targets {
	ready := make(Targets, 0, len(ts))
	for _, t := range ts {
		if t.State == Ready {
			ready = append(ready, t)
		}
	}
	return ready
}

// Find returns the target with the name, or nil.
func (ts Targets) Find(name id.Target) *Target {
	for _, t := range ts {
		if t.ID == name {
			return t
		}
	}
	return nil
}
