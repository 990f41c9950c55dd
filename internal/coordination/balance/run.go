package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
)

// Run is one request at one target. Began and End are called at most once each;
// a Run is safe for concurrent use.
type Run struct {
	b      *Balancer
	ask    Ask
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
func (b *Balancer) Start(now time.Time, c Choice, ask Ask, cancel func()) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, c.Target)
	r.Running++
	r.Prefill += ask.PromptTokens
	r.Memory += ask.memory()
	if c.Backup != nil {
		held := b.record(now, c.Backup)
		held.Backups++
		held.Memory += ask.memory()
	}
	run := &Run{b: b, ask: ask, target: c.Target, backup: c.Backup, cancel: cancel}
	b.waiting[run] = struct{}{}
	return run
}

// Began notes that the target has begun to answer.
func (r *Run) Began(now time.Time) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.answered = true
	r.begin(now)
}

// HasBegun reports whether the target began to answer.
func (r *Run) HasBegun() bool {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	return r.answered
}

// Alive notes that the target has sent something.
func (r *Run) Alive(now time.Time) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.b.record(now, r.target).aliveAt = now
}

func (r *Run) begin(now time.Time) {
	if r.began {
		return
	}
	r.began = true
	delete(r.b.waiting, r)
	rec := r.b.record(now, r.target)
	rec.Prefill = max(0, rec.Prefill-r.ask.PromptTokens)
}

// End notes what became of the request. It reports whether the target's zone
// has become suspect by it.
func (r *Run) End(now time.Time, o Outcome) bool {
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
func (r *Run) release(now time.Time) {
	rec := r.b.record(now, r.target)
	rec.Running = max(0, rec.Running-1)
	rec.Memory = max(0, rec.Memory-r.ask.memory())
	if r.backup != nil {
		held := r.b.record(now, r.backup)
		held.Backups = max(0, held.Backups-1)
		held.Memory = max(0, held.Memory-r.ask.memory())
	}
}

func (b *Balancer) judge(now time.Time, t *catalog.Target, o Outcome) bool {
	rec := b.record(now, t)
	switch o {
	case Good:
		rec.aliveAt = now
		rec.losses = 0
		rec.suspectUntil = time.Time{}
		rec.note(now, 0)
	case Failed, Refused:
		rec.note(now, 1)
	case Lost, Unreached:
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
	case Left, Moved:
	}
	return false
}
