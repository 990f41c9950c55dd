package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/continuity"
	"foxtailward.example/foxtailward/internal/coordination/detect"
	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// extraStreamSends is how many more targets than maxRuns a stream may be sent
	// to if targets refuse it without running it.
	extraStreamSends = 6
	// minWriteTimeout is the least time for writing one event to the client.
	minWriteTimeout = 2 * time.Second
	// Clients wait for the next event for a multiple of their route's objectives. For as
	// long, they may be slow to accept one.
	writeLatencyFactor = 4
	writeGapFactor     = 8
	// deadlineEndMargin is how near to its deadline the end of an answer may be the target's
	// end of work.
	deadlineEndMargin = 50 * time.Millisecond
	// prefillPerToken is the time that an engine takes to process one token of a
	// prompt.
	prefillPerToken = 125 * time.Microsecond
)

// stream is the state of a request that is answered by an event stream.
type stream struct {
	c           *call
	out         *http.ResponseController
	lastEventID direct.EventID
	// order tells whether the events of a run follow those that the client has.
	order *continuity.Stream
	// headSent is set once the head of the answer has been sent, at headSentAt. began is set
	// once the answer has begun and the first event has been recorded; it may be read
	// by other goroutines. events counts the forwarded events.
	headSent   bool
	headSentAt time.Time
	began      atomic.Bool
	events     int
	// lastEventAt is when the last event was forwarded. longestPause is the
	// longest pause between two events.
	lastEventAt  time.Time
	longestPause time.Duration
	// id identifies the stream at all entries. complete is set once the whole
	// answer has been forwarded.
	id       handover.Stream
	complete bool
	// copyTracker tracks where the run's memory is copied to.
	copyTracker copyTracker
	// repeatsTargets is set once targets may get the stream again that it was sent to
	// before.
	repeatsTargets bool
	// targetFailure is an error answer of a target. It is sent to the client if no
	// other target accepts the request.
	targetFailure *bufferedAnswer
	endChecks     endChecks
	// unframed guards the answer if the client's connection marks its end.
	unframed unframedAnswer
}

// attempt is one run of a stream at one target.
type attempt struct {
	choice balance.Choice
	// resumeFrom is the copy at the target from which the run is resumed; zero for
	// none.
	resumeFrom direct.CopyRef
	// confirmsEnd says that the run is to confirm the end of the one before it at the same target.
	confirmsEnd bool
}

// resumes reports whether the run is resumed from a copy.
func (a *attempt) resumes() bool { return a.resumeFrom != (direct.CopyRef{}) }

// serveStream forwards a request that is answered by a stream, and resumes it at
// another target if one is lost.
func (c *call) serveStream(ctx context.Context) {
	s := &stream{c: c, out: http.NewResponseController(c.w), lastEventID: c.meta.LastEventID, order: continuity.New(string(c.meta.LastEventID))}
	s.id = c.handoverStream()
	if c.resumesStream() && !c.findOrigin(ctx) {
		c.refuseUnknownOrigin()
		return
	}
	if c.software != nil {
		// This entry serves the stream now, so it reports and saves where it began.
		c.recordOrigin()
	}
	defer s.endHandover()
	for s.mayRunAgain() {
		if s.stopsFirst() || !c.awaitRetry(ctx, retryWait{s.claim, s.retryWaitEnd, s.stopsFirst}) || !c.awaitRoom(ctx) || !c.mayStart(ctx) {
			break
		}
		a, ok := s.nextAttempt(ctx)
		if !ok {
			c.notReached()
			if c.lostRoom() {
				continue
			}
			break
		}
		if s.stopsFirst() || !c.allowSend() {
			c.notReached()
			c.e.limits.giveBack(a.choice.Target)
			break
		}
		outcome := s.runAttempt(ctx, a)
		if c.clientGone() || (outcome == balance.ClientCancelled && !c.e.stopped()) {
			c.abandon()
		}
		if outcome == balance.Succeeded {
			s.finish()
			return
		}
	}
	s.fail()
}

