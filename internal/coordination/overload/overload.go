// Package overload decides which requests wait at an entry, in what order they
// go on, and which are refused early.
//
// A queue holds the requests for one model or service while no target has room
// for them. It orders them by weighted fair queueing: each contract has a part
// by its weight, and short work counts less than long work. It is bounded, and
// a request whose expected start would leave no time for its answer is refused
// when it comes, or given up as soon as that is seen; it gets its final answer
// then, not near its deadline.
//
// # Usage
//
//	verdict, evicted := q.Offer(item, free, now)
//	switch verdict.Kind {
//	case overload.Run:     // dispatch now
//	case overload.Queued:  // wait for Next
//	case overload.Refused: // notRun, with verdict.RetryAfter
//	}
//	item, ok := q.Next(room, now)   // whenever a target may have room
//	givenUp := q.GiveUp(now)        // a few times a second
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
	// Weight is the contract's part when contracts compete.
	Weight int
	// Cost is the expected number of tokens, prompt and answer.
	Cost float64
	// ServiceTime is the expected time from its start to its end.
	ServiceTime time.Duration
	// Deadline is when the caller gives up; zero means the class's patience.
	Deadline time.Time
}

// Kind says what becomes of an offered request.
type Kind string

// Kinds of verdicts.
const (
	Run     Kind = "run"
	Queued  Kind = "queued"
	Refused Kind = "refused"
)

// Reason says why.
type Reason string

// Reasons of verdicts and of giving up.
const (
	// CapacityAvailable means that a target has room and nobody waits.
	CapacityAvailable Reason = "roomFree"
	// Enqueued means that the request will start in time.
	Enqueued Reason = "waits"
	// TooLate means that it would start too late to end in time.
	TooLate Reason = "tooLate"
	// QueueFull means that the queue is full of requests that go first.
	QueueFull Reason = "queueFull"
	// Displaced means that a request that goes first took its place.
	Displaced Reason = "displaced"
)

// Verdict is what becomes of an offered request.
type Verdict struct {
	Kind   Kind
	Reason Reason
	// Wait is the expected time until it starts.
	Wait time.Duration
	// RetryAfter is when the queue will be short enough, for refusals.
	RetryAfter time.Duration
}

// Dropped is a queued request that gets its final answer now.
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

// Config bounds a queue. A zero field means its default.
type Config struct {
	// MaxQueued bounds the number of requests that wait.
	MaxQueued int
	// Patience is how long requests without a deadline wait for their start.
	ShortMaxWait    time.Duration
	StandardMaxWait time.Duration
	LongMaxWait     time.Duration
}

// Defaults fills in what c leaves out.
func (c *Config) Defaults() {
	c.MaxQueued = cmp.Or(c.MaxQueued, DefaultMaxQueued)
	c.ShortMaxWait = cmp.Or(c.ShortMaxWait, DefaultShortMaxWait)
	c.StandardMaxWait = cmp.Or(c.StandardMaxWait, DefaultStandardMaxWait)
	c.LongMaxWait = cmp.Or(c.LongMaxWait, DefaultLongMaxWait)
}

// latestStart returns when item must start.
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

// share is how many times less a class's work counts than long work.
func share(class generation.Class) float64 {
	switch class {
	case generation.Short:
		return 16
	case generation.Long:
		return 1
	}
	return 4
}
