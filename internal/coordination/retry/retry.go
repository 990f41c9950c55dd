// Package retry bounds how many requests of a service one entry sends again,
// over any span of a fixed length.
//
// All entries together may send again a share of the requests and a fixed
// number. Entries tell each other their counts, so that one which meets many
// losses may use what the others leave. Of the fixed number only the part is
// used that belongs to the entries which are heard, so that the bound holds when
// they lose sight of each other.
//
// # Usage
//
//	b := retry.New(retry.Config{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}, now)
//	b.First(now)
//	if b.Again(now, others, part) { … }
package retry

import (
	"time"
)

// Config bounds the requests that are sent again within Window.
type Config struct {
	// Ratio times the number of requests may be sent again.
	Ratio float64
	// MinRetries may be sent again besides, by all entries together.
	MinRetries float64
	// Window is the span over which both are counted.
	Window time.Duration
}

// parts is the number of counters into which a window is divided.
const parts = 50

// Budget counts one service's requests at one entry. It is not safe for
// concurrent use.
type Budget struct {
	cfg Config
	// first and again count sends by the part of the window they fell into.
	first, again [parts + 1]int
	// start is when counting began; part is the part that is counted now.
	start time.Time
	part  int64
}

// New returns a Budget that has counted nothing.
func New(cfg Config, now time.Time) *Budget { return &Budget{cfg: cfg, start: now} }

// RecordRequest notes a request that is sent for the first time.
func (b *Budget) RecordRequest(now time.Time) {
	b.turn(now)
	b.first[b.slot()]++
}

// Counts are the requests of a window that were sent first and again.
type Counts struct {
	Requests int `json:"first,omitempty"`
	Retries  int `json:"again,omitempty"`
}

// Add returns the sum of both.
func (c Counts) Add(o Counts) Counts { return Counts{c.Requests + o.Requests, c.Retries + o.Retries} }

// Counts returns what this entry has sent within the window.
func (b *Budget) Counts(now time.Time) Counts {
	b.turn(now)
	return Counts{sum(b.first[:]), sum(b.again[:])}
}

// TryRetry reports whether a request may be sent once more, and counts it if so.
// others is what the other entries sent within the window, as they told; part is
// the part of the fixed number that all of them together may use.
func (b *Budget) TryRetry(now time.Time, others Counts, part float64) bool {
	all := b.Counts(now).Add(others)
	if float64(all.Retries+1) > b.cfg.Ratio*float64(all.Requests)+b.cfg.MinRetries*part {
		return false
	}
	b.again[b.slot()]++
	return true
}

// UndoRetry takes back a send that Again allowed and that did not reach the service.
func (b *Budget) UndoRetry(now time.Time) {
	b.turn(now)
	b.again[b.slot()] = max(0, b.again[b.slot()]-1)
}

// turn clears the counters of the parts that have left the window.
func (b *Budget) turn(now time.Time) {
	part := now.Sub(b.start).Nanoseconds() / max(1, b.cfg.Window.Nanoseconds()/parts)
	passed := min(part-b.part, parts+1)
	for range passed {
		b.part++
		b.first[b.slot()], b.again[b.slot()] = 0, 0
	}
	b.part = max(b.part, part)
}

func (b *Budget) slot() int { return int(b.part % (parts + 1)) }

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
