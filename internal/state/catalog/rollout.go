package catalog

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// MaxRolloutDuration is the longest time budget of a roll-out.
const MaxRolloutDuration = 24 * time.Hour

// RolloutOrder is the operator's request to move the traffic of a service to another version
// of its software.
type RolloutOrder struct {
	Service id.Service         `json:"service"`
	To      id.SoftwareVersion `json:"to"`
	// DurationMS is the time budget in milliseconds.
	DurationMS int64 `json:"durationMs"`
	// Revision is the key-value service's revision of the order.
	Revision int64 `json:"revision"`
}

// Duration returns the time budget of the order.
func (o *RolloutOrder) Duration() time.Duration {
	return time.Duration(o.DurationMS) * time.Millisecond
}

// Validate returns an error for an order that can't be carried out.
func (o *RolloutOrder) Validate() error {
	const op = "RolloutOrder.Validate"
	switch {
	case o.Service == "" || o.To == "":
		return fault.New(op, Invalid, "the order names no service or no version")
	case o.DurationMS <= 0 || o.DurationMS > MaxRolloutDuration.Milliseconds():
		return fault.New(op, Invalid, "time budget of %d ms is out of range", o.DurationMS)
	}
	return nil
}

// RolloutState is the state of a roll-out as the operator reads it.
type RolloutState string

// States of a roll-out.
const (
	RolloutInProgress RolloutState = "inProgress"
	RolloutCompleted  RolloutState = "completed"
	RolloutReverted   RolloutState = "reverted"
)
