package direct

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// askInterval is the time between two questions of where a stream began, and
	// askTimeout how long a request waits for the answer.
	askInterval = 80 * time.Millisecond
	askTimeout  = 250 * time.Millisecond
	// beginReportTimeout is how long the first event of a stream waits for the report of the
	// process that sent it.
	beginReportTimeout = 250 * time.Millisecond
	// A process that does not report its start is asked maxBeginReports times, at intervals of
	// beginReportInterval.
	maxBeginReports     = 6
	beginReportInterval = 500 * time.Millisecond
	// versionUnknownRetryAfter is used while it is not known where a stream began: entries
	// that have started, and the key-value service, may tell soon.
	versionUnknownRetryAfter = 500 * time.Millisecond
	// versionGoneRetryAfter is used if no target of a stream's version serves. One that
	// crashed is back within about this time.
	versionGoneRetryAfter = time.Second
)

// requiredSoftware is the version at which a stream goes on. It is safe for concurrent
// use.
type requiredSoftware struct {
	mu      sync.Mutex
	known   bool
	version id.SoftwareVersion
	// target is the target that may have begun the stream, and start the start that its process named
	// afterwards. proven says that this process began it, so that its record tells the version.
	target id.Target
	start  id.Incarnation
	proven bool
	// source is from what the version is known.
	source origin.Source
}

// resolve returns the required version, if it is known, also from the record of the target
// that began the stream.
func (r *requiredSoftware) resolve(listed catalog.Targets) (id.SoftwareVersion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := listed.Find(r.target); !r.known && r.proven && t != nil && t.Incarnation == r.start && !t.SoftwareUnknown {
		r.version, r.known, r.source = t.Software, true, origin.ByRecord
	}
	return r.version, r.known
}

// stream returns the version as it is remembered.
func (r *requiredSoftware) stream() origin.Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known {
		return origin.Stream{Software: r.version}
	}
	if !r.proven {
		return origin.Stream{Unknown: true}
	}
	return origin.Stream{Unknown: true, Target: r.target, Start: r.start}
}

func (r *requiredSoftware) set(v id.SoftwareVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.known, r.source = v, true, origin.ByReport
}

// setRecorded sets the version by the record of the target that began the stream.
func (r *requiredSoftware) setRecorded(v id.SoftwareVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.known, r.source = v, true, origin.ByRecord
}

// setProcess sets the process that may have begun the stream, of which no record tells the version yet.
func (r *requiredSoftware) setProcess(target id.Target, start id.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.start = target, start
}

// prove records that the process that was set began the stream. It reports whether that is new.
func (r *requiredSoftware) prove() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known || r.proven || r.target == "" {
		return false
	}
	r.proven = true
	return true
}

// text returns the version and its source for logs.
func (r *requiredSoftware) text() (software string, source origin.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known {
		return "unknown", origin.NoSource
	}
	return string(r.version), r.source
}

// originSource returns from what the version of the request's stream is known.
func (c *call) originSource() origin.Source {
	if c.software == nil {
		return origin.NoSource
	}
	_, source := c.software.text()
	return source
}

// logOrigin logs at which version the request's stream began, and from what that is known. age is how
// long ago that was last confirmed.
func (c *call) logOrigin(age time.Duration, fields ...any) {
	software, source := c.software.text()
	c.e.metrics.originFound(source, c.resumesStream())
	c.log(event.StreamOrigin, append([]any{"software", software, "source", source, "age", age, "resumes", c.meta.Resumes}, fields...)...)
}

