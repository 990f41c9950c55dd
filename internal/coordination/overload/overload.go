// Package overload decides which requests wait at an entry, in which order they are
// dispatched, and which are refused early.
//
// A queue holds the requests for one model or service while no target has capacity for
// them. It orders them by weighted fair queueing: each contract gets a share by its
// weight, and a token of short work counts less than one of long work. The queue is
// bounded. A request whose expected start would leave too little time for its answer is
// refused on arrival, or dropped as soon as this becomes apparent. Its caller then gets the
// final answer immediately instead of close to the deadline.
//
// # Usage
//
//	verdict, displaced := q.Offer(item, free, now)
//	switch verdict.Kind {
//	case overload.Run:     // dispatch now
//	case overload.Queued:  // wait for Next
//	case overload.Refused: // notRun, with verdict.RetryAfter
//	}
//	item, ok := q.Next(hasCapacity, now) // whenever a target may have capacity
//	dropped := q.DropLate(now)           // a few times per second
//
// A Line holds the requests for one service at a direct entry. It orders them by what a delay
// costs their callers, strictly by priority first, and has the same verdicts:
//
//	place := line.NewPlace(item, now)
//	verdict, displaced := line.Offer(place, free, now)
//	place, passed := line.Next(hasRoom, now)
//	dropped := line.DropLate(now)
package overload

import (
	"cmp"
	"time"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Item is a request that needs a target.
type Item struct {
	Request  id.Request
	Contract id.Contract
	Class    generation.Class
	// Weight is the contract's relative share when contracts compete.
	Weight int
	// Cost is the expected number of tokens, prompt and answer together.
	Cost float64
	// ServiceTime is the expected time from the start to the end of the request.
	ServiceTime time.Duration
	// Deadline is when the caller gives up. If zero, the maximum wait of the class
	// applies.
	Deadline time.Time
	// Priority and OnTimeBy order the requests of a Line. Priority 0 is the most urgent.
	// OnTimeBy is the latest start with which the request meets its latency objective; zero
	// for none.
	Priority int
	OnTimeBy time.Time
	// MaxRetryAfter is the longest time after which the caller comes back; 0 for any.
	MaxRetryAfter time.Duration
}

// Kind is the decision about an offered request.
type Kind string

// Kinds of verdicts.
const (
	Run     Kind = "run"
	Queued  Kind = "queued"
	Refused Kind = "refused"
)

// Reason is the reason for a decision.
type Reason string

// Reasons of verdicts and of drops.
const (
	// CapacityAvailable means that a target has capacity and no queued request goes
	// first.
	CapacityAvailable Reason = "roomFree"
	// Enqueued means that the request waits and is expected to start in time.
	Enqueued Reason = "waits"
	// TooLate means that the request would start too late to end in time.
	TooLate Reason = "tooLate"
	// QueueFull means that the queue is full of requests that go first.
	QueueFull Reason = "queueFull"
	// Displaced means that a request that goes first has taken its place in a full
	// queue.
	Displaced Reason = "displaced"
)

// Verdict is the decision about an offered request with its reason.
type Verdict struct {
	Kind   Kind
	Reason Reason
	// Wait is the expected time until the request starts.
	Wait time.Duration
	// RetryAfter is, for refusals, the expected time until the queue is short
	// enough.
	RetryAfter time.Duration
}

// Dropped is a queued request that was removed and gets its final answer now.
type Dropped struct {
	Item       Item
	Reason     Reason
	RetryAfter time.Duration
}

// Defaults of Config.
const (
	DefaultMaxQueued       = 256
	DefaultShortMaxWait    = 2 * time.Second
	DefaultStandardMaxWait = 30 * time.Second
	DefaultLongMaxWait     = 10 * time.Minute
)

// Config sets the bounds of a queue. A zero field means its default.
type Config struct {
	// MaxQueued bounds the number of waiting requests.
	MaxQueued int
	// ShortMaxWait, StandardMaxWait and LongMaxWait are how long requests of each
	// class without a deadline may wait for their start.
	ShortMaxWait    time.Duration
	StandardMaxWait time.Duration
	LongMaxWait     time.Duration
}

// Defaults sets the zero fields of c to their defaults.
func (c *Config) Defaults() {
	c.MaxQueued = cmp.Or(c.MaxQueued, DefaultMaxQueued)
	c.ShortMaxWait = cmp.Or(c.ShortMaxWait, DefaultShortMaxWait)
	c.StandardMaxWait = cmp.Or(c.StandardMaxWait, DefaultStandardMaxWait)
	c.LongMaxWait = cmp.Or(c.LongMaxWait, DefaultLongMaxWait)
}

// latestStart returns the latest time at which item must start.
func (c *Config) latestStart(item *Item, now time.Time) time.Time {
	if !item.Deadline.IsZero() {
		return item.Deadline.Add(-item.ServiceTime)
	}
	switch item.Class {
	case generation.Short:
		return now.Add(c.ShortMaxWait)
	case generation.Long:
		return now.Add(c.LongMaxWait)
	}
	return now.Add(c.StandardMaxWait)
}

// classWeight is the factor by which work of a class counts less than long work.
func classWeight(class generation.Class) float64 {
	switch class {
	case generation.Short:
		return 16
	case generation.Long:
		return 1
	}
	return 4
}
