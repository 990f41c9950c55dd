package direct

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// versionSaveTimeout limits how long a stream waits before its first event until its version is saved.
	versionSaveTimeout = time.Second
	// unsavedDelay is the time without a save after which streams begin at versions that are not saved. It is
	// longer than completeAge by the largest difference between the clocks of two hosts, 5 s.
	unsavedDelay = 15 * time.Second
	// completeAge is how old what an entry has saved may be if all versions at which it has begun streams are
	// known from it.
	completeAge = 10 * time.Second
	// unsavedPause is how long no stream is sent to a target at which one could not begin.
	unsavedPause = 2 * time.Second
	// forgottenAge is how old what an entry has saved must be for the entry to be out of use.
	forgottenAge = 10 * time.Minute
)

// errVersionNotSaved ends attempts at a version that the key-value service does not hold.
var errVersionNotSaved = errors.New("the version that began the stream could not be saved")

// versionSaves lets streams wait until the key-value service holds the version at which they begin. So an entry that
// starts after all others have ended knows all versions at which streams have begun. While the service does not
// answer for unsavedDelay, streams begin all the same; an entry that starts then can tell by the age of what was saved.
// It is safe for concurrent use.
type versionSaves struct {
	e *Entry
	// due triggers a write.
	due chan struct{}

	mu sync.Mutex
	// savedAt is when the last write that succeeded began; the start of this process before that.
	savedAt time.Time
	// ended is closed and replaced with the end of each triggered write.
	ended chan struct{}
	// refused are the targets at which streams could not begin.
	refused map[id.TargetIncarnation]refusedBegin
}

// refusedBegin is a target's version that could not be saved when a stream was to begin there.
type refusedBegin struct {
	at      time.Time
	version origin.SeenVersion
}

func newVersionSaves(e *Entry) *versionSaves {
	return &versionSaves{e: e, due: make(chan struct{}, 1), savedAt: e.startedAt, ended: make(chan struct{}), refused: map[id.TargetIncarnation]refusedBegin{}}
}

// await has a version saved, and reports whether a stream may begin there.
func (s *versionSaves) await(ctx context.Context, version origin.SeenVersion) bool {
	timeout := s.e.deps.Clock.After(versionSaveTimeout)
	for {
		ended := s.nextEnd()
		switch {
		case s.e.versions.Saved(version), s.mayBeginUnsaved():
			return true
		case s.e.storeWatcher.storeUnavailable():
			return false
		}
		select {
		case s.due <- struct{}{}:
		default:
		}
		select {
		case <-ended:
		case <-timeout:
			return s.e.versions.Saved(version) || s.mayBeginUnsaved()
		case <-ctx.Done():
			return false
		}
	}
}

// mayBeginUnsaved reports whether streams begin at versions that are not saved, because the key-value service has
// been away for long. The other entries must be heard from, as they are told those versions.
func (s *versionSaves) mayBeginUnsaved() bool {
	s.mu.Lock()
	savedAt := s.savedAt
	s.mu.Unlock()
	now := s.e.deps.Clock.Now()
	return now.Sub(savedAt) >= unsavedDelay && (s.e.peerExchange == nil || s.e.hearsAll(now))
}

func (s *versionSaves) nextEnd() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// writeEnded wakes the streams that wait for a write.
func (s *versionSaves) writeEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ended)
	s.ended = make(chan struct{})
}

// saved records that a write succeeded which began at the given time.
func (s *versionSaves) saved(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.savedAt = began
}

// refuse records that a stream could not begin at a target.
func (s *versionSaves) refuse(t *catalog.Target, version origin.SeenVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[t.Key()] = refusedBegin{s.e.deps.Clock.Now(), version}
}

// withoutRefused leaves out the targets at which streams could not begin a short time ago, unless they can now or there is no
// other.
func (s *versionSaves) withoutRefused(targets catalog.Targets) catalog.Targets {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.e.deps.Clock.Now()
	maps.DeleteFunc(s.refused, func(_ id.TargetIncarnation, r refusedBegin) bool {
		return now.Sub(r.at) > unsavedPause || s.e.versions.Saved(r.version)
	})
	if len(s.refused) == 0 {
		return targets
	}
	others := slices.DeleteFunc(slices.Clone(targets), func(t *catalog.Target) bool {
		_, refused := s.refused[t.Key()]
		return refused
	})
	if len(others.Ready()) == 0 {
		return targets
	}
	return others
}

// saveVersion has the version saved at which the request's stream begins at a target, before the client gets its first
// event. It reports whether the stream may begin there.
func (c *call) saveVersion(ctx context.Context, t *catalog.Target, version origin.SeenVersion) bool {
	began := c.now()
	if c.e.versions.Serve(began, version) && c.e.peerExchange != nil {
		c.e.peerExchange.tellVersions()
	}
	if c.e.versions.Saved(version) {
		return true
	}
	ok := c.e.versionSaves.await(ctx, version)
	if !ok {
		c.e.versionSaves.refuse(t, version)
	}
	saved := c.e.versions.Saved(version)
	c.e.metrics.versionSaved(ok, saved)
	c.log(event.VersionSaved, "software", version.Software, "target", version.Unknown, "start", version.Start, "saved", saved, "begins", ok, "took", c.now().Sub(began))
	return ok
}

// savedAges are the times since entries saved what has been read.
type savedAges struct {
	ages []time.Duration
	// partial says that something was saved that has not been read.
	partial bool
}

// add adds an item that was saved the given time ago. partial says that it may lack something.
func (a *savedAges) add(age time.Duration, partial bool) {
	a.ages = append(a.ages, age)
	a.partial = a.partial || (partial && age <= forgottenAge)
}

// newest returns the least age; 0 if there is none.
func (a *savedAges) newest() time.Duration {
	if len(a.ages) == 0 {
		return 0
	}
	return slices.Min(a.ages)
}

// complete reports whether all versions at which streams may have begun are among what was read.
// An entry that has not saved for long may have begun streams at versions that it could not save. One that has saved
// nothing for forgottenAge ended long ago, unless that holds for all.
func (a *savedAges) complete() bool {
	uncertain := func(age time.Duration) bool { return age > completeAge && age <= forgottenAge }
	return !a.partial && a.newest() <= completeAge && !slices.ContainsFunc(a.ages, uncertain)
}
