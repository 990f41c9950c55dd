package direct

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// askInterval is the time between two questions of where a stream began, and
	// askTimeout how long a request waits for the answer.
	askInterval = 80 * time.Millisecond
	askTimeout  = 250 * time.Millisecond
	// versionUnknownRetryAfter is used while it is not known where a stream began: entries
	// that have started, and the key-value service, may tell soon.
	versionUnknownRetryAfter = 500 * time.Millisecond
)

// resumesStream reports whether the client goes on with a stream that it has a part of.
func (c *call) resumesStream() bool {
	return c.route.Resumable && (c.meta.LastEventID != "" || c.meta.Resumes != "")
}

// originKeys returns the keys by which the request's stream is remembered: the attempt that
// began it, and its content, for clients that do not name the attempt.
func (c *call) originKeys() []id.Request {
	content := origin.ContentKey(string(c.handoverKey()))
	switch {
	case !c.resumesStream():
		return []id.Request{id.Request(c.meta.Attempt), content}
	case c.meta.Resumes != "":
		return []id.Request{id.Request(c.meta.Resumes), content}
	}
	return []id.Request{content}
}

// findOrigin finds out where the stream that the client resumes began. It returns false
// if that is not known.
func (c *call) findOrigin(ctx context.Context) bool {
	clock := c.e.deps.Clock
	key := c.originKeys()[0]
	if _, known := c.remembersOrigin(key); known {
		return true
	}
	question := c.e.askOrigin(key)
	defer c.e.endQuestion(question)
	all := question.all
	timeout, ask := clock.After(askTimeout), clock.After(0)
	for {
		changed := c.e.streams.Changed()
		if _, known := c.remembersOrigin(key); known {
			return true
		}
		select {
		case <-changed:
		case <-all:
			// The last answer may have told it. Those that remember the stream may learn its version yet.
			if found, _ := c.remembersOrigin(key); !found {
				return c.beganAtSoleVersion(ctx)
			}
			all = nil
		case <-ask:
			ask = clock.After(askInterval)
			c.e.sendQuestion(question)
		case <-timeout:
			if found, known := c.remembersOrigin(key); found {
				return known
			}
			return c.beganAtSoleVersion(ctx)
		case <-ctx.Done():
			return false
		}
	}
}

// askOrigin begins a question of where a stream began.
func (e *Entry) askOrigin(key id.Request) *originQuestion {
	if e.peerExchange == nil {
		return newOriginQuestions().ask(key, nil)
	}
	return e.peerExchange.ask(e.deps.Clock.Now(), key)
}

func (e *Entry) sendQuestion(q *originQuestion) {
	if e.peerExchange != nil {
		e.peerExchange.sendQuestion(q)
	}
}

func (e *Entry) endQuestion(q *originQuestion) {
	if e.peerExchange != nil {
		e.peerExchange.questions.end(q)
	}
}

// remembersOrigin reports whether the stream is remembered, and whether its version is known. It sets
// the required version.
func (c *call) remembersOrigin(key id.Request) (found, known bool) {
	s, ok := c.e.streams.Find(c.now(), key)
	if !ok {
		return false, false
	}
	c.software = &requiredSoftware{
		known: s.Known(), version: s.Software, startless: s.Startless, startsNamed: c.e.startsNamed.Load,
		target: s.Target, start: s.Start, source: c.e.streams.Source(key),
	}
	if _, known = c.software.resolve(c.allTargets()); known {
		c.logOrigin(time.Duration(s.AgeMS) * time.Millisecond)
	}
	return true, known
}

// beganAtSoleVersion sets the required version of a stream that nobody remembers, if one version
// alone has served. A list that names no other one does not show that: a process may serve before its
// record is written, and may have ended since. So what entries have saved before they let streams begin is read, and the
// processes of all records are asked for their starts.
func (c *call) beganAtSoleVersion(ctx context.Context) bool {
	if c.e.pausedWithin(pauseSettleTime) {
		// The list of targets may be older than the stream.
		return false
	}
	if _, ok := c.soleVersion(); !ok || !c.e.reports.confirmAll(ctx, c.service) {
		return false
	}
	if _, known := c.remembersOrigin(c.originKeys()[0]); known {
		// An entry had saved it.
		return true
	}
	// The reports or an entry's state may have shown another process.
	version, ok := c.soleVersion()
	if ok {
		c.software = &requiredSoftware{known: true, version: version, startsNamed: c.e.startsNamed.Load, source: origin.BySole}
		c.logOrigin(0, "covered", c.e.versions.CoveredFor(c.now()))
	}
	return ok
}

// soleVersion returns the only version of the request's service that has served, as far as the
// records tell.
func (c *call) soleVersion() (id.SoftwareVersion, bool) {
	c.e.observeVersions()
	return c.e.versions.Sole(c.now(), c.service)
}

// refuseUnknownOrigin refuses to go on with a stream of which nobody knows where it began.
func (c *call) refuseUnknownOrigin() {
	if c.clientGone() {
		c.abandon()
	}
	c.log(event.RecoveryRefused, "reason", "versionUnknown", "resumes", c.meta.Resumes, "lastEvent", c.meta.LastEventID)
	c.refuse(refusal{status: statusNotRun, reason: "versionUnknown", retryAfter: versionUnknownRetryAfter})
}
