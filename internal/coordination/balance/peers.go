package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// lossReportTime is how long a loss is reported to the other entries.
const lossReportTime = time.Second

// Load is what one entry has in flight at a target.
type Load struct {
	Running int `json:"running,omitempty"`
	// PrefillTokens counts the prompt tokens of requests without a first event.
	PrefillTokens int `json:"prefill,omitempty"`
	// MemoryTokens counts the tokens of generations and of backup copies;
	// Backups counts the copies.
	MemoryTokens int `json:"memory,omitempty"`
	Backups      int `json:"backups,omitempty"`
}

func (l *Load) add(o Load, sign int) {
	l.Running += sign * o.Running
	l.PrefillTokens += sign * o.PrefillTokens
	l.MemoryTokens += sign * o.MemoryTokens
	l.Backups += sign * o.Backups
}

// peerLoads is what another entry has in flight, by its last report and the changes that
// it has reported since. It counts until the given time.
type peerLoads struct {
	until time.Time
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

// LoadAt returns what this entry has in flight at a target.
func (b *Balancer) LoadAt(name id.Target) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.targets[name]; r != nil {
		return r.Load
	}
	return Load{}
}

// ApplyPeerLoads records what another entry has in flight, which counts for validFor, and
// drops the reports that no longer count.
func (b *Balancer) ApplyPeerLoads(now time.Time, from id.Entry, loads map[id.Target]Load, validFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.peers[from].loads
	for name, l := range loads {
		b.addBacklog(now, name, l.PrefillTokens-known[name].PrefillTokens)
	}
	b.dropPeer(from)
	b.peers[from] = peerLoads{until: now.Add(validFor), loads: loads}
	for name, l := range loads {
		b.addOthers(name, l, 1)
	}
	for name, p := range b.peers {
		if now.After(p.until) {
			b.dropPeer(name)
		}
	}
}

// ApplyPeerLoadChanges records what another entry has in flight at some targets. What it
// has at others is as before, and all of it counts for validFor.
func (b *Balancer) ApplyPeerLoadChanges(now time.Time, from id.Entry, changes map[id.Target]Load, validFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[from]
	if p.loads == nil {
		p.loads = map[id.Target]Load{}
	}
	p.until = now.Add(validFor)
	for name, l := range changes {
		b.addBacklog(now, name, l.PrefillTokens-p.loads[name].PrefillTokens)
		b.addOthers(name, p.loads[name], -1)
		b.addOthers(name, l, 1)
		p.loads[name] = l
		if l == (Load{}) {
			delete(p.loads, name)
		}
	}
	b.peers[from] = p
}

// addOthers adds a load to the sums, or subtracts it if sign is -1.
func (b *Balancer) addOthers(name id.Target, l Load, sign int) {
	sum := b.others[name]
	sum.add(l, sign)
	b.others[name] = sum
	if sum == (Load{}) {
		delete(b.others, name)
	}
}

// dropPeer subtracts an entry's report from the sums.
func (b *Balancer) dropPeer(name id.Entry) {
	for target, l := range b.peers[name].loads {
		b.addOthers(target, l, -1)
	}
	delete(b.peers, name)
}

// total returns what all entries have in flight at a target.
func (b *Balancer) total(r *record, t *catalog.Target) Load {
	sum := r.Load
	sum.add(b.others[t.ID], 1)
	return sum
}

// RecentLosses returns the targets that this entry lost recently, and how long
// ago that was.
func (b *Balancer) RecentLosses(now time.Time) map[id.TargetIncarnation]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return recent(now, b.lost)
}

// RecentlyReplaced returns the targets that this entry recently found to be
// replaced, and how long ago that was.
func (b *Balancer) RecentlyReplaced(now time.Time) map[id.TargetIncarnation]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return recent(now, b.replaced)
}

// recent returns the age of each time up to lossReportTime, and deletes older
// ones.
func recent(now time.Time, times map[id.TargetIncarnation]time.Time) map[id.TargetIncarnation]time.Duration {
	ago := make(map[id.TargetIncarnation]time.Duration)
	for name, at := range times {
		if now.Sub(at) > lossReportTime {
			delete(times, name)
			continue
		}
		ago[name] = now.Sub(at)
	}
	return ago
}

// ApplyPeerReplaced records that another entry found a target to be replaced.
func (b *Balancer) ApplyPeerReplaced(now time.Time, t *catalog.Target, ago time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(now, t).replacedUntil = now.Add(replacedTime - ago)
}

// ApplyPeerLoss records that another entry lost a target. It reports whether
// the target's group now counts as lost because of it. A loss that is reported
// again is not counted twice.
func (b *Balancer) ApplyPeerLoss(now time.Time, t *catalog.Target, ago time.Duration) bool {
	return b.ApplyPeerLossBy(now, t, ago, Untyped)
}

func (b *Balancer) applyPeerLoss(now time.Time, t *catalog.Target, ago time.Duration, evidence Evidence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now.Add(-ago)
	z := b.zoneRecord(t)
	if last, known := z.losses[t.ID]; known && at.Sub(last.at) < lossReportTime {
		return false
	}
	r := b.record(now, t)
	if until := at.Add(minSuspectTime); until.After(r.suspectUntil) {
		r.suspectUntil = until
	}
	return b.recordLoss(at, t, loss{at: at, weak: evidence == PausedStream})
}
