package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

// Limits of requests.
const (
	readHeaderTimeout = 10 * time.Second
	// maxBodyBytes limits the request body if the configuration sets no limit.
	maxBodyBytes = 16 << 20
	// defaultTimeout applies to requests without a timeout from their route or
	// client.
	defaultTimeout = 30 * time.Second
	// answerMargin is subtracted from a request's timeout, to leave time for
	// sending the answer back to the client.
	answerMargin = 30 * time.Millisecond
)

// call is the state of one client request.
type call struct {
	e            *Entry
	w            http.ResponseWriter
	r            *http.Request
	meta         direct.RequestMetadata
	cfg          *catalog.Config
	route        *catalog.Route
	account      *catalog.ClientAccount
	service      id.Service
	requirements balance.Request
	body         []byte
	// header holds the client's headers that are forwarded to targets.
	header   http.Header
	start    time.Time
	deadline time.Time
	// tried holds the targets that the request was sent to, and sends counts the
	// attempts to send it.
	tried map[id.Target]bool
	sends int
	// sentTo holds the addresses that the request was sent to.
	sentTo map[string]bool
	// reached is set once an attempt has reached its target. Attempts that failed
	// to connect put no load on the service, so the next one still counts as the
	// first for the retry budget.
	reached bool
	// succeeded is set if the last attempt ended with a complete success.
	succeeded bool
	// runs counts the attempts that may have executed the request.
	runs int
	// targetBusy is set if a target refused the request because it was full.
	targetBusy bool
	// limitedTarget is the target at its limit that would have been free first; nil if
	// that did not keep the request from being sent.
	limitedTarget *catalog.Target
	// targetsTried is set if a target was left out because others try it after its pause.
	targetsTried bool
	// trial is the target that the request tries after its pause; nil for none.
	trial *catalog.Target
	// reservedPlace is the target at which the call has reserved a place; empty for none.
	reservedPlace id.Target
	// wait is how the call waits for room at a target.
	wait waitState
	// budgetExhausted is set if the retry budget did not allow another attempt.
	budgetExhausted bool
	// retryGranted is set while the call holds a retry that it has waited for.
	retryGranted bool
	// evidence is what showed the loss of the last attempt's target.
	evidence balance.Evidence
	// requestFingerprint identifies the content of the request. quarantineLeft is
	// how much longer a request with this fingerprint is refused because it
	// crashes targets; 0 if it is not quarantined.
	requestFingerprint id.Fingerprint
	quarantineLeft     time.Duration
	// partFingerprints identify the parts of the prompt that other requests may have
	// too.
	partFingerprints []id.Fingerprint
	// attemptBegan is when the target of the current attempt sent the first part of an
	// answer; zero before that. attemptProven is set once it has lived on after that.
	attemptBegan  time.Time
	attemptProven bool
	// endUncertain is set if the end of the connection ended a complete answer, which the
	// target may not have meant.
	endUncertain bool
	// answer describes the answer of the current attempt for the log.
	answer answerRecord
	// contentKey is what handoverKey returns; empty before that.
	contentKey handover.Key
	// software is the version at which the request's stream goes on; nil before it has
	// begun.
	software *requiredSoftware
	// drawn is set while the current attempt may be sent to the new version of a roll-out, and
	// refusedNew if that version may not get it.
	drawn, refusedNew bool
	// bodyRead is set once the request's body has been read, or could not be read.
	bodyRead bool
	// releaseBuffers give back the memory of the request's body and of the buffered answers.
	releaseBuffers []func()
	// heldBack is set if the request may not start yet because requests with this
	// fingerprint are suspected of crashing targets.
	heldBack bool
}

