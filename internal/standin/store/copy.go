package store

import (
	"maps"
	"slices"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
)

// Copy is a copy of the service's state at one revision.
type Copy struct {
	revision int64
	items    map[string]storedItem
	history  []kv.Change
}

// Era returns the current era.
func (s *Service) Era() kv.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy returns a copy of the current state, without the leases.
func (s *Service) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.items), slices.Clone(s.history)}
}

// ReturnTo replaces the state by an older copy and begins a new era. All leases and
// their keys are gone, and the revisions since the copy are given out again. Watches
// stay open and go on from the revision that they named.
func (s *Service) ReturnTo(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.leases = map[kv.LeaseID]*lease{}
	maps.DeleteFunc(s.items, func(_ string, e storedItem) bool { return e.item.Lease != 0 })
	s.setTimer()
	s.notifyWatchers()
}
