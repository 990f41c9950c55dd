package member

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// zoneCount counts the members of a zone that are missed when they are silent.
type zoneCount struct {
	members int
	silent  int
}

// judgeZones tells the loss and the return of zones, and the silences that
// turned out to be no zone's loss.
func (v *View) judgeZones(now time.Time) {
	counts := v.countZones()
	for name, z := range v.zones {
		c := counts[name]
		share := 0.0
		if c.members > 0 {
			share = float64(c.silent) / float64(c.members)
		}
		switch {
		case !z.lost && c.members >= v.cfg.ZoneMembers && len(z.pending) > 0 && share >= v.cfg.ZoneShare:
			v.loseZone(name, z, c.silent, now)
		case z.lost && share < v.cfg.ZoneShare:
			z.lost = false
			v.dirty = true
			v.changes = append(v.changes, Change{Kind: ZoneRecovered, Zone: name, At: now})
		}
		v.tellPending(z, now)
	}
}

func (v *View) loseZone(name id.Zone, z *zoneState, silent int, now time.Time) {
	z.lost = true
	z.pending = nil
	v.dirty = true
	v.changes = append(v.changes, Change{Kind: ZoneLost, Zone: name, Members: silent, At: now})
}

// tellPending moves the silences that have waited long enough to the changes;
// those of a lost zone are dropped.
func (v *View) tellPending(z *zoneState, now time.Time) {
	waiting := z.pending[:0]
	for _, change := range z.pending {
		switch {
		case z.lost:
		case now.Sub(change.At) >= v.cfg.ZoneWindow:
			v.changes = append(v.changes, change)
		default:
			waiting = append(waiting, change)
		}
	}
	z.pending = waiting
}

func (v *View) countZones() map[id.Zone]zoneCount {
	counts := make(map[id.Zone]zoneCount, len(v.zones))
	for _, t := range v.targets {
		if t.streak >= steadyReports && t.now.State != Leaving && !t.left {
			counts[t.now.Report.Place.Zone] = counts[t.now.Report.Place.Zone].add(t.now.State)
		}
	}
	for _, e := range v.entries {
		if e.now.Report.Entry != v.self && e.now.State != Leaving && !e.left {
			counts[e.now.Report.Place.Zone] = counts[e.now.Report.Place.Zone].add(e.now.State)
		}
	}
	return counts
}

func (c zoneCount) add(s State) zoneCount {
	c.members++
	if s == Suspect || s == Gone {
		c.silent++
	}
	return c
}
