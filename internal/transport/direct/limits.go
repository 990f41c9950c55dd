package direct

import (
	"net/http"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/targetlimit"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// peerDemandTime is how long the demand that another entry reported counts.
	peerDemandTime = 3 * time.Second
	// meetTime is how long after its start an entry may not know all others yet.
	meetTime = 3 * time.Second
	// resumeLimitWait is how long a stream waits for the limit of the target that holds
	// its copy. Beyond it, the stream starts anew elsewhere.
	resumeLimitWait = 250 * time.Millisecond
	// minLimitRetryAfter is the shortest Retry-After of a request that a limit refused.
	minLimitRetryAfter = 50 * time.Millisecond
)

// targetLimits applies the limits that targets name to the requests of this entry.
type targetLimits struct {
	e      *Entry
	limits *targetlimit.Limits
}

func newTargetLimits(e *Entry) *targetLimits {
	return &targetLimits{e: e, limits: targetlimit.New()}
}

// observe records what an answer said about the target's limit, and reports it to the other
// entries at once of a change.
func (l *targetLimits) observe(sent time.Time, t *catalog.Target, limit direct.Limit) {
	if !l.limits.Observe(l.e.deps.Clock.Now(), sent, t.Key(), limit) {
		return
	}
	l.e.deps.Log.Emit(event.TargetLimitChanged, "target", t.ID, "incarnation", t.Incarnation, "limited", limit.Limited, "perSecond", limit.PerSecond)
	l.e.updatePeers()
}

// reports returns the known limits, for the other entries.
func (l *targetLimits) reports(now time.Time) []targetlimit.Report { return l.limits.Reports(now) }

// merge applies the limits that another entry knows. Those of targets that are gone are
// ignored, because entries learn of that at different times.
func (l *targetLimits) merge(now time.Time, reports []targetlimit.Report) {
	if len(reports) == 0 {
		return
	}
	known := l.e.knownTargets()
	l.limits.Merge(now, slices.DeleteFunc(reports, func(r targetlimit.Report) bool {
		return !known[r.Key()]
	}))
}

// share returns this entry's share of the limit of a target, 1 if it has none.
func (l *targetLimits) share(now time.Time, t *catalog.Target) float64 {
	perSecond, limited := l.limits.Limited(t.Key())
	if !limited {
		return 1
	}
	own, others := l.e.retryBudgets.demand(now, t.Service)
	return targetlimit.ShareOf(t.ID, perSecond, targetlimit.Demand{Self: l.e.cfg.Name, Own: own, Others: others, Usable: l.usable(now)})
}

// usable returns the part of a limit that this entry and those that it hears from may use.
func (l *targetLimits) usable(now time.Time) float64 {
	if now.Sub(l.e.startedAt) < meetTime {
		return l.e.roster.LimitShare(now)
	}
	return l.e.roster.ContactShare(now)
}

// wait returns the time until a request may be sent to the target.
func (l *targetLimits) wait(now time.Time, t *catalog.Target) time.Duration {
	return l.limits.Wait(now, t.Key(), l.share(now, t))
}

// take counts a request to the target that is sent after a wait. It returns false if others
// have taken its place meanwhile.
func (l *targetLimits) take(now time.Time, t *catalog.Target, wait time.Duration) bool {
	return l.limits.Take(now, t.Key(), l.share(now, t), wait)
}

// giveBack takes back a request that was not sent.
func (l *targetLimits) giveBack(t *catalog.Target) { l.limits.Return(t.Key()) }

// charge counts a call to the target that does not wait.
func (l *targetLimits) charge(now time.Time, t *catalog.Target) {
	l.limits.Charge(now, t.Key(), l.share(now, t))
}

// retryAfter returns when a request for the target that is refused now may come back. If
// this entry has no share of the limit, others have, and one of them may serve it soon.
func (l *targetLimits) retryAfter(now time.Time, t *catalog.Target) time.Duration {
	share := l.share(now, t)
	if share == 0 {
		return busyRetryAfter
	}
	return max(minLimitRetryAfter, l.limits.RetryAfter(now, t.Key(), share))
}

// listed records that a target is listed with an incarnation.
func (l *targetLimits) listed(key id.TargetIncarnation) { l.limits.Listed(key) }

// forget drops the limits of targets that are gone.
func (l *targetLimits) forget(gone catalog.Targets) {
	names := make(map[id.Target]bool, len(gone))
	for _, t := range gone {
		names[t.ID] = true
	}
	l.limits.Forget(func(t id.TargetIncarnation) bool { return names[t.Target] })
}

// split divides targets into those that may get a request now and those at their limit.
func (l *targetLimits) split(now time.Time, targets catalog.Targets) (free, full catalog.Targets) {
	if l.limits.None() {
		return targets, nil
	}
	for _, t := range targets {
		if t.State == catalog.Ready && l.wait(now, t) > 0 {
			full = append(full, t)
		} else {
			free = append(free, t)
		}
	}
	return free, full
}

// refuseAtLimit refuses a request for which all usable targets are at their limits. It
// counts as a request for the service all the same.
func (c *call) refuseAtLimit() {
	now := c.now()
	if c.sends == 0 {
		c.e.retryBudgets.recordRequest(now, c.service)
	}
	c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "targetLimit", retryAfter: c.e.limits.retryAfter(now, c.limitedTarget)})
}
