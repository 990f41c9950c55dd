package direct

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// beginReportTimeout is how long the first event of a stream waits for the report of the
	// process that sent it.
	beginReportTimeout = 250 * time.Millisecond
	// A process that does not report its start is asked maxBeginReports times, at intervals of
	// beginReportInterval.
	maxBeginReports     = 6
	beginReportInterval = 500 * time.Millisecond
)

// recordBegin records that the target has sent the first event of the request's stream.
func (c *call) recordBegin(ctx context.Context, t *catalog.Target, sent time.Time) {
	if c.software != nil || !c.route.Resumable {
		return
	}
	if current := c.allTargets().Find(t.ID); current != nil && current.Incarnation == t.Incarnation {
		// The record of a target that was found as a successor may have arrived meanwhile.
		t = current
	}
	c.software = &requiredSoftware{}
	switch {
	case t.Incarnation == 0 && !t.SoftwareUnknown:
		c.software.set(t.Software, origin.ByRecord)
	case t.Incarnation == 0 && !c.e.startsNamed.Load():
		// Each start has a new id, so the process is that of its record, once it arrives.
		c.software.setProcess(t.ID, 0)
	default:
		c.identifyBegin(ctx, t, sent)
		return
	}
	c.recordOrigin()
	c.logOrigin(0, "target", t.ID)
}

// identifyBegin finds out which process has sent the first event of the request's stream, and records
// it before the client gets that event. If the report is late, the version counts as unknown until it
// arrives.
func (c *call) identifyBegin(ctx context.Context, t *catalog.Target, sent time.Time) {
	began := c.now()
	first := make(chan struct{})
	go c.identifyProcess(context.WithoutCancel(ctx), t, sent, began, sync.OnceFunc(func() { close(first) }))
	select {
	case <-first:
	case <-c.e.deps.Clock.After(beginReportTimeout):
		c.recordOrigin()
	}
}

// identifyProcess asks the target that began the request's stream until it or its record tells which
// process that was. It calls tried after each attempt.
func (c *call) identifyProcess(ctx context.Context, t *catalog.Target, sent, began time.Time, tried func()) {
	for range maxBeginReports {
		report := c.e.reports.identify(ctx, t)
		if report.result == unconfirmed && c.wroteRecordSince(t, began) {
			report.result = confirmed
		}
		c.recordProcess(t, sent, report)
		tried()
		if report.result != unconfirmed || !timing.Sleep(ctx, c.e.deps.Clock, beginReportInterval) {
			return
		}
	}
}

// wroteRecordSince reports whether the process of a target's record has written it after a time. Only one
// process runs under an id at a time, so it was the same before.
func (c *call) wroteRecordSince(t *catalog.Target, since time.Time) bool {
	if c.e.pausedWithin(c.now().Sub(since) + recordDelay) {
		// The record may have waited to be read.
		return false
	}
	current := c.allTargets().Find(t.ID)
	return current != nil && t.Incarnation != 0 && current.Incarnation == t.Incarnation && current.RecordedAt.Sub(since) > recordDelay
}

// recordProcess records the process that began the request's stream at a target, to which the request was
// sent at the given time. Whoever answers the report has begun it if it served before that too; otherwise
// the process before it may have begun it and ended.
func (c *call) recordProcess(t *catalog.Target, sent time.Time, report processReport) {
	switch {
	case report.result == confirmed:
		c.software.set(t.Software, origin.ByReport)
	case report.result == replaced && c.e.versions.ServedBefore(sent, t.Service, t.ID, report.start):
		c.software.setProcess(t.ID, report.start)
	}
	c.recordOrigin()
	c.logOrigin(0, "target", t.ID, "process", t.Incarnation, "start", report.start, "result", report.result)
}

// recordSoftware records the version of the target that began the stream, once the target is known
// to be the process that its record describes.
func (c *call) recordSoftware(t *catalog.Target) {
	c.software.set(t.Software, origin.ByReport)
	c.recordOrigin()
}
