package quarantine

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// points measure how strongly a failure counts against a fingerprint.
type points int

const (
	// certain failures have no other known cause.
	certain points = 5
	// doubtful failures have another possible cause too.
	doubtful points = 3
)

// activityTolerance is how much later than a target's failure what it sent before may
// still be read.
const activityTolerance = 250 * time.Millisecond

const (
	// simultaneous is the time within which connections to the targets of an outage
	// break.
	simultaneous = 50 * time.Millisecond
	// detectionSpread is the time within which the targets of an outage are found to be
	// silent.
	detectionSpread = time.Second
)

// latest is later than any failure.
var latest = time.Unix(1<<40, 0)

// countedFailure is a failure that counts against a fingerprint.
type countedFailure struct {
	*failure
	points points
	// otherCause says that an outage may explain the failure.
	otherCause bool
}

// explain records that an outage may explain the failure.
func (c *countedFailure) explain() {
	c.points, c.otherCause = min(c.points, doubtful), true
}

// failuresOf returns the failures under which f may have ended targets, in the order in
// which they were recorded.
func (t *Tracker) failuresOf(f id.Fingerprint) []*failure {
	var fails []*failure
	for _, fail := range t.byFingerprint[f] {
		if t.standing(fail, f) == held {
			fails = append(fails, fail)
		}
	}
	return fails
}

// failuresUntil returns those of failuresOf up to a time.
func (t *Tracker) failuresUntil(f id.Fingerprint, until time.Time) []*failure {
	return slices.DeleteFunc(t.failuresOf(f), func(fail *failure) bool { return fail.at.After(until) })
}

// ends returns the number of failures under which f may have ended targets.
func (t *Tracker) ends(f id.Fingerprint) int { return len(t.failuresOf(f)) }

// endsUntil returns the number of failures up to a time under which f may have ended
// targets.
func (t *Tracker) endsUntil(f id.Fingerprint, until time.Time) int {
	return len(t.failuresUntil(f, until))
}

// unexplainedEnds returns the number of failures under which f may have ended targets and
// which no outage explains: no other target failed near by, and one of the zone is heard
// from since. Failures at the same time count each.
func (t *Tracker) unexplainedEnds(f id.Fingerprint) int {
	return len(slices.DeleteFunc(t.failuresOf(f), func(fail *failure) bool {
		return t.hasOtherCause(fail, f, latest) || !t.zoneAlive(fail)
	}))
}

// zoneAlive reports whether a target of the zone is heard from since the failure.
func (t *Tracker) zoneAlive(fail *failure) bool {
	return t.cfg.ZoneActivity == nil || t.cfg.ZoneActivity(fail.place.Zone).After(fail.at.Add(activityTolerance))
}

// evidence returns the failures up to a time that count against f, in the order of their
// times. Failures up to asOf may explain them.
func (t *Tracker) evidence(f id.Fingerprint, until, asOf time.Time) []countedFailure {
	fails := t.failuresUntil(f, until)
	slices.SortFunc(fails, func(a, b *failure) int { return a.at.Compare(b.at) })
	var evidence []countedFailure
	for _, fail := range fails {
		if fail.suspects[f].alone {
			evidence = append(evidence, countedFailure{failure: fail, points: certain})
			continue
		}
		if first := t.failedTogether(fail, evidence, f); first != nil {
			if fail.at.Sub(first.at) <= simultaneous {
				first.explain()
			}
			continue
		}
		counted := countedFailure{failure: fail, points: t.blame(fail, f, asOf)}
		if t.hasOtherCause(fail, f, asOf) {
			counted.explain()
		}
		if counted.points > 0 {
			evidence = append(evidence, counted)
		}
	}
	return evidence
}

// sumPoints returns the points of the last failure and of the earlier ones within
// QuarantineTime before it; 0 for none.
func (t *Tracker) sumPoints(evidence []countedFailure) points {
	sum := points(0)
	for _, e := range evidence {
		if evidence[len(evidence)-1].at.Sub(e.at) <= t.cfg.QuarantineTime {
			sum += e.points
		}
	}
	return sum
}

// ended reports whether the target really failed, as far as this process knows.
func (t *Tracker) ended(fail *failure) bool {
	if t.cfg.LastActivity == nil {
		return true
	}
	return !t.cfg.LastActivity(fail.TargetIncarnation).After(fail.at.Add(activityTolerance))
}

// startedAfter reports whether f was sent to a target that had failed for good already.
func (t *Tracker) startedAfter(fail *failure, f id.Fingerprint) bool {
	return t.cfg.FailsOnce && fail.suspects[f].startedAt.After(fail.at)
}

// failedTogether returns the counted failure of the zone that occurred shortly before
// while f already ran at this target, or nil. One event may have caused both.
func (t *Tracker) failedTogether(fail *failure, counted []countedFailure, f id.Fingerprint) *countedFailure {
	i := slices.IndexFunc(counted, func(c countedFailure) bool {
		return t.near(fail, c.failure) && fail.at.Sub(c.at) <= detectionSpread && !fail.suspects[f].lastStart.After(c.at)
	})
	if i < 0 {
		return nil
	}
	return &counted[i]
}

// blame returns how strongly a failure counts against f rather than its other suspects.
// Those that ran at the most failures are to blame. Of two that ran at as many, but not at
// the same ones, the next failure shows which it is. Only failures up to asOf matter.
func (t *Tracker) blame(fail *failure, f id.Fingerprint, asOf time.Time) points {
	p := certain
	ends := t.endsUntil(f, asOf)
	for other := range fail.suspects {
		if other == f || !fail.ran(other) || fail.belongsTogether(f, other) {
			continue
		}
		switch otherEnds := t.endsUntil(other, asOf); {
		case otherEnds > ends:
			return 0
		case otherEnds < ends || ends == 1:
			continue
		case !t.ranTogether(f, other):
			return 0
		}
		p = doubtful
	}
	return p
}

// ranTogether reports whether other ran at all failures at which f ran.
func (t *Tracker) ranTogether(f, other id.Fingerprint) bool {
	return !slices.ContainsFunc(t.failuresOf(f), func(fail *failure) bool { return !fail.ran(other) })
}

// hasOtherCause reports whether a target of the zone that did not run f failed at about
// the same time, and not after asOf. What failed before f started cannot explain how f
// ended.
func (t *Tracker) hasOtherCause(fail *failure, f id.Fingerprint, asOf time.Time) bool {
	return slices.ContainsFunc(t.failures, func(other *failure) bool {
		return other.suspects[f] == nil && !other.at.After(asOf) && t.near(fail, other) && t.ended(other) && !other.at.Before(fail.suspects[f].lastStart)
	})
}

// near reports whether two targets of one zone failed within Window.
func (t *Tracker) near(a, b *failure) bool {
	return a.Target != b.Target && a.place.Zone == b.place.Zone && a.at.Sub(b.at).Abs() <= t.cfg.Window
}
