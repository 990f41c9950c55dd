package direct

import (
	"context"
	"errors"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// maxEndChecks limits how often a stream is resumed at a target to confirm its end there.
	maxEndChecks = 3
	// firstSettleCheck is how long after the end of an answer its process is asked first whether it
	// still serves. Further checks come after twice the time, and at most settleGap later.
	firstSettleCheck = 250 * time.Millisecond
	settleGap        = 500 * time.Millisecond
	// maxSettleTime is how long the answer waits if the process answers no check.
	maxSettleTime = 2 * completion.SettleTime
	// settleStopMargin is how long before the end of the grace time the last check is made.
	settleStopMargin = 200 * time.Millisecond
)

var (
	errEndAtDeadline = errors.New("the connection ended at the deadline")
	errNoEvents      = errors.New("the connection ended before the first event")
	errNoReport      = errors.New("the target's report does not name its start")
	// errEndUnconfirmed ends attempts whose connection ended between two events.
	errEndUnconfirmed = errors.New("nothing confirms that the end of the connection ended the answer")
)

// endChecks tracks whether the end of a stream's connection has been confirmed.
type endChecks struct {
	// at is the target at which the stream is resumed next to confirm its end; nil for none.
	at *catalog.Target
	// count is the number of such resumptions.
	count int
	// endedAt is the target whose answer has ended after the event endedAfter while its process
	// served; zero for none.
	endedAt    id.TargetIncarnation
	endedAfter direct.EventID
	// pending is set while the last end is not confirmed, and givenUp once it can't be.
	pending, givenUp bool
}

// take returns the target at which the end is to be confirmed, and clears it.
func (e *endChecks) take() *catalog.Target {
	t := e.at
	e.at = nil
	if t != nil {
		e.count++
	}
	return t
}

// endOfAnswer handles the end of an answer between two events.
func (r *eventRelay) endOfAnswer(ctx context.Context, framing completion.Framing) (balance.Outcome, error) {
	s, c := r.s, r.s.c
	c.endUncertain = framing == completion.Connection
	end := s.endOf(framing, r.target)
	var err error
	if end.NeedsProcess() {
		end.Process, err = r.processAfterEnd(ctx, end.Resumable)
		if end.Process == completion.Serving && r.target.Incarnation != 0 && !r.target.SoftwareUnknown && c.softwareUnknown() {
			c.recordSoftware(r.target)
		}
	}
	verdict := end.Judge()
	if verdict.Result == completion.Unsettled {
		ask := func() (completion.Process, error) { return r.processAfterEnd(ctx, end.Resumable) }
		if framing != completion.Connection {
			ask = func() (completion.Process, error) { return r.leavingProcess(ctx) }
		}
		end.Process, end.Settled = r.settle(ctx, ask), true
		verdict = end.Judge()
	}
	c.answer.evidence = verdict.Evidence
	s.endChecks.pending = verdict.Result != completion.Complete
	switch verdict.Result {
	case completion.Complete:
		return balance.Succeeded, nil
	case completion.Unconfirmed:
		s.endChecks.at, s.endChecks.endedAt, s.endChecks.endedAfter = r.target, r.target.Key(), s.lastEventID
		return balance.Rerouted, errEndUnconfirmed
	case completion.BrokenOff, completion.Unsettled:
		s.endChecks.givenUp = s.endChecks.givenUp || end.Process == completion.Serving
	}
	return brokenOff(&end, err)
}

// processAfterEnd asks the target which process serves there. A report of a target whose record names
// no start can't tell, but its health check names the target. Where the stream may be resumed, the
// resumption does that.
func (r *eventRelay) processAfterEnd(ctx context.Context, resumable bool) (completion.Process, error) {
	c := r.s.c
	path := c.cfg.Services[c.service].HealthPath
	if r.target.Incarnation == 0 && !resumable && path != "" {
		return c.e.reports.processByHealth(ctx, r.target, path, c.now())
	}
	return c.e.reports.processOf(ctx, r.target)
}

// leavingProcess asks a target that is leaving which process serves there. One whose record names no start has another name after
// a start, which its health check tells; while it leaves, that check may fail.
func (r *eventRelay) leavingProcess(ctx context.Context) (completion.Process, error) {
	c := r.s.c
	path := c.cfg.Services[c.service].HealthPath
	if r.target.Incarnation == 0 && path != "" {
		name, named, err := c.e.reports.nameAt(ctx, r.target, path, c.now().Add(endCheckTimeout))
		switch {
		case err != nil:
			return completion.Unknown, err
		case named && name != r.target.ID:
			return completion.Replaced, nil
		}
	}
	return c.e.reports.processOf(ctx, r.target)
}

