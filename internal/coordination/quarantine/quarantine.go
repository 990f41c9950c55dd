// Package quarantine finds requests that crash the targets that run them.
//
// Callers send such a request again under new keys, so it is identified by its
// fingerprint. When a target fails, all fingerprints that ran there are suspected. A
// fingerprint that ran at several failures, and never ran to completion in between, is
// refused for a time.
//
// What else explains a failure is judged for each fingerprint by itself. A lost zone takes
// targets that ran other requests; a request that crashes targets takes only those that
// ran it, one after the other. So a failure counts in part if targets that did not run the
// fingerprint failed in the zone at that time, and failures of targets that ran it at the
// same time count once. It does not count if another suspect ran at more failures, or if
// the target is heard from again. A failure under a suspect that ran alone, over all
// entries, counts fully: it was run to find out.
//
// # Usage
//
//	t := quarantine.New(quarantine.Config{QuarantineThreshold: 3, QuarantineTime: 15 * time.Minute})
//	switch s := t.Status(now, fingerprint); s.State {
//	case quarantine.Refused:
//		// Refuse the request until s.Until.
//	case quarantine.Suspected:
//		// Run it where no other suspect runs, alone if s.RunAlone.
//	}
//	t.RecordFailure(quarantine.Failure{…})
//	t.RecordCompletion(fingerprint)
//
// Each process has its own Tracker and merges the records of others. Merging is
// commutative, associative and idempotent, so trackers that exchange records agree in
// whatever order they receive them. A Tracker is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// State is the state of a fingerprint.
type State string

// States.
const (
	// Clear fingerprints run without restriction.
	Clear State = "clear"
	// Suspected fingerprints ran on a target that failed alone.
	Suspected State = "suspected"
	// Refused fingerprints are in quarantine.
	Refused State = "refused"
)

// Config sets when a fingerprint is refused, and for how long. A zero field means its
// default.
type Config struct {
	// QuarantineThreshold is the number of failures within QuarantineTime from which a
	// fingerprint is refused if nothing else explains them.
	QuarantineThreshold int
	// QuarantineTime is how long a fingerprint stays refused after the last of these
	// failures.
	QuarantineTime time.Duration
	// Window is the time within which failures in the same zone may have a common
	// cause.
	Window time.Duration
	// SettleTime is the time until other processes have reported what they know about
	// a failure.
	SettleTime time.Duration
	// FailsOnce says that an incarnation of a target never runs again after a failure.
	FailsOnce bool
	// LastActivity returns when this process last heard from a target, or the zero
	// time. A target that is heard from after a reported failure has not failed. It
	// may be nil.
	LastActivity func(FailureID) time.Time
	// ZoneActivity returns when this process last heard from any target of a zone, or
	// the zero time. It may be nil.
	ZoneActivity func(id.Zone) time.Time
}

const (
	defaultQuarantineThreshold = 3
	defaultQuarantineTime      = 15 * time.Minute
	defaultWindow              = 3 * time.Second
	// maxFailures bounds the failures that a Tracker keeps; the oldest is dropped
	// first.
	maxFailures = 1024
	// sameFailureWindow is the time within which reports of a target's failure refer
	// to the same failure, because entries observe it at different times.
	sameFailureWindow = 10 * time.Second
	// maxReportDelay is the time that a report usually takes. Starts that differ by less
	// may be one start, reported twice.
	maxReportDelay = 20 * time.Millisecond
	// timeTolerance is the difference between two reported times of a failure up to
	// which the earlier time is not sent to others as a change.
	timeTolerance = time.Second
)

// Defaults sets the zero fields of c to their defaults.
func (c *Config) Defaults() {
	c.QuarantineThreshold = cmp.Or(c.QuarantineThreshold, defaultQuarantineThreshold)
	c.QuarantineTime = cmp.Or(c.QuarantineTime, defaultQuarantineTime)
	c.Window = cmp.Or(c.Window, defaultWindow)
}

// FailureID identifies the target that failed. The incarnation is that of the target
// process; the engine may fail several times within it.
type FailureID struct {
	Target      id.Target
	Incarnation id.Incarnation
}

// Run is an attempt of a request that ran at a target when the target failed.
type Run struct {
	Fingerprint id.Fingerprint
	StartedAt   time.Time
	// Alone says that no other request with the fingerprint ran at any entry.
	Alone bool
}

// Failure is the failure of a target, as observed by one process. The observer may know
// only some of the requests that ran there; other entries know the others.
type Failure struct {
	FailureID
	Place member.Place
	// At is the time of the failure by the observer's clock.
	At time.Time
	// Running lists the attempts that ran there. A failure with an empty list counts
	// too, because it may explain other failures in its zone.
	Running []Run
}

// failure is one failure as recorded by a Tracker.
type failure struct {
	FailureID
	place member.Place
	at    time.Time
	// suspects holds the fingerprints that ran there.
	suspects map[id.Fingerprint]*suspect
	// version is the tracker's version at the last change of this failure.
	version uint64
}

