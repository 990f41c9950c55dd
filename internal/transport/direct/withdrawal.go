package direct

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/withdrawal"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// targets returns the targets that may get the request now: those at which its stream may
// go on and that have not withdrawn.
func (c *call) targets() catalog.Targets {
	return c.e.withdrawn.Usable(c.now(), c.eligibleTargets())
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

// mergeWithdrawn records the targets that are leaving according to another entry. Those
// that are gone are ignored, because entries learn of that at different times.
func (e *Entry) mergeWithdrawn(now time.Time, reports []withdrawal.Report) {
	if len(reports) == 0 {
		return
	}
	known := e.knownTargets()
	e.withdrawn.Merge(now, slices.DeleteFunc(reports, func(r withdrawal.Report) bool { return !known[id.TargetIncarnation(r)] }))
}

// observeAnswer records what the head of a target's answer says about further requests.
// sent is when the request was sent there.
func (c *call) observeAnswer(sent time.Time, t *catalog.Target, meta direct.ResponseMetadata) {
	c.e.limits.observe(sent, t, meta.Limit)
	if meta.Notice.Pause > 0 {
		c.log(event.TargetPaused, "target", t.ID, "incarnation", t.Incarnation, "for", meta.Notice.Pause)
	}
	if c.e.withdrawn.Observe(c.now(), t.Key(), meta.Notice) {
		c.e.deps.Log.Emit(event.MemberChanged, "target", t.ID, "state", "leaving", "zone", t.Zone, "incarnation", t.Incarnation)
		if c.e.peerExchange != nil {
			c.e.peerExchange.sendNow()
		}
	}
}

// pause returns the time until the first target is usable again, if all that are known want
// a pause, and 0 otherwise.
func (c *call) pause() time.Duration {
	if len(c.targets()) > 0 {
		return 0
	}
	return c.e.withdrawn.UntilUsable(c.now(), c.eligibleTargets())
}
