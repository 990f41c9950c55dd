package attempt

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// Capacity is how much a target runs and holds back at once.
type Capacity struct {
	// Slots is how many generations run at once.
	Slots int
	// Queue is how many more may wait.
	Queue int
	// HeadroomShare is the part of the slots that only short work may use.
	HeadroomShare float64
}

// reserved returns the number of slots for short work. One slot always stays
// for other work, or a target with one slot would never do any.
func (c Capacity) reserved() int {
	n := int(math.Ceil(float64(c.Slots) * c.HeadroomShare))
	return max(0, min(n, c.Slots-1))
}

// places returns how many attempts may wait before one of the class. Some
// places are for short work only, so that long work never fills the queue.
func (c Capacity) places(class generation.Class) int {
	if class == generation.Short {
		return c.Queue
	}
	return c.Queue - int(math.Ceil(float64(c.Queue)*c.HeadroomShare))
}

// minRetryAfter is the shortest time after which a refused request comes back.
const minRetryAfter = 100 * time.Millisecond

// holdWeight is the weight of the newest sample in the mean holding time.
const holdWeight = 0.2

// Queue decides which waiting attempt gets the next slot: the most urgent
// class first, within it the earliest deadline, within that the first come.
// Attempts without a deadline come after those with one.
type Queue struct {
	capacity Capacity
	waiting  []*Record
	running  int
	short    int
	// hold is the mean time for which an attempt holds a slot; 0 until one has
	// ended.
	hold time.Duration
}

// Running returns the number of taken slots.
func (q *Queue) Running() int { return q.running }

// ShortRunning returns the number of slots that short work has taken.
func (q *Queue) ShortRunning() int { return q.short }

// Waiting returns the number of attempts that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// WaitingPrompt returns the number of prompt and prefix tokens of those that
// wait, estimated.
func (q *Queue) WaitingPrompt() int {
	n := 0
	for _, r := range q.waiting {
		n += r.Spec.PromptTokens() + int(r.From)
	}
	return n
}

// fits reports whether work of the class may take a slot now.
func (q *Queue) fits(class generation.Class) bool {
	if q.running >= q.capacity.Slots {
		return false
	}
	others := q.running - q.short
	return class == generation.Short || others < q.capacity.Slots-q.capacity.reserved()
}

// offer puts r into the queue, or returns why it has no place there.
func (q *Queue) offer(now time.Time, r *Record) error {
	const op = "Queue.offer"
	deadline := r.Spec.Deadline
	if !deadline.IsZero() && !now.Before(deadline) {
		return fault.New(op, Deadline, "the deadline has passed")
	}
	at, _ := slices.BinarySearchFunc(q.waiting, r, order)
	if at == 0 && q.fits(r.Spec.Class) {
		q.waiting = slices.Insert(q.waiting, at, r)
		return nil
	}
	wait := q.wait(at, r.Spec.Class)
	if !deadline.IsZero() && now.Add(wait).After(deadline) {
		return fault.New(op, Busy, "the expected wait of %v passes the deadline", wait)
	}
	if len(q.waiting) >= q.capacity.places(r.Spec.Class) {
		return fault.New(op, Busy, "%d attempts wait already", len(q.waiting))
	}
	q.waiting = slices.Insert(q.waiting, at, r)
	return nil
}

// wait returns the expected time until a slot is free for work of the class
// that has ahead attempts before it. Slots are taken to be freed evenly.
func (q *Queue) wait(ahead int, class generation.Class) time.Duration {
	slots := q.capacity.Slots
	if class != generation.Short {
		slots -= q.capacity.reserved()
	}
	return q.hold * time.Duration(ahead+1) / time.Duration(max(1, slots))
}

// RetryAfter returns when a refused attempt of the class may come back: when
// one more has left the queue.
func (q *Queue) RetryAfter(class generation.Class) time.Duration {
	return max(minRetryAfter, q.wait(0, class))
}

// admit takes the next attempt that fits out of the queue and gives it a slot.
// Short work passes others when only the reserved slots are free; as short
// work comes first in the queue, the head alone decides.
func (q *Queue) admit(now time.Time) (*Record, bool) {
	if len(q.waiting) == 0 || !q.fits(q.waiting[0].Spec.Class) {
		return nil, false
	}
	r := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	q.running++
	if r.Spec.Class == generation.Short {
		q.short++
	}
	r.admitted = now
	return r, true
}

// release gives r's slot back, or takes r out of the queue.
func (q *Queue) release(now time.Time, r *Record) {
	if r.admitted.IsZero() {
		q.waiting = slices.DeleteFunc(q.waiting, func(v *Record) bool { return v == r })
		return
	}
	q.running--
	if r.Spec.Class == generation.Short {
		q.short--
	}
	held := now.Sub(r.admitted)
	if q.hold == 0 {
		q.hold = held
		return
	}
	q.hold += time.Duration(holdWeight * float64(held-q.hold))
}

// order compares two waiting attempts; the smaller one goes first.
func order(a, b *Record) int {
	return cmp.Or(
		cmp.Compare(a.Spec.Class.Priority(), b.Spec.Class.Priority()),
		compareDeadlines(a.Spec.Deadline, b.Spec.Deadline),
		cmp.Compare(a.arrival, b.arrival))
}

func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}
