package spread

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// maxQuarantinesPerMessage limits the quarantines in one message.
const maxQuarantinesPerMessage = 16

// quarantineTransmissions is how often one quarantine is sent. It is higher
// than for reports, because quarantines are rare.
const quarantineTransmissions = 12

type quarantineRecord struct {
	Quarantine
	transmissions int
}

// Quarantine quarantines a fingerprint here and spreads it to all other
// entries.
func (s *Spreader) Quarantine(q Quarantine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addQuarantine(q, now)
}

func (s *Spreader) addQuarantine(q Quarantine, now time.Time) {
	old := s.quarantines[q.Fingerprint]
	// The remaining time differs slightly between the paths that a quarantine
	// takes, so a difference of less than a second is not an extension.
	if !q.Until.After(now) || (old != nil && q.Until.Before(old.Until.Add(time.Second))) {
		return
	}
	s.quarantines[q.Fingerprint] = &quarantineRecord{Quarantine: q}
	s.urgent = true
}

// Quarantined returns the quarantine of a fingerprint and reports whether one
// is active at now.
func (s *Spreader) Quarantined(f id.Fingerprint, now time.Time) (Quarantine, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.quarantines[f]
	if q == nil || !q.Until.After(now) {
		return Quarantine{}, false
	}
	return q.Quarantine, true
}

// pendingQuarantines returns the active quarantines that still have
// transmissions left, and counts this transmission.
func (s *Spreader) pendingQuarantines(now time.Time) []Quarantine {
	var out []Quarantine
	for _, q := range s.quarantines {
		if q.transmissions < quarantineTransmissions && q.Until.After(now) && len(out) < maxQuarantinesPerMessage {
			q.transmissions++
			out = append(out, q.Quarantine)
		}
	}
	return out
}

func (s *Spreader) dropQuarantines(now time.Time) {
	for f, q := range s.quarantines {
		if !q.Until.After(now) {
			delete(s.quarantines, f)
		}
	}
}
