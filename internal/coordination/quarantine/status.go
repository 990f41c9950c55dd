package quarantine

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Status is the status of a fingerprint.
type Status struct {
	State State
	// Failures is the number of failures that count against the fingerprint, fully or
	// in part.
	Failures int
	// Ends is the number of all failures at which the fingerprint ran and of which it
	// has not been cleared, whatever else explains them.
	Ends int
	// Dismissed counts the failures at which the fingerprint ran and that are not held
	// against it.
	Dismissed Dismissed
	// RunAlone says that one more failure puts the fingerprint into quarantine. Its
	// requests must run one at a time, on a target that runs little else.
	RunAlone bool
	// Until is when the quarantine ends.
	Until time.Time
}

// standing says whether a failure is held against a fingerprint that ran there, or why it is
// not.
type standing int

const (
	held standing = iota
	// cleared failures came before a completion.
	cleared
	// alive targets were heard from after the failure.
	alive
	// dead targets had failed before the fingerprint was sent to them.
	dead
)

// standing returns how a failure at which f ran counts against f.
func (t *Tracker) standing(fail *failure, f id.Fingerprint) standing {
	switch {
	case !fail.ran(f):
		return cleared
	case !t.ended(fail):
		return alive
	case t.startedAfter(fail, f):
		return dead
	}
	return held
}

// Dismissed counts failures by the reason for which they are not held against a
// fingerprint.
type Dismissed struct {
	// Cleared failures came before a completion.
	Cleared int
	// Alive targets were heard from after the failure.
	Alive int
	// Dead targets had failed before the fingerprint was sent to them.
	Dead int
}

// dismissed counts the failures of f that are not held against it.
func (t *Tracker) dismissed(f id.Fingerprint) Dismissed {
	var d Dismissed
	for _, fail := range t.byFingerprint[f] {
		switch t.standing(fail, f) {
		case cleared:
			d.Cleared++
		case alive:
			d.Alive++
		case dead:
			d.Dead++
		case held:
		}
	}
	return d
}

// Status returns the status of f at now, from the failures that are older than SettleTime.
func (t *Tracker) Status(now time.Time, f id.Fingerprint) Status {
	return t.status(now, f, now.Add(-t.cfg.SettleTime))
}

// LatestStatus returns the status of f at now from all failures.
func (t *Tracker) LatestStatus(now time.Time, f id.Fingerprint) Status { return t.status(now, f, now) }

// status returns the status of f at now from the failures up to a time.
func (t *Tracker) status(now time.Time, f id.Fingerprint, last time.Time) Status {
	s := Status{State: Clear, Ends: t.ends(f), Dismissed: t.dismissed(f)}
	if !t.mayBlame(now, f) {
		return s
	}
	evidence := t.evidence(f, last, latest)
	until := t.refusedUntil(f, evidence)
	if tried := t.triedUntil(f); tried.After(until) {
		until = tried
	}
	recent, unexplained := points(0), 0
	for _, e := range evidence {
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
		s.RunAlone = unexplained >= t.cfg.QuarantineThreshold-1 || recent+certain >= t.limit() || !until.IsZero()
	default:
		s.State, s.RunAlone = Clear, !until.IsZero()
	}
	return s
}

// refusedUntil returns until when f is refused for its failures, or the zero time. What
// fails later than SettleTime after a failure does not change what that one has decided,
// and the order in which failures become known doesn't either. A fingerprint that was in
// quarantine before returns there at its next failure.
func (t *Tracker) refusedUntil(f id.Fingerprint, evidence []countedFailure) time.Time {
	var until time.Time
	for _, e := range evidence {
		if until.IsZero() {
			decided := t.evidence(f, e.at, e.at.Add(t.cfg.SettleTime))
			if t.sumPoints(decided) < t.limit() {
				continue
			}
		}
		until = e.at.Add(t.cfg.QuarantineTime)
	}
	return until
}

// limit returns the points from which a fingerprint is refused.
func (t *Tracker) limit() points { return certain * points(t.cfg.QuarantineThreshold) }

// mayBeRefused reports whether f ran at enough failures, or was tried often enough, to be
// refused.
func (t *Tracker) mayBeRefused(f id.Fingerprint) bool {
	return certain*points(len(t.byFingerprint[f])) >= t.limit() || len(t.trials[f]) >= maxTrials
}

// TryStart reports whether a request may start or continue in this process. A suspect that
// must run alone has to wait while another request with its fingerprint runs.
func (t *Tracker) TryStart(now time.Time, f id.Fingerprint, request id.Request) bool {
	s := t.LatestStatus(now, f)
	if s.State == Refused {
		return false
	}
	if !s.RunAlone && !t.mustTry(f) {
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
		return fail.ran(f) && fail.ran(other) && t.ended(fail) && !t.hasOtherCause(fail, f, latest)
	})
}
