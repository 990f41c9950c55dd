package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/retry"
	"foxtailward.example/foxtailward/internal/state/catalog"
)

// Attempt is one request sent to one target. It is safe for concurrent use.
type Attempt struct {
	balancer *Balancer
	request  Request
	target   *catalog.Target
	backup   *catalog.Target
	// waitEnded says that the attempt no longer counts as waiting; started says
	// that the target has begun to answer.
	waitEnded bool
	started   bool
	ended     bool
	// released says that what Start counted is no longer counted.
	released bool
	// work is what the attempt tells about the target's pace.
	work work
	// cancel is called if the target's group is lost before the target has begun
	// to answer.
	cancel func()
	// wait is what the target was expected to do first when the attempt was sent.
	wait startWait
	// claim decides the attempt's turn if its target's zone is lost; nil for none. moved says
	// that it was cancelled for that.
	claim *retry.Claim
	moved bool
}

// Start counts a request at the choice's target, and its copy at the backup. If
// the target is lost with its zone before it has begun to answer, cancel is
// called. cancel may be nil, and must not block.
func (b *Balancer) Start(now time.Time, c Choice, request Request, cancel func()) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := b.expectedWait(now, c.Target, &request)
	r := b.record(now, c.Target)
	r.Running++
	r.PrefillTokens += request.PromptTokens
	b.addBacklog(now, c.Target.ID, request.PromptTokens)
	r.MemoryTokens += request.memory()
	attempt := &Attempt{balancer: b, request: request, target: c.Target, cancel: cancel, wait: wait}
	attempt.setBackup(now, c.Backup)
	attempt.work = b.beginWork(now, c.Target)
	b.waiting[attempt] = struct{}{}
	return attempt
}

// MarkStarted records that the target has begun to answer.
func (a *Attempt) MarkStarted(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.started = true
	a.endWait(now)
}

// HasStarted reports whether the target has begun to answer.
func (a *Attempt) HasStarted() bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	return a.started
}

// RecordActivity records that the target has sent something.
func (a *Attempt) RecordActivity(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.balancer.record(now, a.target).lastActivity = now
	a.work.addEvent(now)
}

func (a *Attempt) endWait(now time.Time) {
	if a.waitEnded {
		return
	}
	a.waitEnded = true
	delete(a.balancer.waiting, a)
	rec := a.balancer.record(now, a.target)
	rec.PrefillTokens = max(0, rec.PrefillTokens-a.request.PromptTokens)
	dropped := 0
	if !a.started {
		dropped = a.request.PromptTokens
	}
	a.balancer.reduceBacklog(now, a.target.ID, dropped, a.balancer.total(rec, a.target))
}

// Finish records that the target has finished with the attempt, though its outcome is not known yet.
func (a *Attempt) Finish(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.endWait(now)
	a.release(now)
}

// End records the outcome; further calls do nothing. It reports whether the
// target's group now counts as lost because of it.
func (a *Attempt) End(now time.Time, o Outcome) bool {
	return a.EndWith(now, o, Untyped)
}

// release subtracts what Start counted, once. If the target has started again since,
// the record of the new incarnation does not contain it, hence the lower limit
// of 0.
func (a *Attempt) release(now time.Time) {
	if a.released {
		return
	}
	a.released = true
	rec := a.balancer.record(now, a.target)
	rec.Running = max(0, rec.Running-1)
	rec.MemoryTokens = max(0, rec.MemoryTokens-a.request.memory())
	a.setBackup(now, nil)
}

// MoveBackup counts the attempt's backup copy at another engine, from when the copy is
// ordered; nil for none. After the attempt has finished it does nothing.
func (a *Attempt) MoveBackup(now time.Time, to *catalog.Target) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if !a.released {
		a.setBackup(now, to)
	}
}

// RefuseBackup records that an engine had no room for the attempt's backup copy.
func (a *Attempt) RefuseBackup(now time.Time, by *catalog.Target) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.balancer.record(now, by).noBackupsUntil = now.Add(backupRefusedTime)
	if !a.released && a.backup != nil && a.backup.ID == by.ID {
		a.setBackup(now, nil)
	}
}

// setBackup moves what is counted for the backup copy. The caller holds the lock.
func (a *Attempt) setBackup(now time.Time, to *catalog.Target) {
	if a.backup != nil {
		old := a.balancer.record(now, a.backup)
		old.Backups = max(0, old.Backups-1)
		old.MemoryTokens = max(0, old.MemoryTokens-a.request.memory())
	}
	a.backup = to
	if to != nil {
		r := a.balancer.record(now, to)
		r.Backups++
		r.MemoryTokens += a.request.memory()
	}
}

func (b *Balancer) recordOutcome(now time.Time, t *catalog.Target, o Outcome, evidence Evidence) bool {
	rec := b.record(now, t)
	switch o {
	case Succeeded:
		rec.lastActivity = now
		rec.losses = 0
		rec.suspectUntil = time.Time{}
		rec.recordOutcome(now, 0)
	case Failed, Refused:
		rec.refusedAt = now
		if o == Refused {
			rec.fullUntil = now.Add(fullTime)
		}
		rec.recordOutcome(now, 1)
	case Lost, Unreachable:
		if o == Lost && b.ownHostFault(now) {
			return false
		}
		rec.recordOutcome(now, 1)
		rec.suspect(now)
		b.lost[t.Key()] = now
		return b.recordLoss(now, t, loss{at: now, own: true, weak: evidence == PausedStream})
	case Replaced:
		rec.replacedUntil = now.Add(replacedTime)
		b.replaced[t.Key()] = now
	case ClientCancelled, Rerouted:
	}
	return false
}
