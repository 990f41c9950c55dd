// Package withdrawal tracks the targets that have declined further requests: those
// that are leaving, and those that request a pause.
//
// A target that is leaving says so in its answers, to all entries. That holds for its
// incarnation, and entries report it to each other. A pause holds for the entry that was asked
// for it alone, and ends by itself. After it, a few requests try the target until one is
// answered.
//
// What a target has said holds for its process, whether it is listed or not: a record may
// lapse and be back, or name the process's start only later. If a record of a later process
// arrives, that one may have said it, before its record was known. So it counts as leaving until it
// has been asked. That is inferred only from what this process itself has heard: a report of
// another entry names the process, but not when that was heard, and reports go on for some time.
//
// # Usage
//
//	t := withdrawal.New()
//	if t.Observe(now, target.Key(), notice) { … report to the other entries … }
//	if t.Listed(now, target.Key()) { … ask it … t.Resolve(now, target.Key(), leaving) }
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
	maxPause = time.Hour
	// reportTime is how long an entry reports to others that a target is leaving.
	reportTime = 10 * time.Second
	// retention is how long what a target has said is kept after it was last listed, said
	// something, or was paused.
	retention = 10 * time.Minute
	// maxTrials is the number of requests that try a target at the same time after its
	// pause.
	maxTrials = 2
	// recordDelay is how late the record of a process usually arrives. A pause that was requested
	// shortly before, under the name of another process, may be its own already.
	recordDelay = time.Second
	// noticeDelay is the same for what a target has said about its leaving, after which its process is asked.
	noticeDelay = 10 * time.Second
)

// Notice is what an answer of a target says about further requests.
type Notice struct {
	// Leaving says that the target is about to end.
	Leaving bool
	// Pause is how long the target accepts nothing from this entry; 0 for none.
	Pause time.Duration
}

// Report says that a target is leaving.
type Report struct {
	Target      id.Target      `json:"target"`
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
}

// state is what a target has said.
type state struct {
	// incarnation is 0 while it is not known.
	incarnation id.Incarnation
	// saidAt is when the target said something last, to this process or, as far as it has been reported, to another
	// one. heardAt is when it said something to this one, and listedAt when it was last found among the targets to choose from.
	saidAt, heardAt, listedAt time.Time
	// leaving is set once the target is leaving, and toldAt when it told this process itself;
	// zero if it did not.
	leaving bool
	toldAt  time.Time
	// unsure is set if an earlier process under the target's name may have said that it is leaving.
	unsure bool
	// pausedUntil is the end of a pause, and trying is set from its begin until the target
	// has answered a request after it.
	pausedUntil time.Time
	trying      bool
	// trials is the number of requests that try the target.
	trials int
}

// Tracker holds the targets that have withdrawn. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	targets map[id.Target]*state
}

// New returns a Tracker without targets.
func New() *Tracker { return &Tracker{targets: map[id.Target]*state{}} }

// find returns what an incarnation of a target has said, or nil.
func (t *Tracker) find(key id.TargetIncarnation) *state {
	s := t.targets[key.Target]
	if s == nil || !s.incarnation.Matches(key.Incarnation) {
		return nil
	}
	return s
}

// findOrAdd returns the state of an incarnation of a target, or nil if a later one is
// known.
func (t *Tracker) findOrAdd(key id.TargetIncarnation) *state {
	s := t.targets[key.Target]
	switch {
	case s != nil && s.incarnation.Matches(key.Incarnation):
		s.incarnation = max(s.incarnation, key.Incarnation)
	case s != nil && s.incarnation > key.Incarnation:
		return nil
	default:
		s = &state{incarnation: key.Incarnation}
		t.targets[key.Target] = s
	}
	return s
}

// Observe records what an answer of a target said. It reports whether the target is
// leaving and this was not known.
func (t *Tracker) Observe(now time.Time, key id.TargetIncarnation, n Notice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n == (Notice{}) {
		if s := t.find(key); s != nil && !now.Before(s.pausedUntil) {
			s.trying = false
		}
		return false
	}
	s := t.findOrAdd(key)
	if s == nil {
		return false
	}
	s.saidAt, s.heardAt = now, now
	if until := now.Add(min(n.Pause, maxPause)); n.Pause > 0 {
		s.trying = true
		if until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
	}
	if !n.Leaving {
		return false
	}
	known := s.leaving && !s.unsure
	s.leaving, s.toldAt, s.unsure = true, now, false
	return !known
}

