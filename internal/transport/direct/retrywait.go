package direct

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/retry"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// retryCheckInterval is how often a request that waits for a retry asks for it.
	retryCheckInterval = 25 * time.Millisecond
	// retryMargin is kept of the time in which a retry is worth anything.
	retryMargin = 200 * time.Millisecond
)

// lossEvidence returns what showed that the current attempt's target was lost.
func (c *call) lossEvidence(run *balance.Attempt, outcome balance.Outcome, err error) balance.Evidence {
	if (outcome != balance.Lost && outcome != balance.Unreachable) || !c.e.competes(c.service) {
		return balance.Untyped
	}
	switch {
	case fault.Is(err, upstream.ReadTimeout):
		return run.SilenceEvidence(c.now())
	case fault.Is(err, upstream.ConnectionLost), fault.Is(err, upstream.NotSent):
		return balance.Connection
	}
	return balance.Untyped
}

// clientPatience returns how long clients wait for the next event of the route's streams.
func clientPatience(r *catalog.Route) time.Duration {
	return max(minWriteTimeout, writeLatencyFactor*r.LatencyObjective, writeGapFactor*r.GapObjective)
}

// latestRetry returns until when it is worth anything to send the stream to a target: its client
// must get the next event before it gives up. A run from a copy has no prompt to compute.
func (s *stream) latestRetry(resumes bool) time.Time {
	c := s.c
	from := c.start
	if s.headSent {
		from = s.headSentAt
	}
	if s.events > 0 {
		from = s.lastEventAt
	}
	latest := from.Add(clientPatience(c.route))
	if c.deadline.Before(latest) {
		latest = c.deadline
	}
	if !resumes {
		latest = latest.Add(-time.Duration(c.requirements.PromptTokens) * prefillPerToken)
	}
	return latest.Add(-retryMargin)
}

// retryWaitEnd returns until when the stream waits for a retry. Its client may try again by
// itself, without the entries' budget, so a stream that is not late yet uses half of the time until it
// is. One that pauses too long waits no longer, and one that has not begun until its client gives up.
func (s *stream) retryWaitEnd(now time.Time) time.Time {
	c := s.c
	if s.events > 0 {
		return s.lastEventAt.Add(c.route.GapObjective)
	}
	return c.waitEnd(now, s.latestRetry(s.copyTracker.held()))
}

// retryWaitEnd returns until when a request whose answer is not a stream waits for a retry.
func (c *call) retryWaitEnd(now time.Time) time.Time { return c.waitEnd(now, c.claim().Latest) }

func (c *call) waitEnd(now, latest time.Time) time.Time {
	if left := c.start.Add(c.route.LatencyObjective).Sub(now); left > 0 && now.Add(left/2).Before(latest) {
		return now.Add(left / 2)
	}
	return latest
}

// claim returns what decides the stream's turn among others that have lost their targets.
func (s *stream) claim() retry.Claim {
	c := s.c
	copied := s.copyTracker.held()
	return retry.Claim{Begun: s.headSent, Copy: copied, Priority: c.cfg.PriorityOf(c.route, c.account), Latest: s.latestRetry(copied)}
}

// held reports whether a copy of the stream's run is known.
func (t *copyTracker) held() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder != nil
}

// claim returns what decides the turn of a request whose answer is not a stream.
func (c *call) claim() retry.Claim {
	return retry.Claim{Priority: c.cfg.PriorityOf(c.route, c.account), Latest: c.deadline.Add(-min(c.route.LatencyObjective, c.deadline.Sub(c.start)/2))}
}

// retryWait is how a request waits for a retry.
type retryWait struct {
	claim func() retry.Claim
	// end returns until when it waits. stops reports whether the entry stops before the request
	// would end.
	end   func(now time.Time) time.Time
	stops func() bool
}

// awaitRetry waits until the retry budget allows the request's next attempt, and takes it. It
// returns false if that takes longer than the attempt is worth anything. Requests for services
// without competition don't wait.
func (c *call) awaitRetry(ctx context.Context, w retryWait) bool {
	if c.sends == 0 || !c.reached || c.retryGranted || !c.e.competes(c.service) {
		return true
	}
	began := c.now()
	own, end := w.claim(), w.end(began)
	if !began.Before(own.Latest) {
		c.log(event.RetryTooLate, "late", began.Sub(own.Latest), "sends", c.sends, "begun", own.Begun)
		c.e.metrics.retryWaited(c.service, "tooLate", 0)
		return false
	}
	budgets := c.e.retryBudgets
	budgets.join(c.service, &own)
	defer budgets.leave(c.service, &own)
	for {
		now := c.now()
		if budgets.takeInOrder(now, c.service, &own, c.e.roster.LimitShare(now), c.reportAge(now)) {
			c.retryGranted = true
			c.recordRetryWait(now.Sub(began), "granted")
			return true
		}
		if !now.Before(end) || w.stops() || !timing.Sleep(ctx, c.e.deps.Clock, retryCheckInterval) {
			if c.clientGone() {
				c.abandon()
			}
			c.budgetExhausted = true
			c.recordRetryWait(c.now().Sub(began), "none")
			c.log(event.BudgetExhausted, "service", c.service, "entries", c.e.roster.LimitSharers(c.now()))
			return false
		}
	}
}

// recordRetryWait records that the request has waited for a retry.
func (c *call) recordRetryWait(took time.Duration, result string) {
	if took < retryCheckInterval {
		return
	}
	c.e.metrics.retryWaited(c.service, result, took)
	c.log(event.RetryAwaited, "result", result, "took", took, "sends", c.sends)
}

// returnRetry gives back a retry that was granted and not used.
func (c *call) returnRetry() {
	if c.retryGranted {
		c.retryGranted = false
		c.e.retryBudgets.undoRetry(c.now(), c.service)
	}
}

// join has a request wait for a retry.
func (r *retryBudgets) join(service id.Service, c *retry.Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiters[service] == nil {
		r.waiters[service] = &retry.Waiters{}
	}
	r.waiters[service].Join(c)
}

// leave ends a request's wait.
func (r *retryBudgets) leave(service id.Service, c *retry.Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters[service].Leave(c)
}

// takeInOrder is like tryRetry for a request that waits: it leaves enough for those that come
// before it.
func (r *retryBudgets) takeInOrder(now time.Time, service id.Service, c *retry.Claim, share float64, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	others := r.others(now, service, share, age)
	b := r.budget(now, service)
	return r.waiters[service].Before(c) < b.Available(now, others) && b.TryRetry(now, others)
}

// available returns how many retries are left for requests that don't wait for one yet.
func (r *retryBudgets) available(now time.Time, service id.Service, share float64, age time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := 0
	if w := r.waiters[service]; w != nil {
		waiting = w.Count()
	}
	return r.budget(now, service).Available(now, r.others(now, service, share, age)) - waiting
}
