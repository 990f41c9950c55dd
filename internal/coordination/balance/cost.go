package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
)

// Costs of engines are in seconds until a new run's first token; those of plain
// services in shares of their slots.
const (
	// prefillPerSecond is the number of prompt tokens that an engine computes in
	// a second.
	prefillPerSecond = 8000
	// runCost is what each run that an engine has adds to the wait.
	runCost = 0.15
	// backupHeldCost is what each copy that an engine holds adds: it takes
	// memory, and a loss makes it a run.
	backupHeldCost = 0.05
	// farCost keeps requests in the entry's own zone while it has room.
	farCost = 0.04
	// farShare is farCost for plain services.
	farShare = 0.15
	// linkCost keeps requests from zones whose links lose packets. It is more than
	// affinityCost, and less than the wait behind several prompts.
	linkCost = 1
	// coldFactor times the cost of a target that is not yet at full speed.
	coldFactor = 1.6
	// badCost times the recent share of bad outcomes.
	badCost = 1.5
	// memoryCost times the share of an engine's memory that is in use.
	memoryCost = 0.5
	// affinityCost is what may be paid to meet the engine that a prompt points to.
	// It is less than the wait for another prompt.
	affinityCost = 0.35
	// jitter spreads the choices of entries that see the same costs.
	jitter = 0.03
	// suspectCost is beyond every cost of a target that is not suspected.
	suspectCost = 1000
)

func (b *Balancer) cost(now time.Time, ask Request, t *catalog.Target) float64 {
	r := b.record(now, t)
	cost := jitter*b.random() + badCost*r.badShare(now)
	if ask.Engine != nil {
		cost += b.engineCost(ask, r, t)
	} else {
		cost += b.serviceCost(r, t)
	}
	if b.losesPackets(now, t.Zone) {
		cost += linkCost
	}
	if now.Before(t.WarmAt) {
		cost *= coldFactor
	}
	if b.suspected(now, t) {
		cost += suspectCost
	}
	return cost
}

func (b *Balancer) engineCost(ask Request, r *record, t *catalog.Target) float64 {
	l := b.total(r, t)
	cost := float64(l.PrefillTokens)/prefillPerSecond + runCost*float64(l.Running) + backupHeldCost*float64(l.Backups)
	if t.Zone != b.zone {
		cost += farCost
	}
	return cost + memoryCost*memoryShare(ask, l)
}

func (b *Balancer) serviceCost(r *record, t *catalog.Target) float64 {
	cost := float64(b.total(r, t).Running) / float64(max(1, t.Slots))
	if t.Zone != b.zone {
		cost += farShare
	}
	return cost
}

func (b *Balancer) backupCost(now time.Time, ask Request, t *catalog.Target) float64 {
	l := b.total(b.record(now, t), t)
	cost := jitter*b.random() + runCost*float64(l.Running+l.Backups) + memoryCost*memoryShare(ask, l)
	cost += float64(l.PrefillTokens) / prefillPerSecond
	if b.suspected(now, t) {
		cost += suspectCost
	}
	return cost
}

// memoryShare is the part of an engine's memory that is in use once the request
// is there, as far as this entry knows.
func memoryShare(ask Request, l Load) float64 {
	if ask.Engine.MemoryTokens == 0 {
		return 0
	}
	return float64(l.MemoryTokens+ask.memory()) / float64(ask.Engine.MemoryTokens)
}
