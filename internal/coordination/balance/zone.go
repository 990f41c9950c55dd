package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// When a zone counts as lost.
const (
	// zoneWindow is the span in which losses of several targets of one zone
	// count as one.
	zoneWindow = 800 * time.Millisecond
	// zoneLosses is the least number of targets whose loss within zoneWindow makes
	// the whole zone suspect. Targets that sent something since the first of the
	// losses speak against it.
	zoneLosses = 2
	// zoneAvoid is how long the targets of a zone that were known before its
	// loss are avoided. Those that have ended are no longer listed by then, and
	// those that start again are new ones.
	zoneAvoid = 4 * time.Second
)

// group is a service's targets in one zone, which tend to fail together.
type group struct {
	service id.Service
	zone    id.Zone
}

func groupOf(t *catalog.Target) group { return group{t.Service, t.Zone} }

// zoneRecord holds the recent losses of a group of targets.
type zoneRecord struct {
	losses map[id.Target]time.Time
	// lostAt is when the group was last lost.
	lostAt time.Time
}

// lost reports whether a target may have been lost with its group: one that was
// known by then and has sent nothing since.
func (z *zoneRecord) lost(now time.Time, r *record) bool {
	recent := !z.lostAt.IsZero() && now.Sub(z.lostAt) < zoneAvoid
	return recent && !r.since.After(z.lostAt) && !r.aliveAt.After(z.lostAt)
}

func (z *zoneRecord) lostLately(now time.Time) bool {
	return !z.lostAt.IsZero() && now.Sub(z.lostAt) <= zoneWindow
}

// note notes the loss of a target and returns how many targets were lost lately,
// and when the first of them was.
func (z *zoneRecord) note(now time.Time, name id.Target) (int, time.Time) {
	z.losses[name] = now
	first := now
	for other, at := range z.losses {
		if now.Sub(at) > zoneWindow {
			delete(z.losses, other)
			continue
		}
		if at.Before(first) {
			first = at
		}
	}
	return len(z.losses), first
}

// lose notes the loss of a target, and reports whether its group was lost with
// it. Requests that wait for a target of the group would wait in vain.
func (b *Balancer) lose(now time.Time, t *catalog.Target) bool {
	if b.ownTrouble(now) {
		return false
	}
	z := b.zoneRecord(t)
	lost, first := z.note(now, t.ID)
	if lost < zoneLosses || lost <= b.alive(groupOf(t), first) {
		return false
	}
	if b.othersLost(now, groupOf(t)) {
		b.blameOwnHost(now, t.Service)
		return false
	}
	news := !z.lostLately(now)
	z.lostAt = now
	for run := range b.waiting {
		if groupOf(run.target) == groupOf(t) && run.cancel != nil && b.suspected(now, run.target) {
			run.cancel()
		}
	}
	return news
}

// othersLost reports whether another zone of the group's service has just been
// lost. Zones do not fail together; an entry's own host or link does that to all.
func (b *Balancer) othersLost(now time.Time, of group) bool {
	for g, z := range b.groups {
		if g.service == of.service && g.zone != of.zone && z.lostLately(now) {
			return true
		}
	}
	return false
}

// blameOwnHost takes back what was concluded of a service's targets from their
// losses, and of those that follow at once.
func (b *Balancer) blameOwnHost(now time.Time, service id.Service) {
	b.ownTroubleAt = now
	for g, z := range b.groups {
		if g.service != service {
			continue
		}
		if z.lostLately(now) {
			z.lostAt = time.Time{}
		}
		for name := range z.losses {
			delete(b.lost, name)
			if r := b.targets[name]; r != nil {
				r.losses, r.suspectUntil = 0, time.Time{}
			}
		}
		clear(z.losses)
	}
}

// ownTrouble reports whether losses say more of the own host than of targets.
func (b *Balancer) ownTrouble(now time.Time) bool {
	return !b.ownTroubleAt.IsZero() && now.Sub(b.ownTroubleAt) < zoneWindow
}

// alive returns how many targets of a group have sent something since the time.
func (b *Balancer) alive(g group, since time.Time) int {
	n := 0
	for _, r := range b.targets {
		if r.group == g && r.aliveAt.After(since) {
			n++
		}
	}
	return n
}
