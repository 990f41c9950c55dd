package rollout

import "foxtailward.example/foxtailward/internal/state/id"

// Permit says which versions may get a request now.
type Permit struct {
	// Stage is the stage in force; nil if there is none.
	Stage *Stage
	// Order is the order that is known, or nil.
	Order *Order
	// Stopped is set once the new version was found bad.
	Stopped bool
	// Draw is set if the request is one of those that the new version gets during the canary
	// stage.
	Draw bool
	// Began is the version that began the request's stream, if BeganKnown is set.
	Began      id.SoftwareVersion
	BeganKnown bool
	// NewServes is set if a target of the new version is ready.
	NewServes bool
}

// unstaged reports whether a version may get requests while the order's stage is not known.
func (p *Permit) unstaged(v id.SoftwareVersion) bool {
	if p.Order != nil && v == p.Order.To {
		return p.Stage.served(v)
	}
	// What an earlier order barred stays so.
	return p.Stage == nil || p.Stage.unfinishedRole(v)
}

// unfinishedRole reports whether a version may get requests between two orders.
func (s *Stage) unfinishedRole(v id.SoftwareVersion) bool {
	switch s.Role(v) {
	case BarredVersion:
		return false
	case NewVersion:
		return s.Phase == Completed || s.Serves()
	case OldVersion:
		return s.Phase != Completed
	}
	return true
}

// served reports whether the stage of an earlier order, or nil, shows that the version serves.
func (s *Stage) served(v id.SoftwareVersion) bool {
	return s != nil && s.Role(v) != Uninvolved && s.unfinishedRole(v)
}

// Allows reports whether targets of a version may get the request.
func (p *Permit) Allows(v id.SoftwareVersion) bool {
	if p.Stage == nil && p.Order == nil {
		return true
	}
	if p.Order != nil && (p.Stage == nil || p.Stage.Order != p.Order.Revision) {
		return p.unstaged(v)
	}
	if p.Order == nil && !p.Stage.Phase.Final() {
		// The order was withdrawn.
		return p.Stage.unfinishedRole(v)
	}
	goesOn := p.BeganKnown && p.Began == v
	switch p.Stage.Role(v) {
	case BarredVersion:
		return false
	case NewVersion:
		return p.allowsNew(goesOn)
	case OldVersion:
		return p.allowsOld(goesOn)
	}
	return true
}

func (p *Permit) allowsNew(goesOn bool) bool {
	switch {
	case p.Stage.Phase == Completed, p.Stage.Serves():
		return true
	case p.Stopped:
		return false
	case p.Stage.Phase == Whole:
		return true
	case p.Stage.Phase == Canary:
		return p.Draw || goesOn
	}
	return false
}

func (p *Permit) allowsOld(goesOn bool) bool {
	switch p.Stage.Phase {
	case Completed:
		// Without an order, versions serve side by side.
		return p.Order == nil
	case Whole:
		return goesOn || p.Stopped || !p.NewServes
	}
	return true
}
