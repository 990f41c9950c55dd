// Package pace estimates how long the streams of a service take, so that a
// request whose remaining time is too short is refused at once, before an engine
// processes its prompt for nothing.
//
// # Usage
//
//	e := pace.New()
//	e.Observe(events, took)
//	if remaining < e.MinRemaining(promptTokens, done) { … }
package pace

import (
	"math"
	"time"
)

const (
	// minSamples is the number of complete streams needed before an estimate is
	// returned.
	minSamples = 20
	// smoothing is the weight of the latest stream in the moving averages.
	smoothing = 0.05
	// optimisticFactor scales the average length and event time of a stream to
	// those of a short and fast one, so that a request is refused only if even
	// such a stream would not finish in time.
	optimisticFactor = 0.7
	// likelyDeviations is the number of average deviations above the average within which
	// nearly all streams end.
	likelyDeviations = 2
	// prefillPerToken is the minimum time that an engine needs per prompt token.
	prefillPerToken = 125 * time.Microsecond
)

// Estimator estimates the duration of one service's streams. It is not safe for
// concurrent use.
type Estimator struct {
	samples int
	// events is the average number of events of a stream, and perEvent the
	// average time between two events in seconds.
	events   float64
	perEvent float64
	// whole is the average time from a stream's request to its end in seconds, and
	// deviation the average difference from it.
	whole, deviation float64
}

// New returns an Estimator without observations.
func New() *Estimator { return &Estimator{} }

// Observe records a complete stream with the given number of events and the time
// from its first event to its last.
func (e *Estimator) Observe(events int, took time.Duration) {
	if events < 2 {
		return
	}
	perEvent := took.Seconds() / float64(events-1)
	if e.samples == 0 {
		e.events, e.perEvent = float64(events), perEvent
	}
	e.samples++
	e.events += smoothing * (float64(events) - e.events)
	e.perEvent += smoothing * (perEvent - e.perEvent)
}

// ObserveWhole records the time from the request of a complete stream to its end.
func (e *Estimator) ObserveWhole(took time.Duration) {
	if e.whole == 0 {
		e.whole = took.Seconds()
	}
	e.deviation += smoothing * (math.Abs(took.Seconds()-e.whole) - e.deviation)
	e.whole += smoothing * (took.Seconds() - e.whole)
}

// Likely returns the time within which nearly all streams end. It returns 0 while there are
// too few observations.
func (e *Estimator) Likely() time.Duration {
	if e.samples < minSamples {
		return 0
	}
	return time.Duration((e.whole + likelyDeviations*e.deviation) * float64(time.Second))
}

// MinRemaining returns the minimum time needed to finish a stream whose prompt
// has yet to be processed and of which done events have been sent. It returns 0
// while there are too few observations.
func (e *Estimator) MinRemaining(promptTokens, done int) time.Duration {
	if e.samples < minSamples {
		return 0
	}
	events := max(1, optimisticFactor*e.events-float64(done))
	rest := time.Duration(optimisticFactor * events * e.perEvent * float64(time.Second))
	return time.Duration(promptTokens)*prefillPerToken + rest
}
