package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// TargetLoad is what a target says about its load when it answers.
type TargetLoad struct {
	// Running and Waiting count the target's requests, and Slots how many it runs at once.
	Running, Waiting, Slots int
	// Slowness is how long work takes on the target's host at this moment, relative to the
	// usual time: 1 is as usual, 2 is twice as long. It is 0 if the target does not say.
	Slowness float64
}

// ObserveLoad records what a target said about its load just now; nil if it said nothing.
func (b *Balancer) ObserveLoad(now time.Time, t *catalog.Target, l *TargetLoad) {
	if l == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, t)
	r.load, r.loadAt = *l, now
	if l.Slowness == 0 {
		return
	}
	b.uneven[t.Service] = true
	b.hear(r, now, l.Slowness)
	b.unreported[t.ID] = now
}

// AnyUneven reports whether there are services for which Uneven is true.
func (b *Balancer) AnyUneven() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.uneven) > 0
}

// Uneven reports whether targets of a service say how fast their hosts work at the moment,
// because they share them with others.
func (b *Balancer) Uneven(service id.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.uneven[service]
}
