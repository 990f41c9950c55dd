// Package directory holds an entry's view of the configuration and the targets.
// It is fed from the key-value service, and takes outages of that service into
// account.
//
// The configuration's version only increases. A target that the service no
// longer lists is gone, unless the service is or was recently unavailable: the
// records of targets expire during an outage and are written again soon after
// it. Until then the directory keeps these targets. The same holds after the
// service has returned from an older copy of its state, which lacks the targets
// that were added since, has those that have left, and shows others as ready that
// drain. The directory never goes back to such records.
//
// # Usage
//
//	d := directory.New()
//	d.UpdateConfig(cfg)
//	d.Replace(now, targets)
//	d.Remove(now, name)
//	view := d.View()
//	for _, t := range view.Targets[service].Ready() { … }
//
// Only one goroutine may modify a Directory; any goroutine may call View.
package directory

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// View is the state of a Directory at one time. It is immutable.
type View struct {
	// Config is nil until a configuration is known.
	Config  *catalog.Config
	Targets map[id.Service]catalog.Targets
}

// Find returns the target with the given name, whatever its service, or nil.
func (v *View) Find(name id.Target) *catalog.Target {
	for _, targets := range v.Targets {
		if t := targets.Find(name); t != nil {
			return t
		}
	}
	return nil
}

// Directory is the mutable state behind the View of one process.
type Directory struct {
	view    atomic.Pointer[View]
	config  *catalog.Config
	targets map[id.Target]*catalog.Target
	// missing holds the targets that are not listed but may be listed again,
	// with the time at which that was first noticed. They are removed when the
	// time for that runs out.
	missing map[id.Target]time.Time
	// unlisted holds the successors that are not listed yet, with the time at
	// which they were added.
	unlisted map[id.Target]time.Time
	// departed holds the targets that have left. replaced holds the incarnation of
	// each target whose place a successor has taken.
	departed map[id.Target]departure
	replaced map[id.Target]id.Incarnation
	// storeDown says that the key-value service does not answer.
	storeDown bool
	// storeUpAt is the end of the last outage; zero if there was none.
	storeUpAt time.Time
	// restoredAt is when the service last returned from an older copy of its state;
	// zero if it never did.
	restoredAt time.Time
}

// New returns an empty Directory.
func New() *Directory {
	d := &Directory{
		targets: map[id.Target]*catalog.Target{}, missing: map[id.Target]time.Time{}, unlisted: map[id.Target]time.Time{},
		departed: map[id.Target]departure{}, replaced: map[id.Target]id.Incarnation{},
	}
	d.publish()
	return d
}

// View returns the current state.
func (d *Directory) View() *View { return d.view.Load() }

// UpdateConfig puts a configuration in force and reports whether it did. It
// ignores one whose version is not higher than the current one.
func (d *Directory) UpdateConfig(cfg *catalog.Config) bool {
	if d.config != nil && cfg.Version <= d.config.Version {
		return false
	}
	d.config = cfg
	d.publish()
	return true
}

// Put stores a target as it is listed now, and reports whether the directory
// changed.
func (d *Directory) Put(t *catalog.Target) bool {
	newest := d.Newest(t)
	if d.hasSuccessor(t) || newest == nil {
		return false
	}
	d.markListed(t.ID)
	if newest != t {
		return false
	}
	old, known := d.targets[t.ID]
	d.targets[t.ID] = t
	if known && old.State == t.State && old.Incarnation == t.Incarnation && old.Address == t.Address && old.SameSoftware(t) {
		return false
	}
	d.publish()
	return true
}

// Replace stores the complete list of targets that was read at now. It returns
// the targets that are gone.
func (d *Directory) Replace(now time.Time, listed catalog.Targets) catalog.Targets {
	listedNames := make(map[id.Target]bool, len(listed))
	for _, t := range listed {
		newest := d.Newest(t)
		if d.hasSuccessor(t) || newest == nil {
			continue
		}
		listedNames[t.ID] = true
		d.markListed(t.ID)
		d.targets[t.ID] = newest
	}
	var gone catalog.Targets
	for name := range d.targets {
		if _, unlisted := d.unlisted[name]; unlisted || listedNames[name] {
			continue
		}
		if t := d.delist(now, name); t != nil {
			gone = append(gone, t)
		}
	}
	d.publish()
	return gone
}

// ReplaceFromPeer stores the complete list of targets of another entry, which
// reaches the key-value service while this one does not. It returns the targets
// that are gone.
func (d *Directory) ReplaceFromPeer(listed catalog.Targets) catalog.Targets {
	byName := make(map[id.Target]*catalog.Target, len(listed))
	for _, t := range listed {
		// The other entry may have only an older copy of the service's state.
		if !d.hasLeft(t) {
			byName[t.ID] = d.newer(t)
		}
	}
	var gone catalog.Targets
	for name, t := range d.targets {
		if byName[name] == nil {
			gone = append(gone, t)
		}
	}
	d.targets = byName
	clear(d.missing)
	clear(d.unlisted)
	d.publish()
	return gone
}

