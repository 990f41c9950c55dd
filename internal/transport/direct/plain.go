package direct

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// extraSends is how many more targets than maxRuns a request may be sent to if
	// targets refuse it without running it.
	extraSends = 2
	// attemptTimeoutFactor limits an attempt of a safe request to this multiple of
	// the latency objective, as long as another target may still be tried.
	attemptTimeoutFactor = 2
)

// bufferedAnswer is a complete answer of a target.
type bufferedAnswer struct {
	status  int
	header  http.Header
	meta    direct.ResponseMetadata
	body    []byte
	framing completion.Framing
}

// servePlain forwards a request whose answer is not a stream.
func (c *call) servePlain(ctx context.Context) {
	var failed *bufferedAnswer
	for c.sends < c.maxRuns()+extraSends && c.runs < c.maxRuns() && !c.expired() {
		if c.stopsFirst() || !c.awaitRetry(ctx, retryWait{c.claim, c.retryWaitEnd, c.stopsFirst}) || !c.awaitRoom(ctx) || !c.mayStart(ctx) {
			break
		}
		choice, ok := c.choose(ctx)
		if !ok {
			c.notReached()
			if c.lostRoom() {
				continue
			}
			break
		}
		if c.stopsFirst() || !c.allowSend() {
			c.notReached()
			c.e.limits.giveBack(choice.Target)
			break
		}
		answer, outcome := c.sendOnce(ctx, choice)
		if c.clientGone() {
			c.abandon()
		}
		switch outcome {
		case balance.Succeeded:
			c.relay(answer)
			return
		case balance.Failed:
			failed = answer
		case balance.Refused:
			c.refusedBy(choice.Target)
		}
	}
	if failed != nil {
		c.relay(failed)
		return
	}
	c.giveUp()
}

// sendOnce sends the request to one target and reads its complete answer.
func (c *call) sendOnce(ctx context.Context, choice balance.Choice) (*bufferedAnswer, balance.Outcome) {
	c.tried[choice.Target.ID] = true
	sent := c.now()
	c.answer = answerRecord{}
	run := c.e.balancer.Start(sent, choice, c.requirements, nil)
	c.endReservation()
	answer, outcome, err := c.roundTrip(ctx, choice)
	if c.clientGone() || (outcome == balance.Lost && c.e.stopped()) {
		outcome = balance.ClientCancelled
	}
	if mayHaveRun(outcome) {
		c.runs++
	}
	c.succeeded = outcome == balance.Succeeded && answer.status < http.StatusMultipleChoices
	c.endUncertain = c.succeeded && answer.framing == completion.Connection
	c.recordSend(run, choice, outcome, sent, err)
	return answer, outcome
}

// recordSend records the outcome of one attempt.
func (c *call) recordSend(run *balance.Attempt, choice balance.Choice, outcome balance.Outcome, sent time.Time, err error) {
	c.endTrial()
	now := c.now()
	if outcome == balance.Unreachable && c.reached {
		c.e.retryBudgets.undoRetry(now, c.service)
	}
	c.reached = c.reached || outcome != balance.Unreachable
	if outcome == balance.Unreachable {
		c.notReached()
	}
	c.evidence = c.lossEvidence(run, outcome, err)
	zoneLost := run.EndWith(now, outcome, c.evidence)
	c.updateQuarantine(now, sent, choice.Target, outcome, err)
	lost := c.evidence != balance.OverdueStart && (outcome == balance.Lost || outcome == balance.Unreachable)
	if lost {
		c.e.moves.targetLost(c.service)
	}
	if c.requirements.Engine != nil && lost {
		// Only for engines: health checks of a plain service would take up slots of
		// its few targets.
		c.e.successors.start(choice.Target)
	}
	if c.requirements.Engine != nil && lost && outcome == balance.Lost {
		// Other entries may have requests waiting for targets of the same zone.
		c.e.updatePeers()
	}
	c.countOutcome(choice.Target, outcome, sent, now)
	c.e.metrics.sendEnded(choice.Target, outcome, now.Sub(sent))
	c.e.lines.sendEnded(c, outcome, now.Sub(sent))
	c.e.metrics.answerEnded(c.route, &c.answer, outcome)
	fields := []any{"target", choice.Target.ID, "process", choice.Target.Incarnation, "zone", choice.Target.Zone, "software", choice.Target.SoftwareText(), "reason", choice.Reason, "outcome", outcome, "took", now.Sub(sent)}
	fields = append(fields, c.answer.fields()...)
	if c.evidence != balance.Untyped {
		fields = append(fields, "evidence", c.evidence)
	}
	fields = append(fields, c.paceFields(now, choice.Target, now.Sub(sent))...)
	if err != nil {
		fields = append(fields, "error", err)
	}
	c.log(event.SendEnded, fields...)
	if zoneLost {
		c.e.deps.Log.Emit(event.ZoneLost, "zone", choice.Target.Zone, "service", choice.Target.Service)
	}
}

