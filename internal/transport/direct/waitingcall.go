package direct

import (
	"context"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/overload"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// waitCheckInterval is how often a request that waits looks whether it may still be sent.
	waitCheckInterval = 100 * time.Millisecond
	// enginePromptDelay is the usual time until an engine with room begins with a prompt, and
	// enginePerToken the time that it takes for a token of it beside its other requests.
	enginePromptDelay = 400 * time.Millisecond
	enginePerToken    = prefillPerToken * 4 / 3
	// retryAfterPart is the divisor of the time left that gives the longest Retry-After.
	retryAfterPart = 3
)

// waitState is the part of a call that waits for room.
type waitState struct {
	// place is the call's place in the order; nil before it first waited.
	place *overload.Place
	// hasTurn is set while the call may choose a target. It is guarded by the lines' lock.
	hasTurn bool
	// noRoom is set if the call had a turn and found no target with room.
	noRoom bool
	// reserved holds the places that were reserved when the room was determined.
	reserved map[id.Target]int
	// refused says why the call was refused instead of getting a turn; empty if it was not.
	refused    overload.Reason
	retryAfter time.Duration
}

// waits reports whether the call has to wait for room. A stream that has begun does not.
func (c *call) waits() bool { return c.software == nil && c.e.competes(c.service) }

// usesRoom reports whether the call has waited, or asked, for room, so that it is sent to targets
// with room only. Requests for a service may come to compete while a call chooses its target.
func (c *call) usesRoom() bool { return c.wait.place != nil && c.waits() }

// awaitRoom waits until there is room for the request at a target. It returns false if the
// request ends instead.
func (c *call) awaitRoom(ctx context.Context) bool {
	if !c.waits() || c.inQuarantine() {
		return true
	}
	verdict, w := c.e.lines.offer(c, !c.wait.noRoom)
	c.wait.noRoom = false
	switch verdict.Kind {
	case overload.Run:
		return true
	case overload.Refused:
		c.refusedRoom(verdict.Reason, verdict.RetryAfter, verdict.Wait)
		return false
	}
	c.log(event.RequestWaits, "service", c.service, "priority", c.priority(), "expected", verdict.Wait, "waiting", c.e.lines.count(c.service), "sends", c.sends, "left", c.timeLeft())
	return c.awaitTurn(ctx, w)
}

// awaitTurn waits for the end of a wait.
func (c *call) awaitTurn(ctx context.Context, w *waiter) bool {
	began := c.now()
	defer func() { c.e.metrics.waitEnded(c.service, c.now().Sub(began)) }()
	for {
		select {
		case end := <-w.end:
			if end.dropped != nil {
				c.refusedRoom(end.dropped.Reason, end.dropped.RetryAfter, 0)
				return false
			}
			c.log(event.RequestGoesOn, "service", c.service, "waited", c.now().Sub(began), "passed", end.passed)
			return true
		case <-ctx.Done():
			c.e.lines.leave(c)
			return false
		case <-c.e.deps.Clock.After(waitCheckInterval):
			if c.stopsFirst() || c.inQuarantine() {
				c.e.lines.leave(c)
				return !c.stopsFirst()
			}
		}
	}
}

// refusedRoom records that the request is refused because there is too little room.
func (c *call) refusedRoom(reason overload.Reason, retryAfter, expected time.Duration) {
	now := c.now()
	if c.sends == 0 {
		c.e.retryBudgets.recordRequest(now, c.service)
	}
	c.wait.refused = reason
	c.wait.retryAfter = min(retryAfter, max(0, c.timeLeft()/retryAfterPart))
	c.e.metrics.roomRefused(c.service, string(reason))
	e := event.RoomRefused
	if reason == overload.Displaced {
		e = event.RequestDisplaced
	}
	c.log(e, "service", c.service, "reason", reason, "priority", c.priority(), "expected", expected, "retryAfter", c.wait.retryAfter, "after", now.Sub(c.start))
}

// inQuarantine reports whether the request is refused because it crashes targets, so that it
// need not wait.
func (c *call) inQuarantine() bool {
	left, _ := c.e.quarantine.RefusedFor(c.now(), c.content())
	return left > 0
}

// endTurn gives back the call's turn, and lets others look for the room that it did not take.
func (c *call) endTurn() {
	if c.wait.place != nil {
		c.e.lines.endTurn(c)
		c.e.lines.dispatch(c.service)
	}
}

// lostRoom reports whether the request had a turn and found that others had taken the room, so
// that it waits again.
func (c *call) lostRoom() bool {
	if !c.wait.noRoom {
		return false
	}
	c.endTurn()
	return true
}

// waitingItem describes the request for the order of its service's line. work is the usual time
// of the service's requests; 0 if it is not known.
func (c *call) waitingItem(request id.Request, work time.Duration) overload.Item {
	item := overload.Item{
		Request: request, Contract: id.Contract(c.accountName()), Cost: float64(max(1, c.meta.PromptTokens+c.meta.OutputTokens)),
		Priority: c.priority(), Deadline: c.deadline, ServiceTime: work, MaxRetryAfter: c.timeLeft() / retryAfterPart,
	}
	untilAnswer := work
	if c.route.Kind == catalog.Streaming {
		untilAnswer = enginePromptDelay + time.Duration(c.meta.PromptTokens)*enginePerToken
		item.ServiceTime = max(untilAnswer, enginePromptDelay+c.e.minStreamTime(c.service, &c.meta))
		if gone := c.start.Add(clientPatience(c.route)); gone.Add(-untilAnswer).Before(c.deadline.Add(-item.ServiceTime)) {
			item.Deadline, item.ServiceTime = gone, untilAnswer
		}
	}
	if c.route.LatencyObjective > 0 {
		item.OnTimeBy = c.start.Add(c.route.LatencyObjective - untilAnswer)
	}
	return item
}

// priority returns the request's place in the order of urgency, or its priority where requests do
// not compete.
func (c *call) priority() int {
	if c.e.competes(c.service) {
		return c.cfg.UrgencyOf(c.route, c.account)
	}
	return c.cfg.PriorityOf(c.route, c.account)
}

// untried returns the targets that the request was not sent to.
func (c *call) untried(targets catalog.Targets) catalog.Targets {
	if len(c.tried) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool { return c.tried[t.ID] })
}

// roomy returns the targets that have room for a request that has its turn.
func (c *call) roomy(targets catalog.Targets) catalog.Targets {
	c.wait.noRoom = false
	room := c.e.lines.room(c, c.untried(targets))
	if room.Undecided {
		return targets
	}
	c.wait.noRoom = room.Places == 0
	if room.Places == 0 {
		return nil
	}
	return room.Targets
}

// refusedBy records that a target refused the request as full. A request that waits may go
// there again later.
func (c *call) refusedBy(t *catalog.Target) {
	c.targetBusy = true
	if c.waits() {
		delete(c.tried, t.ID)
	}
}