// nextAttempt chooses the target for the next run: the holder of the lost run's
// copy if there is one, otherwise any target, where the run starts from the
// beginning.
func (s *stream) nextAttempt(ctx context.Context) (attempt, bool) {
	c := s.c
	if a, ok := s.confirmEnd(ctx); ok && c.takeShare(a.choice.Target) {
		return a, true
	}
	if c.runs >= c.maxRuns() {
		return attempt{}, false
	}
	now := c.now()
	targets := c.targets()
	if c.sends == 0 && s.lastEventID != "" && c.route.Resumable {
		s.inheritCopy(now, targets)
	}
	if t, ref := s.copyHolder(now, targets); t != nil && c.takePlace(ctx, t, resumeLimitWait) && c.takeShareOrPlace(t) {
		c.endTurn()
		backup := c.e.balancer.BackupFor(c.now(), c.requirements, targets, t, c.tried)
		return attempt{choice: balance.Choice{Target: t, Backup: backup, Reason: balance.HoldsBackup}, resumeFrom: ref}, true
	}
	choice, ok := c.choose(ctx)
	if !ok && s.mayRepeatTargets(now) {
		choice, ok = c.choose(ctx)
	}
	return attempt{choice: choice}, ok
}

// mayRepeatTargets reports whether a stream that has begun may be sent to targets that it was
// sent to before, because no other one of its version is left. It does so once.
func (s *stream) mayRepeatTargets(now time.Time) bool {
	c := s.c
	if c.software == nil || s.repeatsTargets {
		return false
	}
	s.repeatsTargets = true
	for _, t := range c.targets().Ready() {
		if c.tried[t.ID] && !c.e.balancer.Suspected(now, t) {
			delete(c.tried, t.ID)
		}
	}
	return true
}

// runAttempt sends the request to one target and forwards its events.
func (s *stream) runAttempt(ctx context.Context, a attempt) balance.Outcome {
	c := s.c
	c.tried[a.choice.Target.ID] = true
	c.attemptBegan, c.attemptProven, c.endUncertain, c.answer = time.Time{}, false, false, answerRecord{}
	requirements := c.requirements
	if a.resumes() {
		requirements.PromptTokens, requirements.OutputTokens = 0, c.requirements.PromptTokens+c.requirements.OutputTokens
	}
	sent := c.now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var rerouted atomic.Bool
	reroute := func() {
		rerouted.Store(true)
		cancel()
	}
	if !c.route.Idempotent() {
		reroute = nil
	}
	run := c.e.balancer.Start(sent, a.choice, requirements, reroute)
	if reroute != nil && c.e.competes(c.service) {
		run.SetClaim(s.claim())
	}
	c.endReservation()
	c.e.loadChanged(a.choice.Target, true)
	defer c.e.loadChanged(a.choice.Target, false)
	if c.sends > 1 {
		c.log(event.RecoveryChosen, "target", a.choice.Target.ID, "software", a.choice.Target.SoftwareText(), "reason", a.choice.Reason, "lastEvent", s.lastEventID)
	}
	outcome, err := s.relayEvents(ctx, a, run)
	switch {
	case c.clientGone(), outcome == balance.Lost && c.e.stopped():
		outcome = balance.ClientCancelled
	case outcome == balance.Lost && rerouted.Load():
		outcome = balance.Rerouted
	}
	if mayHaveRun(outcome) && !a.confirmsEnd {
		c.runs++
	}
	if !run.HasStarted() && !a.confirmsEnd {
		// A copy can be used only after the prompt has been processed.
		s.copyTracker.take()
	}
	if outcome == balance.Refused {
		c.refusedBy(a.choice.Target)
	}
	c.succeeded = outcome == balance.Succeeded
	c.recordSend(run, a.choice, outcome, sent, err)
	return outcome
}

