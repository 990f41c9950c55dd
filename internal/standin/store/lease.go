package store

import (
	"maps"
	"slices"
	"time"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// grant creates a lease. Its TTL is rounded up to whole seconds, the unit of TTLs in
// etcd.
func (s *Service) grant(ttl time.Duration) (kv.LeaseID, time.Duration, error) {
	if ttl <= 0 {
		return 0, 0, fault.New("Service.grant", kv.Invalid, "ttl is %v, want more than 0", ttl)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpiredLeases()
	ttl = (ttl + time.Second - 1).Truncate(time.Second)
	id := s.nextLease
	s.nextLease++
	s.leases[id] = &lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl), keys: map[string]bool{}}
	s.setTimer()
	return id, ttl, nil
}

func (s *Service) keepAlive(id kv.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpiredLeases()
	l := s.leases[id]
	if l == nil {
		return 0, fault.New("Service.keepAlive", kv.Invalid, "requested lease %d not found", id)
	}
	l.expiresAt = s.clock.Now().Add(l.ttl)
	s.setTimer()
	return l.ttl, nil
}

func (s *Service) revoke(id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteExpiredLeases()
	if s.leases[id] == nil {
		return fault.New("Service.revoke", kv.Invalid, "requested lease %d not found", id)
	}
	s.deleteLease(id)
	s.setTimer()
	s.notifyWatchers()
	return nil
}

// ExpireLeases ends all leases, as if their holders had not renewed them in time.
func (s *Service) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.deleteLease(id)
	}
	s.setTimer()
	s.notifyWatchers()
}

// deleteExpiredLeases deletes the leases whose TTL has passed. Every call does this
// first, so that no read returns a key of an expired lease even if the timer is late.
func (s *Service) deleteExpiredLeases() {
	now := s.clock.Now()
	if s.nextExpiry.IsZero() || now.Before(s.nextExpiry) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expiresAt) {
			s.deleteLease(id)
		}
	}
	s.setTimer()
	s.notifyWatchers()
}

// deleteLease deletes a lease and, in one revision, all of its keys.
func (s *Service) deleteLease(id kv.LeaseID) {
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

// setTimer sets the timer for the lease that expires next.
func (s *Service) setTimer() {
	s.stopTimer()
	s.nextExpiry = time.Time{}
	for _, l := range s.leases {
		if s.nextExpiry.IsZero() || l.expiresAt.Before(s.nextExpiry) {
			s.nextExpiry = l.expiresAt
		}
	}
	if s.nextExpiry.IsZero() || s.closed {
		return
	}
	s.timer = s.clock.AfterFunc(s.nextExpiry.Sub(s.clock.Now()), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.deleteExpiredLeases()
	})
}

func (s *Service) stopTimer() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}
