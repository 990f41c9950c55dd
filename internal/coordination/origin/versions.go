package origin

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// SeenVersion says when a version of a service's targets was last listed, or when a process
// served that no record describes.
type SeenVersion struct {
	Service  id.Service         `json:"service"`
	Software id.SoftwareVersion `json:"software,omitempty"`
	// Unknown is a target whose version was not known; empty if Software is the version.
	Unknown id.Target `json:"unknown,omitempty"`
	// Start is the start that the process of that target named; 0 if it named none.
	Start id.Incarnation `json:"start,omitempty"`
	// Saved says that the key-value service holds the version, as far as the reporting entry knows.
	Saved bool  `json:"saved,omitempty"`
	AgeMS int64 `json:"agoMs,omitempty"`
}

// UnidentifiedStart is the start of a process that has begun a stream and could not be identified. No record
// tells its version.
const UnidentifiedStart id.Incarnation = -1

// SavedMargin is how much longer than a stream lasts a version counts that another entry has saved: it may have
// served for as long after the save.
const SavedMargin = 20 * time.Second

// SeenProcess returns the version of a process that no record describes.
func SeenProcess(service id.Service, target id.Target, start id.Incarnation) SeenVersion {
	return SeenVersion{Service: service, Unknown: target, Start: start}
}

// Version returns what is seen without what changes from report to report.
func (s SeenVersion) Version() SeenVersion {
	s.AgeMS, s.Saved = 0, false
	return s
}

func (s *SeenVersion) key() seenKey { return seenKey{s.Service, s.Software, s.Unknown, s.Start} }

// Report says which versions have served recently, for another entry.
type Report struct {
	// CoveredMS is for how long the reporting entry has known all versions that served,
	// in milliseconds.
	CoveredMS int64         `json:"coveredMs,omitempty"`
	Seen      []SeenVersion `json:"seen,omitempty"`
}

// seenKey identifies a version of a service, or a target of unknown version.
type seenKey struct {
	service  id.Service
	software id.SoftwareVersion
	unknown  id.Target
	start    id.Incarnation
}

func (k seenKey) seenVersion() SeenVersion {
	return SeenVersion{Service: k.service, Software: k.software, Unknown: k.unknown, Start: k.start}
}

// keyOf returns the key of a target's version.
func keyOf(t *catalog.Target) seenKey {
	if t.SoftwareUnknown {
		return seenKey{service: t.Service, unknown: t.ID, start: t.Incarnation}
	}
	return seenKey{service: t.Service, software: t.Software}
}

// Versions holds which versions of each service's targets have been listed within the
// lifetime of a stream.
type Versions struct {
	mu       sync.Mutex
	lifetime time.Duration
	seen     map[seenKey]time.Time
	// seenInItems are the versions that other entries have saved. They are neither reported nor saved again, so that
	// none counts for longer than the entry that has seen it says.
	seenInItems map[seenKey]time.Time
	// saved are the versions that the key-value service holds.
	saved map[seenKey]bool
	// processSince is when each process that no record described was first known.
	processSince map[seenKey]time.Time
	// coveredSince is the time from which on all versions that served are known; zero
	// before the first list.
	coveredSince time.Time
}

// NewVersions returns a Versions of a process that does not know which versions served
// before its start.
func NewVersions() *Versions {
	return &Versions{
		lifetime: DefaultLifetime, seen: map[seenKey]time.Time{}, seenInItems: map[seenKey]time.Time{},
		saved: map[seenKey]bool{}, processSince: map[seenKey]time.Time{},
	}
}

// SetLifetime sets how long a stream may last, if that is more than DefaultLifetime.
func (v *Versions) SetLifetime(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lifetime = max(d, DefaultLifetime)
}