// suspect is a fingerprint that ran at a failure.
type suspect struct {
	// startedAt is when the first of its attempts there started, and lastStart when the
	// last one did. Both can only be reported too late.
	startedAt time.Time
	lastStart time.Time
	// cleared says that the fingerprint has run to completion since the failure.
	cleared bool
	// alone says that no other request with the fingerprint ran at any entry.
	alone bool
}

// ran reports whether f ran at the failure and has not been cleared since.
func (fail *failure) ran(f id.Fingerprint) bool {
	s := fail.suspects[f]
	return s != nil && !s.cleared
}

// Tracker holds the failures and suspects known to one process.
type Tracker struct {
	cfg      Config
	failures []*failure
	// byFingerprint holds the failures at which each fingerprint ran.
	byFingerprint map[id.Fingerprint][]*failure
	// version increases with each change to be sent to others.
	version uint64
	// runningAlone maps the suspects that must run one at a time to the request that
	// runs in this process.
	runningAlone map[id.Fingerprint]id.Request
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	cfg.Defaults()
	return &Tracker{cfg: cfg, byFingerprint: map[id.Fingerprint][]*failure{}, runningAlone: map[id.Fingerprint]id.Request{}}
}

// Configure replaces the configuration.
func (t *Tracker) Configure(cfg Config) {
	cfg.Defaults()
	t.cfg = cfg
}

// RecordFailure records a failure that this process observed.
func (t *Tracker) RecordFailure(fail Failure) {
	var startedAt time.Time
	for _, run := range fail.Running {
		if run.StartedAt.After(startedAt) {
			startedAt = run.StartedAt
		}
	}
	recorded := t.findOrAddFailure(fail.FailureID, fail.Place, fail.At, startedAt)
	for _, run := range fail.Running {
		t.addSuspect(recorded, run.Fingerprint, suspect{startedAt: run.StartedAt, lastStart: run.StartedAt, alone: run.Alone})
	}
}

// addSuspect adds what is known about f at a failure.
func (t *Tracker) addSuspect(fail *failure, f id.Fingerprint, added suspect) {
	known := fail.suspects[f]
	if known == nil {
		known = &suspect{startedAt: added.startedAt, lastStart: added.lastStart}
		fail.suspects[f] = known
		t.byFingerprint[f] = append(t.byFingerprint[f], fail)
		t.markChanged(fail)
	}
	if known.startedAt.Sub(added.startedAt) > timeTolerance {
		t.markChanged(fail)
	}
	if added.startedAt.Before(known.startedAt) {
		known.startedAt = added.startedAt
	}
	if added.lastStart.Sub(known.lastStart) > maxReportDelay && !added.lastStart.After(fail.at) {
		known.lastStart = added.lastStart
		t.markChanged(fail)
	}
	if added.alone && !known.alone {
		known.alone = true
		t.markChanged(fail)
	}
	if added.cleared && !known.cleared {
		known.cleared = true
		t.markChanged(fail)
	}
}

// markChanged marks a failure as changed, so that Changes returns it.
func (t *Tracker) markChanged(fail *failure) {
	t.version++
	fail.version = t.version
}

// findOrAddFailure returns the record of a failure, which it adds if there is none. Of two
// reported times the earlier one is kept, because reports can only be delayed. startedAt is
// when an attempt started that ran at the failure; zero if that is not known.
func (t *Tracker) findOrAddFailure(key FailureID, place member.Place, at, startedAt time.Time) *failure {
	for _, fail := range t.failures {
		if fail.FailureID != key || !t.isSame(fail, at, startedAt) {
			continue
		}
		if fail.at.Sub(at) > timeTolerance {
			t.markChanged(fail)
		}
		if at.Before(fail.at) {
			fail.at = at
		}
		return fail
	}
	t.makeRoom()
	fail := &failure{FailureID: key, place: place, at: at, suspects: map[id.Fingerprint]*suspect{}}
	t.failures = append(t.failures, fail)
	t.markChanged(fail)
	return fail
}

// isSame reports whether a failure of the same target reported for a time is a recorded
// one.
func (t *Tracker) isSame(fail *failure, at, startedAt time.Time) bool {
	distance := at.Sub(fail.at).Abs()
	if t.cfg.FailsOnce {
		return t.ended(fail) || distance <= activityTolerance
	}
	return distance <= sameFailureWindow && !startedAt.After(fail.at)
}

// RecordCompletion records that a request ran to completion, which clears its fingerprint
// of the failures known so far.
func (t *Tracker) RecordCompletion(f id.Fingerprint) {
	for _, fail := range t.byFingerprint[f] {
		t.addSuspect(fail, f, suspect{startedAt: fail.suspects[f].startedAt, lastStart: fail.suspects[f].lastStart, cleared: true})
	}
}

