package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Times and limits of a Shared tracker.
const (
	// sharedQuarantineTime is how long a request is refused after the last failure that
	// it is suspected of.
	sharedQuarantineTime = 5 * time.Minute
	// SettleTime is the time until the other entries' reports of a failure have
	// arrived, even if one is lost.
	SettleTime = 500 * time.Millisecond
	// changeReportTime is how long a target failure is reported to other entries, and
	// minReports in how many messages at least. It spans several messages of a
	// few entries, because any of them may be lost.
	changeReportTime = time.Second
	minReports       = 1
	// changeTimePerEntry is what changeReportTime is at least for each entry, because many
	// entries send updates more rarely.
	changeTimePerEntry = 20 * time.Millisecond
	// noticeReports is in how many messages a failure is reported before the next update.
	noticeReports = 2
	// suspectReportInterval is the interval between two reports of all suspects by any of
	// suspectReporters entries. Where there are more, each of them reports more rarely, so
	// that what an entry receives does not grow with their number.
	suspectReportInterval = time.Second
	suspectReporters      = 4
	// maxReportedObservations limits the size of a report. The loss of a zone takes
	// many requests with it.
	maxReportedObservations = 128
)

// Shared is the Tracker of an entry that reaches its targets directly, and chooses what to
// report to the other entries. It is safe for concurrent use.
//
//	q := quarantine.NewShared(entry, quarantine.Activity{…})
//	q.TargetLost(now, failed, zone, quarantine.Run{…})
//	send(q.Changes(now))
//	q.Merge(now, received)
//	if wait := q.RefusedFor(now, fingerprint); wait > 0 { … }
type Shared struct {
	// Entries returns the number of entries; nil for a few. It must not be changed once the
	// tracker is in use.
	Entries func() int

	mu      sync.Mutex
	tracker *Tracker
	turns   turns
	// changes holds the fingerprints that this entry itself recently observed
	// something about. Reports of other entries are not forwarded, because they
	// are sent to all entries.
	changes map[id.Fingerprint]*change
	// suspectsReportedAt is when all suspects were last reported.
	suspectsReportedAt time.Time
}

// change is something that this entry observed about a fingerprint.
type change struct {
	at time.Time
	// reports is how often it has been reported since.
	reports int
}

// changed records that this entry observed something about a fingerprint.
func (q *Shared) changed(now time.Time, f id.Fingerprint) { q.changes[f] = &change{at: now} }

// Activity says when an entry last heard from targets. Both functions return the zero
// time for never, and may be nil.
type Activity struct {
	Target func(id.TargetIncarnation) time.Time
	// Zone is that of any target of the zone.
	Zone func(id.Zone) time.Time
}

// NewShared returns the tracker of an entry.
func NewShared(self id.Entry, activity Activity) *Shared {
	return &Shared{
		turns: newTurns(self),
		tracker: New(Config{
			QuarantineTime: sharedQuarantineTime, SettleTime: SettleTime, FailsOnce: true, LastActivity: activity.Target, ZoneActivity: activity.Zone,
		}),
		changes: map[id.Fingerprint]*change{},
	}
}

// RefusedFor returns how much longer requests with the content are refused, and the
// fingerprint for which they are, or 0.
func (q *Shared) RefusedFor(now time.Time, c Content) (time.Duration, id.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var longest time.Duration
	var refused id.Fingerprint
	for _, f := range c.fingerprints() {
		status := q.tracker.Status(now, f)
		if status.State == Refused && status.Until.Sub(now) > longest && !q.tracker.sharesBlame(f, c) {
			longest, refused = status.Until.Sub(now), f
		}
	}
	return longest, refused
}

// TryStart returns whether a request that is not refused may be sent to a target now. A
// suspect that could be refused next runs one at a time at this entry, and one that ran at
// several failures that no outage explains one at a time over all entries, as one does
// whose sends are trials. One that may have to be refused waits for the reports of others if
// it was sent before, and is held back otherwise. The same holds for each part of its prompt.
func (q *Shared) TryStart(now time.Time, c Content, request id.Request, sentBefore bool) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict := q.strictest(c, request, func(f id.Fingerprint) Verdict { return q.tryStart(now, f, c, request, sentBefore) })
	return q.countTrial(now, c, request, verdict)
}

// strictest returns the strictest verdict on the fingerprints of a request. If it is held
// back for one of them, it gives up its turns for all.
func (q *Shared) strictest(c Content, request id.Request, verdict func(id.Fingerprint) Verdict) Verdict {
	strictest := Allowed
	for _, f := range c.fingerprints() {
		switch verdict(f) {
		case HeldBack:
			q.end(c, request)
			return HeldBack
		case MustWait:
			strictest = MustWait
		case Allowed:
		}
	}
	return strictest
}

