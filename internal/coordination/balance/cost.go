package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
)

// Costs of engines are in seconds until a new generation's first token. Costs
// of plain services are in shares of their slots.
const (
	// prefillPerSecond is the number of prompt tokens that an engine computes
	// per second.
	prefillPerSecond = 8000
	// runCost is added for each generation that runs on the engine.
	runCost = 0.15
	// backupHeldCost is added for each backup copy that the engine holds. A copy
	// takes memory, and after a loss it becomes a running generation.
	backupHeldCost = 0.05
	// otherZoneCost keeps requests in the entry's own zone while it has
	// capacity.
	otherZoneCost = 0.04
	// otherZoneShare is otherZoneCost for plain services.
	otherZoneShare = 0.15
	// linkCost keeps requests away from zones whose links lose packets. It is
	// more than affinityCost, and less than the wait behind several prompts.
	linkCost = 1
	// coldFactor multiplies the cost of a target that is not yet at full speed.
	coldFactor = 1.6
	// failureCost is multiplied by the recent share of attempts that failed, were
	// refused or were lost.
	failureCost = 1.5
	// memoryCost is multiplied by the share of an engine's memory that is in
	// use.
	memoryCost = 0.5
	// affinityCost is the most additional cost that is accepted to send a
	// repeated prompt to the engine that it hashes to. It is less than the wait
	// for another prompt.
	affinityCost = 0.35
	// affinityBacklog is the most additional prompt tokens that are accepted for that.
	affinityBacklog = 800
	// backupTolerance is the most additional cost that is accepted to spread backup
	// copies. It is about that of two generations.
	backupTolerance = 0.3
	// jitter spreads the choices of entries that see the same costs.
	jitter = 0.03
	// suspectCost is more than any cost of a target that is not suspected.
	suspectCost = 1000
)

func (b *Balancer) cost(now time.Time, request Request, t *catalog.Target) float64 {
	r := b.record(now, t)
	cost := jitter*b.random() + failureCost*r.failureShare(now)
	switch {
	case b.byFinish(t.Service):
		cost += b.finishCost(now, request, r, t)
	case request.Engine != nil:
		cost += b.engineCost(now, request, r, t)
	default:
		cost += b.serviceCost(r, t)
	}
	if b.losesPackets(now, t.Zone) {
		cost += linkCost
	}
	if now.Before(r.busyUntil) {
		cost += busyCost
	}
	if now.Before(t.WarmAt) && !b.byFinish(t.Service) {
		cost *= coldFactor
	}
	if b.suspected(now, t) {
		cost += suspectCost
	}
	return cost
}

func (b *Balancer) engineCost(now time.Time, request Request, r *record, t *catalog.Target) float64 {
	l := b.total(r, t)
	cost := b.backlogOf(now, t.ID, l)/prefillPerSecond + runCost*float64(l.Running) + backupHeldCost*float64(l.Backups)
	if t.Zone != b.zone {
		cost += otherZoneCost
	}
	return cost + memoryCost*memoryShare(request, l)
}

func (b *Balancer) serviceCost(r *record, t *catalog.Target) float64 {
	cost := float64(b.total(r, t).Running) / float64(max(1, t.Slots))
	if t.Zone != b.zone {
		cost += otherZoneShare
	}
	return cost
}

func (b *Balancer) backupCost(now time.Time, request Request, t *catalog.Target) float64 {
	l := b.total(b.record(now, t), t)
	cost := runCost*float64(l.Running+l.Backups) + memoryCost*memoryShare(request, l)
	cost += b.backlogOf(now, t.ID, l) / prefillPerSecond
	if b.suspected(now, t) || now.Before(b.record(now, t).noBackupsUntil) {
		cost += suspectCost
	}
	return cost
}

// memoryShare is the share of an engine's memory that would be in use with the
// request there, as far as this entry knows.
func memoryShare(request Request, l Load) float64 {
	if request.Engine.MemoryTokens == 0 {
		return 0
	}
	return float64(l.MemoryTokens+request.memory()) / float64(request.Engine.MemoryTokens)
}
