// Package admission controls the work of a target: which waiting work gets the next
// slot, and which work is refused immediately because it would wait too long.
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
// A Queue is not safe for concurrent use, and the caller passes in the time.
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
	// Busy means that the work would wait too long, or that the queue has no place for
	// it.
	Busy Kind = "busy"
	// Deadline means that the work's deadline has passed.
	Deadline Kind = "deadline"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Capacity is how much work a target runs and queues.
type Capacity struct {
	// Slots is how many pieces of work run concurrently.
	Slots int
	// QueueSize is how many more may wait.
	QueueSize int
	// HeadroomShare is the fraction of the slots and of the queue that is reserved
	// for short work.
	HeadroomShare float64
}

// reservedSlots returns the number of slots reserved for short work. At least one slot is
// left for other work, because a target with one slot would otherwise never run any.
func (c Capacity) reservedSlots() int {
	n := int(math.Ceil(float64(c.Slots) * c.HeadroomShare))
	return max(0, min(n, c.Slots-1))
}

// maxWaiting returns the queue length from which work of the class is refused. Some places
// are reserved for short work, so that long work never fills the queue; at least one
// place is left for other work.
func (c Capacity) maxWaiting(class generation.Class) int {
	if class == generation.Short {
		return c.QueueSize
	}
	n := c.QueueSize - int(math.Ceil(float64(c.QueueSize)*c.HeadroomShare))
	return max(n, min(c.QueueSize, 1))
}

// minRetryAfter is the shortest retry time for refused work.
const minRetryAfter = 100 * time.Millisecond

// holdWeight is the weight of a new sample in meanHold.
const holdWeight = 0.2

// Ticket is one piece of work in a queue. The caller sets the exported fields.
type Ticket[O any] struct {
	Owner O
	Class generation.Class
	// Deadline is when the work becomes useless; zero means never.
	Deadline time.Time
	// Tokens is the number of tokens that the work must compute before its first
	// output.
	Tokens int

	arrival  uint64
	admitted time.Time
}

// Admitted returns when the work got its slot; zero while it waits.
func (t *Ticket[O]) Admitted() time.Time { return t.admitted }

// Expired reports whether the deadline has passed while the work still waits.
func (t *Ticket[O]) Expired(now time.Time) bool {
	return t.admitted.IsZero() && !t.Deadline.IsZero() && now.After(t.Deadline)
}

// Queue decides which waiting work gets the next slot: the most urgent class first, within
// a class the earliest deadline, and of equal deadlines the first arrival. Work without a
// deadline comes after work with one in the same class.
type Queue[O any] struct {
	capacity Capacity
	arrivals uint64
	waiting  []*Ticket[O]
	running  int
	short    int
	// meanHold is the smoothed time for which work holds a slot; 0 until the first
	// work has ended.
	meanHold time.Duration
}

// NewQueue returns an empty queue.
func NewQueue[O any](capacity Capacity) Queue[O] {
	return Queue[O]{capacity: capacity}
}

// SetCapacity replaces the capacity. Running work is not affected.
func (q *Queue[O]) SetCapacity(capacity Capacity) { q.capacity = capacity }

// Running returns the number of slots in use.
func (q *Queue[O]) Running() int { return q.running }

// ShortRunning returns the number of slots in use by short work.
func (q *Queue[O]) ShortRunning() int { return q.short }

// Waiting returns the number of tickets that wait.
func (q *Queue[O]) Waiting() int { return len(q.waiting) }

// WaitingTokens returns the sum of the waiting tickets' Tokens.
func (q *Queue[O]) WaitingTokens() int {
	n := 0
	for _, t := range q.waiting {
		n += t.Tokens
	}
	return n
}

// hasFreeSlot reports whether a slot is free for work of the class.
func (q *Queue[O]) hasFreeSlot(class generation.Class) bool {
	if q.running >= q.capacity.Slots {
		return false
	}
	others := q.running - q.short
	return class == generation.Short || others < q.capacity.Slots-q.capacity.reservedSlots()
}

// Offer adds work to the queue, or returns an *Error with the reason for its refusal.
func (q *Queue[O]) Offer(now time.Time, t *Ticket[O]) error {
	const op = "Queue.Offer"
	if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
		return fault.New(op, Deadline, "the deadline has passed")
	}
	q.arrivals++
	t.arrival = q.arrivals
	at, _ := slices.BinarySearchFunc(q.waiting, t, compareTickets[O])
	if at > 0 || !q.hasFreeSlot(t.Class) {
		wait := q.expectedWait(at, t.Class)
		if !t.Deadline.IsZero() && now.Add(wait).After(t.Deadline) {
			return fault.New(op, Busy, "the expected wait of %v passes the deadline", wait)
		}
		if len(q.waiting) >= q.capacity.maxWaiting(t.Class) {
			return fault.New(op, Busy, "%d wait already", len(q.waiting))
		}
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	return nil
}

// expectedWait returns the expected time until a slot is free for work of the class with
// the given number of tickets ahead of it. It assumes that slots are freed at an even
// rate.
func (q *Queue[O]) expectedWait(ahead int, class generation.Class) time.Duration {
	slots := q.capacity.Slots
	if class != generation.Short {
		slots -= q.capacity.reservedSlots()
	}
	return q.meanHold * time.Duration(ahead+1) / time.Duration(max(1, slots))
}

// RetryAfter returns the retry time for refused work of the class: the expected time until
// one more slot is freed.
func (q *Queue[O]) RetryAfter(class generation.Class) time.Duration {
	return max(minRetryAfter, q.expectedWait(0, class))
}

// Admit removes the first ticket from the queue and gives it a slot, if one is free for it.
// Only the head of the queue needs checking: short work comes first, so if there is no
// slot for the head, there is none for any other ticket.
func (q *Queue[O]) Admit(now time.Time) (*Ticket[O], bool) {
	if len(q.waiting) == 0 || !q.hasFreeSlot(q.waiting[0].Class) {
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

// Release frees the work's slot, or removes it from the queue if it still waits.
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
	if q.meanHold == 0 {
		q.meanHold = held
		return
	}
	q.meanHold += time.Duration(holdWeight * float64(held-q.meanHold))
}

// compareTickets orders waiting work; the smaller ticket gets a slot first.
func compareTickets[O any](a, b *Ticket[O]) int {
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