// Observe records the versions of the targets that are listed now. fresh says that the
// list is up to date. It reports whether a service has become mixed.
func (v *Versions) Observe(now time.Time, targets map[id.Service]catalog.Targets, fresh bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !fresh || v.coveredSince.IsZero() {
		v.coveredSince = now
	}
	newlyMixed := false
	for service, listed := range targets {
		before := v.versions(now, service)
		for _, t := range listed {
			v.seen[keyOf(t)] = now
			if !t.SoftwareUnknown {
				// Its record has arrived.
				v.forget(seenKey{service: service, unknown: t.ID, start: t.Incarnation})
				v.forget(seenKey{service: service, unknown: t.ID})
			}
		}
		newlyMixed = newlyMixed || (before < 2 && v.versions(now, service) > 1)
	}
	old := func(_ seenKey, at time.Time) bool { return now.Sub(at) > v.lifetime }
	maps.DeleteFunc(v.seen, old)
	maps.DeleteFunc(v.processSince, old)
	maps.DeleteFunc(v.seenInItems, func(_ seenKey, at time.Time) bool { return now.Sub(at) > v.lifetime+SavedMargin })
	maps.DeleteFunc(v.saved, func(key seenKey, _ bool) bool { return !v.counts(now, key) })
	return newlyMixed
}

// forget drops an unknown version that a record has told. The caller holds mu.
func (v *Versions) forget(key seenKey) {
	delete(v.seen, key)
	delete(v.seenInItems, key)
}

// Serve records that a stream begins at a version now. It reports whether a service has become mixed.
func (v *Versions) Serve(now time.Time, version SeenVersion) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.versions(now, version.Service)
	v.seen[version.key()] = now
	return before < 2 && v.versions(now, version.Service) > 1
}

// MarkSaved records that the key-value service holds versions.
func (v *Versions) MarkSaved(versions []SeenVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range versions {
		v.saved[versions[i].key()] = true
	}
}

// Saved reports whether the key-value service holds a version.
func (v *Versions) Saved(version SeenVersion) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.saved[version.key()]
}

// ForgetSaved records that what the key-value service held may be gone.
func (v *Versions) ForgetSaved() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.saved)
}

// MergeSaved records the versions that another entry saved the given time ago. Streams may have begun there until it
// was saved, and for SavedMargin after that.
func (v *Versions) MergeSaved(now time.Time, seen []SeenVersion, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := now.Add(-age)
	if age > v.lifetime+SavedMargin {
		return
	}
	for i := range seen {
		key := seen[i].key()
		// The entry may have ended, so the item does not show that what begins later is held for long enough.
		v.seenInItems[key] = latest(v.seenInItems[key], at)
		if key.unknown != "" {
			v.knowProcess(now, key)
		}
	}
}

// ObserveProcess records that a process serves at a target whose record describes another one. Until a
// record names its start, its version is not known. It reports whether a service has become mixed.
func (v *Versions) ObserveProcess(now time.Time, service id.Service, target id.Target, start id.Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.versions(now, service)
	key := seenKey{service: service, unknown: target, start: start}
	v.seen[key] = now
	v.knowProcess(now, key)
	return before < 2 && v.versions(now, service) > 1
}

// knowProcess records since when a process is known. The caller holds mu.
func (v *Versions) knowProcess(now time.Time, key seenKey) {
	if _, known := v.processSince[key]; !known && key.start > 0 {
		v.processSince[key] = now
	}
}

// ServedBefore reports whether the process of a target that named a start was known to serve before a
// time. If it serves later too, it has served in between, because only one process runs under an id.
func (v *Versions) ServedBefore(at time.Time, service id.Service, target id.Target, start id.Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	since, known := v.processSince[seenKey{service: service, unknown: target, start: start}]
	return known && since.Before(at)
}

// versions counts the versions of a service within the lifetime. Each target of unknown
// version counts as one more.
func (v *Versions) versions(now time.Time, service id.Service) int {
	n := 0
	for key := range v.seen {
		if key.service == service && v.countsAsSeen(now, key) {
			n++
		}
	}
	for key := range v.seenInItems {
		if key.service == service && !v.countsAsSeen(now, key) && v.counts(now, key) {
			n++
		}
	}
	return n
}

// countsAsSeen reports whether a version was seen here, or at another entry, within the lifetime.
func (v *Versions) countsAsSeen(now time.Time, key seenKey) bool {
	at, ok := v.seen[key]
	return ok && now.Sub(at) <= v.lifetime
}

