package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Bounds of requests.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// maxBodyBytes bounds a request's body where the configuration does not.
	maxBodyBytes = 16 << 20
	// defaultTimeout bounds requests whose route and client set no timeout.
	defaultTimeout = 30 * time.Second
	// answerMargin is left of a request's time for the answer's way back.
	answerMargin = 30 * time.Millisecond
)

// call is one request of a client on its way through the entry.
type call struct {
	e       *Entry
	w       http.ResponseWriter
	r       *http.Request
	ask     direct.RequestMetadata
	cfg     *catalog.Config
	route   *catalog.Route
	account *catalog.ClientAccount
	service id.Service
	need    balance.Request
	body    []byte
	// header is what every target gets of the client's headers.
	header   http.Header
	start    time.Time
	deadline time.Time
	// tried holds the targets that the request was sent to; sends counts them.
	tried map[id.Target]bool
	sends int
	// arrived says that one of the sends reached its target. What did not is no
	// load for the service, and the next send is the first that is.
	arrived bool
	// ran counts the sends whose request may have run.
	ran int
	// refusedBusy says that a target refused the request as one too many.
	refusedBusy bool
	// overBudget says that the retry budget ended the request.
	overBudget bool
	// print identifies what is asked for. quarantine is how long it is refused,
	// since it ends the targets that run it; 0 for no quarantine.
	print      id.Fingerprint
	quarantine time.Duration
}

// serve answers one request of a client.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	c := &call{e: e, w: w, r: r, start: e.deps.Clock.Now(), tried: map[id.Target]bool{}}
	c.ask = e.deps.Dialect.DecodeRequest(r.Header)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit() || !c.readBody() {
		return
	}
	c.log(event.RequestAccepted, "route", c.route.Name, "service", c.service, "version", c.cfg.Version,
		"promptTokens", c.ask.PromptTokens, "lastEvent", c.ask.LastEventID, "left", c.left())
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.route.Kind == catalog.Streaming {
		e.streams.Add(1)
		defer e.streams.Add(-1)
		c.stream(ctx)
		return
	}
	c.plain(ctx)
}

// admit finds the route and the client account, and answers the request if it
// can't be served.
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
		account, ok := c.cfg.AccountOf(c.ask.Key)
		if !ok {
			c.refuse(refusal{status: http.StatusUnauthorized, reason: "unknownKey"})
			return false
		}
		c.account = account
	}
	c.service = route.PickService(c.e.deps.Random())
	c.need = balance.Request{
		Engine:       c.engine(),
		PromptTokens: c.ask.PromptTokens, OutputTokens: c.ask.OutputTokens, Prompt: c.ask.PromptID,
	}
	c.setDeadline()
	if c.e.leavesBefore(c.start.Add(c.usualTime())) {
		c.refuseDraining()
		return false
	}
	if c.route.Kind == catalog.Streaming && c.left() < c.e.leastTime(c.service, &c.ask) {
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "timeoutTooShort"})
		return false
	}
	return true
}

// engine returns what the engines of the service have in common, or nil for a
// plain service. A stream that can't go on elsewhere has no use for copies.
func (c *call) engine() *catalog.Engine {
	e := c.cfg.Services[c.service].Engine
	if e == nil || c.route.Resumable {
		return e
	}
	plain := *e
	plain.SupportsBackup = false
	return &plain
}

// usualTime returns how long a request of the route takes at most, as a rule.
func (c *call) usualTime() time.Duration {
	if c.route.Kind == catalog.Streaming {
		return streamTime
	}
	return plainTime
}

// targets returns the targets of the request's service as they are known now.
func (c *call) targets() catalog.Targets { return c.e.directory.View().Targets[c.service] }

func (c *call) setDeadline() {
	timeout := c.route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if c.ask.Timeout > 0 {
		timeout = min(timeout, c.ask.Timeout)
	}
	c.deadline = c.start.Add(timeout - min(answerMargin, timeout/10))
}

// readBody reads the whole request, so that it can be sent more than once.
func (c *call) readBody() bool {
	limit := int64(maxBodyBytes)
	if c.cfg.Limits.BodyBytes > 0 {
		limit = c.cfg.Limits.BodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		c.refuse(refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLong"})
		return false
	case err != nil:
		c.refuse(refusal{status: http.StatusBadRequest, reason: "badBody"})
		return false
	}
	c.body = body
	c.print = c.fingerprint()
	c.header = forwarded(c.r.Header)
	c.e.deps.Dialect.Strip(c.header)
	return true
}

// order returns what the target is told beside the request.
func (c *call) order(choice balance.Choice) direct.ForwardMetadata {
	o := direct.ForwardMetadata{Timeout: c.left(), Target: choice.Target.ID}
	o.Account = c.accountName()
	if c.need.Engine != nil {
		priority := c.cfg.PriorityOf(c.route, c.account)
		o.Priority = &priority
	}
	if choice.Backup != nil {
		o.BackupAddress = choice.Backup.Address
	}
	return o
}

// left returns the time until the answer must be whole.
func (c *call) left() time.Duration { return c.deadline.Sub(c.now()) }

func (c *call) now() time.Time { return c.e.deps.Clock.Now() }

// late reports whether the time for the answer is over.
func (c *call) late() bool { return c.left() <= 0 }

// clientLeft reports whether the client closed its connection.
func (c *call) clientLeft() bool { return c.r.Context().Err() != nil }

// maxRuns returns how many targets may run the request.
func (c *call) maxRuns() int {
	if !c.route.Idempotent() {
		return 1
	}
	return max(1, c.route.MaxAttempts)
}

// send notes that the request is about to be sent, and reports whether the
// retry budget and the quarantine allow it.
func (c *call) send() bool {
	now := c.now()
	if c.quarantined(now) {
		return false
	}
	if c.sends == 0 {
		c.e.retries.first(now, c.service)
	} else if c.arrived && !c.e.retries.again(now, c.service, c.e.roster.LimitShare(now)) {
		c.overBudget = true
		c.log(event.BudgetExhausted, "service", c.service, "entries", c.e.roster.LimitSharers(now))
		return false
	}
	c.sends++
	return true
}

// log writes a line about the request.
func (c *call) log(e event.Event, fields ...any) {
	c.e.deps.Log.Emit(e, append([]any{"request", c.ask.Attempt}, fields...)...)
}
