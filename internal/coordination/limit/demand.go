package limit

import (
	"math"
	"time"
)

// demand is the smoothed rate of requests and tokens that callers want.
type demand struct {
	at       time.Time
	requests float64
	tokens   float64
	// observed is the fraction of the smoothing window that has been observed, 0
	// to 1. A new contract's rate is taken over the observed part only.
	observed float64
}

// demandWindow is the time over which demand is smoothed.
const demandWindow = 15 * time.Second

// minObserved is the value of demand.observed after half a second. Rates are not
// extrapolated from a smaller part of the window.
var minObserved = 1 - math.Exp(-0.5/demandWindow.Seconds())

// minRateSamples is the number of recent requests needed to extrapolate a new
// contract's rate; fewer may have arrived together by chance.
const minRateSamples = 10

// rates returns the demand in requests and tokens per second.
func (d *demand) rates() (requests, tokens float64) {
	if d.requests*demandWindow.Seconds() < minRateSamples {
		return d.requests, d.tokens
	}
	observed := max(d.observed, minObserved)
	return d.requests / observed, d.tokens / observed
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.at).Seconds()
	if d.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	keep := math.Exp(-elapsed / demandWindow.Seconds())
	d.requests *= keep
	d.tokens *= keep
	d.observed = d.observed*keep + 1 - keep
	d.at = now
}

func (d *demand) add(tokens float64, now time.Time) {
	d.decay(now)
	d.requests += 1 / demandWindow.Seconds()
	d.tokens += tokens / demandWindow.Seconds()
}
