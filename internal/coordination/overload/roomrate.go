package overload

import (
	"math"
	"time"
)

// roomRate is the rate at which work was started while requests waited.
type roomRate struct {
	// cost and starts are what was started, and busy is the time with requests waiting, all
	// smoothed.
	cost, starts float64
	busy         time.Duration
	// offered is what came in that time.
	offered float64
}

func (r *roomRate) advance(took time.Duration, waiting bool) {
	if !waiting {
		return
	}
	left := math.Exp(-took.Seconds() / workWindow.Seconds())
	r.cost, r.starts, r.offered = r.cost*left, r.starts*left, r.offered*left
	r.busy = time.Duration(float64(r.busy)*left) + took
}

func (r *roomRate) add(cost float64) { r.cost, r.starts = r.cost+cost, r.starts+1 }

// pressure returns how many times as much work came as was started, at least 1.
func (r *roomRate) pressure() float64 {
	if r.cost <= 0 {
		return 1
	}
	return max(1, r.offered/r.cost)
}

// timeFor returns the expected time until work of the given cost has started, if the rate is
// known.
func (r *roomRate) timeFor(cost float64) (time.Duration, bool) {
	if r.busy < minBusyTime || r.starts < minBusyStarts || r.cost <= 0 {
		return 0, false
	}
	return min(maxExpectedWait, time.Duration(float64(r.busy)*cost/r.cost)), true
}