func (q *Shared) tryStart(now time.Time, f id.Fingerprint, c Content, request id.Request, sentBefore bool) Verdict {
	if !q.tracker.mayBlame(now, f) {
		return Allowed
	}
	status := q.tracker.LatestStatus(now, f)
	switch {
	case status.State == Refused && q.tracker.sharesBlame(f, c):
		return q.turns.take(now, f, request)
	case status.State == Refused && !sentBefore:
		return HeldBack
	case status.State == Refused:
		if q.turns.take(now, f, request) == HeldBack {
			return HeldBack
		}
		return MustWait
	case f == c.Request && q.tracker.mustTry(f):
		q.turns.renew(f, request, q.tracker.lastEnd(f))
		return q.turns.take(now, f, request)
	case q.tracker.unexplainedEnds(f) >= q.turnThreshold(sentBefore):
		return q.turns.take(now, f, request)
	case sentBefore || q.tracker.TryStart(now, f, request):
		return Allowed
	}
	return HeldBack
}

// turnThreshold returns the number of failures from which a fingerprint runs one at a
// time over all entries. A request that was sent before rarely has copies, and its client
// waits for the rest of the answer.
func (q *Shared) turnThreshold(sentBefore bool) int {
	if sentBefore {
		return q.tracker.cfg.QuarantineThreshold
	}
	return q.tracker.cfg.QuarantineThreshold - 1
}

// Confirm returns whether a request that has waited for SettleTime may be sent to a target.
// It must wait again if a failure was reported meanwhile.
func (q *Shared) Confirm(now time.Time, c Content, request id.Request) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict := q.strictest(c, request, func(f id.Fingerprint) Verdict { return q.confirm(now, f, c, request) })
	return q.countTrial(now, c, request, verdict)
}

// countTrial counts a send that is allowed as a trial if the request must be tried.
func (q *Shared) countTrial(now time.Time, c Content, request id.Request, verdict Verdict) Verdict {
	turn, found := q.turns.own[c.Request]
	if verdict != Allowed || !found || turn.request != request || !q.tracker.mustTry(c.Request) {
		return verdict
	}
	turn.trials++
	q.turns.own[c.Request] = turn
	q.tracker.recordTrial(c.Request, trialID(request, turn.trials), now, false)
	q.changed(now, c.Request)
	return Allowed
}

// NotReached records that a request that was allowed to start has not reached a target, so
// that its trial does not count.
func (q *Shared) NotReached(now time.Time, c Content, request id.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	turn, found := q.turns.own[c.Request]
	if !found || turn.request != request || turn.trials == 0 {
		return
	}
	q.tracker.recordTrial(c.Request, trialID(request, turn.trials), now, true)
	q.changed(now, c.Request)
}

// MustTry reports whether each further send of a request is a trial.
func (q *Shared) MustTry(c Content) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.mustTry(c.Request)
}

// Ended reports whether a target is known to have ended.
func (q *Shared) Ended(target id.TargetIncarnation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.tracker.failures, func(fail *failure) bool {
		return fail.TargetIncarnation == target && q.tracker.ended(fail)
	})
}

// TrialTime returns the time that a request needs at a target, at least, so that a trial
// shows whether it crashes the target.
func (q *Shared) TrialTime(c Content) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return min(q.tracker.longestClosedRun(c.Request), SettleTime)
}

func (q *Shared) confirm(now time.Time, f id.Fingerprint, c Content, request id.Request) Verdict {
	if _, waits := q.turns.own[f]; !waits && q.tracker.LatestStatus(now, f).State != Refused {
		// The wait was for another fingerprint of the request.
		return Allowed
	}
	if q.tracker.sharesBlame(f, c) {
		if q.turns.confirm(now, f, request) {
			return Allowed
		}
		return HeldBack
	}
	switch {
	case q.tracker.Status(now, f).State == Refused || !q.turns.confirm(now, f, request):
		return HeldBack
	case q.tracker.LatestStatus(now, f).State == Refused:
		return MustWait
	}
	return Allowed
}

// Turns returns the suspects that run at this entry, or are about to.
func (q *Shared) Turns() []Turn {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.turns.report()
}

// MergeTurns records the suspects that run at another entry.
func (q *Shared) MergeTurns(now time.Time, from id.Entry, reported []Turn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.turns.merge(now, from, reported)
}

// End records that a request has ended at this entry.
func (q *Shared) End(c Content, request id.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.end(c, request)
}

func (q *Shared) end(c Content, request id.Request) {
	for _, f := range c.fingerprints() {
		q.tracker.End(f, request)
		q.turns.end(f, request)
	}
}

