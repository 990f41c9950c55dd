package balance

import (
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Times of suspicion.
const (
	// suspectLeast is how long a target is avoided after one loss; each further
	// loss doubles it up to suspectMost.
	suspectLeast = 400 * time.Millisecond
	suspectMost  = 3200 * time.Millisecond

	// replacedAvoid is how long nothing is sent to a target whose address answers
	// for another one. It is no longer listed by then.
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
	// replacedUntil is until when the target's address is taken to answer for
	// another one. Nothing is sent there under the old name.
	replacedUntil time.Time

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