// counts reports whether a version has served within the lifetime, also as far as items tell.
func (v *Versions) counts(now time.Time, key seenKey) bool {
	at, ok := v.seenInItems[key]
	return v.countsAsSeen(now, key) || (ok && now.Sub(at) <= v.lifetime+SavedMargin)
}

// Cover records that all versions that served before now are known.
func (v *Versions) Cover(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.coveredSince = now.Add(-v.lifetime)
}

// Mixed reports whether several versions of any service have served recently.
func (v *Versions) Mixed(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, seen := range []map[seenKey]time.Time{v.seen, v.seenInItems} {
		for key := range seen {
			if v.versions(now, key.service) > 1 {
				return true
			}
		}
	}
	return false
}

// Uncertain reports whether the version at which a stream began can't be told from the list of
// targets, here or at other entries: several versions have served, or those that have are
// not all known.
func (v *Versions) Uncertain(now time.Time) bool { return !v.Covered(now) || v.Mixed(now) }

// Covered reports whether all versions that served within the lifetime of a stream are known.
func (v *Versions) Covered(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.covered(now)
}

func (v *Versions) covered(now time.Time) bool {
	return !v.coveredSince.IsZero() && now.Sub(v.coveredSince) >= v.lifetime
}

// CoveredFor returns for how long all versions that served have been known.
func (v *Versions) CoveredFor(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.coveredSince.IsZero() {
		return 0
	}
	return now.Sub(v.coveredSince)
}

// Covers reports whether the entry that sent a report knows all those versions.
func (v *Versions) Covers(r *Report) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Duration(r.CoveredMS)*time.Millisecond >= v.lifetime
}

// Sole returns the only version of a service that has served within the lifetime of a
// stream. It returns false if there are several, or if that is not known.
func (v *Versions) Sole(now time.Time, service id.Service) (id.SoftwareVersion, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.covered(now) || v.versions(now, service) != 1 {
		return "", false
	}
	for _, seen := range []map[seenKey]time.Time{v.seen, v.seenInItems} {
		for key := range seen {
			if key.service == service && key.unknown == "" && v.counts(now, key) {
				return key.software, true
			}
		}
	}
	return "", false
}

// Report returns what is reported to other entries, in order of services.
func (v *Versions) Report(now time.Time) Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := Report{}
	if !v.coveredSince.IsZero() {
		r.CoveredMS = now.Sub(v.coveredSince).Milliseconds()
	}
	for key, at := range v.seen {
		if now.Sub(at) <= v.lifetime {
			seen := key.seenVersion()
			seen.Saved, seen.AgeMS = v.saved[key], now.Sub(at).Milliseconds()
			r.Seen = append(r.Seen, seen)
		}
	}
	slices.SortFunc(r.Seen, func(a, b SeenVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software), cmp.Compare(a.Unknown, b.Unknown), cmp.Compare(a.Start, b.Start))
	})
	return r
}

// Merge records what another entry, or a report that this entry saved the given time ago, says. It reports whether a
// service has become mixed.
func (v *Versions) Merge(now time.Time, r Report, age time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	newlyMixed := false
	for _, s := range r.Seen {
		before := v.versions(now, s.Service)
		key := s.key()
		if s.Saved {
			v.saved[key] = true
		}
		at := now.Add(-age - time.Duration(s.AgeMS)*time.Millisecond)
		if now.Sub(at) <= v.lifetime {
			v.seen[key] = latest(v.seen[key], at)
			if key.unknown != "" {
				v.knowProcess(now, key)
			}
		}
		newlyMixed = newlyMixed || (before < 2 && v.versions(now, s.Service) > 1)
	}
	since := now.Add(-age - time.Duration(r.CoveredMS)*time.Millisecond)
	if age == 0 && r.CoveredMS > 0 && (v.coveredSince.IsZero() || since.Before(v.coveredSince)) {
		v.coveredSince = since
	}
	return newlyMixed
}
