package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/detect"
	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// extraStreamSends is how many targets more than maxRuns a stream may be
	// sent to when they refuse it unrun.
	extraStreamSends = 6
	// writeTimeout bounds the time that a client takes for one event.
	writeTimeout = 2 * time.Second
	// prefillPerToken is the time that an engine takes for a prompt's token.
	prefillPerToken = 125 * time.Microsecond
)

// stallBounds say when the silence of an engine counts as its loss. The ceiling
// leaves enough of the usual objective for gaps, 700 ms, to go on elsewhere.
func stallBounds() detect.Config {
	return detect.Config{
		MinTimeout:           350 * time.Millisecond,
		MaxTimeout:           450 * time.Millisecond,
		Deviations:           5.5,
		LongestGapFactor:     2,
		LongestGapHalfLife:   time.Minute,
		MinFirstTokenTimeout: 2 * time.Second,
		FirstTokenFactor:     2,
	}
}

// stream is the answer to a request whose answer is a stream of events.
type stream struct {
	c    *call
	out  *http.ResponseController
	last direct.EventID
	// number is the last event's id, where ids are numbers.
	number int64
	// begun says that the head of the answer has been sent, at firstAt; events
	// counts the events passed on.
	begun   bool
	firstAt time.Time
	events  int
	// lastAt is when the last event was passed on, longest the longest pause.
	lastAt  time.Time
	longest time.Duration
	// key identifies the request to other entries; whole says that its answer was
	// passed on to its end.
	key   handover.Key
	whole bool
	// copies is where the run's memory is copied to.
	copies copies
	// failure is a target's own failure, for a request that no other one takes.
	failure *reply
}

// attempt is one run of a stream at one target.
type attempt struct {
	choice balance.Choice
	// from is the copy at the target from which the run goes on, if any.
	from direct.CopyRef
}

// resumes reports whether the run goes on from a copy.
func (a *attempt) resumes() bool { return a.from != (direct.CopyRef{}) }

// stream passes on a request whose answer is a stream, and goes on with it at
// another target when one is lost.
func (c *call) stream(ctx context.Context) {
	s := &stream{c: c, out: http.NewResponseController(c.w), last: c.ask.LastEventID}
	s.key = c.key()
	defer s.end()
	s.number, _ = (&eventstream.Event{ID: string(s.last)}).Number()
	for c.ran < c.maxRuns() && c.sends < c.maxRuns()+extraStreamSends && !c.late() {
		a, ok := s.next()
		if !ok || !c.send() {
			break
		}
		outcome := s.run(ctx, a)
		if outcome == balance.ClientCancelled || c.clientLeft() {
			c.abandon()
		}
		if outcome == balance.Succeeded {
			s.finish()
			return
		}
	}
	s.fail()
}

// next chooses where the stream goes on: at the copy of the lost run if there
// is one, else anew.
func (s *stream) next() (attempt, bool) {
	c := s.c
	now := c.now()
	targets := c.targets()
	if c.sends == 0 && s.last != "" && c.route.Resumable {
		s.inherit(now, targets)
	}
	if t, from := s.holder(now, targets); t != nil {
		backup := c.e.balancer.BackupFor(now, c.need, targets, t, c.tried)
		return attempt{choice: balance.Choice{Target: t, Backup: backup, Reason: balance.HoldsBackup}, from: from}, true
	}
	choice, ok := c.e.balancer.Choose(now, c.need, targets, c.tried)
	return attempt{choice: choice}, ok
}

// holder returns the engine that holds a copy of the lost run, if it takes work
// now, and the copy. A copy is asked for once.
func (s *stream) holder(now time.Time, targets catalog.Targets) (*catalog.Target, direct.CopyRef) {
	held, from := s.copies.take()
	if held == nil {
		return nil, direct.CopyRef{}
	}
	t := targets.Find(held.ID)
	if t == nil || t.State != catalog.Ready || s.c.tried[t.ID] || s.c.e.balancer.Suspected(now, t) {
		return nil, direct.CopyRef{}
	}
	return t, from
}

