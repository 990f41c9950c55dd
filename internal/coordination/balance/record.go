package balance

import (
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// How long targets are avoided, and how fast failures are forgotten.
const (
	// minSuspectTime is how long a target is avoided after one loss. Each
	// further loss doubles the time, up to maxSuspectTime.
	minSuspectTime = 400 * time.Millisecond
	maxSuspectTime = 3200 * time.Millisecond

	// replacedTime is how long nothing is sent to a target whose address belongs
	// to another one. After that time it is no longer listed.
	replacedTime = 10 * time.Second

	// backupRefusedTime is how long an engine that had no room for a backup copy gets no
	// further ones.
	backupRefusedTime = time.Second

	// failureHalfLife is the time in which the share of failures halves while
	// nothing is sent.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of the newest outcome in that share.
	failureWeight = 0.1
)

// record is what the entry knows about one incarnation of a target.
type record struct {
	incarnation id.Incarnation
	group       group
	// since is when the target was first seen.
	since time.Time
	// Load is what this entry has in flight there.
	Load

	// load is what the target last said about its load, at loadAt.
	load   TargetLoad
	loadAt time.Time
	// pace holds the target's last word about its pace, and experience what all of its words
	// and answers tell.
	pace Pace
	experience

	// lastActivity is when the target last sent something.
	lastActivity time.Time
	// refusedAt is when the target last answered that it failed or refused a
	// request.
	refusedAt time.Time

	// lostAt is when this entry or another one last lost the target by evidence that a backlog
	// can't give. evidence is what showed this entry's last loss.
	lostAt   time.Time
	evidence Evidence

	// aliveAt is when the target last answered the question whether it lives, and unansweredAt
	// when such a question last remained without an answer.
	aliveAt, unansweredAt time.Time
	// fullUntil is the time until which the target counts as full, because it refused a
	// request. roomDraw rounds this entry's part of its room.
	fullUntil time.Time
	roomDraw  draw
	// busyUntil is until when the target counts as busier than its load tells.
	busyUntil time.Time

	// losses counts consecutive losses.
	losses       int
	suspectUntil time.Time
	// replacedUntil is the time until which the target's address is assumed to
	// belong to another one. Until then, nothing is sent there under this name.
	replacedUntil time.Time

	// noBackupsUntil is the time until which the engine gets no backup copies, because it
	// had no room for one.
	noBackupsUntil time.Time

	// failures is the share of failures at failuresAt. Refused and lost attempts
	// count as failures too.
	failures   float64
	failuresAt time.Time
}

// failureShare returns the recent share of failures.
func (r *record) failureShare(now time.Time) float64 {
	if r.failures == 0 {
		return 0
	}
	return r.failures * math.Exp2(-now.Sub(r.failuresAt).Seconds()/failureHalfLife.Seconds())
}

func (r *record) recordOutcome(now time.Time, failed float64) {
	r.failures = r.failureShare(now)*(1-failureWeight) + failureWeight*failed
	r.failuresAt = now
}

func (r *record) suspect(now time.Time) {
	r.losses++
	avoid := min(maxSuspectTime, minSuspectTime<<min(r.losses-1, 8))
	r.suspectUntil = now.Add(avoid)
}
