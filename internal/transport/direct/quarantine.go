package direct

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// minSilence is the shortest time without a sign of a target after which an attempt
// that timed out there suggests that the target has ended.
const minSilence = 250 * time.Millisecond

// livedOnTime is the time after the first part of an answer from which its target counts
// as not crashed by it.
const livedOnTime = 500 * time.Millisecond

// computeFingerprint returns the fingerprint of the request's content and client
// account.
func (c *call) computeFingerprint() id.Fingerprint {
	return id.FingerprintOf(string(c.accountName()), c.r.Method, c.r.Host, c.r.RequestURI, string(c.body))
}

// content returns the fingerprints of the request and of the parts of its prompt.
func (c *call) content() quarantine.Content {
	return quarantine.Content{Request: c.requestFingerprint, Parts: c.partFingerprints}
}

// suspectParts returns the parts that may have crashed the target of an attempt: none once
// the target has written for some time.
func (c *call) suspectParts() []id.Fingerprint {
	if c.attemptProven {
		return nil
	}
	return c.partFingerprints
}

// recordActivity records that the target of the current attempt has sent a part of an
// answer. A target that lives on after that was not crashed by a part of the prompt.
func (c *call) recordActivity(now time.Time) {
	if c.attemptBegan.IsZero() {
		c.attemptBegan = now
	}
	if !c.attemptProven && now.Sub(c.attemptBegan) >= livedOnTime {
		c.attemptProven = true
		c.e.quarantine.Proved(now, c.partFingerprints)
	}
}

