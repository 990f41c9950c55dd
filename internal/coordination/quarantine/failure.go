package quarantine

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Run is an attempt of a request that ran at a target when the target failed.
type Run struct {
	Fingerprint id.Fingerprint
	// ID distinguishes the run from the others of its fingerprint at the target; 0 if it is
	// not known.
	ID RunID
	// Parts are the fingerprints of the parts of its prompt that may have crashed the
	// target.
	Parts     []id.Fingerprint
	StartedAt time.Time
	// Alone says that no other request with the fingerprint ran at any entry.
	Alone bool
	// AloneParts are the parts with which no other request ran at any entry.
	AloneParts []id.Fingerprint
	// Closed says that the connection was closed, so that the time of the failure is known
	// well. A target that is only silent may have failed some time before.
	Closed bool
}

// RunID identifies a run of a request at a target.
type RunID uint32

// NewRunID returns the id of the run of a request.
func NewRunID(request id.Request) RunID { return RunID(id.FingerprintOf(string(request))) }

// Failure is the failure of a target, as observed by one process. The observer may know
// only some of the requests that ran there; other entries know the others.
type Failure struct {
	// TargetIncarnation is the target process that failed. Its engine may fail several
	// times within an incarnation.
	id.TargetIncarnation
	Place member.Place
	// At is the time of the failure by the observer's clock.
	At time.Time
	// Running lists the attempts that ran there. A failure with an empty list counts
	// too, because it may explain other failures in its zone.
	Running []Run
}

// failure is one failure as recorded by a Tracker.
type failure struct {
	id.TargetIncarnation
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
	// closed says that the target closed the connection of one of its attempts.
	closed bool
	// runs are the lowest ids of its runs that ended with the target, at most maxRuns, in
	// order. Each is a copy of the request.
	runs []RunID
	// request is the request that had the fingerprint as a part, the lowest one if there
	// were several; 0 if the fingerprint is that of a request.
	request id.Fingerprint
}

// ran reports whether f ran at the failure and has not been cleared since.
func (fail *failure) ran(f id.Fingerprint) bool {
	s := fail.suspects[f]
	return s != nil && !s.cleared
}

// RecordFailure records a failure that this process observed.
func (t *Tracker) RecordFailure(fail Failure) {
	var startedAt time.Time
	for _, run := range fail.Running {
		if run.StartedAt.After(startedAt) {
			startedAt = run.StartedAt
		}
	}
	recorded := t.findOrAddFailure(fail.TargetIncarnation, fail.Place, fail.At, startedAt)
	for _, run := range fail.Running {
		added := suspect{startedAt: run.StartedAt, lastStart: run.StartedAt, closed: run.Closed}
		whole := added
		whole.alone = run.Alone
		if run.ID != 0 {
			whole.runs = []RunID{run.ID}
		}
		t.addSuspect(recorded, run.Fingerprint, whole)
		for _, part := range run.Parts {
			added.request, added.alone = run.Fingerprint, slices.Contains(run.AloneParts, part)
			t.addSuspect(recorded, part, added)
		}
	}
}

// addSuspect adds what is known about f at a failure.
func (t *Tracker) addSuspect(fail *failure, f id.Fingerprint, added suspect) {
	known := fail.suspects[f]
	if known == nil {
		known = &suspect{startedAt: added.startedAt, lastStart: added.lastStart, request: added.request}
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
	if added.request != 0 && added.request < known.request {
		known.request = added.request
		t.markChanged(fail)
	}
	if added.alone && !known.alone {
		known.alone = true
		t.markChanged(fail)
	}
	if added.closed && !known.closed {
		known.closed = true
		t.markChanged(fail)
	}
	if added.cleared && !known.cleared {
		known.cleared = true
		t.markChanged(fail)
	}
	if runs := mergeRuns(known.runs, added.runs); !slices.Equal(runs, known.runs) {
		known.runs = runs
		t.markChanged(fail)
	}
}

// maxRuns is the number of runs that are distinguished at one failure. More of them show
// nothing that the first ones do not.
const maxRuns = 3

// mergeRuns returns the lowest ids of two ordered lists, at most maxRuns.
func mergeRuns(a, b []RunID) []RunID {
	runs := slices.Concat(a, b)
	slices.Sort(runs)
	runs = slices.Compact(runs)
	return runs[:min(len(runs), maxRuns)]
}

// markChanged marks a failure as changed, so that Changes returns it.
func (t *Tracker) markChanged(fail *failure) {
	t.version++
	fail.version = t.version
}

// findOrAddFailure returns the record of a failure, which it adds if there is none. Of two
// reported times the earlier one is kept, because reports can only be delayed. startedAt is
// when an attempt started that ran at the failure; zero if that is not known.
func (t *Tracker) findOrAddFailure(key id.TargetIncarnation, place member.Place, at, startedAt time.Time) *failure {
	for _, fail := range t.failures {
		if fail.TargetIncarnation != key || !t.isSame(fail, at, startedAt) {
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
	fail := &failure{TargetIncarnation: key, place: place, at: at, suspects: map[id.Fingerprint]*suspect{}}
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
	t.clearTrials(f)
	for _, fail := range t.byFingerprint[f] {
		t.addSuspect(fail, f, suspect{startedAt: fail.suspects[f].startedAt, lastStart: fail.suspects[f].lastStart, cleared: true})
	}
}

// Expire drops failures that are too old to matter at now.
func (t *Tracker) Expire(now time.Time) {
	t.expireTrials(now)
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
