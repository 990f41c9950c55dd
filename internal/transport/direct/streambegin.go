package direct

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// beginReportTimeout is how long the first event of a stream waits for the report of the
	// process that sent it.
	beginReportTimeout = time.Second
	// A process that does not report its start is asked maxBeginReports times, at intervals of
	// beginReportInterval.
	maxBeginReports     = 6
	beginReportInterval = 500 * time.Millisecond
)

// streamBegin is the beginning of a request's stream at a target.
type streamBegin struct {
	c      *call
	target *catalog.Target
	// sent is when the request was sent to the target, and at when its first event arrived.
	sent, at time.Time
	software *requiredSoftware
	// stop ends the identification.
	stop context.CancelFunc

	// mu guards published, which is set once the client may get the first event, and orders what is told after that.
	mu        sync.Mutex
	published bool
	// report is the last report of the process; nil if none was needed, or none has arrived.
	report *processReport
}

// recordBegin records that the target has sent the first event of the request's stream, unless the stream has begun before.
// It returns the outcome of the attempt if the stream can't begin there.
func (c *call) recordBegin(ctx context.Context, t *catalog.Target, sent time.Time) (balance.Outcome, error) {
	if c.software != nil || !c.route.Resumable {
		return balance.Succeeded, nil
	}
	if current := c.allTargets().Find(t.ID); current != nil && current.Incarnation == t.Incarnation {
		// The record of a target that was found as a successor may have arrived meanwhile.
		t = current
	}
	b := &streamBegin{c: c, target: t, sent: sent, at: c.now(), software: &requiredSoftware{startsNamed: c.e.startsNamed.Load}, stop: func() {}}
	named := true
	switch {
	case t.Incarnation == 0 && !t.SoftwareUnknown && !c.e.startsNamed.Load():
		b.software.setStartless(t.Software)
	case t.Incarnation == 0 && !c.e.startsNamed.Load():
		// Each start has a new id, so the process is that of its record, once it arrives.
		b.software.setProcess(t.ID, 0)
	default:
		named = false
		b.identify(ctx)
	}
	if !c.saveVersion(ctx, t, b.software.seen(t)) {
		b.stop()
		return balance.Rerouted, errVersionNotSaved
	}
	b.publish(named)
	return balance.Succeeded, nil
}

// publish lets the origin of the stream be recorded and told. named says that no report is needed.
func (b *streamBegin) publish(named bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.c.software, b.published = b.software, true
	b.c.recordOrigin()
	switch {
	case named:
		b.c.logOrigin(0, "target", b.target.ID)
	case b.report != nil:
		b.logReport()
	}
}

// record records what a report tells about the process that began the stream.
func (b *streamBegin) record(report processReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report = &report
	b.observe(report)
	if b.published {
		b.c.recordOrigin()
		b.logReport()
	}
}

func (b *streamBegin) logReport() {
	b.c.logOrigin(0, "target", b.target.ID, "process", b.target.Incarnation, "start", b.report.start, "result", b.report.result)
}

// identify finds out which process has sent the first event, and returns after the first report or beginReportTimeout.
// It goes on for a while, or until stop is called, if that does not tell; the version counts as unknown until then.
func (b *streamBegin) identify(ctx context.Context) {
	ctx, b.stop = context.WithCancel(context.WithoutCancel(ctx))
	first := make(chan struct{})
	go b.identifyProcess(ctx, sync.OnceFunc(func() { close(first) }))
	select {
	case <-first:
	case <-b.c.e.deps.Clock.After(beginReportTimeout):
	}
}

// identifyProcess asks the target that began the request's stream until it or its record tells which
// process that was. It calls tried after each attempt.
func (b *streamBegin) identifyProcess(ctx context.Context, tried func()) {
	c, t := b.c, b.target
	defer b.stop()
	for range maxBeginReports {
		report := c.e.reports.confirm(ctx, t)
		if report.result == unconfirmed && c.wroteRecordSince(t, b.at) {
			report.result = confirmed
		}
		b.record(report)
		tried()
		if report.result != unconfirmed || !timing.Sleep(ctx, c.e.deps.Clock, beginReportInterval) {
			return
		}
	}
}

// observe sets the process that began the stream. Whoever answers the report has begun it if it served before the
// request was sent too; otherwise the process before it may have begun it and ended.
func (b *streamBegin) observe(report processReport) {
	c, t := b.c, b.target
	switch {
	case report.result == confirmed:
		b.software.set(t.Software, origin.ByReport)
	case report.result == replaced && c.e.versions.ServedBefore(b.sent, t.Service, t.ID, report.start):
		b.software.setProcess(t.ID, report.start)
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

// recordSoftware records the version of the target that began the stream, once the target is known
// to be the process that its record describes.
func (c *call) recordSoftware(t *catalog.Target) {
	c.software.set(t.Software, origin.ByReport)
	c.recordOrigin()
}