// accountName returns the name of the request's client account; empty for none.
func (c *call) accountName() catalog.AccountName {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// updateQuarantine records what the outcome of an attempt says about the target
// and the request. Only a success proves that the request ran to its end.
func (c *call) updateQuarantine(now, sent time.Time, t *catalog.Target, outcome balance.Outcome, err error) {
	switch {
	case outcome == balance.Succeeded && c.succeeded && c.endUncertain:
		proven := c.answer.evidence != completion.NoEvidence
		c.e.deps.Clock.AfterFunc(livedOnTime, func() { c.judgeEnd(now, sent, t, proven) })
	case outcome == balance.Succeeded && c.succeeded:
		c.clear(now)
	case c.mayHaveEnded(now, t, outcome, err):
		c.e.quarantine.TargetLost(now, t.Key(), t.Zone, c.lostRun(sent, fault.Is(err, upstream.ConnectionLost)))
		status := c.logTargetEnd(now, t, outcome, err)
		// The other entries may have seen the ends of other copies of the request.
		c.e.updatePeers()
		if status.Failures > 1 {
			c.log(event.RequestSuspected, "fingerprint", c.requestFingerprint, "target", t.ID, "incarnation", t.Incarnation, "deaths", status.Failures)
		}
	case outcome == balance.Unreachable:
		c.e.quarantine.TargetLost(now, t.Key(), t.Zone)
		c.logTargetEnd(now, t, outcome, err)
	case outcome == balance.Lost || outcome == balance.ClientCancelled || outcome == balance.Rerouted:
		c.logTargetEnd(now, t, outcome, err)
	}
}

// lostRun returns the current attempt as one that ended with its target. closed says that the
// target closed the connection.
func (c *call) lostRun(sent time.Time, closed bool) quarantine.Run {
	return quarantine.Run{
		Fingerprint: c.requestFingerprint, ID: quarantine.NewRunID(id.Request(c.meta.Attempt)), Parts: c.suspectParts(), StartedAt: sent, Closed: closed,
	}
}

// clear records that the request ran to its end.
func (c *call) clear(now time.Time) {
	c.e.quarantine.Proved(now, c.partFingerprints)
	if ends := c.e.quarantine.Completed(now, c.requestFingerprint); ends > 0 {
		c.e.metrics.requestCleared(balance.Succeeded)
		c.log(event.RequestCleared, "fingerprint", c.requestFingerprint, "outcome", balance.Succeeded, "ends", ends)
	}
}

// judgeEnd decides, some time after the end of the connection ended an answer, what that
// says about the request: if the target is lost, the request may have crashed it. proven says that
// the target served after the end. Without that, and if nothing was heard from it since, the end
// says nothing.
func (c *call) judgeEnd(end, sent time.Time, t *catalog.Target, proven bool) {
	now := c.now()
	if !c.e.balancer.Suspected(now, t) {
		if proven || c.e.balancer.HeardFrom(t.Key()).After(end) {
			c.clear(now)
		}
		return
	}
	c.e.quarantine.TargetLost(end, t.Key(), t.Zone, c.lostRun(sent, false))
	c.logTargetEnd(end, t, balance.Lost, nil)
}

// mayHaveEnded reports whether the target may have ended while it ran the request:
// it closed the connection, or no request has heard from it for some time. A
// connection that this entry closed says nothing about the target, and neither does
// an invalid answer.
func (c *call) mayHaveEnded(now time.Time, t *catalog.Target, outcome balance.Outcome, err error) bool {
	if c.evidence == balance.OverdueStart {
		return false
	}
	if outcome == balance.Lost && (fault.Is(err, upstream.ReadTimeout) || c.expired()) {
		return now.Sub(c.e.balancer.HeardFrom(t.Key())) > minSilence
	}
	return fault.Is(err, upstream.ConnectionLost) && !errors.Is(err, net.ErrClosed)
}

// logTargetEnd logs that a target may have ended while it ran the request, and how
// many such ends are held against the request's fingerprint. An attempt that the
// entry or its client gave up is logged only if there are any. It returns the status of the
// fingerprint.
func (c *call) logTargetEnd(now time.Time, t *catalog.Target, outcome balance.Outcome, err error) quarantine.Status {
	status := c.e.quarantine.LatestStatus(now, c.requestFingerprint)
	if outcome != balance.Lost && status.Ends == 0 {
		return status
	}
	c.e.metrics.targetEndSeen(outcome, lossReason(err))
	c.log(event.TargetEndSeen, "fingerprint", c.requestFingerprint, "target", t.ID, "incarnation", t.Incarnation, "zone", t.Zone,
		"outcome", outcome, "reason", lossReason(err), "ends", status.Ends, "counted", status.Failures,
		"cleared", status.Dismissed.Cleared, "alive", status.Dismissed.Alive, "dead", status.Dismissed.Dead)
	return status
}

// lossReason returns the kind of an attempt's error, for logs and metrics.
func lossReason(err error) string {
	var failure *upstream.Error
	if errors.As(err, &failure) {
		return string(failure.Kind)
	}
	return "answer"
}

// mayStart reports whether the request may be sent to a target, as far as it is suspected
// of crashing targets. A request that can't wait for the reports of the other entries must
// come back later.
func (c *call) mayStart(ctx context.Context) bool {
	now := c.now()
	if c.quarantined(now) {
		return false
	}
	request := id.Request(c.meta.Attempt)
	verdict := c.e.quarantine.TryStart(now, c.content(), request, c.sends > 0)
	waited := verdict == quarantine.MustWait
	for verdict == quarantine.MustWait {
		verdict = c.awaitReports(ctx, request)
	}
	if waited && verdict == quarantine.Allowed {
		c.e.updatePeers()
	}
	c.heldBack = verdict == quarantine.HeldBack
	return verdict == quarantine.Allowed
}

// notReached records that a request that might start has not reached a target.
func (c *call) notReached() {
	c.e.quarantine.NotReached(c.now(), c.content(), id.Request(c.meta.Attempt))
}

// livingForTrial leaves out the targets that are known to have ended if the next send is a
// trial. There, it would show nothing of the request.
func (c *call) livingForTrial(targets catalog.Targets) catalog.Targets {
	if !c.e.quarantine.MustTry(c.content()) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool { return c.e.quarantine.Ended(t.Key()) })
}

// awaitReports waits for the reports of the other entries, and returns whether the request
// may be sent to a target then. It is held back if it has no time to wait, and to run for
// long enough then.
func (c *call) awaitReports(ctx context.Context, request id.Request) quarantine.Verdict {
	c.e.updatePeers()
	// Others use the room meanwhile.
	c.endTurn()
	if c.timeLeft() <= quarantine.SettleTime+c.e.quarantine.TrialTime(c.content()) || !timing.Sleep(ctx, c.e.deps.Clock, quarantine.SettleTime) {
		return quarantine.HeldBack
	}
	if c.quarantined(c.now()) {
		return quarantine.HeldBack
	}
	return c.e.quarantine.Confirm(c.now(), c.content(), request)
}

// quarantined reports whether the request is refused because it crashes targets.
func (c *call) quarantined(now time.Time) bool {
	var refused id.Fingerprint
	c.quarantineLeft, refused = c.e.quarantine.RefusedFor(now, c.content())
	if c.quarantineLeft == 0 {
		return false
	}
	c.log(event.RequestQuarantined, "fingerprint", refused, "part", refused != c.requestFingerprint, "remaining", c.quarantineLeft, "sends", c.sends)
	return true
}
