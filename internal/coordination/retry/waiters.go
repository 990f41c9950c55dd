package retry

import (
	"cmp"
	"slices"
	"time"
)

// Claim decides which of several requests is retried first.
type Claim struct {
	// Begun says that the client has a part of the answer, and Copy that the run can be resumed
	// from a copy, so that its prompt need not be computed again.
	Begun, Copy bool
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	// Latest is until when a retry is worth anything.
	Latest time.Time
}

// Compare returns a negative number if c comes before o, and a positive one if it comes after.
func (c Claim) Compare(o Claim) int {
	return cmp.Or(
		first(c.Begun, o.Begun), first(c.Copy, o.Copy), cmp.Compare(c.Priority, o.Priority), c.Latest.Compare(o.Latest),
	)
}

func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Waiters are the requests to a service that wait for a retry. It is not safe for concurrent
// use. The zero value has none.
type Waiters struct{ waiting []*Claim }

// Join adds a request.
func (w *Waiters) Join(c *Claim) { w.waiting = append(w.waiting, c) }

// Leave removes a request.
func (w *Waiters) Leave(c *Claim) {
	w.waiting = slices.DeleteFunc(w.waiting, func(o *Claim) bool { return o == c })
}

// Count returns the number of requests that wait.
func (w *Waiters) Count() int { return len(w.waiting) }

// Before returns how many others are retried before the request. Of equal ones it is the one
// that waits longer.
func (w *Waiters) Before(c *Claim) int {
	n, own := 0, slices.Index(w.waiting, c)
	for i, o := range w.waiting {
		if order := o.Compare(*c); order < 0 || (order == 0 && i < own) {
			n++
		}
	}
	return n
}

// Available returns how many retries TryRetry would allow now.
func (b *Budget) Available(now time.Time, others Others) int {
	own := b.Counts(now)
	all := own.Add(others.Counts)
	left := b.left(all, others)
	if left < 1 {
		return 0
	}
	b.renewPart(now, left, partOf(own, all), others.Age)
	return min(b.part, int(left))
}

// renewPart determines this entry's part of the retries that are left, unless it was determined
// within the age of the other entries' reports.
func (b *Budget) renewPart(now time.Time, left, share float64, age time.Duration) {
	if b.partFrom.IsZero() || now.Sub(b.partFrom) >= age {
		b.partFrom = now
		b.part = int(left*share + b.cfg.Random())
	}
}
