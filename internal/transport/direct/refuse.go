package direct

import (
	"net/http"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/state/event"
)

// Times after which clients should come back.
const (
	// startRetryAfter is for an entry that has no configuration yet.
	startRetryAfter = 500 * time.Millisecond
	// otherEntryRetryAfter is for an entry that is about to stop while another one
	// can take the request at once.
	otherEntryRetryAfter = 50 * time.Millisecond
	// busyRetryAfter is for targets that are all full.
	busyRetryAfter = 300 * time.Millisecond
	// noTargetRetryAfter is for a service without a target that can be reached.
	noTargetRetryAfter = 500 * time.Millisecond
)

// refusal is a failure of the entry's own.
type refusal struct {
	status int
	// reason is a word for the log and the body.
	reason string
	// retryAfter tells the client when to come back; 0 for no word about it.
	retryAfter time.Duration
}

// refuseDraining refuses a request that the entry could not finish before it
// stops. The client is told when another entry takes it.
func (c *call) refuseDraining() {
	wait, _ := c.e.roster.TimeUntilServing(c.now())
	c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "draining", retryAfter: max(wait, otherEntryRetryAfter)})
}

// refuse answers the request with a failure of the entry's own.
func (c *call) refuse(f refusal) {
	h := c.w.Header()
	c.e.deps.Dialect.EncodeRefusal(h, c.ask.Attempt)
	h.Set("Content-Type", "text/plain")
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', -1, 64))
	}
	body := f.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(f.status)
	// The client may be gone, which the server notices by itself.
	_, _ = c.w.Write([]byte(body))
	c.e.meters.refused(f)
	c.e.meters.finished(c.route, f.reason, 0)
	c.log(refusalEvent(f.status), "status", f.status, "reason", f.reason, "sends", c.sends, "after", c.now().Sub(c.start))
}

func refusalEvent(status int) event.Event {
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		return event.RequestFailed
	}
	return event.RequestRefused
}

// giveUp answers a request that got no answer of a target. A request that may
// have run is never called refused.
func (c *call) giveUp() {
	switch {
	case c.clientLeft():
		c.abandon()
	case c.ran == 0 && c.quarantine > 0:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "quarantine", retryAfter: c.quarantine})
	case c.ran == 0 && c.refusedBusy:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "targetsBusy", retryAfter: busyRetryAfter})
	case c.ran == 0 && c.overBudget:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "retryBudget", retryAfter: noTargetRetryAfter})
	case c.ran == 0 && !c.late():
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "noTarget", retryAfter: noTargetRetryAfter})
	case c.ran == 0:
		c.refuse(refusal{status: http.StatusServiceUnavailable, reason: "timeout"})
	case c.late():
		c.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	default:
		c.refuse(refusal{status: http.StatusBadGateway, reason: "targetLost"})
	}
}

// abandon ends a request whose client has left.
func (c *call) abandon() {
	c.e.meters.finished(c.route, outcomeAbandoned, 0)
	c.log(event.RequestAbandoned, "sends", c.sends, "after", c.now().Sub(c.start))
	c.abort()
}

// abort closes the client's connection, so that a partial answer does not look
// whole.
func (c *call) abort() { panic(http.ErrAbortHandler) }
