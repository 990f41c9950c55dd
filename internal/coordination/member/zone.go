package member

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// zoneCount counts the members of a zone whose silence counts towards the loss
// of the zone.
type zoneCount struct {
	members int
	silent  int
}

// evaluateZones records zones that are lost or have recovered, and the pending
// silences that turned out not to belong to a zone failure.
func (v *View) evaluateZones(now time.Time) {
	counts := v.countZones()
	for name, z := range v.zones {
		c := counts[name]
		share := 0.0
		if c.members > 0 {
			share = float64(c.silent) / float64(c.members)
		}
		switch {
		case !z.lost && c.members >= v.cfg.ZoneMembers && len(z.pending) > 0 && share >= v.cfg.ZoneShare:
			v.markZoneLost(name, z, c.silent, now)
		case z.lost && share < v.cfg.ZoneShare:
			z.lost = false
			v.dirty = true
			v.changes = append(v.changes, Change{Kind: ZoneRecovered, Zone: name, At: now})
		}
		v.flushPending(z, now)
	}
}

func (v *View) markZoneLost(name id.Zone, z *zoneState, silent int, now time.Time) {
	z.lost = true
	z.pending = nil
	v.dirty = true
	v.changes = append(v.changes, Change{Kind: ZoneLost, Zone: name, Members: silent, At: now})
}

// flushPending moves the silences that have been pending for ZoneWindow to the
// changes. Silences in a lost zone are dropped.
func (v *View) flushPending(z *zoneState, now time.Time) {
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
		if t.streak >= steadyReports && t.current.State != Leaving && !t.departing {
			counts[t.current.Report.Place.Zone] = counts[t.current.Report.Place.Zone].add(t.current.State)
		}
	}
	for _, e := range v.entries {
		if e.current.Report.Entry != v.self && e.current.State != Leaving && !e.departing {
			counts[e.current.Report.Place.Zone] = counts[e.current.Report.Place.Zone].add(e.current.State)
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