// Status is the status of a fingerprint.
type Status struct {
	State State
	// Failures is the number of failures that count against the fingerprint, fully or
	// in part.
	Failures int
	// Ends is the number of all failures at which the fingerprint ran and of which it
	// has not been cleared, whatever else explains them.
	Ends int
	// RunAlone says that one more failure puts the fingerprint into quarantine. Its
	// requests must run one at a time, on a target that runs little else.
	RunAlone bool
	// Until is when the quarantine ends.
	Until time.Time
}

// Status returns the status of f at now, from the failures that are older than SettleTime.
func (t *Tracker) Status(now time.Time, f id.Fingerprint) Status {
	return t.status(now, f, now.Add(-t.cfg.SettleTime))
}

// LatestStatus returns the status of f at now from all failures.
func (t *Tracker) LatestStatus(now time.Time, f id.Fingerprint) Status { return t.status(now, f, now) }

// status returns the status of f at now from the failures up to a time.
func (t *Tracker) status(now time.Time, f id.Fingerprint, last time.Time) Status {
	evidence := t.evidence(f, last)
	s := Status{Ends: t.ends(f)}
	limit := t.limit()
	var until time.Time
	recent, unexplained := points(0), 0
	for i, e := range evidence {
		if t.pointsUntil(evidence, i) >= limit || !until.IsZero() {
			// A fingerprint that was in quarantine before returns there at its next
			// failure.
			until = e.at.Add(t.cfg.QuarantineTime)
		}
		if now.Sub(e.at) < t.cfg.QuarantineTime {
			s.Failures++
			recent += e.points
			if !e.otherCause {
				unexplained++
			}
		}
	}
	switch {
	case now.Before(until):
		s.State, s.Until = Refused, until
	case recent >= certain:
		s.State = Suspected
		s.RunAlone = unexplained >= t.cfg.QuarantineThreshold-1 || recent+certain >= limit || !until.IsZero()
	default:
		s.State, s.RunAlone = Clear, !until.IsZero()
	}
	return s
}

// limit returns the points from which a fingerprint is refused.
func (t *Tracker) limit() points { return certain * points(t.cfg.QuarantineThreshold) }

// mayBeRefused reports whether f ran at enough failures to be refused.
func (t *Tracker) mayBeRefused(f id.Fingerprint) bool {
	return certain*points(len(t.byFingerprint[f])) >= t.limit()
}

// TryStart reports whether a request may start or continue in this process. A suspect that
// must run alone has to wait while another request with its fingerprint runs.
func (t *Tracker) TryStart(now time.Time, f id.Fingerprint, request id.Request) bool {
	s := t.LatestStatus(now, f)
	if s.State == Refused {
		return false
	}
	if !s.RunAlone {
		return true
	}
	if running, found := t.runningAlone[f]; found && running != request {
		return false
	}
	t.runningAlone[f] = request
	return true
}

// End records that a request no longer runs in this process.
func (t *Tracker) End(f id.Fingerprint, request id.Request) {
	if t.runningAlone[f] == request {
		delete(t.runningAlone, f)
	}
}

// MustSeparate reports whether f and other must not share a target, because both are
// suspected of the same failure. If they run apart, the next failure shows which of them
// caused it.
func (t *Tracker) MustSeparate(f, other id.Fingerprint) bool {
	if f == other {
		return false
	}
	return slices.ContainsFunc(t.byFingerprint[f], func(fail *failure) bool {
		return fail.ran(f) && fail.ran(other) && t.ended(fail) && !t.hasOtherCause(fail, f)
	})
}

// Expire drops failures that are too old to matter at now.
func (t *Tracker) Expire(now time.Time) {
	for _, fail := range slices.Clone(t.failures) {
		if now.Sub(fail.at) > 2*t.cfg.QuarantineTime {
			t.drop(fail)
		}
	}
}

// makeRoom drops a failure if the tracker is full: the oldest one whose suspects ran at
// no other failure, or else the oldest.
func (t *Tracker) makeRoom() {
	if len(t.failures) < maxFailures {
		return
	}
	var oldest, unrelated *failure
	for _, fail := range t.failures {
		if oldest == nil || fail.at.Before(oldest.at) {
			oldest = fail
		}
		if (unrelated == nil || fail.at.Before(unrelated.at)) && !t.hasRepeatedSuspect(fail) {
			unrelated = fail
		}
	}
	if unrelated != nil {
		oldest = unrelated
	}
	t.drop(oldest)
}

// hasRepeatedSuspect reports whether a suspect of the failure ran at others too.
func (t *Tracker) hasRepeatedSuspect(fail *failure) bool {
	for f := range fail.suspects {
		if fail.ran(f) && t.ends(f) > 1 {
			return true
		}
	}
	return false
}

func (t *Tracker) drop(dropped *failure) {
	same := func(fail *failure) bool { return fail == dropped }
	t.failures = slices.DeleteFunc(t.failures, same)
	for f := range dropped.suspects {
		t.byFingerprint[f] = slices.DeleteFunc(t.byFingerprint[f], same)
		if len(t.byFingerprint[f]) == 0 {
			delete(t.byFingerprint, f)
		}
	}
}
