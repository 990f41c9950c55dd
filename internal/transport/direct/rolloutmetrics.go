package direct

import (
	"foxtailward.example/foxtailward/internal/coordination/rollout"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/meter"
)

// rolloutStage counts a stage that was put in force.
func (m *entryMetrics) rolloutStage(service id.Service, s *rollout.Stage) {
	m.set.Count("rolloutStages", meter.Label{Key: "service", Value: string(service)}, meter.Label{Key: "phase", Value: string(s.Phase)}, meter.Label{Key: "reason", Value: string(s.Reason)})
}

// rolloutBad counts a version that this entry has found bad.
func (m *entryMetrics) rolloutBad(service id.Service) {
	m.set.Count("rolloutsBad", meter.Label{Key: "service", Value: string(service)})
}

// rolloutSend counts an attempt at a version while a roll-out is going on.
func (m *entryMetrics) rolloutSend(service id.Service, role rollout.Role) {
	m.set.Count("rolloutSends", meter.Label{Key: "service", Value: string(service)}, meter.Label{Key: "version", Value: string(role)})
}