// settle asks the target again until the settle time is over, and returns Serving if its process has
// answered at the end of that. What happens to the process meanwhile is no loss of the run, which has ended
// before. It gives the stream up if the request's deadline is sooner.
func (r *eventRelay) settle(ctx context.Context, ask func() (completion.Process, error)) completion.Process {
	c := r.s.c
	ended := c.now()
	if c.timeLeft() <= completion.SettleTime+deadlineEndMargin {
		r.s.endChecks.givenUp = true
		return completion.Unknown
	}
	r.run.Finish(ended)
	c.e.loadChanged(r.target, true)
	for after := firstSettleCheck; ; after = min(2*after, after+settleGap) {
		latest := c.latestSettle(ended)
		next := ended.Add(after)
		if next.After(latest) {
			next = latest
		}
		if !timing.Sleep(ctx, c.e.deps.Clock, next.Sub(c.now())) {
			return completion.Unknown
		}
		process, err := ask()
		isLast := !next.Before(latest)
		switch {
		case process.ServesOn() && (isLast || next.Sub(ended) >= completion.SettleTime):
			return completion.Serving
		case process.ServesOn():
		case process != completion.Unknown, fault.Is(err, upstream.NotSent):
			return completion.Gone
		case isLast:
			return completion.Unknown
		}
	}
}

// latestSettle returns until when an answer that ended at the given time may wait for evidence that its process
// serves on: for maxSettleTime, but no longer than this entry can send it and the client waits for it.
func (c *call) latestSettle(ended time.Time) time.Time {
	latest := ended.Add(maxSettleTime)
	if end := c.deadline.Add(-deadlineEndMargin); end.Before(latest) {
		latest = end
	}
	if start := c.e.drainStart.Load(); start != nil {
		if stop := c.e.drainEnd(*start).Add(-settleStopMargin); stop.Before(latest) {
			latest = stop
		}
	}
	return latest
}

// endOf describes the end of the stream's current answer, of which the target's process is not known
// yet.
func (s *stream) endOf(framing completion.Framing, t *catalog.Target) completion.End {
	c, now := s.c, s.c.now()
	none := c.answer.events == 0
	return completion.End{
		Framing: framing, TargetLeaves: c.e.reports.leaves(t) && s.mayDoubtEnd(t), Begun: s.lastEventID != "" || s.events > 0, AtDeadline: c.timeLeft() <= deadlineEndMargin, Resumable: s.resumable(),
		Repeated:        none && s.endChecks.endedAt == t.Key() && s.endChecks.endedAfter == s.lastEventID,
		Confirmable:     s.endChecks.count < maxEndChecks && c.e.retryBudgets.hasSpare(now, c.service, c.e.roster.LimitShare(now)),
		ResumedByClient: s.events == 0 && c.meta.LastEventID != "",
	}
}

// mayDoubtEnd reports whether there is time to find out whether a target that is leaving has ended its answer early.
// Another target of its version must be there to show it.
func (s *stream) mayDoubtEnd(leaving *catalog.Target) bool {
	others := slices.DeleteFunc(s.c.eligibleTargets().Ready(), func(t *catalog.Target) bool { return t.ID == leaving.ID })
	return len(others) > 0 && s.c.timeLeft() > completion.SettleTime+deadlineEndMargin
}

// brokenOff returns the outcome of an attempt whose stream was broken off. err is the error of
// asking its target.
func brokenOff(end *completion.End, err error) (balance.Outcome, error) {
	const op = "eventRelay.endOfAnswer"
	switch {
	case end.AtDeadline:
		return balance.Lost, errEndAtDeadline
	case end.Framing != completion.Connection:
		// A target that is leaving ends its streams; it did not crash while it ran this one.
		return balance.Rerouted, errEndUnconfirmed
	case fault.Is(err, upstream.NotSent):
		// The target ended its connection and accepts no other.
		return balance.Lost, fault.Wrap(op, upstream.ConnectionLost, err)
	case err != nil:
		return balance.Lost, err
	case !end.Begun:
		return balance.Lost, fault.Wrap(op, upstream.ConnectionLost, errNoEvents)
	case end.Process == completion.Replaced:
		// The process ended while it ran the request.
		return balance.Lost, fault.Wrap(op, upstream.ConnectionLost, errReplaced)
	}
	return balance.Rerouted, errEndUnconfirmed
}

// confirmEnd returns an attempt that resumes the stream at the target at which its connection
// ended, to confirm that end. It returns false if there is none, or it can't be made now.
func (s *stream) confirmEnd(ctx context.Context) (attempt, bool) {
	t := s.endChecks.take()
	if t == nil || !s.c.isReady(t) || !s.c.takePlace(ctx, t, resumeLimitWait) {
		return attempt{}, false
	}
	return attempt{choice: balance.Choice{Target: t, Reason: balance.ConfirmsEnd}, confirmsEnd: true}, true
}

// mayRunAgain reports whether the stream may be sent once more. After an event without an id, nothing
// tells where it would go on. A resumption that confirms an end reaches no other target.
func (s *stream) mayRunAgain() bool {
	c := s.c
	return s.order.Resumable() && !s.endChecks.givenUp && !c.expired() && c.sends < c.maxRuns()+extraStreamSends && (s.endChecks.at != nil || c.runs < c.maxRuns())
}