// run sends the request to one target and passes on its events.
func (s *stream) run(ctx context.Context, a attempt) balance.Outcome {
	c := s.c
	c.tried[a.choice.Target.ID] = true
	need := c.need
	if a.resumes() {
		need.PromptTokens, need.OutputTokens = 0, c.need.PromptTokens+c.need.OutputTokens
	}
	sent := c.now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var moved atomic.Bool
	run := c.e.balancer.Start(sent, a.choice, need, func() {
		moved.Store(true)
		cancel()
	})
	if c.sends > 1 {
		c.log(event.RecoveryChosen, "target", a.choice.Target.ID, "reason", a.choice.Reason, "lastEvent", s.last)
	}
	outcome, err := s.relay(ctx, a, run)
	switch {
	case c.clientLeft():
		outcome = balance.ClientCancelled
	case outcome == balance.Lost && moved.Load():
		outcome = balance.Rerouted
	}
	if mayHaveRun(outcome) {
		c.ran++
	}
	if !run.HasStarted() {
		// A copy is of use only once the prompt has been read.
		s.copies.take()
	}
	c.refusedBusy = c.refusedBusy || outcome == balance.Refused
	c.ended(run, a.choice, outcome, sent, err)
	return outcome
}

// relay passes on the events of one run until it ends or is lost.
func (s *stream) relay(ctx context.Context, a attempt, run *balance.Attempt) (balance.Outcome, error) {
	c := s.c
	expect := detect.Expectation{Pace: c.route.GapObjective / 20, PrefillPerToken: prefillPerToken}
	if !a.resumes() {
		expect.PrefillTokens = c.need.PromptTokens
	}
	detector := detect.New(stallBounds(), c.now(), expect)
	s.copies.begin(a.choice.Backup, c.ask.Attempt)
	answer, err := c.e.pool.Do(ctx, a.choice.Target.Address, s.request(a), s.due(detector))
	if err != nil {
		return lossOutcome(err), err
	}
	defer answer.Close()
	if outcome, err := s.checkHead(answer); outcome != balance.Succeeded {
		return outcome, err
	}
	events := eventstream.NewReader(answer.Body)
	arrivals := detect.NewPacketLossDetector()
	for {
		answer.SetReadDeadline(s.due(detector))
		next, err := events.Next()
		switch {
		case errors.Is(err, io.EOF):
			return balance.Succeeded, s.begin(answer)
		case err != nil:
			return balance.Lost, err
		}
		run.MarkStarted(c.now())
		run.RecordActivity(c.now())
		if arrivals.Observe(c.now()) {
			run.RecordPacketLoss(c.now())
		}
		detector.RecordTokens(c.now(), 1)
		if err := s.pass(answer, &next); err != nil {
			return balance.ClientCancelled, err
		}
		s.keepCopy(ctx, a.choice.Target)
		s.tellCopy()
	}
}

func (s *stream) request(a attempt) *upstream.Request {
	c := s.c
	order := c.order(a.choice)
	order.LastEventID = s.last
	if a.resumes() {
		order.ResumeFrom = a.from
	}
	header := c.header.Clone()
	c.e.deps.Dialect.EncodeForward(header, order)
	return &upstream.Request{Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body}
}

// due returns until when the next bytes must come.
func (s *stream) due(d *detect.Detector) time.Time {
	_, due := d.Verdict(s.c.now())
	if due.IsZero() {
		due = s.c.now()
	}
	if due.After(s.c.deadline) {
		return s.c.deadline
	}
	return due
}

