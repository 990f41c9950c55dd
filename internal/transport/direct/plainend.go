package direct

import (
	"context"
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// endCheckTimeout limits how long a plain answer waits for evidence that it is complete.
const endCheckTimeout = 500 * time.Millisecond

// A plain answer waits until settleNumerator parts in settleDenominator of its route's latency objective
// have passed, before its process is asked whether it still serves, and no longer than a settleLeftDivisor
// of the time that the request has left.
const (
	settleNumerator   = 2
	settleDenominator = 3
	settleLeftDivisor = 2
)

// needsEvidence reports whether a plain answer may be a part of one that its target has not
// completed, and its target can be asked. Failures and redirections do not claim that the
// request was done, so they need no evidence.
func (c *call) needsEvidence(a *bufferedAnswer) bool {
	return a.framing == completion.Connection && a.status < http.StatusMultipleChoices && c.r.Method != http.MethodHead && c.canAsk()
}

// canAsk reports whether targets of the service say which process serves.
func (c *call) canAsk() bool {
	s := c.cfg.Services[c.service]
	return s.Engine != nil || s.HealthPath != ""
}

// confirmAnswer returns Succeeded if a plain answer that ended with its connection is complete,
// otherwise the outcome of its attempt.
func (c *call) confirmAnswer(ctx context.Context, t *catalog.Target) (balance.Outcome, error) {
	end := completion.End{Framing: completion.Connection, Begun: true, AtDeadline: c.timeLeft() <= deadlineEndMargin, Settled: true}
	var err error
	if end.NeedsProcess() {
		// An error means that the client has left or the entry stops; then the call fails too.
		_ = timing.Sleep(ctx, c.e.deps.Clock, c.settleTime())
		end.Process, err = c.processAfterAnswer(ctx, t)
	}
	verdict := end.Judge()
	c.answer.evidence = verdict.Evidence
	if verdict.Result == completion.Complete {
		return balance.Succeeded, nil
	}
	return brokenOff(&end, err)
}

// settleTime returns how long a plain answer may wait for evidence that its process does not end: as long as
// it is still on time, or, if it is late, as long as its client waits.
func (c *call) settleTime() time.Duration {
	now := c.now()
	wait := c.route.LatencyObjective*settleNumerator/settleDenominator - now.Sub(c.start)
	if now.Sub(c.start) > c.route.LatencyObjective {
		// It is late in any case.
		wait = completion.SettleTime
	}
	return max(0, min(wait, completion.SettleTime, c.latestSettle(now).Sub(now), c.timeLeft()/settleLeftDivisor))
}

// processAfterAnswer asks the target which process serves there: an engine by its report, other
// targets by a health check. It returns an error if none does.
func (c *call) processAfterAnswer(ctx context.Context, t *catalog.Target) (completion.Process, error) {
	deadline := c.now().Add(endCheckTimeout)
	if latest := c.attemptDeadline(); latest.Before(deadline) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var process completion.Process
	var err error
	s := c.cfg.Services[c.service]
	if s.Engine != nil {
		process, err = c.e.reports.processOf(ctx, t)
	} else {
		process, err = c.e.reports.processByHealth(ctx, t, s.HealthPath, deadline)
	}
	if fault.Is(err, upstream.NotSent) {
		return completion.Unknown, fault.Wrap("call.processAfterAnswer", upstream.ConnectionLost, err)
	}
	// A target that is too busy to answer is not lost.
	return process, nil
}

// processByHealth does what processOf does by a health check at a path.
func (r *reportReader) processByHealth(ctx context.Context, t *catalog.Target, path string, deadline time.Time) (completion.Process, error) {
	if r.e.withdrawn.Paused(r.e.deps.Clock.Now(), t.Key()) {
		return completion.Unknown, nil
	}
	name, ok, err := r.nameAt(ctx, t, path, deadline)
	if err != nil {
		return completion.Unknown, err
	}
	return r.judge(t, selfDescription{named: ok, same: name == t.ID}), nil
}

// nameAt requests its name from the process at a target's address. named is false if it is not healthy, or does not tell it.
func (r *reportReader) nameAt(ctx context.Context, t *catalog.Target, path string, deadline time.Time) (name id.Target, named bool, err error) {
	request := &upstream.Request{Method: http.MethodGet, URI: path, Host: t.Address, Header: http.Header{}}
	answer, err := r.e.pool.Do(ctx, t.Address, request, deadline)
	if err != nil {
		return "", false, err
	}
	defer answer.Close()
	name, named = r.e.deps.Dialect.DecodeName(answer.Status, answer.Header)
	return name, named, nil
}
