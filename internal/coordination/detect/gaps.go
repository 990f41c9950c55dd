package detect

import "math"

const (
	// maxCount is the number of gaps that the running mean and variance cover.
	maxCount = 256
	// seedCount is the number of gaps that the reported pace counts for at the
	// start.
	seedCount = 8
	// clipDeviations limits the effect of one gap, so that a single pause does
	// not look like a slower pace. Detector.longest keeps the unclipped gap.
	clipDeviations = 10
	// seedDeviation is the standard deviation assumed at the start, as a ratio
	// to the mean.
	seedDeviation = 0.6
	// minSquaredMean, in square seconds, prevents a division by zero.
	minSquaredMean = 1e-12
)

// gaps is a running estimate of the gaps between arrivals, in seconds.
type gaps struct {
	mean     float64
	variance float64
	// reported is the pace in the target's latest load report.
	reported float64
	// count is the number of gaps in the estimate, up to maxCount.
	count int
}

func (g *gaps) seed(pace float64) {
	g.mean, g.reported, g.count = pace, pace, seedCount
	g.variance = seedDeviation * seedDeviation * pace * pace
}

func (g *gaps) add(gap float64) {
	gap = min(gap, g.mean+clipDeviations*math.Sqrt(g.variance))
	g.count = min(g.count+1, maxCount)
	weight := 1 / float64(g.count)
	delta := gap - g.mean
	g.mean += weight * delta
	g.variance = (1 - weight) * (g.variance + weight*delta*delta)
}

// slowest returns the mean gap, or the pace that the engine reports if that is
// slower.
func (g *gaps) slowest() float64 { return max(g.mean, g.reported) }

// quantile returns the gap that is z standard deviations above the mean in a
// lognormal distribution with the mean and variance of the recent gaps. Its
// tail is heavier than that of a normal or an exponential distribution, so an
// irregular pace gets a longer timeout than a regular one.
func (g *gaps) quantile(z float64) float64 {
	variance := math.Log1p(g.variance / max(g.mean*g.mean, minSquaredMean))
	return g.slowest() * math.Exp(z*math.Sqrt(variance)-variance/2)
}