func (c *call) roundTrip(ctx context.Context, choice balance.Choice) (*bufferedAnswer, balance.Outcome, error) {
	request := c.upstreamRequest(choice.Target, c.forwardMetadata(choice))
	sent := c.now()
	answer, err := c.e.pool.Do(ctx, choice.Target.Address, request, c.attemptDeadline())
	if err != nil {
		return nil, lossOutcome(err), err
	}
	defer answer.Close()
	meta := c.e.deps.Dialect.DecodeResponse(answer.Status, answer.Header)
	if meta.Attempt != c.meta.Attempt {
		return nil, balance.Lost, errWrongAttempt
	}
	if answer.Status != http.StatusMisdirectedRequest {
		c.observeAnswer(sent, choice.Target, meta)
	}
	c.answer.begin(answer)
	body, err := c.buffer(answer.Body)
	if err != nil {
		return nil, balance.Lost, err
	}
	c.answer.endByFraming()
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, meta: meta, body: body, framing: answer.Framing}
	outcome := c.classify(buffered)
	if outcome == balance.Succeeded && c.needsEvidence(buffered) {
		outcome, err = c.confirmAnswer(ctx, choice.Target, sent)
	}
	return buffered, outcome, err
}

var (
	errWrongAttempt = errors.New("answer belongs to another attempt")
	errUnsigned     = errors.New("answer is not signed")
	// errReplaced and errUnconfirmed end attempts to go on with a stream.
	errReplaced    = errors.New("another process runs under the target's id")
	errUnconfirmed = errors.New("the target's record is not confirmed")
)

// attemptDeadline returns the time by which one target must have answered.
func (c *call) attemptDeadline() time.Time {
	if c.route.Kind != catalog.Safe || c.runs+1 >= c.maxRuns() || c.route.LatencyObjective == 0 {
		return c.deadline
	}
	end := c.now().Add(attemptTimeoutFactor * c.route.LatencyObjective)
	if end.After(c.deadline) {
		return c.deadline
	}
	return end
}

// classify returns the outcome that a complete answer stands for. A status that
// promises that the request was not executed counts only if the target's own
// header confirms it. A success, a redirection or a refusal of the request without the
// target's signature counts as lost.
func (c *call) classify(a *bufferedAnswer) balance.Outcome {
	switch {
	case a.status == http.StatusMisdirectedRequest:
		return balance.Replaced
	case a.meta.NotRun:
		return balance.Refused
	case a.status >= http.StatusInternalServerError, promisesNotRun(a.status):
		return balance.Failed
	case !a.meta.Signed:
		// It is not the target's answer.
		return balance.Lost
	}
	return balance.Succeeded
}

// promisesNotRun reports whether the status tells the client that its request
// has not been executed and won't be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relay sends a target's complete answer to the client.
func (c *call) relay(a *bufferedAnswer) {
	if promisesNotRun(a.status) {
		c.refuse(refusal{status: http.StatusBadGateway, reason: "targetFailed"})
		return
	}
	h := c.w.Header()
	copyHeaders(h, a.header)
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.status)
	n, err := c.w.Write(a.body)
	c.e.ownLoad.sent.Add(int64(n))
	if err != nil && c.clientGone() {
		c.abandon()
	}
	c.e.metrics.requestEnded(c.route, outcomeAnswered, c.now().Sub(c.start))
	c.log(event.RequestFinished, "status", a.status, "sends", c.sends, "framing", c.answer.framing, "evidence", c.answer.evidence, "after", c.now().Sub(c.start))
}

// mayHaveRun reports whether a target may have executed a request with this
// outcome.
func mayHaveRun(o balance.Outcome) bool {
	switch o {
	case balance.Refused, balance.Unreachable, balance.Replaced:
		return false
	}
	return true
}

// lossOutcome returns the outcome for an error of the upstream connection.
func lossOutcome(err error) balance.Outcome {
	if fault.Is(err, upstream.NotSent) {
		return balance.Unreachable
	}
	return balance.Lost
}
