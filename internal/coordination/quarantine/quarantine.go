// Package quarantine finds requests that crash the targets that run them.
//
// Callers send such a request again under new keys, so it is known by its
// fingerprint. When a target dies alone, all that ran there is suspected; what
// was there at several such deaths, and never ran to its end in between, is
// refused for a time. A target that dies together with others of its host or
// zone blames nobody.
//
// # Usage
//
//	l := quarantine.New(quarantine.Config{KillThreshold: 3, QuarantineTime: 15 * time.Minute})
//	switch j := l.Judge(now, fingerprint); j.State {
//	case quarantine.Refused:
//		// Refuse the request until j.Until.
//	case quarantine.Suspected:
//		// Run it where no other suspect runs, alone if j.Alone.
//	}
//	l.Died(quarantine.Death{…})
//	l.Finished(fingerprint)
//
// Each process keeps a List. Records of one are merged into others; merging is
// commutative, associative and idempotent, so lists that exchange records
// agree whatever the order. A List is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// State is what is held of a fingerprint.
type State string

// States.
const (
	// Clear fingerprints run like any other.
	Clear State = "clear"
	// Suspected fingerprints ran where a target died alone.
	Suspected State = "suspected"
	// Refused fingerprints are in quarantine.
	Refused State = "refused"
)

// Config sets when a fingerprint is refused and for how long.
type Config struct {
	// KillThreshold is the number of isolated deaths within QuarantineTime
	// that refuse a fingerprint.
	KillThreshold int
	// QuarantineTime is how long it stays refused after the last of them.
	QuarantineTime time.Duration
	// Window is the time within which deaths of one place belong together.
	Window time.Duration
}

const (
	defaultKillThreshold  = 3
	defaultQuarantineTime = 15 * time.Minute
	defaultWindow         = 3 * time.Second
	// maxDeaths bounds what a List keeps; the oldest go first.
	maxDeaths = 1024
	// sameDeath is the time within which news of a target's death are about one
	// death. Entries see it at different times; an engine that dies again in
	// the same incarnation of its target process has to start first.
	sameDeath = 10 * time.Second
	// sameTime is how far apart two nodes' times of a death may be before it is
	// news.
	sameTime = time.Second
	// correlatedDeaths is how many other deaths of a zone within the window
	// make a death part of a larger loss, whatever ran there.
	correlatedDeaths = 2
)

// Defaults fills in what c leaves out.
func (c *Config) Defaults() {
	c.KillThreshold = cmp.Or(c.KillThreshold, defaultKillThreshold)
	c.QuarantineTime = cmp.Or(c.QuarantineTime, defaultQuarantineTime)
	c.Window = cmp.Or(c.Window, defaultWindow)
}

// FailureID says whose death it was. The incarnation is the target process's;
// its engine may die several times in it.
type FailureID struct {
	Target      id.Target
	Incarnation id.Incarnation
}

// Failure is the death of a target. What is known to have run there may be only
// a part; the other entries know the rest.
type Failure struct {
	FailureID
	Place member.Place
	// At is by the observer's clock.
	At time.Time
	// Running are the fingerprints that ran there; empty counts too, since it
	// tells a larger loss from a death alone.
	Running []id.Fingerprint
}

// death is what a List keeps of one death.
type death struct {
	FailureID
	place member.Place
	at    time.Time
	// suspects maps what ran there to whether it was cleared since.
	suspects map[id.Fingerprint]bool
	// version is the list's version when this last changed.
	version uint64
}

// Tracker is what one process knows of deaths and suspects.
type Tracker struct {
	cfg    Config
	deaths []*death
	// version rises with each change that others need to know.
	version uint64
	// alone holds the suspects that must run one at a time, with the request
	// that runs here.
	alone map[id.Fingerprint]id.Request
}

// New returns an empty List.
func New(cfg Config) *Tracker {
	cfg.Defaults()
	return &Tracker{cfg: cfg, alone: map[id.Fingerprint]id.Request{}}
}

// Configure puts another configuration in force.
func (l *Tracker) Configure(cfg Config) {
	cfg.Defaults()
	l.cfg = cfg
}

// RecordFailure notes a death that this process saw.
func (l *Tracker) RecordFailure(d Failure) {
	kept := l.death(d.FailureID, d.Place, d.At)
	for _, f := range d.Running {
		l.suspect(kept, f, false)
	}
}

// suspect notes that f ran at a death, and whether it was cleared.
func (l *Tracker) suspect(d *death, f id.Fingerprint, cleared bool) {
	before, known := d.suspects[f]
	if known && (before || !cleared) {
		return
	}
	d.suspects[f] = cleared
	l.touch(d)
}

// touch notes that a death has news for others.
func (l *Tracker) touch(d *death) {
	l.version++
	d.version = l.version
}

// death returns the entry for a death. Of two times the earlier one counts,
// since news only ever arrives later.
func (l *Tracker) death(who FailureID, place member.Place, at time.Time) *death {
	for _, d := range l.deaths {
		if d.FailureID != who || at.Sub(d.at).Abs() > sameDeath {
			continue
		}
		if d.at.Sub(at) > sameTime {
			l.touch(d)
		}
		if at.Before(d.at) {
			d.at = at
		}
		return d
	}
	l.bound()
	d := &death{FailureID: who, place: place, at: at, suspects: map[id.Fingerprint]bool{}}
	l.deaths = append(l.deaths, d)
	l.touch(d)
	return d
}

