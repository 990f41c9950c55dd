package spread

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// maxQuarantineNews bounds the quarantines in one message.
const maxQuarantineNews = 16

// quarantineSends is how often one is passed on; there are few.
const quarantineSends = 12

type quarantine struct {
	Quarantine
	sent int
}

// Quarantine puts a fingerprint under quarantine, here and everywhere.
func (s *Spreader) Quarantine(q Quarantine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addQuarantine(q, now)
}

func (s *Spreader) addQuarantine(q Quarantine, now time.Time) {
	old := s.quarantines[q.Fingerprint]
	// Ages differ a little between paths; that is no news.
	if !q.Until.After(now) || (old != nil && q.Until.Before(old.Until.Add(time.Second))) {
		return
	}
	s.quarantines[q.Fingerprint] = &quarantine{Quarantine: q}
	s.urgent = true
}

// Quarantined returns the quarantine of a fingerprint, if it has one at now.
func (s *Spreader) Quarantined(f id.Fingerprint, now time.Time) (Quarantine, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.quarantines[f]
	if q == nil || !q.Until.After(now) {
		return Quarantine{}, false
	}
	return q.Quarantine, true
}

// quarantineNews returns those that have not been passed on often enough.
func (s *Spreader) quarantineNews(now time.Time) []Quarantine {
	var out []Quarantine
	for _, q := range s.quarantines {
		if q.sent < quarantineSends && q.Until.After(now) && len(out) < maxQuarantineNews {
			q.sent++
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