// Newest returns the record to use of a target that is listed as t: t itself, one that
// is known and newer, or nil if the target has left.
func (d *Directory) Newest(t *catalog.Target) *catalog.Target {
	if d.leftBeforeReturn(t) || d.removedSince(t) {
		return nil
	}
	return d.newer(t)
}

// newer returns the known record of the same target if it is newer than t, and t
// otherwise. A record of another version of the target's software is of another process. Of those, revisions alone tell the
// order: another entry may tell of a change after the target has started again.
func (d *Directory) newer(t *catalog.Target) *catalog.Target {
	known := d.targets[t.ID]
	if known == nil {
		return t
	}
	if known.Incarnation != t.Incarnation || !known.SameSoftware(t) {
		if d.sameEra(versionOf(known)) && t.Revision > 0 && t.Revision < known.Revision {
			return known
		}
		return t
	}
	if d.olderThan(t, versionOf(known)) {
		return known
	}
	if t.Sequence > 0 && t.Sequence == known.Sequence {
		// The same record was read again.
		t.RecordedAt = known.RecordedAt
	}
	return t
}

// recordVersion orders the records of one target.
type recordVersion struct {
	sequence   id.Sequence
	revision   int64
	recordedAt time.Time
}

func versionOf(t *catalog.Target) recordVersion {
	return recordVersion{t.Sequence, t.Revision, t.RecordedAt}
}

// olderThan reports whether t was written before a known record of the same target.
// Within one era of the key-value service its revisions tell. Where they do not, the
// target's sequence does, but not for long: anybody can write a sequence that no later
// record of the target reaches.
func (d *Directory) olderThan(t *catalog.Target, known recordVersion) bool {
	sameEra := d.sameEra(known)
	if sameEra && t.Revision > 0 && known.revision > 0 {
		return t.Revision < known.revision
	}
	since := known.recordedAt
	if !sameEra {
		since = d.restoredAt
	}
	return t.Sequence < known.sequence && t.RecordedAt.Sub(since) <= sequenceTrustTime
}

// sameEra reports whether a record was read in the current era of the key-value service.
func (d *Directory) sameEra(known recordVersion) bool { return !known.recordedAt.Before(d.restoredAt) }

// hasSuccessor reports whether another target has taken the place of this
// incarnation. The record of the replaced target expires only later.
func (d *Directory) hasSuccessor(t *catalog.Target) bool {
	incarnation, replaced := d.replaced[t.ID]
	return replaced && incarnation == t.Incarnation
}

// AddSuccessor records that the unlisted target name answers at the address of
// the target predecessor, and so has replaced it. It returns the new target, or
// nil if the predecessor is not known, or has started again since, or if the new target is already known or
// has already left.
func (d *Directory) AddSuccessor(now time.Time, replaced id.TargetIncarnation, name id.Target) *catalog.Target {
	predecessor := replaced.Target
	old, known := d.targets[predecessor]
	_, exists := d.targets[name]
	_, departed := d.departed[name]
	if !known || !old.Incarnation.Matches(replaced.Incarnation) || exists || departed {
		return nil
	}
	t := *old
	t.ID, t.State, t.Incarnation, t.Sequence, t.Revision = name, catalog.Ready, 0, 0, 0
	// A target may be replaced by one of another version at the same address.
	t.Software, t.SoftwareUnknown = "", true
	d.replaced[predecessor], d.departed[predecessor] = old.Incarnation, departureOf(now, old)
	delete(d.targets, predecessor)
	delete(d.missing, predecessor)
	d.targets[name] = &t
	d.unlisted[name] = now
	d.publish()
	return &t
}

// Remove records that the record of a target was removed at a revision of the key-value service, 0 if that is not known. It returns
// the target if it is gone immediately, and nil if it is kept or unknown.
func (d *Directory) Remove(now time.Time, name id.Target, revision int64) *catalog.Target {
	gone := d.delist(now, name)
	if gone != nil {
		left := d.departed[name]
		left.removed = revision
		d.departed[name] = left
	}
	d.publish()
	return gone
}

// publish stores a new View. Targets are sorted by name.
func (d *Directory) publish() {
	v := &View{Config: d.config, Targets: map[id.Service]catalog.Targets{}}
	for t := range maps.Values(d.targets) {
		v.Targets[t.Service] = append(v.Targets[t.Service], t)
	}
	for _, ts := range v.Targets {
		slices.SortFunc(ts, func(a, b *catalog.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	d.view.Store(v)
}
