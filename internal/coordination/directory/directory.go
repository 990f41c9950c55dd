// Package directory keeps what an entry believes of the configuration and of
// the targets, from what the key-value service says and from its silence.
//
// The configuration's version only rises. A target that the service no longer
// lists is gone, unless the service has just come back: entries of targets lapse
// while it is away, and are written again soon after. Until then they are kept.
//
// # Usage
//
//	d := directory.New(now)
//	d.Adopt(cfg)
//	d.Replace(now, targets)
//	d.Remove(now, name)
//	view := d.View()
//	for _, t := range view.Targets[service].Ready() { … }
//
// One goroutine changes a Directory; any goroutine may call View.
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

// rejoinTime is how long after the key-value service's return a live target may
// take to be listed again.
const rejoinTime = 2 * time.Second

// View is what is believed at one moment. It never changes.
type View struct {
	// Config is nil until one is known.
	Config  *catalog.Config
	Targets map[id.Service]catalog.Targets
}

// foundTime is how long a target that was found may take until it is listed,
// while the key-value service answers.
const foundTime = 3 * time.Second

// leftTime is how long the names of targets that have left are kept. Others tell
// of a target for a second after it was found.
const leftTime = time.Minute

// Directory is the belief of one process.
type Directory struct {
	view    atomic.Pointer[View]
	config  *catalog.Config
	targets map[id.Target]*catalog.Target
	// missing holds when a target was last listed that is no longer.
	missing map[id.Target]time.Time
	// found holds when a target was found that has not been listed yet.
	found map[id.Target]time.Time
	// left holds when targets left, and succeeded the incarnations whose places
	// others took.
	left      map[id.Target]time.Time
	succeeded map[id.Target]id.Incarnation
	// away says that the key-value service does not answer.
	away bool
	back time.Time
}

// New returns a Directory that knows nothing.
func New() *Directory {
	d := &Directory{
		targets: map[id.Target]*catalog.Target{}, missing: map[id.Target]time.Time{}, found: map[id.Target]time.Time{},
		left: map[id.Target]time.Time{}, succeeded: map[id.Target]id.Incarnation{},
	}
	d.publish()
	return d
}

// View returns the present belief.
func (d *Directory) View() *View { return d.view.Load() }

// UpdateConfig puts a configuration in force unless it is older than the one that is,
// and reports whether it did.
func (d *Directory) UpdateConfig(cfg *catalog.Config) bool {
	if d.config != nil && cfg.Version <= d.config.Version {
		return false
	}
	d.config = cfg
	d.publish()
	return true
}

// Put notes a target as it is listed now, and reports whether that changed the
// belief.
func (d *Directory) Put(t *catalog.Target) bool {
	if d.hasSuccessor(t) {
		return false
	}
	d.listed(t.ID)
	old, known := d.targets[t.ID]
	d.targets[t.ID] = t
	if known && old.State == t.State && old.Incarnation == t.Incarnation && old.Address == t.Address {
		return false
	}
	d.publish()
	return true
}

// Replace notes the whole list of targets, as it was read at now. It returns
// the targets that are gone.
func (d *Directory) Replace(now time.Time, listed catalog.Targets) catalog.Targets {
	names := make(map[id.Target]bool, len(listed))
	for _, t := range listed {
		if d.hasSuccessor(t) {
			continue
		}
		names[t.ID] = true
		d.listed(t.ID)
		d.targets[t.ID] = t
	}
	var gone catalog.Targets
	for name := range d.targets {
		if _, found := d.found[name]; found || names[name] {
			continue
		}
		if t := d.unlist(now, name); t != nil {
			gone = append(gone, t)
		}
	}
	d.publish()
	return gone
}

// ReplaceFromPeer notes the whole list of targets as another entry knows it, which
// reaches the key-value service while this one does not. It returns the targets
// that are gone.
func (d *Directory) ReplaceFromPeer(listed catalog.Targets) catalog.Targets {
	heard := make(map[id.Target]*catalog.Target, len(listed))
	for _, t := range listed {
		heard[t.ID] = t
	}
	var gone catalog.Targets
	for name, t := range d.targets {
		if heard[name] == nil {
			gone = append(gone, t)
		}
	}
	d.targets = heard
	clear(d.missing)
	clear(d.found)
	d.publish()
	return gone
}

