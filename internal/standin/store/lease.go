package store

import (
	"maps"
	"slices"
	"time"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

type lease struct {
	ttl    time.Duration
	lapses time.Time
	keys   map[string]bool
}

// grant makes a lease; the service counts in whole seconds.
func (s *Service) grant(ttl time.Duration) (kv.LeaseID, time.Duration, error) {
	if ttl <= 0 {
		return 0, 0, fault.New("Service.grant", kv.Invalid, "ttl is %v, want more than 0", ttl)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	ttl = (ttl + time.Second - 1).Truncate(time.Second)
	id := s.nextLease
	s.nextLease++
	s.leases[id] = &lease{ttl: ttl, lapses: s.clock.Now().Add(ttl), keys: map[string]bool{}}
	s.setTimer()
	return id, ttl, nil
}

func (s *Service) keepAlive(id kv.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	l := s.leases[id]
	if l == nil {
		return 0, fault.New("Service.keepAlive", kv.Invalid, "requested lease %d not found", id)
	}
	l.lapses = s.clock.Now().Add(l.ttl)
	s.setTimer()
	return l.ttl, nil
}

func (s *Service) revoke(id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.leases[id] == nil {
		return fault.New("Service.revoke", kv.Invalid, "requested lease %d not found", id)
	}
	s.end(id)
	s.setTimer()
	s.notify()
	return nil
}

// ExpireLeases ends all leases, as if their holders had been silent too long.
func (s *Service) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.end(id)
	}
	s.setTimer()
	s.notify()
}

// lapse ends the leases whose time is over. Each call does so first, so that a
// read never sees a lapsed key, however late the timer is.
func (s *Service) lapse() {
	now := s.clock.Now()
	if s.nextLapse.IsZero() || now.Before(s.nextLapse) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].lapses) {
			s.end(id)
		}
	}
	s.setTimer()
	s.notify()
}

// end deletes a lease and its keys at one revision.
func (s *Service) end(id kv.LeaseID) {
	l := s.leases[id]
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return
	}
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.remove(key)
	}
}

// setTimer sets the timer for the lease that lapses next.
func (s *Service) setTimer() {
	s.stopTimer()
	s.nextLapse = time.Time{}
	for _, l := range s.leases {
		if s.nextLapse.IsZero() || l.lapses.Before(s.nextLapse) {
			s.nextLapse = l.lapses
		}
	}
	if s.nextLapse.IsZero() || s.closed {
		return
	}
	s.timer = s.clock.AfterFunc(s.nextLapse.Sub(s.clock.Now()), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lapse()
	})
}

func (s *Service) stopTimer() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}
