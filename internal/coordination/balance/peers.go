package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// peerLife is how long the load that another entry told is reckoned with.
	peerLife = 2 * time.Second
	// tellLosses is how long a loss is told to other entries.
	tellLosses = time.Second
)

// Load is what one entry has in flight at a target.
type Load struct {
	Running int `json:"running,omitempty"`
	// PrefillTokens counts the prompt tokens of requests without a first event.
	PrefillTokens int `json:"prefill,omitempty"`
	// MemoryTokens counts the tokens of runs and copies, Backups the copies.
	MemoryTokens int `json:"memory,omitempty"`
	Backups      int `json:"backups,omitempty"`
}

func (l *Load) add(o Load, sign int) {
	l.Running += sign * o.Running
	l.PrefillTokens += sign * o.PrefillTokens
	l.MemoryTokens += sign * o.MemoryTokens
	l.Backups += sign * o.Backups
}

// peerLoads is what another entry told last.
type peerLoads struct {
	at    time.Time
	loads map[id.Target]Load
}

// Loads returns what this entry has in flight, for the other entries.
func (b *Balancer) Loads() map[id.Target]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[id.Target]Load)
	for name, r := range b.targets {
		if r.Load != (Load{}) {
			loads[name] = r.Load
		}
	}
	return loads
}

// ApplyPeerLoads notes what another entry has in flight.
func (b *Balancer) ApplyPeerLoads(now time.Time, from id.Entry, loads map[id.Target]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetPeer(from)
	b.peers[from] = peerLoads{at: now, loads: loads}
	for name, l := range loads {
		sum := b.others[name]
		sum.add(l, 1)
		b.others[name] = sum
	}
	for name, p := range b.peers {
		if now.Sub(p.at) > peerLife {
			b.forgetPeer(name)
		}
	}
}

// forgetPeer takes what an entry told out of the sum.
func (b *Balancer) forgetPeer(name id.Entry) {
	for target, l := range b.peers[name].loads {
		sum := b.others[target]
		sum.add(l, -1)
		b.others[target] = sum
		if sum == (Load{}) {
			delete(b.others, target)
		}
	}
	delete(b.peers, name)
}

// total returns what all entries have in flight at a target.
func (b *Balancer) total(r *record, t *catalog.Target) Load {
	sum := r.Load
	sum.add(b.others[t.ID], 1)
	return sum
}

// RecentLosses returns the targets that this entry lost lately, with how long ago.
func (b *Balancer) RecentLosses(now time.Time) map[id.Target]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lately(now, b.lost)
}

// RecentlyReplaced returns the targets whose addresses lately answered for others, with
// how long ago.
func (b *Balancer) RecentlyReplaced(now time.Time) map[id.Target]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lately(now, b.replaced)
}

// lately returns how long ago what is told was, and forgets the rest.
func lately(now time.Time, times map[id.Target]time.Time) map[id.Target]time.Duration {
	ago := make(map[id.Target]time.Duration)
	for name, at := range times {
		if now.Sub(at) > tellLosses {
			delete(times, name)
			continue
		}
		ago[name] = now.Sub(at)
	}
	return ago
}

// ApplyPeerReplaced notes that a target's address answers for another one, by
// another entry's word.
func (b *Balancer) ApplyPeerReplaced(now time.Time, t *catalog.Target, ago time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(now, t).replacedUntil = now.Add(replacedAvoid - ago)
}

// ApplyPeerLoss notes that another entry lost a target. It reports whether the
// target's group counts as lost by it.
func (b *Balancer) ApplyPeerLoss(now time.Time, t *catalog.Target, ago time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now.Add(-ago)
	z := b.zoneRecord(t)
	if last, known := z.losses[t.ID]; known && at.Sub(last) < tellLosses {
		return false
	}
	r := b.record(now, t)
	if until := at.Add(suspectLeast); until.After(r.suspectUntil) {
		r.suspectUntil = until
	}
	return b.lose(at, t)
}
