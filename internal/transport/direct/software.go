package direct

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// versionGoneRetryAfter is used if no target of a stream's version serves. One that crashed is back
// within about this time.
const versionGoneRetryAfter = time.Second

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
	listed := c.permitted(c.allTargets())
	switch {
	case c.software == nil && c.route.Resumable:
		return c.e.versionSaves.withoutRefused(listed)
	case c.software == nil:
		return listed
	}
	version, known := c.software.resolve(listed)
	if !known {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(listed), func(t *catalog.Target) bool { return t.SoftwareUnknown || t.Software != version })
}

// versionGone reports whether the request's stream has begun at a version of which no
// target is listed.
func (c *call) versionGone() bool {
	return c.software != nil && len(c.eligibleTargets().Ready()) == 0
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
