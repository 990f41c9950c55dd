package direct

import (
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// targetPlaces counts the streams that go on at a target and have not started there yet, so
// that those which choose a target at the same time do not all take its last place. It
// is safe for concurrent use.
type targetPlaces struct {
	// running returns the requests that run at a target.
	running func(now time.Time, t *catalog.Target) int

	mu       sync.Mutex
	reserved map[id.Target]int
}

// full reports whether a target has as many requests as it runs and queues.
func (p *targetPlaces) full(now time.Time, t *catalog.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fullLocked(now, t)
}

func (p *targetPlaces) fullLocked(now time.Time, t *catalog.Target) bool {
	return t.Slots > 0 && p.running(now, t)+p.reserved[t.ID] >= t.Slots+t.Slots/queueDivisor
}

// reserve takes a place at the target. It returns false if the target is full.
func (p *targetPlaces) reserve(now time.Time, t *catalog.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fullLocked(now, t) {
		return false
	}
	p.reserved[t.ID]++
	return true
}

// giveBack gives back a place, once its stream runs there or is not sent.
func (p *targetPlaces) giveBack(t id.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[t]--; p.reserved[t] <= 0 {
		delete(p.reserved, t)
	}
}

// reservePlace takes a place for a stream that goes on. It returns false if the target is full.
func (c *call) reservePlace(t *catalog.Target) bool {
	if c.software == nil {
		return true
	}
	if !c.e.places.reserve(c.now(), t) {
		return false
	}
	c.reservedPlace = t.ID
	return true
}

// endReservation gives back the place that the call has reserved, if there is one.
func (c *call) endReservation() {
	if c.reservedPlace != "" {
		c.e.places.giveBack(c.reservedPlace)
		c.reservedPlace = ""
	}
}
