package balance

import (
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// When the links to a zone count as losing packets.
const (
	// heldHalfLife is the time in which the number of hold-ups halves.
	heldHalfLife = 8 * time.Second
	// heldMost is the number of recent hold-ups from which a zone's links count as
	// losing packets.
	heldMost = 2
	// heldRatio is how many times more of them there must be than from the
	// entry's own zone: what holds up both is the entry's own host.
	heldRatio = 3
)

// linkRecord counts how often events from a zone were held up on their way.
type linkRecord struct {
	held float64
	at   time.Time
}

func (l *linkRecord) count(now time.Time) float64 {
	return l.held * math.Exp2(-now.Sub(l.at).Seconds()/heldHalfLife.Seconds())
}

// RecordPacketLoss notes that events of the run were held up on their way: they came
// together after a pause, as packets do behind one that was lost.
func (r *Attempt) RecordPacketLoss(now time.Time) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	l := r.b.link(r.target.Zone)
	l.held = l.count(now) + 1
	l.at = now
}

// link returns the record of the links to a zone.
func (b *Balancer) link(zone id.Zone) *linkRecord {
	l := b.links[zone]
	if l == nil {
		l = &linkRecord{}
		b.links[zone] = l
	}
	return l
}

// losesPackets reports whether the links to another zone lose packets.
func (b *Balancer) losesPackets(now time.Time, zone id.Zone) bool {
	if zone == b.zone {
		return false
	}
	held := b.link(zone).count(now)
	return held >= heldMost && held >= heldRatio*b.link(b.zone).count(now)
}
