package balance

import (
	"maps"
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Limits from which a zone counts as lost.
const (
	// zoneWindow is the time within which losses of several targets of one zone
	// count as one event.
	zoneWindow = 800 * time.Millisecond
	// zoneLosses is the least number of targets whose loss within zoneWindow
	// makes the whole zone suspect. The zone is not suspected while at least as
	// many of its targets have sent something since the first of the losses.
	zoneLosses = 2
	// zoneLossShare is the share of a zone's targets that must be lost in addition if
	// other entries report losses. The more entries there are, the more often some of
	// them lose a target each by chance, and they do not report which targets live.
	zoneLossShare = 0.2
	// weakLossShare is the same if losses count that a busy engine may cause.
	weakLossShare = 0.4
	// zoneSuspectTime is how long the targets of a lost zone are avoided if they
	// were known before the loss. After that time, targets that have ended are
	// no longer listed, and targets that started again count as new ones.
	zoneSuspectTime = 4 * time.Second
)

// group identifies a service's targets in one zone, which tend to fail
// together.
type group struct {
	service id.Service
	zone    id.Zone
}

func groupOf(t *catalog.Target) group { return group{t.Service, t.Zone} }

// zoneRecord holds the recent losses of a group of targets.
type zoneRecord struct {
	losses map[id.Target]loss
	// lostAt is when the group was last lost.
	lostAt time.Time
}

// loss is the latest loss of a target.
type loss struct {
	at time.Time
	// own is set if this entry lost the target, and not only others.
	own bool
	// weak is set if a busy engine may have caused it.
	weak bool
}

// losses counts the targets of a group that were lost within zoneWindow. first is when
// the first of them was.
type losses struct {
	count int
	first time.Time
}

func (l *losses) add(at time.Time) {
	if l.count == 0 || at.Before(l.first) {
		l.first = at
	}
	l.count++
}

// mayBeLost reports whether a target may have been lost with its group: it was
// known at that time and has given no sign of life since.
func (z *zoneRecord) mayBeLost(now time.Time, r *record) bool {
	recent := !z.lostAt.IsZero() && now.Sub(z.lostAt) < zoneSuspectTime
	return recent && !r.since.After(z.lostAt) && !r.heardAt().After(z.lostAt)
}

func (z *zoneRecord) lostRecently(now time.Time) bool {
	return !z.lostAt.IsZero() && now.Sub(z.lostAt) <= zoneWindow
}

// recentLosses are the recent losses of a group: those that this entry has seen, those that any
// entry has, and these with the weak ones.
type recentLosses struct{ own, strong, all losses }

// addLoss records the loss of a target, seen by this entry or another one. It returns the
// recent losses.
func (z *zoneRecord) addLoss(now time.Time, name id.Target, l loss) (recent recentLosses) {
	last, known := z.losses[name]
	l.own = l.own || last.own
	if known && now.Sub(last.at) <= zoneWindow {
		l.weak = l.weak && last.weak
	}
	z.losses[name] = l
	for other, l := range z.losses {
		if now.Sub(l.at) > zoneWindow {
			delete(z.losses, other)
			continue
		}
		recent.all.add(l.at)
		if !l.weak {
			recent.strong.add(l.at)
		}
		if l.own && !l.weak {
			recent.own.add(l.at)
		}
	}
	return recent
}

// recordLoss records the loss of a target, and reports whether its group newly
// counts as lost because of it. If the group counts as lost, the attempts that
// wait for a suspected target of the group are cancelled, since they would wait
// in vain. Those that have a claim wait for TakeMoves.
func (b *Balancer) recordLoss(now time.Time, t *catalog.Target, l loss) bool {
	if b.ownHostFault(now) {
		return false
	}
	z, g := b.zoneRecord(t), groupOf(t)
	recent := z.addLoss(now, t.ID, l)
	least := func(share float64) int { return max(zoneLosses, int(math.Ceil(share*float64(b.groupSize(g))))) }
	if !b.prevails(g, recent.own, zoneLosses) && !b.prevails(g, recent.strong, least(zoneLossShare)) && !b.prevails(g, recent.all, least(weakLossShare)) {
		return false
	}
	if b.otherZoneLost(now, g) {
		b.attributeToOwnHost(now, t.Service)
		return false
	}
	newlyLost := !z.lostRecently(now)
	z.lostAt = now
	for attempt := range b.waiting {
		if groupOf(attempt.target) == g && attempt.cancel != nil && attempt.claim == nil && b.suspected(now, attempt.target) {
			attempt.cancel()
		}
	}
	return newlyLost
}

// prevails reports whether there are at least so many losses in a group, and more than
// targets that have sent something since the first of them.
func (b *Balancer) prevails(g group, l losses, least int) bool {
	return l.count >= least && l.count > b.activeTargets(g, l.first)
}

// groupSize returns the number of targets in a group.
func (b *Balancer) groupSize(g group) int {
	if b.GroupSize != nil {
		return b.GroupSize(g.service, g.zone)
	}
	n := 0
	for _, r := range b.targets {
		if r.group == g {
			n++
		}
	}
	return n
}

// otherZoneLost reports whether another zone of the group's service has just
// been lost. Zones are assumed not to fail together, while a fault of the
// entry's own host or link looks like a loss of all of them.
func (b *Balancer) otherZoneLost(now time.Time, lost group) bool {
	for g, z := range b.groups {
		if g.service == lost.service && g.zone != lost.zone && z.lostRecently(now) {
			return true
		}
	}
	return false
}

// attributeToOwnHost clears the suspicions that recent losses have caused
// against a service's targets. Losses within the next zoneWindow are ignored as
// well.
func (b *Balancer) attributeToOwnHost(now time.Time, service id.Service) {
	b.ownHostFaultAt = now
	for g, z := range b.groups {
		if g.service != service {
			continue
		}
		if z.lostRecently(now) {
			z.lostAt = time.Time{}
		}
		for name := range z.losses {
			maps.DeleteFunc(b.lost, func(lost id.TargetIncarnation, _ time.Time) bool { return lost.Target == name })
			if r := b.targets[name]; r != nil {
				r.losses, r.suspectUntil = 0, time.Time{}
			}
		}
		clear(z.losses)
	}
}

// ownHostFault reports whether current losses are attributed to the own host.
func (b *Balancer) ownHostFault(now time.Time) bool {
	return !b.ownHostFaultAt.IsZero() && now.Sub(b.ownHostFaultAt) < zoneWindow
}

// activeTargets returns how many targets of a group have sent something since
// the given time.
func (b *Balancer) activeTargets(g group, since time.Time) int {
	n := 0
	for _, r := range b.targets {
		if r.group == g && r.heardAt().After(since) {
			n++
		}
	}
	return n
}
