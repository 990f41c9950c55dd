package direct

import "foxtailward.example/foxtailward/internal/state/id"

// competes reports whether requests for a service compete for room, so that they wait at the
// entry in the order of what a delay costs their callers: the settings say so, or the
// service's targets share their hosts with others.
func (e *Entry) competes(service id.Service) bool {
	return e.cfg.Admission.Ordered || e.balancer.Uneven(service)
}
