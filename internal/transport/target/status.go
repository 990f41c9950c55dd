package target

import (
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Status is the state that a target process shows to operators.
type Status struct {
	Target      id.Target      `json:"target"`
	Incarnation id.Incarnation `json:"incarnation"`
	State       member.State   `json:"state"`
	Host        id.Host        `json:"host"`
	Zone        id.Zone        `json:"zone"`
	Region      id.Region      `json:"region"`
	Address     string         `json:"address"`
	Model       id.Model       `json:"model,omitempty"`
	Version     id.Version     `json:"version,omitempty"`
	Adapters    []id.Adapter   `json:"adapters,omitempty"`
	Role        member.Role    `json:"role,omitempty"`
	Service     id.Service     `json:"service,omitempty"`
	Revision    id.Revision    `json:"revision"`
	Slots       int            `json:"slots"`
	Running     int            `json:"running"`
	Queued      int            `json:"queued"`
	// PaceMs is the mean time between two tokens of one generation.
	PaceMs float64 `json:"paceMs"`
	// LogBytes is the memory used by the attempts and their logs, or by the
	// stored replies of calls.
	LogBytes int `json:"logBytes"`
	// Pending describes the work that a draining process waits for.
	Pending []string `json:"waiting"`
}

// Status returns the current state of the process.
func (p *Process) Status() Status {
	r := p.Report()
	s := Status{
		Target: r.Target, Incarnation: r.Incarnation, State: r.State,
		Host: r.Place.Host, Zone: r.Place.Zone, Region: r.Place.Region, Address: r.Address,
		Model: r.Model, Version: r.Version, Adapters: r.Adapters, Role: r.Role, Service: r.Service,
		Revision: p.deps.Snapshot().Revision, Slots: r.Slots, Running: r.Running, Queued: r.Queued,
		PaceMs: float64(r.Pace.Microseconds()) / 1000, Pending: p.Pending(),
	}
	if p.runner != nil {
		s.LogBytes = p.runner.bytes()
	} else {
		s.LogBytes = p.callRunner.bytes()
	}
	return s
}
