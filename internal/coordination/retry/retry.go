// Package retry bounds how many requests of a service one entry sends again,
// over any span of a fixed length.
//
// All entries together may send again a share of the requests and a fixed
// number. The share is counted from this entry's own requests; the fixed number
// is divided by the number of entries, so that the sum holds without the entries
// telling each other what they spent.
//
// # Usage
//
//	b := retry.New(retry.Config{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}, now)
//	b.First(now)
//	if b.Again(now, entries) { … }
package retry

import (
	"time"
)

// Config bounds the requests that are sent again within Window.
type Config struct {
	// Ratio times the number of requests may be sent again.
	Ratio float64
	// Slack may be sent again besides, by all entries together.
	Slack float64
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

// First notes a request that is sent for the first time.
func (b *Budget) First(now time.Time) {
	b.turn(now)
	b.first[b.slot()]++
}

// Again reports whether one of so many entries may send a request once more, and
// counts it if so.
func (b *Budget) Again(now time.Time, entries int) bool {
	b.turn(now)
	slack := b.cfg.Slack / float64(max(1, entries))
	if float64(sum(b.again[:])+1) > b.cfg.Ratio*float64(sum(b.first[:]))+slack {
		return false
	}
	b.again[b.slot()]++
	return true
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
