package balance

import (
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Times of suspicion.
const (
	// suspectLeast is how long a target is avoided after one loss; each further
	// loss doubles it up to suspectMost.
	suspectLeast = 400 * time.Millisecond
	suspectMost  = 3200 * time.Millisecond

	// zoneWindow is the span in which losses of several targets of one zone
	// count as one.
	zoneWindow = 800 * time.Millisecond
	// zoneLosses is the least number of targets whose loss within zoneWindow makes
	// the whole zone suspect. Targets that sent something since the first of the
	// losses speak against it.
	zoneLosses = 2
	// zoneAvoid is how long the targets of a zone that were known before its
	// loss are avoided. Those that have ended are no longer listed by then, and
	// those that start again are new ones.
	zoneAvoid = 4 * time.Second

	// replacedAvoid is how long a target is avoided whose address answers for
	// another one. It is no longer listed by then.
	replacedAvoid = 10 * time.Second

	// badHalfLife is the time in which the share of bad outcomes halves while
	// nothing is sent.
	badHalfLife = 2 * time.Second
	// badWeight is the weight of the newest outcome in that share.
	badWeight = 0.1
)

// record is what is known of one incarnation of a target.
type record struct {
	incarnation id.Incarnation
	group       group
	// since is when the target was first seen.
	since time.Time
	// Load is what this entry has in flight there.
	Load

	// aliveAt is when the target last sent something.
	aliveAt time.Time

	// losses counts losses in a row.
	losses       int
	suspectUntil time.Time

	bad   float64
	badAt time.Time
}

// badShare returns the recent share of bad outcomes.
func (r *record) badShare(now time.Time) float64 {
	if r.bad == 0 {
		return 0
	}
	return r.bad * math.Exp2(-now.Sub(r.badAt).Seconds()/badHalfLife.Seconds())
}

func (r *record) note(now time.Time, bad float64) {
	r.bad = r.badShare(now)*(1-badWeight) + badWeight*bad
	r.badAt = now
}

func (r *record) suspect(now time.Time) {
	r.losses++
	wait := min(suspectMost, suspectLeast<<min(r.losses-1, 8))
	r.suspectUntil = now.Add(wait)
}

// group is a service's targets in one zone, which tend to fail together.
type group struct {
	service id.Service
	zone    id.Zone
}

func groupOf(t *catalog.Target) group { return group{t.Service, t.Zone} }

// zoneRecord holds the recent losses of a group of targets.
type zoneRecord struct {
	losses map[id.Target]time.Time
	// lostAt is when the group was last lost.
	lostAt time.Time
}

// lost reports whether a target may have been lost with its group: one that was
// known by then and has sent nothing since.
func (z *zoneRecord) lost(now time.Time, r *record) bool {
	recent := !z.lostAt.IsZero() && now.Sub(z.lostAt) < zoneAvoid
	return recent && !r.since.After(z.lostAt) && !r.aliveAt.After(z.lostAt)
}

func (z *zoneRecord) lostLately(now time.Time) bool {
	return !z.lostAt.IsZero() && now.Sub(z.lostAt) <= zoneWindow
}

// note notes the loss of a target and returns how many targets were lost lately,
// and when the first of them was.
func (z *zoneRecord) note(now time.Time, name id.Target) (int, time.Time) {
	z.losses[name] = now
	first := now
	for other, at := range z.losses {
		if now.Sub(at) > zoneWindow {
			delete(z.losses, other)
			continue
		}
		if at.Before(first) {
			first = at
		}
	}
	return len(z.losses), first
}

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

// lose notes the loss of a target, and reports whether its group was lost with
// it. Requests that wait for a target of the group would wait in vain.
func (b *Balancer) lose(now time.Time, t *catalog.Target) bool {
	if b.ownTrouble(now) {
		return false
	}
	z := b.zoneRecord(t)
	lost, first := z.note(now, t.ID)
	if lost < zoneLosses || lost <= b.alive(groupOf(t), first) {
		return false
	}
	if b.othersLost(now, groupOf(t)) {
		b.blameOwnHost(now, t.Service)
		return false
	}
	news := !z.lostLately(now)
	z.lostAt = now
	for run := range b.waiting {
		if groupOf(run.target) == groupOf(t) && run.cancel != nil && b.suspected(now, run.target) {
			run.cancel()
		}
	}
	return news
}

// othersLost reports whether another zone of the group's service has just been
// lost. Zones do not fail together; an entry's own host or link does that to all.
func (b *Balancer) othersLost(now time.Time, of group) bool {
	for g, z := range b.groups {
		if g.service == of.service && g.zone != of.zone && z.lostLately(now) {
			return true
		}
	}
	return false
}

// blameOwnHost takes back what was concluded of a service's targets from their
// losses, and of those that follow at once.
func (b *Balancer) blameOwnHost(now time.Time, service id.Service) {
	b.ownTroubleAt = now
	for g, z := range b.groups {
		if g.service != service {
			continue
		}
		if z.lostLately(now) {
			z.lostAt = time.Time{}
		}
		for name := range z.losses {
			delete(b.lost, name)
			if r := b.targets[name]; r != nil {
				r.losses, r.suspectUntil = 0, time.Time{}
			}
		}
		clear(z.losses)
	}
}

// ownTrouble reports whether losses say more of the own host than of targets.
func (b *Balancer) ownTrouble(now time.Time) bool {
	return !b.ownTroubleAt.IsZero() && now.Sub(b.ownTroubleAt) < zoneWindow
}

// alive returns how many targets of a group have sent something since the time.
func (b *Balancer) alive(g group, since time.Time) int {
	n := 0
	for _, r := range b.targets {
		if r.group == g && r.aliveAt.After(since) {
			n++
		}
	}
	return n
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
		rec.suspectUntil = now.Add(replacedAvoid)
		b.replaced[t.ID] = now
	case Left, Moved:
	}
	return false
}
