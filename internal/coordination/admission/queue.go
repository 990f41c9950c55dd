// Package admission decides when a target takes work: which waiting work gets
// the next slot, and which work is refused at once because it would wait too
// long.
//
// # Usage
//
//	q := admission.NewQueue[*Record](capacity)
//	ticket := &admission.Ticket[*Record]{Owner: r, Class: spec.Class, Deadline: spec.Deadline}
//	if err := q.Offer(now, ticket); err != nil { … }
//	for {
//		ticket, ok := q.Admit(now)
//		…
//	}
//	q.Release(now, ticket)
//
// A queue has no lock and no clock.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Busy means that the work would wait too long, or that too much waits.
	Busy Kind = "busy"
	// Deadline means that the work's deadline has passed.
	Deadline Kind = "deadline"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Capacity is how much a target runs and holds back at once.
type Capacity struct {
	// Slots is how much work runs at once.
	Slots int
	// QueueSize is how much more may wait.
	QueueSize int
	// HeadroomShare is the part of the slots and of the queue that only short
	// work may use.
	HeadroomShare float64
}

// reserved returns the number of slots for short work. One slot always stays
// for other work, or a target with one slot would never do any.
func (c Capacity) reserved() int {
	n := int(math.Ceil(float64(c.Slots) * c.HeadroomShare))
	return max(0, min(n, c.Slots-1))
}

// places returns how much may wait before work of the class. Some places are
// for short work only, so that long work never fills the queue; one always
// stays for other work.
func (c Capacity) places(class generation.Class) int {
	if class == generation.Short {
		return c.QueueSize
	}
	n := c.QueueSize - int(math.Ceil(float64(c.QueueSize)*c.HeadroomShare))
	return max(n, min(c.QueueSize, 1))
}

// minRetryAfter is the shortest time after which refused work comes back.
const minRetryAfter = 100 * time.Millisecond

// holdWeight is the weight of the newest sample in the mean holding time.
const holdWeight = 0.2

// Ticket is one piece of work in a queue. Its owner sets the exported fields.
type Ticket[O any] struct {
	Owner O
	Class generation.Class
	// Deadline is when the work is of no use any more; zero means never.
	Deadline time.Time
	// Tokens is the number of tokens that the work has to compute first.
	Tokens int

	arrival  uint64
	admitted time.Time
}

// Admitted returns when the work got its slot; zero while it waits.
func (t *Ticket[O]) Admitted() time.Time { return t.admitted }

// Expired reports whether the work still waits when its deadline has passed.
func (t *Ticket[O]) Expired(now time.Time) bool {
	return t.admitted.IsZero() && !t.Deadline.IsZero() && now.After(t.Deadline)
}

// Queue decides which waiting work gets the next slot: the most urgent class
// first, within it the earliest deadline, within that the first come. Work
// without a deadline comes after work with one.
type Queue[O any] struct {
	capacity Capacity
	arrivals uint64
	waiting  []*Ticket[O]
	running  int
	short    int
	// hold is the mean time for which work holds a slot; 0 until some has
	// ended.
	hold time.Duration
}

// NewQueue returns an empty queue.
func NewQueue[O any](capacity Capacity) Queue[O] {
	return Queue[O]{capacity: capacity}
}

// SetCapacity puts a new capacity in force; running work stays.
func (q *Queue[O]) SetCapacity(capacity Capacity) { q.capacity = capacity }

// Running returns the number of taken slots.
func (q *Queue[O]) Running() int { return q.running }

// ShortRunning returns the number of slots that short work has taken.
func (q *Queue[O]) ShortRunning() int { return q.short }

// Waiting returns how much work waits.
func (q *Queue[O]) Waiting() int { return len(q.waiting) }

// WaitingTokens returns the tokens that waiting work has to compute first.
func (q *Queue[O]) WaitingTokens() int {
	n := 0
	for _, t := range q.waiting {
		n += t.Tokens
	}
	return n
}

// fits reports whether work of the class may take a slot now.
func (q *Queue[O]) fits(class generation.Class) bool {
	if q.running >= q.capacity.Slots {
		return false
	}
	others := q.running - q.short
	return class == generation.Short || others < q.capacity.Slots-q.capacity.reserved()
}

// Offer puts work into the queue, or returns an *Error that says why it has no
// place there.
func (q *Queue[O]) Offer(now time.Time, t *Ticket[O]) error {
	const op = "Queue.Offer"
	if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
		return fault.New(op, Deadline, "the deadline has passed")
	}
	q.arrivals++
	t.arrival = q.arrivals
	at, _ := slices.BinarySearchFunc(q.waiting, t, order[O])
	if at > 0 || !q.fits(t.Class) {
		wait := q.wait(at, t.Class)
		if !t.Deadline.IsZero() && now.Add(wait).After(t.Deadline) {
			return fault.New(op, Busy, "the expected wait of %v passes the deadline", wait)
		}
		if len(q.waiting) >= q.capacity.places(t.Class) {
			return fault.New(op, Busy, "%d wait already", len(q.waiting))
		}
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	return nil
}

// wait returns the expected time until a slot is free for work of the class
// that has ahead pieces of work before it. Slots are taken to be freed evenly.
func (q *Queue[O]) wait(ahead int, class generation.Class) time.Duration {
	slots := q.capacity.Slots
	if class != generation.Short {
		slots -= q.capacity.reserved()
	}
	return q.hold * time.Duration(ahead+1) / time.Duration(max(1, slots))
}

// RetryAfter returns when refused work of the class may come back: when one
// more slot has been freed.
func (q *Queue[O]) RetryAfter(class generation.Class) time.Duration {
	return max(minRetryAfter, q.wait(0, class))
}

// Admit takes the next work that fits out of the queue and gives it a slot.
// Short work comes first in the queue, so the head alone decides: when it does
// not fit, nothing does.
func (q *Queue[O]) Admit(now time.Time) (*Ticket[O], bool) {
	if len(q.waiting) == 0 || !q.fits(q.waiting[0].Class) {
		return nil, false
	}
	t := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	q.running++
	if t.Class == generation.Short {
		q.short++
	}
	t.admitted = now
	return t, true
}

// Release gives the work's slot back, or takes it out of the queue.
func (q *Queue[O]) Release(now time.Time, t *Ticket[O]) {
	if t.admitted.IsZero() {
		q.waiting = slices.DeleteFunc(q.waiting, func(v *Ticket[O]) bool { return v == t })
		return
	}
	q.running--
	if t.Class == generation.Short {
		q.short--
	}
	held := now.Sub(t.admitted)
	if q.hold == 0 {
		q.hold = held
		return
	}
	q.hold += time.Duration(holdWeight * float64(held-q.hold))
}

// order compares two pieces of waiting work; the smaller one goes first.
func order[O any](a, b *Ticket[O]) int {
	return cmp.Or(
		cmp.Compare(a.Class.Priority(), b.Class.Priority()),
		compareDeadlines(a.Deadline, b.Deadline),
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