// eligibleTargets returns the currently known targets of the request's service at which
// its stream may go on: all before it has begun.
func (c *call) eligibleTargets() catalog.Targets {
	listed := c.allTargets()
	if c.software == nil {
		return listed
	}
	version, known := c.software.resolve(listed)
	if !known {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(listed), func(t *catalog.Target) bool { return t.SoftwareUnknown || t.Software != version })
}

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
	found, known := c.remembersOrigin(key)
	if known {
		return true
	}
	question := c.e.askOrigin(key)
	defer c.e.endQuestion(question)
	all := question.all
	timeout, ask := clock.After(askTimeout), clock.After(0)
	for {
		changed := c.e.streams.Changed()
		if _, known = c.remembersOrigin(key); known {
			return true
		}
		select {
		case <-changed:
		case <-all:
			if found, _ = c.remembersOrigin(key); !found {
				return c.beganAtSoleVersion(ctx)
			}
			// Those that remember the stream may learn its version yet.
			all = nil
		case <-ask:
			ask = clock.After(askInterval)
			c.e.sendQuestion(question)
		case <-timeout:
			if found, known = c.remembersOrigin(key); found {
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
	c.software = &requiredSoftware{known: s.Known(), version: s.Software, target: s.Target, start: s.Start, proven: s.Target != "", source: c.e.streams.Source(key)}
	if _, known = c.software.resolve(c.allTargets()); known {
		c.logOrigin(time.Duration(s.AgeMS) * time.Millisecond)
	}
	return true, known
}

// beganAtSoleVersion sets the required version of a stream that nobody remembers, if one version
// alone has served. A list that names no other one does not show that: a process may serve before its
// record is written. So the processes of all records are asked for their starts.
func (c *call) beganAtSoleVersion(ctx context.Context) bool {
	if c.e.pausedWithin(pauseSettleTime) {
		// The list of targets may be older than the stream.
		return false
	}
	if _, ok := c.soleVersion(); !ok || !c.e.reports.confirmAll(ctx, c.service) {
		return false
	}
	// The reports may have shown another process.
	version, ok := c.soleVersion()
	if ok {
		c.software = &requiredSoftware{known: true, version: version, source: origin.BySole}
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

// versionGone reports whether the request's stream has begun at a version of which no
// target is listed.
func (c *call) versionGone() bool {
	return c.software != nil && len(c.eligibleTargets().Ready()) == 0
}

// recordBegin records that the target has sent the first event of the request's stream.
func (c *call) recordBegin(ctx context.Context, t *catalog.Target) {
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
		c.software.setRecorded(t.Software)
	case t.Incarnation == 0 && !c.e.startsNamed.Load():
		// Each start has a new id, so the process is that of its record, once it arrives.
		c.software.setProcess(t.ID, 0)
		c.software.prove()
	default:
		c.identifyBegin(ctx, t)
		return
	}
	c.recordOrigin()
	c.logOrigin(0, "target", t.ID)
}

// identifyBegin finds out which process has sent the first event of the request's stream, and records
// it before the client gets that event. If the report is late, the version counts as unknown until it
// arrives.
func (c *call) identifyBegin(ctx context.Context, t *catalog.Target) {
	began := c.now()
	first := make(chan struct{})
	go c.identifyProcess(context.WithoutCancel(ctx), t, began, sync.OnceFunc(func() { close(first) }))
	select {
	case <-first:
	case <-c.e.deps.Clock.After(beginReportTimeout):
		c.recordOrigin()
	}
}

// identifyProcess asks the target that began the request's stream until it or its record tells which
// process that was. It calls tried after each attempt.
func (c *call) identifyProcess(ctx context.Context, t *catalog.Target, began time.Time, tried func()) {
	for range maxBeginReports {
		report := c.e.reports.identify(ctx, t)
		if report.result == unconfirmed && c.wroteRecordSince(t, began) {
			report.result = confirmed
		}
		c.recordProcess(t, report)
		tried()
		if report.result != unconfirmed || !timing.Sleep(ctx, c.e.deps.Clock, beginReportInterval) {
			return
		}
	}
}

// wroteRecordSince reports whether the process of a target's record has written it after a time. Only one
// process runs under an id at a time, so it was the same before.
func (c *call) wroteRecordSince(t *catalog.Target, since time.Time) bool {
	current := c.allTargets().Find(t.ID)
	return current != nil && t.Incarnation != 0 && current.Incarnation == t.Incarnation && current.RecordedAt.Sub(since) > recordDelay
}

// recordProcess records the process that began the request's stream at a target.
func (c *call) recordProcess(t *catalog.Target, report processReport) {
	switch {
	case report.result == confirmed:
		c.software.set(t.Software)
	case report.result == replaced && report.start != 0:
		c.software.setProcess(t.ID, report.start)
	}
	c.recordOrigin()
	c.logOrigin(0, "target", t.ID, "process", t.Incarnation, "start", report.start, "result", report.result)
}

// proveBegin records that the run which began the stream has sent another event. The process that has
// named its start since is then the one that sent the first event.
func (c *call) proveBegin() {
	if c.software != nil && c.software.prove() {
		c.recordOrigin()
	}
}

// recordSoftware records the version of the target that began the stream, once the target is known
// to be the process that its record describes.
func (c *call) recordSoftware(t *catalog.Target) {
	c.software.set(t.Software)
	c.recordOrigin()
}

// softwareUnknown reports whether the stream has begun at a version that is not known yet.
func (c *call) softwareUnknown() bool {
	if c.software == nil {
		return false
	}
	_, known := c.software.resolve(c.allTargets())
	return !known
}

// recordOrigin records where the request's stream began, and reports it to the entries that keep it.
func (c *call) recordOrigin() {
	now := c.now()
	s := c.software.stream()
	for _, key := range c.originKeys() {
		s.Attempt = key
		c.e.streams.Record(now, s)
	}
	if c.e.peerExchange != nil {
		c.e.peerExchange.tellStream(now, c.originKeys())
	}
}

// observeVersions records which versions are listed now, and reports them to the other entries at
// once if a service has become mixed.
func (e *Entry) observeVersions() { e.observeVersionsWith(!e.storeWatcher.storeUnavailable()) }

// observeVersionsLocked does the same; the caller holds the lock of the store watcher.
func (e *Entry) observeVersionsLocked() { e.observeVersionsWith(!e.directory.StoreUnavailable()) }

func (e *Entry) observeVersionsWith(storeAnswers bool) {
	if !e.targetsListed.Load() {
		return
	}
	now := e.deps.Clock.Now()
	view := e.directory.View()
	e.streams.Resolve(view.Find)
	if e.versions.Observe(now, view.Targets, storeAnswers || e.hearsAll(now)) && e.peerExchange != nil {
		e.peerExchange.tellVersions()
	}
}

// observeProcess records that a process with another start than the record's serves at a target, and
// reports it to the other entries at once.
func (e *Entry) observeProcess(t *catalog.Target, start id.Incarnation) {
	if current := e.directory.View().Targets[t.Service].Find(t.ID); current != nil && current.Incarnation == start {
		// Its record has arrived meanwhile.
		return
	}
	if e.versions.ObserveProcess(e.deps.Clock.Now(), t.Service, t.ID, start) && e.peerExchange != nil {
		e.peerExchange.tellVersions()
	}
}

// hearsAll reports whether every other entry is heard from. One of them may have a newer list
// of targets, which this one reads then.
func (e *Entry) hearsAll(now time.Time) bool {
	return len(e.roster.Alive(now)) > 0 && e.roster.ContactShare(now) >= 1
}

// setStreamLifetime sets how long streams are remembered: as long as a client may go on
// with one under the configuration.
func (e *Entry) setStreamLifetime(cfg *catalog.Config) {
	var longest time.Duration
	for i := range cfg.Routes {
		if cfg.Routes[i].Kind == catalog.Streaming {
			longest = max(longest, cfg.Routes[i].Timeout)
		}
	}
	e.streams.SetLifetime(longest + origin.ResumeMargin)
	e.versions.SetLifetime(longest + origin.ResumeMargin)
}
