package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
)

// Attempt is one request at one target. Began and End are called at most once each;
// a Run is safe for concurrent use.
type Attempt struct {
	b      *Balancer
	ask    Request
	target *catalog.Target
	backup *catalog.Target
	// began says that the run no longer waits, answered that it has begun to be
	// answered.
	began    bool
	answered bool
	ended    bool
	// cancel is called when the run's group is lost before the run began.
	cancel func()
}

// Start counts a request at the choice's target, and its copy at the backup. If
// the target is lost with its zone before the request began, cancel is called;
// it may be nil, and must not block.
func (b *Balancer) Start(now time.Time, c Choice, ask Request, cancel func()) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, c.Target)
	r.Running++
	r.PrefillTokens += ask.PromptTokens
	r.MemoryTokens += ask.memory()
	if c.Backup != nil {
		held := b.record(now, c.Backup)
		held.Backups++
		held.MemoryTokens += ask.memory()
	}
	run := &Attempt{b: b, ask: ask, target: c.Target, backup: c.Backup, cancel: cancel}
	b.waiting[run] = struct{}{}
	return run
}

// MarkStarted notes that the target has begun to answer.
func (r *Attempt) MarkStarted(now time.Time) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.answered = true
	r.begin(now)
}

// HasStarted reports whether the target began to answer.
func (r *Attempt) HasStarted() bool {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	return r.answered
}

// RecordActivity notes that the target has sent something.
func (r *Attempt) RecordActivity(now time.Time) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.b.record(now, r.target).aliveAt = now
}

func (r *Attempt) begin(now time.Time) {
	if r.began {
		return
	}
	r.began = true
	delete(r.b.waiting, r)
	rec := r.b.record(now, r.target)
	rec.PrefillTokens = max(0, rec.PrefillTokens-r.ask.PromptTokens)
}

// End notes what became of the request. It reports whether the target's zone
// has become suspect by it.
func (r *Attempt) End(now time.Time, o Outcome) bool {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	if r.ended {
		return false
	}
	r.ended = true
	r.begin(now)
	r.release(now)
	return r.b.judge(now, r.target, o)
}

// release gives back what Start counted. An incarnation that has ended since
// then has nothing to give back.
func (r *Attempt) release(now time.Time) {
	rec := r.b.record(now, r.target)
	rec.Running = max(0, rec.Running-1)
	rec.MemoryTokens = max(0, rec.MemoryTokens-r.ask.memory())
	if r.backup != nil {
		held := r.b.record(now, r.backup)
		held.Backups = max(0, held.Backups-1)
		held.MemoryTokens = max(0, held.MemoryTokens-r.ask.memory())
	}
}

func (b *Balancer) judge(now time.Time, t *catalog.Target, o Outcome) bool {
	rec := b.record(now, t)
	switch o {
	case Succeeded:
		rec.aliveAt = now
		rec.losses = 0
		rec.suspectUntil = time.Time{}
		rec.note(now, 0)
	case Failed, Refused:
		rec.note(now, 1)
	case Lost, Unreachable:
		if o == Lost && b.ownTrouble(now) {
			return false
		}
		rec.note(now, 1)
		rec.suspect(now)
		b.lost[t.ID] = now
		return b.lose(now, t)
	case Replaced:
		rec.replacedUntil = now.Add(replacedAvoid)
		b.replaced[t.ID] = now
	case ClientCancelled, Rerouted:
	}
	return false
}