// serve handles one client request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	c := &call{e: e, w: w, r: r, start: e.deps.Clock.Now(), tried: map[id.Target]bool{}, sentTo: map[string]bool{}}
	c.meta = e.deps.Dialect.DecodeRequest(r.Header)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer c.release()
	if !c.admit() || !c.readBody() {
		return
	}
	c.log(event.RequestAccepted, "route", c.route.Name, "service", c.service, "version", c.cfg.Version,
		"promptTokens", c.meta.PromptTokens, "parts", joinParts(c.meta.PromptParts), "lastEvent", c.meta.LastEventID, "resumes", c.meta.Resumes, "protocol", c.r.Proto, "left", c.timeLeft())
	defer c.endTrial()
	defer c.endTurn()
	defer c.endReservation()
	defer c.returnRetry()
	defer e.quarantine.End(c.content(), id.Request(c.meta.Attempt))
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(e.working, cancel)()
	if c.route.Kind == catalog.Streaming {
		e.activeStreams.Add(1)
		defer e.activeStreams.Add(-1)
		c.serveStream(ctx)
		return
	}
	c.servePlain(ctx)
}

// admit finds the route and the client account. If the request can't be served,
// admit answers it and returns false.
func (c *call) admit() bool {
	c.e.awaitConfig(c.r.Context())
	c.cfg = c.e.directory.View().Config
	if c.cfg == nil {
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "noConfig", retryAfter: startRetryAfter})
		return false
	}
	route, ok := c.cfg.Match(c.r.Host, c.r.URL.EscapedPath())
	if !ok {
		c.refuse(refusal{status: http.StatusNotFound, reason: "noRoute"})
		return false
	}
	c.route = route
	if c.cfg.NeedsKey(route) {
		account, ok := c.cfg.AccountOf(c.meta.Key)
		if !ok {
			c.refuse(refusal{status: http.StatusUnauthorized, reason: "unknownKey"})
			return false
		}
		c.account = account
	}
	c.service = route.PickService(c.e.deps.Random())
	c.requirements = balance.Request{
		Engine:       c.engine(),
		PromptTokens: c.meta.PromptTokens, OutputTokens: c.meta.OutputTokens, Prompt: string(c.meta.OwnPart()),
		Kind: route.Name,
	}
	c.setDeadline()
	if c.stopsFirst() {
		c.refuseDraining()
		return false
	}
	if c.route.Kind == catalog.Streaming && c.timeLeft() < c.e.minStreamTime(c.service, &c.meta) {
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "timeoutTooShort"})
		return false
	}
	return true
}

// engine returns the engine properties that the service's targets share, or nil
// for a plain service. Backups are turned off for streams that can't be resumed
// at another target.
func (c *call) engine() *catalog.Engine {
	e := c.cfg.Services[c.service].Engine
	if e == nil || c.route.Resumable {
		return e
	}
	withoutBackup := *e
	withoutBackup.SupportsBackup = false
	return &withoutBackup
}

func (c *call) setDeadline() {
	timeout := c.route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if c.meta.Timeout > 0 {
		timeout = min(timeout, c.meta.Timeout)
	}
	c.deadline = c.start.Add(timeout - min(answerMargin, timeout/10))
}

// readBody buffers the whole request body, so that the request can be sent more
// than once. If the body can't be read, readBody answers the request and returns
// false.
func (c *call) readBody() bool {
	limit := int64(maxBodyBytes)
	if c.cfg.Limits.BodyBytes > 0 {
		limit = c.cfg.Limits.BodyBytes
	}
	stopLimiting := c.limitBodyTime()
	body, release, err := c.e.bodies.read(http.MaxBytesReader(c.w, c.r.Body, limit), int(limit))
	stopLimiting()
	c.bodyRead = true
	c.releaseBuffers = append(c.releaseBuffers, release)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		c.refuse(refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLong"})
		return false
	case errors.Is(err, errBuffersFull):
		c.refuseUnread(refusal{status: statusNotRun, reason: "bodiesFull", retryAfter: busyRetryAfter})
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuseLateBody()
		return false
	case c.stopsFirst():
		c.refuseDraining()
		return false
	case err != nil:
		c.refuse(refusal{status: http.StatusBadRequest, reason: "badBody"})
		return false
	}
	c.body = body
	c.requestFingerprint = c.computeFingerprint()
	for _, part := range c.meta.SharedParts() {
		c.partFingerprints = append(c.partFingerprints, id.FingerprintOf("part", string(part)))
	}
	c.header = forwarded(c.r.Header)
	c.e.deps.Dialect.Strip(c.header)
	return true
}

