package catalog

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// TargetState is the state that a target reports.
type TargetState string

// States of targets.
const (
	// Ready targets accept requests.
	Ready TargetState = "ready"
	// Draining targets finish the requests they have and accept no others.
	Draining TargetState = "draining"
)

// Target is a model engine or plain service that requests can be sent to.
type Target struct {
	ID id.Target
	// Incarnation is the start time of the target's process in Unix milliseconds,
	// or 0 if it is unknown. A target may restart under the same ID.
	Incarnation id.Incarnation
	Service     id.Service
	// Address is host:port.
	Address string
	Zone    id.Zone
	Slots   int
	State   TargetState
	// Software is the version of the target's program. SoftwareUnknown is set while no
	// record of the target itself tells it.
	Software        id.SoftwareVersion
	SoftwareUnknown bool
	// Sequence rises with each record that the target writes about itself; 0 if it
	// is unknown.
	Sequence id.Sequence
	// Revision is the key-value service's revision of the record; 0 if it is unknown. It
	// orders the records of one era of the service, whoever wrote them.
	Revision int64
	// RecordedAt is when this process read the record.
	RecordedAt time.Time
	// WarmAt is when the target reaches full speed after its start.
	WarmAt time.Time
}

// Key identifies the target's current start.
func (t *Target) Key() id.TargetIncarnation {
	return id.TargetIncarnation{Target: t.ID, Incarnation: t.Incarnation}
}

// SameSoftware reports whether two targets are known to run the same version of their
// program. Targets whose records name no version count as one version.
func (t *Target) SameSoftware(other *Target) bool {
	return !t.SoftwareUnknown && !other.SoftwareUnknown && t.Software == other.Software
}

// SoftwareText returns the version of the target's program for logs.
func (t *Target) SoftwareText() string {
	if t.SoftwareUnknown {
		return "unknown"
	}
	return string(t.Software)
}

// Targets is a list of targets.
type Targets []*Target

// Ready returns the targets that accept requests.
func (ts Targets) Ready() Targets {
	ready := make(Targets, 0, len(ts))
	for _, t := range ts {
		if t.State == Ready {
			ready = append(ready, t)
		}
	}
	return ready
}

// Find returns the target with the given name, or nil if there is none.
func (ts Targets) Find(name id.Target) *Target {
	for _, t := range ts {
		if t.ID == name {
			return t
		}
	}
	return nil
}
