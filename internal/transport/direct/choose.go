package direct

import (
	"context"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

// choose returns the target of the request's next attempt, and counts the attempt against
// the target's limit. Targets at their limit are used only if there is no other one that
// is not suspected.
func (c *call) choose(ctx context.Context) (balance.Choice, bool) {
	// occupied holds the targets that others try after their pauses.
	occupied := map[id.Target]bool{}
	c.drawVersion()
	for ctx.Err() == nil {
		c.limitedTarget = nil
		now := c.now()
		free, full := c.e.limits.split(now, c.withRoom(c.lasting(without(c.targets(), occupied))))
		choice, ok := c.e.balancer.Choose(now, c.requirements, free, c.tried)
		if !ok || choice.Reason == balance.LastResort {
			if first := c.firstInTime(full); first != nil {
				c.endTurn()
				if c.takePlace(ctx, first, c.maxLimitWait()) && c.takeShareOrPlace(first) {
					return c.choiceAtLimit(first), true
				}
				continue
			}
		}
		if !ok && len(occupied) > 0 && c.awaitTrial(ctx) {
			clear(occupied)
			continue
		}
		if ok && !c.beginTrial(choice.Target) {
			occupied[choice.Target.ID] = true
			continue
		}
		if ok && !c.reservePlace(choice.Target) {
			c.endTrial()
			continue
		}
		if !ok && c.endDraw() {
			continue
		}
		if !ok {
			c.noteMemory(now, free)
			return choice, false
		}
		if c.e.limits.take(now, choice.Target, 0) && c.takeShareOrPlace(choice.Target) {
			return choice, true
		}
		c.endReservation()
		c.endTrial()
	}
	return balance.Choice{}, false
}

// without returns the targets that are not excluded.
func without(targets catalog.Targets, excluded map[id.Target]bool) catalog.Targets {
	if len(excluded) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool { return excluded[t.ID] })
}

func (c *call) choiceAtLimit(t *catalog.Target) balance.Choice {
	backup := c.e.balancer.BackupFor(c.now(), c.requirements, c.targets(), t, c.tried)
	return balance.Choice{Target: t, Backup: backup, Reason: balance.AtLimit}
}

// firstInTime returns the target at its limit that may get a request first, or nil if none
// may in time for the request.
func (c *call) firstInTime(full catalog.Targets) *catalog.Target {
	first, least := c.firstFree(full)
	if first != nil && least > c.maxLimitWait() {
		c.limitedTarget = first
		return nil
	}
	return first
}

// firstFree returns the target that may get a request first, and the time until then.
// Targets that were tried, are suspected or lack the memory for it are left out.
func (c *call) firstFree(full catalog.Targets) (*catalog.Target, time.Duration) {
	now := c.now()
	var first *catalog.Target
	var least time.Duration
	for _, t := range full {
		if c.tried[t.ID] || c.e.balancer.Suspected(now, t) || !c.e.balancer.Fits(now, c.requirements, t) {
			continue
		}
		if wait := c.e.limits.wait(now, t); first == nil || wait < least {
			first, least = t, wait
		}
	}
	return first, least
}

// maxLimitWait returns how long the request may wait for a target at its limit.
func (c *call) maxLimitWait() time.Duration {
	most := c.timeLeft() / 2
	if c.route.LatencyObjective > 0 {
		most = min(most, c.route.LatencyObjective)
	}
	return most
}

// takePlace counts a request to the target and waits until it may be sent. It returns false
// if that would take longer than most, or if ctx ends or the target leaves meanwhile.
func (c *call) takePlace(ctx context.Context, t *catalog.Target, most time.Duration) bool {
	now := c.now()
	wait := c.e.limits.wait(now, t)
	if wait > most || !c.e.limits.take(now, t, wait) {
		return false
	}
	if wait == 0 {
		return true
	}
	if timing.Sleep(ctx, c.e.deps.Clock, wait) && c.isReady(t) {
		return true
	}
	c.e.limits.giveBack(t)
	return false
}

// isReady reports whether the target still accepts requests.
func (c *call) isReady(t *catalog.Target) bool {
	current := c.targets().Find(t.ID)
	return current != nil && current.State == catalog.Ready && current.Incarnation == t.Incarnation && current.SameSoftware(t)
}

// lasting returns the targets at which a new stream can go on after a loss: those that
// share their version with another usable target in another zone. It returns all targets
// if there are none, or if all are of one version.
func (c *call) lasting(targets catalog.Targets) catalog.Targets {
	if c.software != nil || !c.route.Resumable || sameSoftware(targets) {
		return targets
	}
	now := c.now()
	usable := slices.DeleteFunc(targets.Ready(), func(t *catalog.Target) bool { return c.tried[t.ID] || c.e.balancer.Suspected(now, t) })
	zones := map[id.SoftwareVersion]map[id.Zone]bool{}
	for _, t := range usable {
		if !t.SoftwareUnknown {
			if zones[t.Software] == nil {
				zones[t.Software] = map[id.Zone]bool{}
			}
			zones[t.Software][t.Zone] = true
		}
	}
	lasting := slices.DeleteFunc(usable, func(t *catalog.Target) bool { return t.SoftwareUnknown || len(zones[t.Software]) < 2 })
	if len(lasting) == 0 {
		return targets
	}
	return lasting
}

// withRoom leaves out the targets without room for a request that has waited for it, and those
// of a stream that goes on which have as many requests as they run and queue at once: all that
// go on come to the few targets of a version.
func (c *call) withRoom(targets catalog.Targets) catalog.Targets {
	if c.usesRoom() {
		return c.roomy(targets)
	}
	if c.software == nil {
		return targets
	}
	now := c.now()
	return slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool {
		full := c.e.places.full(now, t)
		c.targetBusy = c.targetBusy || full
		return full
	})
}

func sameSoftware(targets catalog.Targets) bool {
	return !slices.ContainsFunc(targets, func(t *catalog.Target) bool { return !t.SameSoftware(targets[0]) })
}
