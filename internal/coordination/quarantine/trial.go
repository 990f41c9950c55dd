package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// TrialID identifies a send of a request that has ended targets before.
type TrialID string

// trialID returns the identity of the nth trial of a request.
func trialID(request id.Request, n int) TrialID { return TrialID(fmt.Sprint(request, "/", n)) }

// run returns the id of the trial's run at its target.
func (t TrialID) run() RunID {
	request, _, _ := strings.Cut(string(t), "/")
	return NewRunID(id.Request(request))
}

// maxTrials is the number of sends after which a fingerprint of which QuarantineThreshold runs
// ended with their targets is refused, whatever became of them, unless one ran to completion.
// The users allow one more, which is left for an entry that has not heard of the ends yet, or
// for a trial whose end something else explains.
const maxTrials = 2

// trial is a send of a fingerprint after QuarantineThreshold ends.
type trial struct {
	id TrialID
	at time.Time
	// cleared says that the fingerprint has run to completion since, or that the send did
	// not reach a target.
	cleared bool
}

// Trial is a trial as exchanged between trackers.
type Trial struct {
	ID TrialID `json:"id"`
	// AgeMs is the age of the send in milliseconds.
	AgeMs   int64 `json:"ageMs"`
	Cleared bool  `json:"cleared,omitempty"`
}

// mustTry reports whether f ended so often with targets that each further send counts.
func (t *Tracker) mustTry(f id.Fingerprint) bool {
	return t.lostRuns(f) >= t.cfg.QuarantineThreshold
}

// lostRuns returns how many runs of f ended with their targets, whoever else is to blame for
// it. Copies that ran at the same target count each. The ends of an outage do not count.
// Those of a zone at the same time count as one target's, unless the zone goes on: then
// copies of f may have ended them. A target that closed a connection counts even if it seemed
// to have failed before, since it may have been only a connection that broke.
func (t *Tracker) lostRuns(f id.Fingerprint) int {
	fails := slices.Clone(t.byFingerprint[f])
	slices.SortFunc(fails, func(a, b *failure) int { return a.at.Compare(b.at) })
	var separate []countedFailure
	lost := 0
	for _, fail := range fails {
		suspect := fail.suspects[f]
		switch t.standing(fail, f) {
		case held:
			if t.inOutage(fail, f) || (!t.zoneAlive(fail) && t.failedTogether(fail, separate, f) != nil) {
				continue
			}
			separate = append(separate, countedFailure{failure: fail})
		case dead:
			if !suspect.closed {
				continue
			}
		case cleared, alive:
			continue
		}
		lost += max(1, len(suspect.runs))
	}
	return lost
}

// lastEnd returns when f last ran at a failure, or the zero time.
func (t *Tracker) lastEnd(f id.Fingerprint) time.Time {
	var last time.Time
	for _, fail := range t.byFingerprint[f] {
		if fail.at.After(last) {
			last = fail.at
		}
	}
	return last
}

// inOutage reports whether another target of the zone, which did not run f, failed at the
// same time.
func (t *Tracker) inOutage(fail *failure, f id.Fingerprint) bool {
	within := detectionSpread
	if fail.suspects[f].closed {
		within = simultaneous
	}
	return slices.ContainsFunc(t.failures, func(other *failure) bool {
		return other.suspects[f] == nil && t.near(fail, other) && other.at.Sub(fail.at).Abs() <= within && t.ended(other)
	})
}

// RecordSend records that a request is sent to a target, which is a trial if its fingerprint
// must be tried. The returned function takes that back, for a target that did not run it.
func (t *Tracker) RecordSend(now time.Time, f id.Fingerprint, request id.Request) (undo func()) {
	if !t.mustTry(f) {
		return func() {}
	}
	trial := trialID(request, len(t.trials[f])+1)
	t.recordTrial(f, trial, now, false)
	return func() { t.recordTrial(f, trial, now, true) }
}

// recordTrial records that f is sent to a target, or that the send is cleared.
func (t *Tracker) recordTrial(f id.Fingerprint, trialID TrialID, at time.Time, cleared bool) {
	for _, known := range t.trials[f] {
		if known.id != trialID {
			continue
		}
		known.cleared = known.cleared || cleared
		if at.Before(known.at) {
			known.at = at
		}
		return
	}
	t.trials[f] = append(t.trials[f], &trial{id: trialID, at: at, cleared: cleared})
	t.version++
}

// triedUntil returns until when f is refused because its trials are used up, or the zero
// time.
func (t *Tracker) triedUntil(f id.Fingerprint) time.Time {
	var last time.Time
	used := 0
	for _, known := range t.trials[f] {
		if known.cleared {
			continue
		}
		used++
		if known.at.After(last) {
			last = known.at
		}
	}
	if used < maxTrials || !t.mustTry(f) || (used == maxTrials && t.isExcused(f)) {
		return time.Time{}
	}
	return last.Add(t.cfg.QuarantineTime)
}

// isExcused reports whether something else explains the end of a trial: an outage, or another
// suspect that ran there and at more failures. One such trial does not count.
func (t *Tracker) isExcused(f id.Fingerprint) bool {
	return slices.ContainsFunc(t.trials[f], func(known *trial) bool {
		if known.cleared {
			return false
		}
		return slices.ContainsFunc(t.failuresOf(f), func(fail *failure) bool {
			ended := !fail.at.Before(known.at) && slices.Contains(fail.suspects[f].runs, known.id.run())
			return ended && (t.inOutage(fail, f) || t.blame(fail, f, latest) == 0)
		})
	})
}

// clearTrials records that f ran to completion.
func (t *Tracker) clearTrials(f id.Fingerprint) {
	for _, known := range t.trials[f] {
		known.cleared = true
	}
}

// expireTrials drops trials that are too old to matter at now.
func (t *Tracker) expireTrials(now time.Time) {
	for f := range t.trials {
		t.trials[f] = slices.DeleteFunc(t.trials[f], func(known *trial) bool { return now.Sub(known.at) > 2*t.cfg.QuarantineTime })
		if len(t.trials[f]) == 0 {
			delete(t.trials, f)
		}
	}
}

// trialsOf returns the trials of f at now, to be merged by other trackers.
func (t *Tracker) trialsOf(now time.Time, f id.Fingerprint) []Trial {
	var trials []Trial
	for _, known := range t.trials[f] {
		trials = append(trials, Trial{ID: known.id, AgeMs: max(0, now.Sub(known.at).Milliseconds()), Cleared: known.cleared})
	}
	return trials
}

// mergeTrials adds the trials of another tracker.
func (t *Tracker) mergeTrials(now time.Time, f id.Fingerprint, trials []Trial) {
	for _, received := range trials {
		if age := time.Duration(received.AgeMs) * time.Millisecond; age <= 2*t.cfg.QuarantineTime {
			t.recordTrial(f, received.ID, now.Add(-age), received.Cleared)
		}
	}
}

// longestClosedRun returns how long the longest attempt of f ran until its target closed
// the connection.
func (t *Tracker) longestClosedRun(f id.Fingerprint) time.Duration {
	var longest time.Duration
	for _, fail := range t.failuresOf(f) {
		if s := fail.suspects[f]; s.closed {
			longest = max(longest, fail.at.Sub(s.startedAt))
		}
	}
	return longest
}
