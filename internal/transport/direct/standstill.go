package direct

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/event"
)

const (
	// tickEvery is the time between two looks at the clocks.
	tickEvery = 200 * time.Millisecond
	// tickSlack is what such a look may come late, and what the clocks may drift
	// apart between two of them.
	tickSlack = 200 * time.Millisecond
)

// standstill notices that this process, or its host, stood still for a while.
// What was received before that may be read only afterwards, and then looks
// younger than it is. The steady clock goes on while a process is stopped, but
// not while its host is suspended; the time since the host's start counts both.
// It is safe for concurrent use.
type standstill struct {
	mu sync.Mutex
	// lookedAt and sinceBoot are the clocks at the last look.
	lookedAt  time.Time
	sinceBoot time.Duration
	// endedAt is when the last standstill was noticed; zero for none.
	endedAt time.Time
}

// look notes the clocks. It returns how long the process has just stood still, or
// 0, and how long its host was suspended meanwhile.
func (s *standstill) look(now time.Time, sinceBoot time.Duration) (still, suspended time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	steady := now.Sub(s.lookedAt)
	suspended = sinceBoot - s.sinceBoot - steady
	first := s.lookedAt.IsZero()
	s.lookedAt, s.sinceBoot = now, sinceBoot
	if first || (steady <= tickEvery+tickSlack && suspended <= tickSlack) {
		return 0, 0
	}
	s.endedAt = now
	return steady + suspended, suspended
}

// within reports whether a standstill ended less than a while ago.
func (s *standstill) within(now time.Time, while time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.endedAt.IsZero() && now.Sub(s.endedAt) < while
}

// watchClocks looks at the clocks until ctx ends.
func (e *Entry) watchClocks(ctx context.Context) {
	ticker := e.deps.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	e.lookAtClocks()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.lookAtClocks()
		}
	}
}

func (e *Entry) lookAtClocks() {
	now := e.deps.Clock.Now()
	still, suspended := e.standstill.look(now, e.sinceBoot(now))
	if still > 0 {
		e.deps.Log.Emit(event.PauseDetected, "lasted", still, "suspended", suspended)
	}
}

// sinceBoot returns the time since the host's start, or a steady time where it
// is not known.
func (e *Entry) sinceBoot(now time.Time) time.Duration {
	if e.deps.SinceBoot == nil {
		return now.Sub(e.startedAt)
	}
	return e.deps.SinceBoot()
}
