// Package withdrawal tracks the targets that have asked for no further requests: those
// that are leaving, and those that want a pause.
//
// A target that is leaving says so in its answers, to all entries. That holds for its
// incarnation, and entries tell each other. A pause holds for the entry that was asked
// for it alone, and ends by itself.
//
// # Usage
//
//	t := withdrawal.New()
//	if t.Observe(now, target.Key(), notice) { … tell the other entries … }
//	usable := t.Usable(now, targets)
//	t.Merge(now, received)
package withdrawal

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// maxPause limits a pause, so that a mistaken value does not withdraw a target for
	// good.
	maxPause = 10 * time.Minute
	// reportTime is how long an entry tells others that a target is leaving.
	reportTime = 10 * time.Second
)

// Notice is what an answer of a target says about further requests.
type Notice struct {
	// Leaving says that the target is about to end.
	Leaving bool
	// Pause is how long the target wants nothing from this entry; 0 for none.
	Pause time.Duration
}

// Report says that a target is leaving.
type Report struct {
	Target      id.Target      `json:"target"`
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
}

// Tracker holds the targets that have withdrawn. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// leaving holds when this process learned that a target is leaving. reported holds
	// when a target told this process itself.
	leaving, reported map[id.TargetIncarnation]time.Time
	// pausedUntil holds the ends of pauses.
	pausedUntil map[id.TargetIncarnation]time.Time
}

// New returns a Tracker without targets.
func New() *Tracker {
	return &Tracker{
		leaving: map[id.TargetIncarnation]time.Time{}, reported: map[id.TargetIncarnation]time.Time{},
		pausedUntil: map[id.TargetIncarnation]time.Time{},
	}
}

// Observe records what an answer of a target said. It reports whether the target is
// leaving and this was not known.
func (t *Tracker) Observe(now time.Time, key id.TargetIncarnation, n Notice) bool {
	if n == (Notice{}) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if until := now.Add(min(n.Pause, maxPause)); n.Pause > 0 && until.After(t.pausedUntil[key]) {
		t.pausedUntil[key] = until
	}
	if !n.Leaving {
		return false
	}
	t.reported[key] = now
	_, known := t.leaving[key]
	if !known {
		t.leaving[key] = now
	}
	return !known
}

// Merge records the targets that are leaving according to another entry.
func (t *Tracker) Merge(now time.Time, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		key := id.TargetIncarnation(r)
		if _, known := t.leaving[key]; !known {
			t.leaving[key] = now
		}
	}
}

// Reports returns the targets that have recently told this process that they are
// leaving, in order.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for key, at := range t.reported {
		if now.Sub(at) > reportTime {
			delete(t.reported, key)
			continue
		}
		reports = append(reports, Report(key))
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}

// Usable returns the targets that have not withdrawn.
func (t *Tracker) Usable(now time.Time, targets catalog.Targets) catalog.Targets {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.pausedUntil, func(_ id.TargetIncarnation, until time.Time) bool { return !now.Before(until) })
	if len(t.leaving)+len(t.pausedUntil) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(target *catalog.Target) bool {
		_, leaving := t.leaving[target.Key()]
		_, paused := t.pausedUntil[target.Key()]
		return leaving || paused
	})
}

// UntilUsable returns the time until the first pause of any of the targets ends, and 0 if
// none of them is paused.
func (t *Tracker) UntilUsable(now time.Time, targets catalog.Targets) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var least time.Duration
	for _, target := range targets {
		_, leaving := t.leaving[target.Key()]
		left := t.pausedUntil[target.Key()].Sub(now)
		if !leaving && left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// Forget drops what is known about targets that are gone.
func (t *Tracker) Forget(gone catalog.Targets) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, target := range gone {
		for _, known := range []map[id.TargetIncarnation]time.Time{t.leaving, t.reported, t.pausedUntil} {
			delete(known, target.Key())
		}
	}
}
