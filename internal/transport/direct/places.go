package direct

import (
	"maps"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// targetPlaces counts the requests that are about to be sent to a target: streams that go on,
// and requests that have waited for room. So those which choose a target at the same time do
// not all take its last place. It is safe for concurrent use.
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
	return t.Slots > 0 && p.running(now, t)+p.reserved[t.ID] >= t.Slots+t.Slots/balance.QueueDivisor
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

// reserveUnchanged takes a place at a target unless others have taken places there beyond those
// that were seen.
func (p *targetPlaces) reserveUnchanged(t id.Target, seen int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[t] > seen {
		return false
	}
	p.reserved[t]++
	return true
}

// snapshot returns the places that are reserved.
func (p *targetPlaces) snapshot() map[id.Target]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.reserved)
}

// giveBack gives back a place, once its stream runs there or is not sent.
func (p *targetPlaces) giveBack(t id.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[t]--; p.reserved[t] <= 0 {
		delete(p.reserved, t)
	}
}

// reservePlace takes a place for a stream that goes on, or for a request that has waited for
// room. It returns false if the target is full, or if others have taken a place there meanwhile.
func (c *call) reservePlace(t *catalog.Target) bool {
	switch {
	case c.usesRoom():
		if !c.e.places.reserveUnchanged(t.ID, c.wait.reserved[t.ID]) {
			return false
		}
		// The place counts from now on, and no longer the turn.
		c.e.lines.endTurn(c)
	case c.software == nil:
		return true
	case !c.e.places.reserve(c.now(), t):
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
		c.endTurn()
	}
}