// checkHead says whether the events of an answer may be passed on.
func (s *stream) checkHead(a *upstream.Answer) (balance.Outcome, error) {
	c := s.c
	note := c.e.deps.Dialect.DecodeResponse(a.Status, a.Header)
	switch {
	case note.Attempt != c.ask.Attempt:
		return balance.Lost, errForeign
	case a.Status == http.StatusMisdirectedRequest:
		return balance.Replaced, nil
	case note.NotRun:
		return balance.Refused, nil
	case a.Status < http.StatusMultipleChoices && note.Signed:
		return balance.Succeeded, nil
	case a.Status < http.StatusMultipleChoices:
		return balance.Lost, errUnsigned
	}
	a.SetReadDeadline(c.deadline)
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err == nil {
		s.failure = &reply{status: a.Status, header: a.Header, note: note, body: body}
	}
	return balance.Failed, err
}

// begin sends the head of the first run's answer.
func (s *stream) begin(a *upstream.Answer) error {
	if s.begun {
		return nil
	}
	s.begun = true
	copyHeaders(s.c.w.Header(), a.Header)
	s.c.w.WriteHeader(a.Status)
	s.firstAt = s.c.now()
	s.c.e.meters.begun(s.c.route, s.firstAt.Sub(s.c.start))
	return s.out.Flush()
}

// pass writes one event to the client, unless the client has it already.
func (s *stream) pass(a *upstream.Answer, next *eventstream.Event) error {
	number, numbered := next.Number()
	if numbered && number <= s.number {
		s.c.log(event.FrameDropped, "eventID", next.ID)
		return nil
	}
	if err := s.begin(a); err != nil {
		return err
	}
	if err := s.out.SetWriteDeadline(s.c.now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.c.w.Write(next.Raw); err != nil {
		return err
	}
	s.notePause()
	if next.ID != "" {
		s.last = direct.EventID(next.ID)
	}
	if numbered {
		s.number = number
	}
	return s.out.Flush()
}

// notePause notes the pause before an event that was passed on.
func (s *stream) notePause() {
	now := s.c.now()
	if s.events > 0 {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.events++
}

// key identifies the request, whichever attempt of the client brings it.
func (c *call) key() handover.Key {
	return handover.KeyOf(string(c.accountName()), c.r.Host, c.r.Method, c.r.RequestURI, c.ask.PromptID, string(c.body))
}

// inherit takes over the copy of a run that another connection of the client
// had, at this entry or at another one.
func (s *stream) inherit(now time.Time, targets catalog.Targets) {
	run, ok := s.c.e.handover.Take(now, s.key)
	if !ok {
		return
	}
	holder := targets.Find(run.Holder)
	s.c.log(event.RequestAdopted, "holder", run.Holder, "listed", holder != nil, "handle", run.Handle, "lastEvent", s.last)
	if holder != nil {
		s.copies.inherit(holder, direct.CopyRef{Address: run.Address, Handle: run.Handle})
	}
}

// end forgets the stream, or lets another entry go on with it.
func (s *stream) end() {
	s.c.e.handover.EndLocal(s.c.now(), s.key, s.whole)
	if s.whole {
		s.freeCopy()
	}
}

// finish ends a whole answer.
func (s *stream) finish() {
	c := s.c
	s.whole = true
	// The connection is used again, without a bound on its writes.
	_ = s.out.SetWriteDeadline(time.Time{})
	if c.ask.LastEventID == "" {
		c.e.finished(c.service, s.events, c.now().Sub(s.firstAt))
	}
	c.e.meters.finished(c.route, outcomeAnswered, c.now().Sub(c.start))
	c.e.meters.paused(c.route, s.longest)
	c.log(event.RequestFinished, "sends", c.sends, "lastEvent", s.last, "firstEvent", s.firstAt.Sub(c.start),
		"longestPause", s.longest, "after", c.now().Sub(c.start))
}

// fail ends an answer that can't be made whole.
func (s *stream) fail() {
	c := s.c
	switch {
	case s.begun:
		c.e.meters.finished(c.route, outcomeBroken, 0)
		c.log(event.RequestFailed, "reason", "streamBroken", "sends", c.sends, "lastEvent", s.last, "after", c.now().Sub(c.start))
		c.abort()
	case s.failure != nil && !c.clientLeft():
		c.relay(s.failure)
	default:
		c.giveUp()
	}
}
