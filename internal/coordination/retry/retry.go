// Package retry limits the retries of a service's requests within a sliding
// window.
//
// All entries together may retry a share of the requests plus a fixed number.
// Entries report their counts to each other, so that an entry with many losses
// may use what the others leave. Of the fixed number, an entry uses only the
// share of the entries that it hears from, so that the limit also holds when
// entries lose contact.
//
// What entries know of each other's retries is a little old. When a zone of targets is
// lost, all entries retry at once, so within that time an entry uses only its part of what
// is left. Then the limit holds however many entries there are.
//
// # Usage
//
//	b := retry.New(retry.Config{Ratio: 0.8, MinRetries: 150, Window: 10 * time.Second}, now)
//	b.RecordRequest(now)
//	if b.TryRetry(now, retry.Others{Counts: counts, Share: share, Age: age}) { … }
package retry

import (
	"time"
)

// Config limits the retries within Window.
type Config struct {
	// Ratio is the number of retries that are allowed per request.
	Ratio float64
	// MinRetries is the number of retries that are allowed in addition, by all
	// entries together.
	MinRetries float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Random returns a random number in [0, 1). It rounds an entry's part of what is left,
	// which may be less than one retry.
	Random func() float64
}

// buckets is the number of counters into which a window is divided.
const buckets = 50

// Budget counts one service's requests and retries at one entry. It is not safe
// for concurrent use.
type Budget struct {
	cfg Config
	// requests and retries count by bucket. One bucket more than the window has
	// is needed, because the current bucket is incomplete.
	requests, retries [buckets + 1]int
	// start is when counting began; current is the number of the current bucket
	// since then.
	start   time.Time
	current int64
	// partFrom is when this entry's part of the remaining retries was last determined, and
	// part is what is left of it.
	partFrom time.Time
	part     int
}

// New returns a Budget that has counted nothing.
func New(cfg Config, now time.Time) *Budget { return &Budget{cfg: cfg, start: now} }

// RecordRequest counts a request that is sent for the first time.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.bucket()]++
}

// Counts are the requests and retries of a window.
type Counts struct {
	Requests int `json:"first,omitempty"`
	Retries  int `json:"again,omitempty"`
}

// Add returns the sum of c and o.
func (c Counts) Add(o Counts) Counts { return Counts{c.Requests + o.Requests, c.Retries + o.Retries} }

// Counts returns what this entry has sent within the window.
func (b *Budget) Counts(now time.Time) Counts {
	b.advance(now)
	return Counts{sum(b.requests[:]), sum(b.retries[:])}
}

// Others is what an entry knows of the other entries.
type Others struct {
	// Counts is what they have reported for the window.
	Counts Counts
	// Share is the share of MinRetries that this entry and those entries may use together.
	Share float64
	// Age is how old their reports may be.
	Age time.Duration
}

// MayRetry reports whether the entries have retries left.
func (b *Budget) MayRetry(now time.Time, others Others) bool {
	return b.left(b.Counts(now).Add(others.Counts), others) >= 1
}

// spareShare is the part of the budget that is kept for requests that were lost.
const spareShare = 0.5

// HasSpare reports whether more retries are left than are kept for requests that were lost.
func (b *Budget) HasSpare(now time.Time, others Others) bool {
	all := b.Counts(now).Add(others.Counts)
	budget := b.left(Counts{Requests: all.Requests}, others)
	return b.left(all, others) >= 1+spareShare*budget
}

// left returns the number of retries that the entries have left.
func (b *Budget) left(all Counts, others Others) float64 {
	return b.cfg.Ratio*float64(all.Requests) + b.cfg.MinRetries*others.Share - float64(all.Retries)
}

// TryRetry reports whether a request may be retried, and counts the retry if so.
func (b *Budget) TryRetry(now time.Time, others Others) bool {
	own := b.Counts(now)
	all := own.Add(others.Counts)
	left := b.left(all, others)
	if left < 1 {
		return false
	}
	b.renewPart(now, left, partOf(own, all), others.Age)
	if b.part <= 0 {
		return false
	}
	b.part--
	b.retries[b.bucket()]++
	return true
}

// partOf returns the part of the remaining retries that is an entry's, by its part of the
// requests.
func partOf(own, all Counts) float64 {
	if own == all {
		return 1
	}
	return float64(own.Requests) / float64(max(1, all.Requests))
}

// UndoRetry takes back a retry that TryRetry allowed but that did not reach the
// service.
func (b *Budget) UndoRetry(now time.Time) {
	b.advance(now)
	b.retries[b.bucket()] = max(0, b.retries[b.bucket()]-1)
	b.part++
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	bucket := now.Sub(b.start).Nanoseconds() / max(1, b.cfg.Window.Nanoseconds()/buckets)
	passed := min(bucket-b.current, buckets+1)
	for range passed {
		b.current++
		b.requests[b.bucket()], b.retries[b.bucket()] = 0, 0
	}
	b.current = max(b.current, bucket)
}

func (b *Budget) bucket() int { return int(b.current % (buckets + 1)) }

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