// listed notes that a target is listed.
func (d *Directory) listed(name id.Target) {
	delete(d.missing, name)
	delete(d.found, name)
}

// hasSuccessor reports whether another target was found in the place of this
// incarnation. Its entry lapses later than that.
func (d *Directory) hasSuccessor(t *catalog.Target) bool {
	incarnation, succeeded := d.succeeded[t.ID]
	return succeeded && incarnation == t.Incarnation
}

// AddSuccessor notes that a target which is not listed answers at the address of one
// that is, and so has taken its place. It returns the new target, or nil if the
// old one is not known, or the new one is or has left already.
func (d *Directory) AddSuccessor(now time.Time, of, name id.Target) *catalog.Target {
	old, known := d.targets[of]
	_, there := d.targets[name]
	_, left := d.left[name]
	if !known || there || left {
		return nil
	}
	t := *old
	t.ID, t.State, t.Incarnation = name, catalog.Ready, 0
	d.succeeded[of], d.left[of] = old.Incarnation, now
	delete(d.targets, of)
	delete(d.missing, of)
	d.targets[name] = &t
	d.found[name] = now
	d.publish()
	return &t
}

// StoreUnavailable reports whether the key-value service does not answer this entry.
func (d *Directory) StoreUnavailable() bool { return d.away }

// Remove notes that a target is no longer listed. It returns the target if it
// counts as gone at once.
func (d *Directory) Remove(now time.Time, name id.Target) *catalog.Target {
	gone := d.unlist(now, name)
	d.publish()
	return gone
}

// unlist forgets a target, or notes it as missing while it may come back.
func (d *Directory) unlist(now time.Time, name id.Target) *catalog.Target {
	t, known := d.targets[name]
	if !known {
		return nil
	}
	if t.State == catalog.Ready && d.unsettled(now) {
		if _, noted := d.missing[name]; !noted {
			d.missing[name] = now
		}
		return nil
	}
	d.leaves(now, t)
	return t
}

// leaves forgets a target, but for its name.
func (d *Directory) leaves(now time.Time, t *catalog.Target) {
	delete(d.targets, t.ID)
	delete(d.missing, t.ID)
	delete(d.found, t.ID)
	d.left[t.ID] = now
	for name, at := range d.left {
		if now.Sub(at) > leftTime {
			delete(d.left, name)
			delete(d.succeeded, name)
		}
	}
}

// unsettled reports whether the key-value service's list may lack live targets.
func (d *Directory) unsettled(now time.Time) bool {
	return d.away || (!d.back.IsZero() && now.Before(d.back.Add(rejoinTime)))
}

// MarkStoreUnavailable notes that the key-value service does not answer, and reports whether
// that is news.
func (d *Directory) MarkStoreUnavailable() bool {
	news := !d.away
	d.away = true
	return news
}

// MarkStoreAvailable notes that the key-value service answers, and reports whether it was
// away.
func (d *Directory) MarkStoreAvailable(now time.Time) bool {
	if !d.away {
		return false
	}
	d.away, d.back = false, now
	return true
}

// RemoveMissing removes the targets that are still missing when they should have been
// listed again, and returns them.
func (d *Directory) RemoveMissing(now time.Time) catalog.Targets {
	if d.unsettled(now) {
		return nil
	}
	for name, at := range d.found {
		if now.Sub(at) > foundTime {
			d.missing[name] = at
			delete(d.found, name)
		}
	}
	if len(d.missing) == 0 {
		return nil
	}
	var gone catalog.Targets
	for name := range d.missing {
		if t, known := d.targets[name]; known {
			gone = append(gone, t)
			d.leaves(now, t)
		}
	}
	clear(d.missing)
	d.publish()
	return gone
}

// publish makes the belief visible. Targets are in the order of their names.
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
