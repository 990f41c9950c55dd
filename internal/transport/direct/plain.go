package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// extraSends is how many targets more than maxRuns a request may be sent to
	// when they refuse it unrun.
	extraSends = 2
	// patience times the latency objective is how long a safe request waits for
	// one target while it may be sent to another.
	patience = 2
	// maxAnswerBytes bounds an answer, which is held until it is whole so that a
	// broken one can be replaced.
	maxAnswerBytes = 16 << 20
)

// reply is a target's whole answer.
type reply struct {
	status int
	header http.Header
	note   direct.ResponseMetadata
	body   []byte
}

// plain passes on a request whose answer is one body.
func (c *call) plain(ctx context.Context) {
	var kept *reply
	for c.sends < c.maxRuns()+extraSends && c.ran < c.maxRuns() && !c.late() {
		choice, ok := c.e.balancer.Choose(c.now(), c.need, c.targets(), c.tried)
		if !ok || !c.send() {
			break
		}
		answer, outcome := c.once(ctx, choice)
		if c.clientLeft() {
			c.abandon()
		}
		switch outcome {
		case balance.Succeeded:
			c.relay(answer)
			return
		case balance.Failed:
			kept = answer
		case balance.Refused:
			c.refusedBusy = true
		}
	}
	if kept != nil {
		c.relay(kept)
		return
	}
	c.giveUp()
}

// once sends the request to one target and reads its whole answer.
func (c *call) once(ctx context.Context, choice balance.Choice) (*reply, balance.Outcome) {
	c.tried[choice.Target.ID] = true
	sent := c.now()
	run := c.e.balancer.Start(sent, choice, c.need, nil)
	answer, outcome, err := c.exchange(ctx, choice)
	if c.clientLeft() {
		outcome = balance.ClientCancelled
	}
	if mayHaveRun(outcome) {
		c.ran++
	}
	c.ended(run, choice, outcome, sent, err)
	return answer, outcome
}

// ended notes the outcome of one send.
func (c *call) ended(run *balance.Attempt, choice balance.Choice, outcome balance.Outcome, sent time.Time, err error) {
	now := c.now()
	if outcome == balance.Unreachable && c.arrived {
		c.e.retries.undo(now, c.service)
	}
	c.arrived = c.arrived || outcome != balance.Unreachable
	zoneLost := run.End(now, outcome)
	c.noteDeath(now, choice.Target, outcome, err)
	if c.need.Engine != nil && (outcome == balance.Lost || outcome == balance.Unreachable) {
		// A plain service's health checks would take slots of its few targets.
		c.e.searches.begin(choice.Target)
	}
	if c.e.exchange != nil && c.need.Engine != nil && outcome == balance.Lost {
		// Requests at other entries may wait for the same zone.
		c.e.exchange.hurry()
	}
	c.e.meters.sent(choice.Target, outcome, now.Sub(sent))
	fields := []any{"target", choice.Target.ID, "zone", choice.Target.Zone, "reason", choice.Reason, "outcome", outcome, "took", now.Sub(sent)}
	if err != nil {
		fields = append(fields, "error", err)
	}
	c.log(event.SendEnded, fields...)
	if zoneLost {
		c.e.deps.Log.Emit(event.ZoneLost, "zone", choice.Target.Zone, "service", choice.Target.Service)
	}
}

func (c *call) exchange(ctx context.Context, choice balance.Choice) (*reply, balance.Outcome, error) {
	header := c.header.Clone()
	c.e.deps.Dialect.EncodeForward(header, c.order(choice))
	request := &upstream.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
	}
	answer, err := c.e.pool.Do(ctx, choice.Target.Address, request, c.patienceEnd())
	if err != nil {
		return nil, lossOutcome(err), err
	}
	defer answer.Close()
	note := c.e.deps.Dialect.DecodeResponse(answer.Status, answer.Header)
	if note.Attempt != c.ask.Attempt {
		return nil, balance.Lost, errForeign
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errTooLong
	}
	if err != nil {
		return nil, balance.Lost, err
	}
	whole := &reply{status: answer.Status, header: answer.Header, note: note, body: body}
	return whole, c.judge(whole), nil
}

var (
	errForeign  = errors.New("the answer is not to this request")
	errTooLong  = errors.New("the answer is longer than an entry holds")
	errUnsigned = errors.New("the answer carries no signature")
)

// patienceEnd returns until when one target may take.
func (c *call) patienceEnd() time.Time {
	if c.route.Kind != catalog.Safe || c.ran+1 >= c.maxRuns() || c.route.LatencyObjective == 0 {
		return c.deadline
	}
	end := c.now().Add(patience * c.route.LatencyObjective)
	if end.After(c.deadline) {
		return c.deadline
	}
	return end
}

// judge says what a whole answer means. Statuses that promise that a request
// was not run are believed only with the target's own word.
func (c *call) judge(a *reply) balance.Outcome {
	switch {
	case a.status == http.StatusMisdirectedRequest:
		return balance.Replaced
	case a.note.NotRun:
		return balance.Refused
	case a.status >= http.StatusInternalServerError, promisesNotRun(a.status):
		return balance.Failed
	case a.status < http.StatusMultipleChoices && !a.note.Signed:
		return balance.Lost
	}
	return balance.Succeeded
}

// promisesNotRun reports whether a status tells the client that its request was
// not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relay passes a target's whole answer to the client.
func (c *call) relay(a *reply) {
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
	if _, err := c.w.Write(a.body); err != nil && c.clientLeft() {
		c.abandon()
	}
	c.e.meters.finished(c.route, outcomeAnswered, c.now().Sub(c.start))
	c.log(event.RequestFinished, "status", a.status, "sends", c.sends, "after", c.now().Sub(c.start))
}

// mayHaveRun reports whether a target may have run a request that ended so.
func mayHaveRun(o balance.Outcome) bool {
	switch o {
	case balance.Refused, balance.Unreachable, balance.Replaced:
		return false
	}
	return true
}

// lossOutcome says what an error of the upstream connection means.
func lossOutcome(err error) balance.Outcome {
	if fault.Is(err, upstream.NotSent) {
		return balance.Unreachable
	}
	return balance.Lost
}
