package direct

import (
	"context"
	"io"
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
// otherwise the outcome of its attempt. sent is when the request was sent.
func (c *call) confirmAnswer(ctx context.Context, t *catalog.Target, sent time.Time) (balance.Outcome, error) {
	end := completion.End{Framing: completion.Connection, Begun: true, AtDeadline: c.timeLeft() <= deadlineEndMargin, Settled: true}
	var err error
	if end.NeedsProcess() {
		// An error means that the client has left or the entry stops; then the call fails too.
		_ = timing.Sleep(ctx, c.e.deps.Clock, c.settleTime())
		end.Process, err = c.processAfterAnswer(ctx, t, sent)
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
func (c *call) processAfterAnswer(ctx context.Context, t *catalog.Target, sent time.Time) (completion.Process, error) {
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
		process, err = c.e.reports.processByHealth(ctx, t, s.HealthPath, sent)
	}
	if fault.Is(err, upstream.NotSent) {
		return completion.Unknown, fault.Wrap("call.processAfterAnswer", upstream.ConnectionLost, err)
	}
	// A target that is too busy to answer is not lost.
	return process, nil
}

// processByHealth does what processOf does by a health check at a path, for a request that was sent at a time. A health check names no start: a
// process that started again under its id since answers as well. So it is made on a connection that is kept for such checks. If that was open
// before the request was sent, the process that answers is the one that had the request. If it was not, the target's record
// tells, read after that: what this entry knows of the key-value service may be seconds old.
func (r *reportReader) processByHealth(ctx context.Context, t *catalog.Target, path string, sent time.Time) (completion.Process, error) {
	if r.e.withdrawn.Paused(r.e.deps.Clock.Now(), t.Key()) {
		return completion.Unknown, nil
	}
	check, ok := r.checks.ask(ctx, t.Key(), func() healthCheck { return r.checkHealth(t, path) })
	if !ok {
		return completion.Unknown, nil
	}
	if check.err != nil {
		return completion.Unknown, check.err
	}
	process := r.judge(t, selfDescription{named: check.named, same: check.name == t.ID})
	if !process.ServesOn() || t.Incarnation == 0 || check.openSince.Before(sent) {
		return process, nil
	}
	if same, ok := r.records.ask(ctx, t.Key(), func() bool { return r.recordStays(t) }); !ok || !same {
		return completion.Unknown, nil
	}
	return process, nil
}

// recordStays reports whether the key-value service has the record of a target's process now.
func (r *reportReader) recordStays(t *catalog.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	began := r.e.deps.Clock.Now()
	page, err := r.e.deps.Store.List(ctx, r.e.storeWatcher.keyOf(t.ID))
	r.e.metrics.storeCall("record", err, r.e.deps.Clock.Since(began))
	if err != nil || !r.e.storeWatcher.observeEra(page.Era) {
		return false
	}
	for i := range page.Items {
		if record, err := r.e.deps.Codec.DecodeTarget(page.Items[i], began); err == nil && record.ID == t.ID {
			return record.Incarnation == t.Incarnation
		}
	}
	return false
}

// processChecks are the connections that health checks of processes keep.
const processChecks = "processChecks"

// healthCheck is an answer to a health check.
type healthCheck struct {
	name id.Target
	// named is false if the target is not healthy, or does not tell its name.
	named bool
	// openSince is when the connection of the check was opened.
	openSince time.Time
	err       error
}

// checkHealth makes a health check on a kept connection, or on one that is kept from then on.
func (r *reportReader) checkHealth(t *catalog.Target, path string) healthCheck {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	request := healthRequest(t, path)
	request.Run = processChecks
	answer, err := r.e.pool.Do(ctx, t.Address, request, r.e.deps.Clock.Now().Add(endCheckTimeout))
	if err != nil {
		return healthCheck{err: err}
	}
	defer answer.Close()
	// What the body says does not matter, but a connection is kept only after a whole answer.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, smallBodyBytes))
	answer.SetReadDeadline(time.Time{})
	check := healthCheck{openSince: answer.OpenSince()}
	check.name, check.named = r.e.deps.Dialect.DecodeName(answer.Status, answer.Header)
	return check
}

// healthRequest returns the health check of a target at a path.
func healthRequest(t *catalog.Target, path string) *upstream.Request {
	return &upstream.Request{Method: http.MethodGet, URI: path, Host: t.Address, Header: http.Header{}}
}

// nameAt requests its name from the process at a target's address. named is false if it is not healthy, or does not tell it.
func (r *reportReader) nameAt(ctx context.Context, t *catalog.Target, path string, deadline time.Time) (name id.Target, named bool, err error) {
	answer, err := r.e.pool.Do(ctx, t.Address, healthRequest(t, path), deadline)
	if err != nil {
		return "", false, err
	}
	defer answer.Close()
	name, named = r.e.deps.Dialect.DecodeName(answer.Status, answer.Header)
	return name, named, nil
}
