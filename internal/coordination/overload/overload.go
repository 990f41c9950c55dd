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
	// Service is the expected time from its start to its end.
	Service time.Duration
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
	// RoomFree means that a target has room and nobody waits.
	RoomFree Reason = "roomFree"
	// Waits means that the request will start in time.
	Waits Reason = "waits"
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

// GivenUp is a queued request that gets its final answer now.
type GivenUp struct {
	Item       Item
	Reason     Reason
	RetryAfter time.Duration
}

// Defaults of Config.
const (
	DefaultMaxQueued        = 256
	DefaultShortPatience    = 2 * time.Second
	DefaultStandardPatience = 30 * time.Second
	DefaultLongPatience     = 10 * time.Minute
)

// Config bounds a queue. A zero field means its default.
type Config struct {
	// MaxQueued bounds the number of requests that wait.
	MaxQueued int
	// Patience is how long requests without a deadline wait for their start.
	ShortPatience    time.Duration
	StandardPatience time.Duration
	LongPatience     time.Duration
}

// Defaults fills in what c leaves out.
func (c *Config) Defaults() {
	c.MaxQueued = cmp.Or(c.MaxQueued, DefaultMaxQueued)
	c.ShortPatience = cmp.Or(c.ShortPatience, DefaultShortPatience)
	c.StandardPatience = cmp.Or(c.StandardPatience, DefaultStandardPatience)
	c.LongPatience = cmp.Or(c.LongPatience, DefaultLongPatience)
}

// latestStart returns when item must start.
func (c *Config) latestStart(item *Item, now time.Time) time.Time {
	if !item.Deadline.IsZero() {
		return item.Deadline.Add(-item.Service)
	}
	switch item.Class {
	case generation.Short:
		return now.Add(c.ShortPatience)
	case generation.Long:
		return now.Add(c.LongPatience)
	}
	return now.Add(c.StandardPatience)
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
