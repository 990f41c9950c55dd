package request

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha configure the exponentially decaying samples of the
// histograms.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics holds the metrics of recovery: the time that answers were interrupted,
// and the tokens that were dropped or computed again. The methods of a nil
// *Metrics do nothing.
type Metrics struct {
	resumeGaps       metrics.Histogram
	droppedTokens    metrics.Counter
	recomputedTokens metrics.Counter
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r metrics.Registry) *Metrics {
	m := &Metrics{
		resumeGaps:       metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		droppedTokens:    metrics.NewCounter(),
		recomputedTokens: metrics.NewCounter(),
	}
	// Registering fails only if the name is already taken, which is a
	// programming error that is visible on the metrics page.
	_ = r.Register("recovery.resumeMs", m.resumeGaps)
	_ = r.Register("recovery.droppedTokens", m.droppedTokens)
	_ = r.Register("recovery.extraTokens", m.recomputedTokens)
	return m
}

// ObserveResumeGap records the time that an answer was interrupted.
func (m *Metrics) ObserveResumeGap(gap time.Duration) {
	if m != nil {
		m.resumeGaps.Update(gap.Milliseconds())
	}
}

// CountDroppedTokens counts tokens of fenced attempts that were discarded.
func (m *Metrics) CountDroppedTokens(n int) {
	if m != nil {
		m.droppedTokens.Inc(int64(n))
	}
}

// CountRecomputedTokens counts prompt and prefix tokens that a later attempt
// computed again.
func (m *Metrics) CountRecomputedTokens(n int) {
	if m != nil {
		m.recomputedTokens.Inc(int64(n))
	}
}