// upstreamRequest returns the request as it is sent to the target.
func (c *call) upstreamRequest(t *catalog.Target, forward direct.ForwardMetadata) *upstream.Request {
	header := c.header.Clone()
	c.e.deps.Dialect.EncodeForward(header, forward)
	fresh := c.sentTo[t.Address]
	c.sentTo[t.Address] = true
	return &upstream.Request{Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body, Fresh: fresh}
}

// forwardMetadata returns the metadata that is sent to the target with the
// request.
func (c *call) forwardMetadata(choice balance.Choice) direct.ForwardMetadata {
	m := direct.ForwardMetadata{Timeout: c.timeLeft(), Target: choice.Target.ID}
	m.Account = c.accountName()
	if c.requirements.Engine != nil {
		priority := c.priority()
		m.Priority = &priority
	}
	if choice.Backup != nil {
		m.BackupAddress = choice.Backup.Address
	}
	return m
}

// timeLeft returns the time until the deadline for the complete answer.
func (c *call) timeLeft() time.Duration { return c.deadline.Sub(c.now()) }

func (c *call) now() time.Time { return c.e.deps.Clock.Now() }

// expired reports whether the deadline has passed.
func (c *call) expired() bool { return c.timeLeft() <= 0 }

// clientGone reports whether the client has closed its connection.
func (c *call) clientGone() bool { return c.r.Context().Err() != nil }

// maxRuns returns at how many targets the request may be executed.
func (c *call) maxRuns() int {
	if !c.route.Idempotent() {
		return 1
	}
	return max(1, c.route.MaxAttempts)
}

// allowSend records that the request is about to be sent. It returns false if the
// retry budget is exhausted.
func (c *call) allowSend() bool {
	now := c.now()
	if c.sends == 0 {
		c.e.retryBudgets.recordRequest(now, c.service)
	} else if c.retryGranted {
		c.retryGranted = false
	} else if c.reached && !c.e.retryBudgets.tryRetry(now, c.service, c.e.roster.LimitShare(now), c.reportAge(now)) {
		c.budgetExhausted = true
		c.log(event.BudgetExhausted, "service", c.service, "entries", c.e.roster.LimitSharers(now))
		return false
	}
	c.sends++
	return true
}

// reportAge returns how old the other entries' reports of their retries may be.
func (c *call) reportAge(now time.Time) time.Duration {
	if c.route.Kind == catalog.Streaming {
		return streamReportAge
	}
	return updateInterval(c.e.roster.LimitSharers(now))
}

// joinParts returns the parts of a prompt as text for the log.
func joinParts(parts []direct.PartID) string {
	var b strings.Builder
	for i, part := range parts {
		if i > 0 {
			b.WriteByte('+')
		}
		b.WriteString(string(part))
	}
	return b.String()
}

// buffer reads the body of an answer that is kept until the request ends.
func (c *call) buffer(body io.Reader) ([]byte, error) {
	data, release, err := c.e.buffers.read(body, maxAnswerBytes)
	if err != nil {
		release()
		return nil, err
	}
	c.releaseBuffers = append(c.releaseBuffers, release)
	return data, nil
}

// release gives back the memory of the request's body and of the buffered answers.
func (c *call) release() {
	for _, release := range c.releaseBuffers {
		release()
	}
}

// log writes a log line with the request's id.
func (c *call) log(e event.Event, fields ...any) {
	c.e.deps.Log.Emit(e, append([]any{"request", c.meta.Attempt}, fields...)...)
}