// RecordCompletion notes that a request ran to its end, which clears it of the deaths
// known so far.
func (l *Tracker) RecordCompletion(f id.Fingerprint) {
	for _, d := range l.deaths {
		if _, ran := d.suspects[f]; ran {
			l.suspect(d, f, true)
		}
	}
}

// Status is what a List holds of a fingerprint.
type Status struct {
	State State
	// Failures counts the isolated deaths that it is suspected of.
	Failures int
	// RunAlone says that one more death refuses it: it must run one at a time,
	// on a target that runs little else.
	RunAlone bool
	// Until is when the quarantine ends.
	Until time.Time
}

// Status returns what is held of f at now.
func (l *Tracker) Status(now time.Time, f id.Fingerprint) Status {
	times := l.blames(f)
	var j Status
	var until time.Time
	for i, at := range times {
		first := i + 1 - l.cfg.KillThreshold
		again := !until.IsZero()
		if again || (first >= 0 && at.Sub(times[first]) <= l.cfg.QuarantineTime) {
			// What was refused before is refused again at its next death.
			until = at.Add(l.cfg.QuarantineTime)
		}
		if now.Sub(at) < l.cfg.QuarantineTime {
			j.Failures++
		}
	}
	switch {
	case now.Before(until):
		j.State, j.Until = Refused, until
	case j.Failures > 0:
		j.State = Suspected
		j.RunAlone = j.Failures >= l.cfg.KillThreshold-1 || !until.IsZero()
	default:
		j.State, j.RunAlone = Clear, !until.IsZero()
	}
	return j
}

// blames returns the times of the isolated deaths that f is suspected of.
func (l *Tracker) blames(f id.Fingerprint) []time.Time {
	var times []time.Time
	for _, d := range l.deaths {
		if cleared, ran := d.suspects[f]; ran && !cleared && l.isolated(d) {
			times = append(times, d.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// isolated reports whether d died alone. Another death on its host speaks
// against it. So does one in its zone at the same time, unless the two share a
// suspect, which may have killed both; a third death does in any case.
func (l *Tracker) isolated(d *death) bool {
	near := l.near(d)
	if len(near) >= correlatedDeaths {
		return false
	}
	for _, other := range near {
		sameHost := d.place.Host != "" && other.place.Host == d.place.Host
		if sameHost || !shareSuspect(d, other) {
			return false
		}
	}
	return true
}

// near returns other targets' deaths in the zone of d at its time, up to as
// many as make a larger loss.
func (l *Tracker) near(d *death) []*death {
	var found []*death
	for _, other := range l.deaths {
		if other.Target == d.Target || other.place.Zone != d.place.Zone {
			continue
		}
		if other.at.Sub(d.at).Abs() > l.cfg.Window {
			continue
		}
		found = append(found, other)
		if len(found) == correlatedDeaths {
			break
		}
	}
	return found
}

func shareSuspect(a, b *death) bool {
	for f, cleared := range a.suspects {
		if otherCleared, ran := b.suspects[f]; ran && !cleared && !otherCleared {
			return true
		}
	}
	return false
}

// TryStart reports whether a request may start here, or go on. A suspect that must
// run alone waits while another request with its fingerprint runs.
func (l *Tracker) TryStart(now time.Time, f id.Fingerprint, request id.Request) bool {
	j := l.Status(now, f)
	if j.State == Refused {
		return false
	}
	if !j.RunAlone {
		return true
	}
	if runs, taken := l.alone[f]; taken && runs != request {
		return false
	}
	l.alone[f] = request
	return true
}

// End notes that a request runs here no more.
func (l *Tracker) End(f id.Fingerprint, request id.Request) {
	if l.alone[f] == request {
		delete(l.alone, f)
	}
}

// MustSeparate reports whether f and other must not share a target, because both are
// suspected of one death: the next death tells them apart.
func (l *Tracker) MustSeparate(f, other id.Fingerprint) bool {
	if f == other {
		return false
	}
	for _, d := range l.deaths {
		cleared, ran := d.suspects[f]
		otherCleared, otherRan := d.suspects[other]
		if ran && otherRan && !cleared && !otherCleared && l.isolated(d) {
			return true
		}
	}
	return false
}

// Expire forgets deaths that no longer matter at now.
func (l *Tracker) Expire(now time.Time) {
	l.deaths = slices.DeleteFunc(l.deaths, func(d *death) bool {
		return now.Sub(d.at) > 2*l.cfg.QuarantineTime
	})
}

// bound makes room for one more death.
func (l *Tracker) bound() {
	if len(l.deaths) < maxDeaths {
		return
	}
	oldest := 0
	for i, d := range l.deaths {
		if d.at.Before(l.deaths[oldest].at) {
			oldest = i
		}
	}
	l.deaths = slices.Delete(l.deaths, oldest, oldest+1)
}
