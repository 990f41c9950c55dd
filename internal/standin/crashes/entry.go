package crashes

import (
	"fmt"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Times of the exchange between entries.
const (
	minReportInterval = 150 * time.Millisecond
	reportPerEntry    = 15 * time.Millisecond
	maxDelay          = 20 * time.Millisecond
	// lossReportTime is how long the loss of a target is reported.
	lossReportTime = time.Second
)

// entry is one entry with what it knows.
type entry struct {
	s          *simulation
	name       id.Entry
	quarantine *quarantine.Shared
	// heard is when the entry last heard from a target, zoneHeard from any target of a
	// zone, and avoided until when it sends nothing to a target.
	heard     map[id.TargetIncarnation]time.Time
	zoneHeard map[id.Zone]time.Time
	avoided   map[id.TargetIncarnation]time.Time
	// losses are the targets that the entry lost recently.
	losses     []loss
	nextReport time.Time
	inbox      []message
	waiting    []waiting
}

// waiting is a request that waits at its entry.
type waiting struct {
	request *request
	until   time.Time
	// again says that the request has been sent to a target before.
	again bool
}

// loss is a target that an entry lost.
type loss struct {
	target id.TargetIncarnation
	zone   id.Zone
	at     time.Time
}

// message is what one entry tells another.
type message struct {
	arrivesAt time.Time
	from      id.Entry
	failures  []quarantine.Record
	turns     []quarantine.Turn
	losses    []loss
}

func newEntry(s *simulation) *entry {
	e := &entry{s: s, heard: map[id.TargetIncarnation]time.Time{}, zoneHeard: map[id.Zone]time.Time{}, avoided: map[id.TargetIncarnation]time.Time{}}
	e.name = id.Entry(fmt.Sprintf("e%02d", len(s.entries)))
	e.quarantine = quarantine.NewShared(e.name, quarantine.Activity{
		Target: func(f id.TargetIncarnation) time.Time { return e.heard[f] },
		Zone:   func(z id.Zone) time.Time { return e.zoneHeard[z] },
	})
	return e
}

// lose records that a target ended under an attempt of this entry. closed says that the
// attempt had begun to run there.
func (e *entry) lose(t *target, r *run, closed bool) {
	e.recordLoss(t, quarantine.Run{
		Fingerprint: r.request.fingerprint, ID: quarantine.NewRunID(r.request.id), Parts: r.suspectParts(), StartedAt: r.startedAt, Closed: closed,
	})
}

// recordLoss records that a target ended, with the attempts of this entry that ran there.
func (e *entry) recordLoss(t *target, running ...quarantine.Run) {
	now := e.s.now
	e.quarantine.TargetLost(now, t.id, t.zoneName(), running...)
	e.avoided[t.id] = now.Add(avoidTime)
	e.losses = append(e.losses, loss{t.id, t.zoneName(), now})
	// Losses are reported at once.
	e.nextReport = now
}

// try sends a request to a target, unless it is refused. again says that it has been
// sent to one before.
func (e *entry) try(q *request, again bool) {
	s := e.s
	for ; q.attempts > 0; q.attempts-- {
		if e.refused(q) {
			e.refuse(q, &s.report.HarmlessRefused)
			return
		}
		switch e.verdict(q, again) {
		case quarantine.HeldBack:
			e.refuse(q, &s.report.HarmlessHeld)
			return
		case quarantine.MustWait:
			e.waiting = append(e.waiting, waiting{q, s.now.Add(quarantine.SettleTime), again})
			// What the entry is about to run is reported at once.
			e.nextReport = s.now
			return
		case quarantine.Allowed:
		}
		t := e.choose(q)
		if t == nil {
			e.quarantine.NotReached(s.now, q.content(), q.id)
			break
		}
		again = true
		r := &run{request: q, entry: e, startedAt: s.now, endsAt: s.now.Add(e.runTime(q)), provenAt: s.now.Add(s.CrashAfter + livedOnTime), outcome: s.outcome()}
		if !t.up {
			e.missed(t, r)
			continue
		}
		q.attempts--
		e.countArrival(q)
		t.running = append(t.running, r)
		return
	}
	e.quarantine.End(q.content(), q.id)
	e.s.clientRetry(q)
}

// missed records that a request was sent to a target that had ended without this entry's
// knowledge. The connection of a stream breaks; a plain request gets none.
func (e *entry) missed(t *target, r *run) {
	if !e.s.Plain {
		e.lose(t, r, false)
		return
	}
	e.quarantine.NotReached(e.s.now, r.request.content(), r.request.id)
	e.recordLoss(t)
}

// refused reports whether a request is refused because it crashes targets.
func (e *entry) refused(q *request) bool {
	left, _ := e.quarantine.RefusedFor(e.s.now, q.content())
	return left > 0
}

// verdict returns whether a request that is not refused may be sent, as direct entries
// decide it.
func (e *entry) verdict(q *request, again bool) quarantine.Verdict {
	if !q.waited {
		return e.quarantine.TryStart(e.s.now, q.content(), q.id, again)
	}
	q.waited = false
	return e.quarantine.Confirm(e.s.now, q.content(), q.id)
}

// retryWaiting tries the requests again that have waited long enough.
func (e *entry) retryWaiting() {
	due := e.waiting
	e.waiting = nil
	for _, w := range due {
		if e.s.now.Before(w.until) {
			e.waiting = append(e.waiting, w)
			continue
		}
		w.request.waited = true
		e.try(w.request, w.again)
	}
}

// refuse ends a request and counts its refusal, that of a harmless one in the given count.
func (e *entry) refuse(q *request, harmless *int) {
	e.quarantine.End(q.content(), q.id)
	if q.crashes() {
		e.s.report.CrasherRefused++
		return
	}
	*harmless++
	e.s.clientRetry(q)
}

// countArrival counts a crashing request that reaches a target later than allowed.
func (e *entry) countArrival(q *request) {
	if fifth := e.s.fifthPartCrash; slices.Contains(q.parts, crashingPart) && !fifth.IsZero() && e.s.now.Sub(fifth) > ContactTime {
		e.s.report.LateParts++
	}
	c := e.s.crashers[q.fingerprint]
	if c == nil || c.thirdAt.IsZero() || e.s.now.Sub(c.thirdAt) <= ContactTime || (q.late && !e.s.Plain) {
		return
	}
	q.late = true
	c.late++
	e.s.report.LateRetries = max(e.s.report.LateRetries, c.late)
}

func (e *entry) runTime(q *request) time.Duration {
	if q.crashes() {
		return e.s.CrashAfter
	}
	return time.Duration(e.s.r.Float64() * 2 * float64(e.s.RunTime))
}

// choose returns a random target that the entry does not avoid, or nil. A target that
// ended stays listed until it starts again.
func (e *entry) choose(q *request) *target {
	const tries = 20
	trial := e.quarantine.MustTry(q.content())
	for range tries {
		t := e.s.targets[e.s.r.IntN(len(e.s.targets))]
		accepts := !q.isCrasher() || !e.s.OneZone || t.zone == 0
		if accepts && len(t.running) < maxRunning && !e.s.now.Before(e.avoided[t.id]) && !(trial && e.quarantine.Ended(t.id)) {
			return t
		}
	}
	return nil
}

// exchange applies the messages that have arrived and sends one when it is due.
func (e *entry) exchange() {
	now := e.s.now
	e.hear()
	e.retryWaiting()
	pending := e.inbox[:0]
	for _, m := range e.inbox {
		if now.Before(m.arrivesAt) {
			pending = append(pending, m)
			continue
		}
		e.quarantine.Merge(now, m.failures)
		e.quarantine.MergeTurns(now, m.from, m.turns)
		for _, l := range m.losses {
			e.quarantine.TargetLost(l.at, l.target, l.zone)
			e.avoided[l.target] = l.at.Add(avoidTime)
		}
	}
	e.inbox = pending
	if !now.Before(e.nextReport) {
		e.tell()
	}
}

// hear records that the targets of the entry's runs send tokens.
func (e *entry) hear() {
	for _, t := range e.s.targets {
		for _, r := range t.running {
			if r.entry == e && !r.request.crashes() {
				e.heard[t.id], e.zoneHeard[t.zoneName()] = e.s.now, e.s.now
			}
		}
	}
}

// tell sends what the entry observed to all others.
func (e *entry) tell() {
	s := e.s
	e.nextReport = s.now.Add(max(minReportInterval, time.Duration(len(s.entries))*reportPerEntry))
	for len(e.losses) > 0 && s.now.Sub(e.losses[0].at) > lossReportTime {
		e.losses = e.losses[1:]
	}
	failures, turns := e.quarantine.Changes(s.now), e.quarantine.Turns()
	for _, other := range s.entries {
		if other == e || s.r.Float64() < s.MessageLoss {
			continue
		}
		delay := time.Duration(s.r.Float64() * float64(maxDelay))
		records := quarantine.Aged(failures, 0)
		other.inbox = append(other.inbox, message{arrivesAt: s.now.Add(delay), from: e.name, failures: records, turns: turns, losses: append([]loss(nil), e.losses...)})
	}
}
