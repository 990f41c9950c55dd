package direct

import (
	"context"
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// leavingCheckTimeout limits one question, and leavingCheckPause is the time between two of them.
	leavingCheckTimeout = 300 * time.Millisecond
	leavingCheckPause   = 250 * time.Millisecond
	// leavingListedTime is for how long a target may be listed as ready that is leaving: a record is
	// removed after three heartbeats at the latest, unless the key-value service does not answer.
	leavingListedTime = 5 * time.Second
)

// leavingResult is what has become of a target of which it was not known whether it is leaving.
type leavingResult string

const (
	// staysSaid and leavesSaid mean that the process itself has said it, and staysListed that it is listed
	// as ready for longer than one that is leaving.
	staysSaid   leavingResult = "stays"
	leavesSaid  leavingResult = "leaves"
	staysListed leavingResult = "listed"
	// leavingUnknown means that it has not said it yet.
	leavingUnknown leavingResult = "unknown"
	// leavingMoot means that other news have told, or that a later process is listed.
	leavingMoot leavingResult = "moot"
)

// leavingCheck finds out whether a target is leaving whose record arrived a short time after an answer under its
// name had said so: the process of the record, or the one before it. Until then the target gets nothing.
type leavingCheck struct {
	e *Entry
	t *catalog.Target
	// since is from when on the key-value service has answered.
	since time.Time
}

// checkLeaving starts the check of a target. It does not block. The check ends when the entry is told to stop.
func (e *Entry) checkLeaving(t *catalog.Target) {
	c := &leavingCheck{e: e, t: t, since: e.deps.Clock.Now()}
	go c.run()
}

func (c *leavingCheck) run() {
	began := c.since
	for {
		result := c.result()
		if result == leavingUnknown {
			if !timing.Sleep(c.e.stopping, c.e.deps.Clock, leavingCheckPause) {
				return
			}
			continue
		}
		now := c.e.deps.Clock.Now()
		c.e.deps.Log.Emit(event.LeavingChecked, "target", c.t.ID, "incarnation", c.t.Incarnation, "result", result, "took", now.Sub(began))
		c.e.metrics.leavingChecked(c.t.Service, string(result))
		if result != leavingMoot && c.e.withdrawn.Resolve(now, c.t.Key(), result == leavesSaid) {
			c.e.updatePeers()
		}
		return
	}
}

// result asks the target once.
func (c *leavingCheck) result() leavingResult {
	if !c.e.withdrawn.Unsure(c.t.Key()) {
		return leavingMoot
	}
	current := c.e.directory.View().Targets[c.t.Service].Find(c.t.ID)
	if current == nil || current.Key() != c.t.Key() {
		// Its record is about to be put in force, or has lapsed and may be back.
		c.since = c.e.deps.Clock.Now()
		return leavingUnknown
	}
	ctx, cancel := context.WithTimeout(c.e.stopping, leavingCheckTimeout)
	defer cancel()
	result := leavingUnknown
	if !c.e.withdrawn.Paused(c.e.deps.Clock.Now(), c.t.Key()) {
		result = c.ask(ctx, current)
	}
	now := c.e.deps.Clock.Now()
	if c.e.storeWatcher.storeUnavailable() || current.State != catalog.Ready {
		c.since = now
	}
	if result == leavingUnknown && now.Sub(c.since) >= leavingListedTime {
		return staysListed
	}
	return result
}

// ask asks the process whether it is leaving: an engine by its report, another target by a health check. All answers of a
// process that is leaving say so.
func (c *leavingCheck) ask(ctx context.Context, t *catalog.Target) leavingResult {
	cfg := c.e.directory.View().Config
	if cfg == nil {
		return leavingUnknown
	}
	service := cfg.Services[t.Service]
	request := healthRequest(t, service.HealthPath)
	if service.Engine != nil {
		request = engineRequest(t.Address, c.e.deps.Dialect.ReportCall())
	} else if service.HealthPath == "" {
		return leavingUnknown
	}
	answer, err := c.e.sendToEngine(ctx, request)
	if err != nil {
		return leavingUnknown
	}
	same, leaves := c.said(t, service.Engine != nil, answer)
	switch {
	case leaves:
		return leavesSaid
	case same:
		return staysSaid
	}
	return leavingUnknown
}

// said returns whether the process of a target's record has answered as one that serves, and whether it has said that it is
// leaving.
func (c *leavingCheck) said(t *catalog.Target, engine bool, answer bufferedAnswer) (same, leaves bool) {
	leaves = c.e.deps.Dialect.DecodeResponse(answer.status, answer.header).Notice.Leaving
	if engine {
		report, ok := c.e.deps.Dialect.DecodeReport(answer.body)
		return ok && answer.status == http.StatusOK && report.Incarnation == t.Incarnation, leaves || report.Leaving
	}
	name, healthy := c.e.deps.Dialect.DecodeName(answer.status, answer.header)
	if name != "" && name != t.ID {
		return false, false
	}
	return healthy, leaves
}