// Listed records that a target is listed with an incarnation. A process that has started
// under the name of another one may have answered before its record arrived. If it is not known which of them is
// leaving, Listed returns true, and the listed one counts as leaving until Resolve is called.
func (t *Tracker) Listed(now time.Time, key id.TargetIncarnation) (unsure bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[key.Target]
	switch {
	case s == nil || key.Incarnation == 0 || s.incarnation >= key.Incarnation:
		return false
	case s.incarnation == 0:
		// The record names the start of the process only now.
		s.incarnation = key.Incarnation
	case s.heardAt.IsZero() || now.Sub(s.heardAt) > noticeDelay:
		return false
	default:
		s.incarnation = key.Incarnation
		if now.Sub(s.heardAt) > recordDelay {
			s.pausedUntil, s.trying = time.Time{}, false
		}
	}
	// Only the process itself can tell the others that it is leaving.
	s.unsure, s.toldAt = s.leaving, time.Time{}
	return s.unsure
}

// Unsure reports whether it is not known which process has said that it is leaving, that of the incarnation or an
// earlier one.
func (t *Tracker) Unsure(key id.TargetIncarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(key)
	return s != nil && s.unsure
}

// Resolve records whether the process is leaving of which that was not known. It reports whether the process is
// leaving, and the other entries are to be told.
func (t *Tracker) Resolve(now time.Time, key id.TargetIncarnation, leaving bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(key)
	if s == nil || !s.unsure {
		return false
	}
	s.unsure, s.leaving = false, leaving
	if leaving {
		s.saidAt, s.heardAt, s.toldAt = now, now, now
	}
	return leaving
}

// Merge records the targets that are leaving according to another entry. It says nothing about later processes under
// their names.
func (t *Tracker) Merge(now time.Time, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if s := t.findOrAdd(id.TargetIncarnation(r)); s != nil {
			s.leaving, s.unsure, s.saidAt = true, false, now
		}
	}
}

// Reports returns the targets that have recently reported to this process that they are
// leaving, in order.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.targets, func(_ id.Target, s *state) bool {
		last := s.pausedUntil
		for _, at := range []time.Time{s.saidAt, s.listedAt} {
			if at.After(last) {
				last = at
			}
		}
		return now.Sub(last) > retention
	})
	var reports []Report
	for name, s := range t.targets {
		if !s.toldAt.IsZero() && now.Sub(s.toldAt) <= reportTime {
			reports = append(reports, Report{Target: name, Incarnation: s.incarnation})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Target, b.Target) })
	return reports
}

// Usable returns the targets that have not withdrawn.
func (t *Tracker) Usable(now time.Time, targets catalog.Targets) catalog.Targets {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.targets) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(target *catalog.Target) bool {
		s := t.find(target.Key())
		if s == nil {
			return false
		}
		s.listedAt = now
		return s.leaving || now.Before(s.pausedUntil)
	})
}

// Leaving reports whether the target has said that it is leaving.
func (t *Tracker) Leaving(key id.TargetIncarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(key)
	return s != nil && s.leaving
}

// Paused reports whether a target has requested a pause that lasts.
func (t *Tracker) Paused(now time.Time, key id.TargetIncarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(key)
	return s != nil && now.Before(s.pausedUntil)
}

// Trial is the verdict on a request to a target.
type Trial string

// Verdicts.
const (
	// NoTrial means that the target may get the request as any other.
	NoTrial Trial = "none"
	// Tries means that the request tries the target after its pause. EndTrial must follow.
	Tries Trial = "tries"
	// MustWait means that enough other requests try the target.
	MustWait Trial = "mustWait"
)

// BeginTrial decides whether a target may get a request now: after a pause it gets few until it
// has answered one.
func (t *Tracker) BeginTrial(now time.Time, key id.TargetIncarnation) Trial {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.find(key)
	switch {
	case s == nil || !s.trying:
		return NoTrial
	case s.trials >= maxTrials || now.Before(s.pausedUntil):
		return MustWait
	}
	s.trials++
	return Tries
}

// EndTrial records that a request which tried a target has ended.
func (t *Tracker) EndTrial(key id.TargetIncarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.find(key); s != nil {
		s.trials = max(0, s.trials-1)
	}
}

// UntilUsable returns the time until the first pause of any of the targets ends, and 0 if
// none of them is paused.
func (t *Tracker) UntilUsable(now time.Time, targets catalog.Targets) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var least time.Duration
	for _, target := range targets {
		s := t.find(target.Key())
		if s == nil || s.leaving {
			continue
		}
		if left := s.pausedUntil.Sub(now); left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}
