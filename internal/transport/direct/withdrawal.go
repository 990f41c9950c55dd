package direct

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/withdrawal"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// trialPoll is how often a request looks whether a target has answered one of them.
	trialPoll = 20 * time.Millisecond
	// pauseSpread is the time over which clients come back after the end of a pause.
	pauseSpread = time.Second
)

// targets returns the targets that may get the request now: those at which its stream may
// go on, that have not withdrawn and that show something of a suspect.
func (c *call) targets() catalog.Targets {
	return c.livingForTrial(c.e.withdrawn.Usable(c.now(), c.eligibleTargets()))
}

// beginTrial reports whether the target may get the request now, also if its pause has just
// ended. endTrial must follow once the request has ended there.
func (c *call) beginTrial(t *catalog.Target) bool {
	switch c.e.withdrawn.BeginTrial(c.now(), t.Key()) {
	case withdrawal.MustWait:
		c.targetsTried = true
		return false
	case withdrawal.Tries:
		c.trial = t
	case withdrawal.NoTrial:
	}
	return true
}

// endTrial records that the request has ended at the target that it tried, if there is one.
func (c *call) endTrial() {
	if c.trial != nil {
		c.e.withdrawn.EndTrial(c.trial.Key())
		c.trial = nil
	}
}

// awaitTrial waits until a target that is tried after its pause may have answered. It returns
// false if the request has waited for long.
func (c *call) awaitTrial(ctx context.Context) bool {
	if c.now().Sub(c.start) > c.maxLimitWait() {
		return false
	}
	return timing.Sleep(ctx, c.e.deps.Clock, trialPoll)
}

// allTargets returns the currently known targets of the request's service.
func (c *call) allTargets() catalog.Targets { return c.e.directory.View().Targets[c.service] }

// knownTargets returns the targets that are known now.
func (e *Entry) knownTargets() map[id.TargetIncarnation]bool {
	known := map[id.TargetIncarnation]bool{}
	for _, targets := range e.directory.View().Targets {
		for _, t := range targets {
			known[t.Key()] = true
		}
	}
	return known
}

// observeAnswer records what the head of a target's answer says about further requests.
// sent is when the request was sent there.
func (c *call) observeAnswer(sent time.Time, t *catalog.Target, meta direct.ResponseMetadata) {
	c.e.limits.observe(sent, t, meta.Limit)
	c.e.balancer.ObserveLoad(c.now(), t, meta.Load)
	if meta.Notice.Pause > 0 {
		c.log(event.TargetPaused, "target", t.ID, "incarnation", t.Incarnation, "for", meta.Notice.Pause)
	}
	c.e.observeNotice(t, meta.Notice)
}

// observeNotice records what a target says about further requests, and reports it to the other entries at
// once that it is leaving.
func (e *Entry) observeNotice(t *catalog.Target, n direct.Notice) {
	if !e.withdrawn.Observe(e.deps.Clock.Now(), t.Key(), n) {
		return
	}
	e.deps.Log.Emit(event.MemberChanged, "target", t.ID, "state", "leaving", "zone", t.Zone, "incarnation", t.Incarnation)
	e.updatePeers()
}

// pause returns the time until the first target is usable again, if all that are known want
// a pause, and 0 otherwise.
func (c *call) pause() time.Duration {
	if len(c.targets()) > 0 {
		return 0
	}
	return c.e.withdrawn.UntilUsable(c.now(), c.eligibleTargets())
}