// LatestStatus returns the status of a fingerprint from all failures known.
func (q *Shared) LatestStatus(now time.Time, f id.Fingerprint) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.LatestStatus(now, f)
}

// TargetLost records the loss of a target in a zone, with the attempts of this entry that
// ran there.
func (q *Shared) TargetLost(at time.Time, target id.TargetIncarnation, zone id.Zone, running ...Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, run := range running {
		running[i].Alone = q.turns.ranAlone(run.Fingerprint, run.StartedAt)
		running[i].AloneParts = slices.DeleteFunc(slices.Clone(run.Parts), func(part id.Fingerprint) bool { return !q.turns.ranAlone(part, run.StartedAt) })
		running[i].Parts = slices.DeleteFunc(slices.Clone(run.Parts), func(part id.Fingerprint) bool { return q.tracker.isProven(at, part) })
	}
	q.tracker.Expire(at)
	q.tracker.RecordFailure(Failure{TargetIncarnation: target, Place: member.Place{Zone: zone}, At: at, Running: running})
	for _, run := range running {
		q.changed(at, run.Fingerprint)
		for _, part := range run.Parts {
			q.changed(at, part)
		}
	}
}

// Proved records that a target has begun to write an answer on parts, and lived on.
func (q *Shared) Proved(now time.Time, parts []id.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts {
		if q.tracker.ends(part) > 0 {
			q.changed(now, part)
		}
		q.tracker.RecordProof(now, part)
	}
}

// Completed records that a request ran to completion, which clears it of suspicion. It
// returns the number of failures that it was cleared of. Its parts are cleared by Proved.
func (q *Shared) Completed(now time.Time, f id.Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	ends := q.tracker.ends(f)
	if ends == 0 && q.tracker.lostRuns(f) == 0 {
		return 0
	}
	q.tracker.RecordCompletion(f)
	q.changed(now, f)
	return ends
}

// Changes returns what this entry itself observed within changeReportTime, and what it has
// not reported minReports times yet. From time to time it adds all suspects, for entries
// that missed the reports. If that is too much, what was reported least often goes first
// among fingerprints with as many failures.
func (q *Shared) Changes(now time.Time) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, c := range q.changes {
		if now.Sub(c.at) > q.reportTime() && c.reports >= minReports {
			delete(q.changes, f)
		}
	}
	fingerprints := slices.Collect(maps.Keys(q.changes))
	if now.Sub(q.suspectsReportedAt) >= q.suspectInterval() {
		q.suspectsReportedAt = now
		fingerprints = append(fingerprints, q.tracker.Repeated()...)
	}
	return q.report(now, fingerprints)
}

// Unreported returns what this entry itself observed and has not reported noticeReports
// times yet.
func (q *Shared) Unreported(now time.Time) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var fingerprints []id.Fingerprint
	for f, c := range q.changes {
		if c.reports < noticeReports {
			fingerprints = append(fingerprints, f)
		}
	}
	return q.report(now, fingerprints)
}

// reportTime returns how long a failure is reported.
func (q *Shared) reportTime() time.Duration {
	return max(changeReportTime, time.Duration(q.entries())*changeTimePerEntry)
}

// suspectInterval returns the time between two reports of all suspects.
func (q *Shared) suspectInterval() time.Duration {
	return suspectReportInterval * time.Duration(max(suspectReporters, q.entries())) / suspectReporters
}

func (q *Shared) entries() int {
	if q.Entries == nil {
		return 1
	}
	return q.Entries()
}

// report returns the records of fingerprints and counts that they are reported.
func (q *Shared) report(now time.Time, fingerprints []id.Fingerprint) []Record {
	slices.Sort(fingerprints)
	slices.SortStableFunc(fingerprints, func(a, b id.Fingerprint) int { return cmp.Compare(q.reportsOf(a), q.reportsOf(b)) })
	reported := Strongest(q.tracker.RecordsOf(now, slices.Compact(fingerprints)), maxReportedObservations)
	for _, r := range reported {
		if c := q.changes[r.Fingerprint]; c != nil {
			c.reports++
		}
	}
	return reported
}

// reportsOf returns how often what was observed about a fingerprint has been reported.
func (q *Shared) reportsOf(f id.Fingerprint) int {
	if c := q.changes[f]; c != nil {
		return c.reports
	}
	return minReports
}

// Suspects returns the requests that ran at more than one target failure, and a version
// that increases when they change.
func (q *Shared) Suspects(now time.Time) ([]Record, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.Expire(now)
	return Strongest(q.tracker.RecordsOf(now, q.tracker.Repeated()), maxReportedObservations), q.tracker.version
}

// Merge applies the records of another entry.
func (q *Shared) Merge(now time.Time, records []Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.Merge(now, records)
}
