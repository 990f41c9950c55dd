// Package detect finds attempts whose tokens have stopped arriving while their
// connection stays open.
//
// Before the first token, an attempt may wait in the engine's queue and for its
// prompt to be computed. The timeout for that wait comes from the target's load
// report and the request's deadline. After the first token, the timeout applies
// to the gap between two arrivals. It comes from the attempt's own gaps so far
// and the pace that the engine reports.
//
// # Usage
//
//	d := detect.New(detect.DefaultConfig(), now, detect.Expectation{Pace: 31 * time.Millisecond})
//	verdict, next := d.Verdict(now)
//	// Set a timer for next. Tokens that arrive need not reset it.
//	d.RecordTokens(now, 3)
//	// When the timer fires:
//	verdict, next = d.Verdict(now)
//	if verdict != detect.Healthy { … }
//
// A suspected attempt may still continue. Package merge rejects its tokens once
// another attempt has begun.
package detect

import (
	"math"
	"time"
)

// Verdict is the state of an attempt by its arrivals.
type Verdict string

// Verdicts.
const (
	// Healthy means that the attempt is within its timeout.
	Healthy Verdict = "healthy"
	// Late means that the first token did not arrive within its timeout.
	Late Verdict = "late"
	// Stalled means that tokens have arrived, but no more within the timeout.
	Stalled Verdict = "stalled"
)

// Config sets the timeouts of a Detector.
type Config struct {
	// MinTimeout is the shortest timeout for a gap. It covers pauses of the
	// whole engine that this attempt has not experienced yet.
	MinTimeout time.Duration
	// MaxTimeout is the longest timeout for a gap while the mean gap is at most
	// MaxTimeout/SlowEngineFactor.
	MaxTimeout time.Duration
	// SlowEngineFactor times the mean gap is the longest timeout of slower
	// engines.
	SlowEngineFactor float64
	// Deviations is how many standard deviations the logarithm of a gap must be
	// above its mean to be suspected, by a lognormal distribution fitted to the
	// recent gaps.
	Deviations float64
	// LongestGapFactor times the longest recent gap is a lower bound of the
	// timeout, up to its maximum.
	LongestGapFactor float64
	// LongestGapHalfLife is the time in which the remembered longest gap halves.
	LongestGapHalfLife time.Duration
	// MinFirstTokenTimeout is the shortest timeout for the first token.
	MinFirstTokenTimeout time.Duration
	// FirstTokenFactor times the expected wait is added to MinFirstTokenTimeout.
	FirstTokenFactor float64
}

// DefaultConfig returns the default timeouts. Their measurement is described in
// docs/design/recovery.md.
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

// Expectation is what a target's load report says about an attempt that starts
// there.
type Expectation struct {
	// Pace is the time between two tokens of one generation.
	Pace time.Duration
	// Queued is the number of generations that wait for a slot before this one.
	// SlotWait is the mean time until a slot becomes free.
	Queued   int
	SlotWait time.Duration
	// PrefillTokens is the number of prompt and prefix tokens to be computed
	// before the first token, including those of waiting generations.
	PrefillTokens   int
	PrefillPerToken time.Duration
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// defaultPace is assumed for an engine that reports no pace.
const defaultPace = 50 * time.Millisecond

// defaultSlotWait is assumed if the load report has no SlotWait.
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
	cfg          Config
	start        time.Time
	last         time.Time
	firstTimeout time.Duration
	tokens       int
	gaps         gaps
	// longest is the longest gap in seconds. It had decayed to this value when
	// the last tokens arrived.
	longest float64
}

// New returns a Detector for an attempt that starts at start.
func New(cfg Config, start time.Time, expect Expectation) *Detector {
	d := &Detector{cfg: cfg, start: start, last: start}
	d.gaps.seed(expect.pace().Seconds())
	d.setFirstTimeout(start, &expect)
	return d
}

// setFirstTimeout sets the timeout for the first token. If there is a deadline,
// it is at most half of the time that is left, so that another attempt can use
// the rest.
func (d *Detector) setFirstTimeout(now time.Time, e *Expectation) {
	timeout := d.cfg.MinFirstTokenTimeout + time.Duration(d.cfg.FirstTokenFactor*float64(e.TimeToFirstToken()))
	if !e.Deadline.IsZero() {
		timeout = min(timeout, max(d.cfg.MinFirstTokenTimeout, e.Deadline.Sub(now)/2))
	}
	d.firstTimeout = now.Sub(d.start) + timeout
}

// UpdateExpectation applies a newer load report of the target. Before the first
// token it restarts the timeout from now; without a new report the old timeout
// stays. After the first token a slower pace extends the timeout.
func (d *Detector) UpdateExpectation(now time.Time, expect Expectation) {
	if d.tokens == 0 {
		d.setFirstTimeout(now, &expect)
	}
	d.gaps.reported = expect.pace().Seconds()
}

// RecordTokens records that n tokens arrived together at now.
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

// Exclude records that nothing was read until now, for the given time, so that the time
// says nothing about the target.
func (d *Detector) Exclude(blocked time.Duration) {
	d.start = d.start.Add(blocked)
	if d.tokens > 0 {
		d.last = d.last.Add(blocked)
	}
}

// Timeout returns the gap after the last token from which the attempt is
// suspected.
func (d *Detector) Timeout() time.Duration {
	longest := max(d.cfg.MaxTimeout.Seconds(), d.cfg.SlowEngineFactor*d.gaps.slowest())
	timeout := max(d.gaps.quantile(d.cfg.Deviations), d.cfg.LongestGapFactor*d.longest, d.cfg.MinTimeout.Seconds())
	return time.Duration(min(timeout, longest) * float64(time.Second))
}

// Verdict returns the verdict at now, and when to ask again. The time is zero
// once the attempt is suspected.
func (d *Detector) Verdict(now time.Time) (Verdict, time.Time) {
	verdict, due := Stalled, d.last.Add(d.Timeout())
	if d.tokens == 0 {
		verdict, due = Late, d.start.Add(d.firstTimeout)
	}
	if now.Before(due) {
		return Healthy, due
	}
	return verdict, time.Time{}
}