// relayEvents forwards the events of one run until it ends or is lost.
func (s *stream) relayEvents(ctx context.Context, a attempt, run *balance.Attempt) (balance.Outcome, error) {
	c := s.c
	expected := detect.Expectation{Pace: c.route.GapObjective / 20, PrefillPerToken: prefillPerToken}
	if !a.resumes() {
		expected.PrefillTokens = c.requirements.PromptTokens
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relay := &eventRelay{s: s, target: a.choice.Target, run: run, detector: detect.New(stallConfig(), c.now(), expected)}
	relay.silence = newSilenceWatch(c.e.deps.Clock, s.judgeSilence(run, a.choice.Target, s.silenceEnds(a.choice.Target)), cancel)
	if !a.confirmsEnd {
		s.copyTracker.runStarted(a.choice.Backup, c.meta.Attempt)
	}
	outcome, err := relay.forward(ctx, s.upstreamRequest(a))
	if relay.silence.stop() && outcome == balance.Lost {
		err = fault.Wrap("stream.relayEvents", upstream.ReadTimeout, err)
	}
	return outcome, err
}

// eventRelay forwards the events of one run.
type eventRelay struct {
	s        *stream
	target   *catalog.Target
	run      *balance.Attempt
	detector *detect.Detector
	silence  *silenceWatch
}

// forward sends the request and forwards the events of its answer.
func (r *eventRelay) forward(ctx context.Context, request *upstream.Request) (balance.Outcome, error) {
	s, c := r.s, r.s.c
	sent := c.now()
	r.silence.expect(s.readDeadline(r.detector))
	answer, err := c.e.pool.Do(ctx, r.target.Address, request, c.deadline)
	if err != nil {
		return lossOutcome(err), err
	}
	defer answer.Close()
	r.silence.received()
	if outcome, err := s.checkHead(answer, r.target, sent); outcome != balance.Succeeded {
		return outcome, err
	}
	c.answer.begin(answer)
	goesOn := c.software != nil
	s.order.BeginRun()
	events := eventstream.NewReader(answer.Body)
	events.Take = c.e.buffers.take
	defer events.Close()
	packetLoss := detect.NewPacketLossDetector()
	for {
		r.silence.expect(s.readDeadline(r.detector))
		next, err := events.Next()
		r.silence.received()
		switch {
		case errors.Is(err, io.EOF) && !s.order.EndFits():
			return balance.Rerouted, errEndsEarly
		case errors.Is(err, io.EOF):
			outcome, err := r.endOfAnswer(ctx, answer.Framing)
			if outcome != balance.Succeeded {
				return outcome, err
			}
			return outcome, s.sendHead(answer)
		case err != nil:
			return balance.Lost, err
		}
		if c.attemptBegan.IsZero() {
			c.countFirstEvent(r.target, sent, c.now())
		}
		r.recordEvent(packetLoss)
		if goesOn {
			if outcome, err := s.confirmTarget(ctx, r.target); outcome != balance.Succeeded {
				return outcome, err
			}
			goesOn = false
		}
		if outcome, err := c.recordBegin(ctx, r.target, sent); outcome != balance.Succeeded {
			return outcome, err
		}
		writeBegan := c.now()
		if outcome, err := s.passOn(answer, &next); outcome != balance.Succeeded {
			return outcome, err
		}
		// A client that is slow to accept an event holds up the reading.
		r.detector.Exclude(c.now().Sub(writeBegan))
		s.maintainCopy(ctx, r.run, r.target)
		s.reportCopy()
	}
}

// recordEvent records that an event has arrived.
func (r *eventRelay) recordEvent(packetLoss *detect.PacketLossDetector) {
	now := r.s.c.now()
	r.run.MarkStarted(now)
	r.run.RecordActivity(now)
	r.s.c.recordActivity(now)
	if packetLoss.Observe(now) {
		r.run.RecordPacketLoss(now)
	}
	r.detector.RecordTokens(now, 1)
}

// confirmTarget returns Succeeded if the target is still the process that its record
// describes, so that a stream may go on there, and otherwise the outcome of the attempt.
func (s *stream) confirmTarget(ctx context.Context, t *catalog.Target) (balance.Outcome, error) {
	switch s.c.e.reports.confirm(ctx, t).result {
	case replaced:
		// The other process has run the request, though nothing of it is used.
		s.c.runs++
		return balance.Replaced, errReplaced
	case unconfirmed:
		return balance.Rerouted, errUnconfirmed
	case confirmed:
	}
	return balance.Succeeded, nil
}

func (s *stream) upstreamRequest(a attempt) *upstream.Request {
	c := s.c
	forward := c.forwardMetadata(a.choice)
	forward.LastEventID = s.lastEventID
	if a.resumes() {
		forward.ResumeFrom = a.resumeFrom
	}
	return c.upstreamRequest(a.choice.Target, forward)
}

// readDeadline returns the time after which silence counts as the loss of the target.
func (s *stream) readDeadline(d *detect.Detector) time.Time {
	now := s.c.now()
	_, due := d.Verdict(now)
	if due.IsZero() {
		return now
	}
	return due
}

// checkHead returns Succeeded if the events of an answer may be forwarded,
// otherwise the outcome that the answer stands for. sent is when the request was sent to
// the target.
func (s *stream) checkHead(a *upstream.Answer, t *catalog.Target, sent time.Time) (balance.Outcome, error) {
	c := s.c
	meta := c.e.deps.Dialect.DecodeResponse(a.Status, a.Header)
	switch {
	case meta.Attempt != c.meta.Attempt:
		return balance.Lost, errWrongAttempt
	case a.Status == http.StatusMisdirectedRequest:
		return balance.Replaced, nil
	}
	c.observeAnswer(sent, t, meta)
	switch {
	case meta.NotRun:
		return balance.Refused, nil
	case a.Status < http.StatusMultipleChoices && meta.Signed:
		return balance.Succeeded, nil
	case a.Status < http.StatusInternalServerError && !promisesNotRun(a.Status) && !meta.Signed:
		return balance.Lost, errUnsigned
	}
	body, err := c.buffer(a.Body)
	if err == nil {
		s.targetFailure = &bufferedAnswer{status: a.Status, header: a.Header, meta: meta, body: body}
	}
	return balance.Failed, err
}

// sendHead sends the status and headers of the first run's answer to the client.
func (s *stream) sendHead(a *upstream.Answer) error {
	if s.headSent {
		return nil
	}
	s.headSent = true
	s.began.Store(true)
	copyHeaders(s.c.w.Header(), a.Header)
	s.unframed = s.c.guardUnframed()
	s.c.w.WriteHeader(a.Status)
	s.headSentAt = s.c.now()
	s.c.e.metrics.firstEvent(s.c.route, s.headSentAt.Sub(s.c.start))
	return s.out.Flush()
}

// writeEvent writes one event to the client and records it.
func (s *stream) writeEvent(a *upstream.Answer, next *eventstream.Event) error {
	if err := s.write(a, next); err != nil {
		return err
	}
	s.recordPause()
	s.c.answer.addEvent(direct.EventID(next.ID))
	if next.ID != "" {
		s.lastEventID = direct.EventID(next.ID)
	}
	s.order.Forwarded(next.ID)
	return s.out.Flush()
}

// write writes the bytes of an event to the client, after the head of the answer.
func (s *stream) write(a *upstream.Answer, next *eventstream.Event) error {
	if err := s.sendHead(a); err != nil {
		return err
	}
	if err := s.out.SetWriteDeadline(s.writeDeadline()); err != nil {
		return err
	}
	n, err := s.c.w.Write(next.Raw)
	s.c.e.ownLoad.sent.Add(int64(n))
	return err
}

// writeDeadline returns the time by which the client must have accepted the next event.
func (s *stream) writeDeadline() time.Time {
	c := s.c
	if end := c.now().Add(clientPatience(c.route)); end.Before(c.deadline) {
		return end
	}
	return c.deadline
}

// recordPause updates longestPause after an event was forwarded.
func (s *stream) recordPause() {
	now := s.c.now()
	if s.events > 0 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.events++
}

// finish records a complete answer.
func (s *stream) finish() {
	c := s.c
	s.complete = true
	s.unframed.end()
	// The connection is reused, so the write deadline of the stream must not stay.
	_ = s.out.SetWriteDeadline(time.Time{})
	if c.meta.LastEventID == "" {
		c.e.observeStream(c.service, s.events, c.now().Sub(s.headSentAt), c.now().Sub(c.start))
	}
	c.e.metrics.requestEnded(c.route, outcomeAnswered, c.now().Sub(c.start))
	c.e.metrics.longestPause(c.route, s.longestPause)
	c.log(event.RequestFinished, "sends", c.sends, "framing", c.answer.framing, "evidence", c.answer.evidence, "source", c.originSource(), "events", s.events, "lastEvent", s.lastEventID, "firstEvent", s.headSentAt.Sub(c.start),
		"longestPause", s.longestPause, "after", c.now().Sub(c.start))
}

// brokenReason says why an answer that has begun can't be completed.
func (s *stream) brokenReason() string {
	switch {
	case !s.c.expired() && s.c.versionGone():
		return "versionGone"
	case !s.order.Resumable():
		return "lastEventWithoutID"
	case s.endChecks.pending:
		return "endUnconfirmed"
	}
	return outcomeBroken
}

// fail ends an answer that can't be completed.
func (s *stream) fail() {
	c := s.c
	switch {
	case s.headSent:
		c.e.metrics.requestEnded(c.route, outcomeBroken, 0)
		c.log(event.RequestFailed, "reason", s.brokenReason(), "source", c.originSource(), "sends", c.sends, "lastEvent", s.lastEventID, "after", c.now().Sub(c.start))
		c.abort()
	case s.targetFailure != nil && !c.clientGone():
		c.relay(s.targetFailure)
	default:
		c.giveUp()
	}
}
