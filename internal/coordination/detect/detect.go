// Package detect finds attempts whose tokens have stopped coming while their
// connection stays open.
//
// Before the first token, an attempt may wait in the engine's queue and for
// its prompt to be computed. The bound on that wait comes from the target's
// load report and the request's deadline. After the first token, the bound is
// on the gap between two arrivals, and comes from the gaps of this very
// attempt and the pace that the engine reports.
//
// # Usage
//
//	d := detect.New(detect.DefaultConfig(), now, detect.Expectation{Pace: 31 * time.Millisecond})
//	verdict, next := d.Verdict(now)
//	// Set a timer for next. Tokens that arrive need not reset it.
//	d.Tokens(now, 3)
//	// When the timer fires:
//	verdict, next = d.Verdict(now)
//	if verdict != detect.Healthy { … }
//
// A suspicion is not a proof. The attempt may still go on; package join keeps
// its tokens out once another attempt has begun.
package detect

import (
	"math"
	"time"
)

// Verdict is what the gaps say about an attempt.
type Verdict string

// Verdicts.
const (
	// Healthy attempts are within their bound.
	Healthy Verdict = "healthy"
	// Late attempts have no first token though it was due.
	Late Verdict = "late"
	// Stalled attempts had tokens and stopped.
	Stalled Verdict = "stalled"
)

// Config bounds a Detector.
type Config struct {
	// MinTimeout is the shortest gap that is ever suspected. It covers pauses of an
	// engine as a whole that this attempt has not seen yet.
	MinTimeout time.Duration
	// MaxTimeout is the longest bound at a pace of up to Ceiling/SlowFactor.
	MaxTimeout time.Duration
	// SlowEngineFactor times the mean gap is the longest bound of slower engines.
	SlowEngineFactor float64
	// Deviations is how many standard deviations the logarithm of a gap must be
	// above its mean, on a lognormal distribution fitted to the recent gaps.
	Deviations float64
	// LongestGapFactor times the longest recent gap is never suspected below the
	// ceiling.
	LongestGapFactor float64
	// LongestGapHalfLife is the time in which the longest gap is half forgotten.
	LongestGapHalfLife time.Duration
	// MinFirstTokenTimeout is the shortest wait for the first token that is suspected.
	MinFirstTokenTimeout time.Duration
	// FirstTokenFactor times the expected wait is the bound on the first token.
	FirstTokenFactor float64
}

// DefaultConfig returns the bounds that docs/design/recovery.md measures.
func DefaultConfig() Config {
	return Config{
		MinTimeout:           4200 * time.Millisecond,
		MaxTimeout:           4800 * time.Millisecond,
		SlowEngineFactor:     140,
		Deviations:           5.5,
		LongestGapFactor:     2,
		LongestGapHalfLife:   time.Minute,
		MinFirstTokenTimeout: 3 * time.Second,
		FirstTokenFactor:     3,
	}
}

// Expectation is what a target's load report says of an attempt that starts
// there.
type Expectation struct {
	// Pace is the time between two tokens of one generation.
	Pace time.Duration
	// Queued is the number of generations that wait for a slot before this
	// one, and SlotWait the mean time until a slot is free.
	Queued   int
	SlotWait time.Duration
	// PrefillTokens is the number of prompt and prefix tokens to be computed before
	// the first token, those of waiting generations included.
	PrefillTokens   int
	PrefillPerToken time.Duration
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// defaultPace is expected of an engine that reports none.
const defaultPace = 50 * time.Millisecond

// defaultSlotWait is expected of a queue when the report says no time.
const defaultSlotWait = 5 * time.Second

// TimeToFirstToken returns the expected time to the first token.
func (e *Expectation) TimeToFirstToken() time.Duration {
	wait := e.SlotWait
	if wait == 0 {
		wait = defaultSlotWait
	}
	return time.Duration(e.Queued)*wait + time.Duration(e.PrefillTokens)*e.PrefillPerToken + e.pace()
}

func (e *Expectation) pace() time.Duration {
	if e.Pace <= 0 {
		return defaultPace
	}
	return e.Pace
}

// Detector watches one attempt. It does not allocate after New.
type Detector struct {
	cfg    Config
	start  time.Time
	last   time.Time
	first  time.Duration
	tokens int
	gaps   gaps
	// longest is the longest gap, in seconds, as it counted at last.
	longest float64
}

// New returns a Detector of an attempt that starts at start.
func New(cfg Config, start time.Time, expect Expectation) *Detector {
	d := &Detector{cfg: cfg, start: start, last: start}
	d.gaps.seed(expect.pace().Seconds())
	d.expectFirst(start, &expect)
	return d
}

// expectFirst sets the bound on the first token. A deadline leaves half of the
// time that is left for another attempt.
func (d *Detector) expectFirst(now time.Time, e *Expectation) {
	bound := d.cfg.MinFirstTokenTimeout + time.Duration(d.cfg.FirstTokenFactor*float64(e.TimeToFirstToken()))
	if !e.Deadline.IsZero() {
		bound = min(bound, max(d.cfg.MinFirstTokenTimeout, e.Deadline.Sub(now)/2))
	}
	d.first = now.Sub(d.start) + bound
}

// UpdateExpectation notes a newer load report of the target. Before the first token it
// sets the bound anew from now; a target that reports nothing keeps the old
// one. Afterwards a slower pace widens the bound.
func (d *Detector) UpdateExpectation(now time.Time, expect Expectation) {
	if d.tokens == 0 {
		d.expectFirst(now, &expect)
	}
	d.gaps.reported = expect.pace().Seconds()
}

// RecordTokens notes that n tokens arrived together at now.
func (d *Detector) RecordTokens(now time.Time, n int) {
	if n <= 0 {
		return
	}
	if d.tokens > 0 {
		gap := max(0, now.Sub(d.last)).Seconds()
		d.longest = max(gap, d.longest*math.Exp2(-gap/d.cfg.LongestGapHalfLife.Seconds()))
		d.gaps.add(gap)
	}
	d.tokens += n
	d.last = now
}

// Timeout returns the gap after the last token that is suspected.
func (d *Detector) Timeout() time.Duration {
	ceiling := max(d.cfg.MaxTimeout.Seconds(), d.cfg.SlowEngineFactor*d.gaps.slowest())
	bound := max(d.gaps.quantile(d.cfg.Deviations), d.cfg.LongestGapFactor*d.longest, d.cfg.MinTimeout.Seconds())
	return time.Duration(min(bound, ceiling) * float64(time.Second))
}

// Verdict returns what is known at now, and when to ask again. The time is
// zero once the attempt is suspected.
func (d *Detector) Verdict(now time.Time) (Verdict, time.Time) {
	verdict, due := Stalled, d.last.Add(d.Timeout())
	if d.tokens == 0 {
		verdict, due = Late, d.start.Add(d.first)
	}
	if now.Before(due) {
		return Healthy, due
	}
	return verdict, time.Time{}
}
