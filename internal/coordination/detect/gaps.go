package detect

import "math"

const (
	// memory is how many gaps the running mean and variance cover.
	memory = 256
	// seedGaps is how many gaps the reported pace counts for at first.
	seedGaps = 8
	// clipDeviations bounds what one gap adds, so that a single pause does not
	// pass for a slower pace. Package detect remembers it as the longest gap.
	clipDeviations = 10
	// seedDeviation is the deviation, in means, that is assumed at first.
	seedDeviation = 0.6
	// smallestSquare, in square seconds, keeps a mean of zero from dividing.
	smallestSquare = 1e-12
)

// gaps is a running estimate of the gaps between arrivals, in seconds.
type gaps struct {
	mean     float64
	variance float64
	// reported is the pace in the target's newest report.
	reported float64
	// count is how many gaps the estimate rests on, up to memory.
	count int
}

func (g *gaps) seed(pace float64) {
	g.mean, g.reported, g.count = pace, pace, seedGaps
	g.variance = seedDeviation * seedDeviation * pace * pace
}

func (g *gaps) add(gap float64) {
	gap = min(gap, g.mean+clipDeviations*math.Sqrt(g.variance))
	g.count = min(g.count+1, memory)
	weight := 1 / float64(g.count)
	delta := gap - g.mean
	g.mean += weight * delta
	g.variance = (1 - weight) * (g.variance + weight*delta*delta)
}

// slowest returns the mean gap. The engine's own report counts when it is
// slower than what was seen.
func (g *gaps) slowest() float64 { return max(g.mean, g.reported) }

// quantile returns the gap that lies z standard deviations above the mean on a
// lognormal distribution with the mean and variance of the recent gaps. Its
// tail is heavier than that of a normal or an exponential distribution, so a
// pace that jumps about is given more time than a regular one.
func (g *gaps) quantile(z float64) float64 {
	variance := math.Log1p(g.variance / max(g.mean*g.mean, smallestSquare))
	return g.slowest() * math.Exp(z*math.Sqrt(variance)-variance/2)
}
