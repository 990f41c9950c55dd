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
	// zoneLosses is the number of targets whose loss within zoneWindow makes the
	// whole zone suspect.
	zoneLosses = 2
	// zoneAvoid is how long a zone is avoided after the last such loss.
	zoneAvoid = 1200 * time.Millisecond

	// badHalfLife is the time in which the share of bad outcomes halves while
	// nothing is sent.
	badHalfLife = 2 * time.Second
	// badWeight is the weight of the newest outcome in that share.
	badWeight = 0.1
)

// record is what is known of one incarnation of a target.
type record struct {
	incarnation id.Incarnation
	// running counts the entry's requests in flight, prefill the prompt tokens
	// of those that have not begun to answer.
	running int
	prefill int
	// backups counts the copies of runs that the target holds for this entry,
	// memory the tokens of its runs and copies.
	backups int
	memory  int

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

// zoneRecord holds the recent losses of a group of targets.
type zoneRecord struct {
	losses     map[id.Target]time.Time
	avoidUntil time.Time
}

func (z *zoneRecord) lost(now time.Time) bool { return now.Before(z.avoidUntil) }

// lose notes the loss of a target, and reports whether the zone has become
// suspect by it.
func (z *zoneRecord) lose(now time.Time, name id.Target) bool {
	for other, at := range z.losses {
		if now.Sub(at) > zoneWindow {
			delete(z.losses, other)
		}
	}
	z.losses[name] = now
	if len(z.losses) < zoneLosses {
		return false
	}
	news := !z.lost(now)
	z.avoidUntil = now.Add(zoneAvoid)
	return news
}

// Run is one request at one target. Began and End are called at most once each;
// a Run is safe for concurrent use.
type Run struct {
	b      *Balancer
	ask    Ask
	target *catalog.Target
	backup *catalog.Target
	began  bool
	ended  bool
}

// Start counts a request at the choice's target, and its copy at the backup.
func (b *Balancer) Start(c Choice, ask Ask) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(c.Target)
	r.running++
	r.prefill += ask.PromptTokens
	r.memory += ask.memory()
	if c.Backup != nil {
		held := b.record(c.Backup)
		held.backups++
		held.memory += ask.memory()
	}
	return &Run{b: b, ask: ask, target: c.Target, backup: c.Backup}
}

// Began notes that the target has begun to answer.
func (r *Run) Began() {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.begin()
}

func (r *Run) begin() {
	if r.began {
		return
	}
	r.began = true
	rec := r.b.record(r.target)
	rec.prefill = max(0, rec.prefill-r.ask.PromptTokens)
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
	r.begin()
	r.release()
	return r.b.judge(now, r.target, o)
}

// release gives back what Start counted. An incarnation that has ended since
// then has nothing to give back.
func (r *Run) release() {
	rec := r.b.record(r.target)
	rec.running = max(0, rec.running-1)
	rec.memory = max(0, rec.memory-r.ask.memory())
	if r.backup != nil {
		held := r.b.record(r.backup)
		held.backups = max(0, held.backups-1)
		held.memory = max(0, held.memory-r.ask.memory())
	}
}

func (b *Balancer) judge(now time.Time, t *catalog.Target, o Outcome) bool {
	rec := b.record(t)
	switch o {
	case Good:
		rec.losses = 0
		rec.suspectUntil = time.Time{}
		rec.note(now, 0)
	case Failed, Refused:
		rec.note(now, 1)
	case Lost, Unreached:
		rec.note(now, 1)
		rec.suspect(now)
		return b.zoneRecord(t).lose(now, t.ID)
	case Left:
	}
	return false
}
