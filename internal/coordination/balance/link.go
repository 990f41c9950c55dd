package balance

import (
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Limits from which the links to a zone count as losing packets.
const (
	// lossHalfLife is the time in which the count of packet losses halves.
	lossHalfLife = 8 * time.Second
	// minLosses is the number of recent packet losses from which a zone's links
	// count as losing packets.
	minLosses = 2
	// minLossRatio is how many times more packet losses there must be than on the
	// links from the entry's own zone. If both zones are affected alike, the cause
	// is the entry's own host.
	minLossRatio = 3
)

// linkRecord counts the packet losses that delayed events from a zone. The count
// decays.
type linkRecord struct {
	losses float64
	at     time.Time
}

func (l *linkRecord) count(now time.Time) float64 {
	return l.losses * math.Exp2(-now.Sub(l.at).Seconds()/lossHalfLife.Seconds())
}

// RecordPacketLoss records that events of the attempt were delayed on the
// network: they came together after a pause, as packets do behind a lost one.
func (a *Attempt) RecordPacketLoss(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	l := a.balancer.link(a.target.Zone)
	l.losses = l.count(now) + 1
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
	losses := b.link(zone).count(now)
	return losses >= minLosses && losses >= minLossRatio*b.link(b.zone).count(now)
}
